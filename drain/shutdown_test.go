package drain

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var shutdownSettings = ShutdownConfig{UnreadyTime: 2 * time.Second, Timeout: 10 * time.Second, AnswerTime: time.Second}

// look is one call of Next: the second, the open requests and whether the host
// was told again.
type look struct {
	second int
	open   int
	forced bool
}

// TestShutdown checks the steps of shutdowns of several courses.
func TestShutdown(t *testing.T) {
	tests := map[string]struct {
		looks []look
		steps []Step
		cut   bool
	}{
		"goes on accepting at first":          {looks: []look{{0, 0, false}, {1, 0, false}}, steps: []Step{BecomeUnready}},
		"ends when nothing is open":           {looks: []look{{0, 5, false}, {2, 5, false}, {3, 0, false}}, steps: []Step{BecomeUnready, HandOver, Exit}},
		"waits for open requests":             {looks: []look{{0, 5, false}, {2, 5, false}, {9, 1, false}}, steps: []Step{BecomeUnready, HandOver}},
		"cuts at the bound":                   {looks: []look{{0, 5, false}, {2, 5, false}, {10, 1, false}, {10, 0, false}}, steps: []Step{BecomeUnready, HandOver, Cut, Exit}, cut: true},
		"does not wait for ever after a cut":  {looks: []look{{0, 5, false}, {10, 1, false}, {11, 1, false}}, steps: []Step{BecomeUnready, HandOver, Cut, Exit}, cut: true},
		"cuts when told again":                {looks: []look{{0, 5, false}, {1, 5, true}, {1, 0, true}}, steps: []Step{BecomeUnready, HandOver, Cut, Exit}, cut: true},
		"told again with nothing open is ok":  {looks: []look{{0, 0, false}, {1, 0, true}}, steps: []Step{BecomeUnready, HandOver, Exit}},
		"a request after the handover counts": {looks: []look{{0, 0, false}, {2, 1, false}, {3, 1, false}, {4, 0, false}}, steps: []Step{BecomeUnready, HandOver, Exit}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := NewShutdown(at(0), shutdownSettings)
			var steps []Step
			for _, l := range tt.looks {
				for step := s.Next(at(l.second), l.open, l.forced); step != ""; step = s.Next(at(l.second), l.open, l.forced) {
					steps = append(steps, step)
				}
			}
			is.Equal(steps, tt.steps)
			is.Equal(s.WasCut(), tt.cut)
		})
	}
}

// TestShutdownProperties checks over random courses that steps keep their
// order, that requests are cut only late, and that the host exits in time.
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
					t.Fatalf("seed %d, run %d: %s again or too late", seed, run, step)
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
