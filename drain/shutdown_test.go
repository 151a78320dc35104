package drain

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var shutdownSettings = ShutdownConfig{UnreadyTime: 2 * time.Second, Timeout: 10 * time.Second, AnswerTime: time.Second}

// nextCall holds the arguments of a call of Next, with the time in seconds.
type nextCall struct {
	second int
	open   int
	forced bool
}

// TestShutdown checks the steps of a shutdown for different numbers of open
// requests.
func TestShutdown(t *testing.T) {
	tests := map[string]struct {
		calls []nextCall
		steps []Step
		cut   bool
	}{
		"accepts connections at first":                      {calls: []nextCall{{0, 0, false}, {1, 0, false}}, steps: []Step{BecomeUnready}},
		"ends when nothing is open":                         {calls: []nextCall{{0, 5, false}, {2, 5, false}, {3, 0, false}}, steps: []Step{BecomeUnready, HandOver, Exit}},
		"waits for open requests":                           {calls: []nextCall{{0, 5, false}, {2, 5, false}, {9, 1, false}}, steps: []Step{BecomeUnready, HandOver}},
		"cuts at the timeout":                               {calls: []nextCall{{0, 5, false}, {2, 5, false}, {10, 1, false}, {10, 0, false}}, steps: []Step{BecomeUnready, HandOver, Cut, Exit}, cut: true},
		"does not wait forever after a cut":                 {calls: []nextCall{{0, 5, false}, {10, 1, false}, {11, 1, false}}, steps: []Step{BecomeUnready, HandOver, Cut, Exit}, cut: true},
		"cuts when forced":                                  {calls: []nextCall{{0, 5, false}, {1, 5, true}, {1, 0, true}}, steps: []Step{BecomeUnready, HandOver, Cut, Exit}, cut: true},
		"exits without a cut when forced with nothing open": {calls: []nextCall{{0, 0, false}, {1, 0, true}}, steps: []Step{BecomeUnready, HandOver, Exit}},
		"a request after the handover counts":               {calls: []nextCall{{0, 0, false}, {2, 1, false}, {3, 1, false}, {4, 0, false}}, steps: []Step{BecomeUnready, HandOver, Exit}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := NewShutdown(at(0), shutdownSettings)
			var steps []Step
			for _, l := range tt.calls {
				for step := s.Next(at(l.second), l.open, l.forced); step != ""; step = s.Next(at(l.second), l.open, l.forced) {
					steps = append(steps, step)
				}
			}
			is.Equal(steps, tt.steps)
			is.Equal(s.WasCut(), tt.cut)
		})
	}
}

// TestShutdownProperties checks over random sequences of calls that the steps
// keep their order, that requests are cut only after the timeout or if forced,
// and that the host exits in time.
func TestShutdownProperties(t *testing.T) {
	const runs, seed = 5_000, 5
	random := rand.New(rand.NewPCG(seed, seed))
	order := map[Step]int{BecomeUnready: 0, HandOver: 1, Cut: 2, Exit: 3}
	for run := range runs {
		s := NewShutdown(start, shutdownSettings)
		now, forced, last := start, false, -1
		for last != order[Exit] {
			open := random.IntN(3)
			forced = forced || random.IntN(40) == 0
			if step := s.Next(now, open, forced); step != "" {
				if order[step] <= last {
					t.Fatalf("seed %d, run %d: step %s repeated or out of order", seed, run, step)
				}
				last = order[step]
				if step == Cut && !forced && now.Sub(start) < shutdownSettings.Timeout {
					t.Fatalf("seed %d, run %d: cut after %s", seed, run, now.Sub(start))
				}
				if step == Exit && open > 0 && now.Sub(s.cutAt) < shutdownSettings.AnswerTime {
					t.Fatalf("seed %d, run %d: exit with %d open", seed, run, open)
				}
			}
			if now.Sub(start) > shutdownSettings.Timeout+shutdownSettings.AnswerTime+time.Second {
				t.Fatalf("seed %d, run %d: no exit", seed, run)
			}
			now = now.Add(time.Duration(random.IntN(1000)) * time.Millisecond)
		}
	}
}
