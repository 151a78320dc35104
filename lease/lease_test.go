package lease

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/job"
)

var began = time.Unix(1_800_000_000, 0)

func run(host, boot string) job.Holder {
	return job.Holder{Host: ident.Host(host), Boot: boot}
}

func beat(host, boot string, counter uint64) Heartbeat {
	return Heartbeat{Holder: run(host, boot), Counter: counter, Revision: ident.Revision(counter)}
}

func newTestMonitor() *Monitor {
	return NewMonitor(Config{Self: run("a", "a1"), Bound: 3 * time.Second, MaxGap: 2 * time.Second, Forget: 30 * time.Second})
}

// look is one observation of the table.
type look struct {
	beats []Heartbeat
	// failed is true if the observer's own read failed.
	failed bool
	// pause is added to the second between two observations.
	pause time.Duration
}

func repeat(l look, count int) []look {
	looks := make([]look, count)
	for i := range looks {
		looks[i] = l
	}
	return looks
}

func TestMonitorSuspects(t *testing.T) {
	silent := look{beats: []Heartbeat{beat("b", "b1", 7)}}
	var advancing []look
	for i := range 10 {
		advancing = append(advancing, look{beats: []Heartbeat{beat("b", "b1", uint64(i))}})
	}
	tests := map[string]struct {
		looks    []look
		suspects int
		lost     int
	}{
		"advancing":                  {looks: advancing},
		"silent below the bound":     {looks: repeat(silent, 3)},
		"silent":                     {looks: repeat(silent, 4), suspects: 1},
		"own reads failed meanwhile": {looks: append(append(repeat(silent, 3), look{failed: true}), repeat(silent, 3)...)},
		"own read failed each time":  {looks: append(repeat(silent, 1), repeat(look{failed: true}, 20)...)},
		"observer was paused":        {looks: append(repeat(silent, 2), look{beats: silent.beats, pause: time.Minute})},
		"another boot":               {looks: append(repeat(silent, 1), look{beats: []Heartbeat{beat("b", "b2", 1)}}), lost: 1},
		"row deleted":                {looks: append(repeat(silent, 1), look{}), lost: 1},
		"self is never suspected":    {looks: repeat(look{beats: []Heartbeat{beat("a", "a1", 1)}}, 9)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := newTestMonitor()
			now := began
			suspects := 0
			for _, l := range tt.looks {
				now = now.Add(time.Second + l.pause)
				if l.failed {
					m.Interrupted()
					continue
				}
				suspects += len(m.Observe(now, l.beats).Suspects)
			}
			is.Equal(suspects, tt.suspects)
			is.Equal(len(m.Lost()), tt.lost)
		})
	}
}

// suspected returns a monitor that suspects run b1.
func suspected() (*Monitor, time.Time) {
	m := newTestMonitor()
	now := began
	for range 4 {
		now = now.Add(time.Second)
		m.Observe(now, []Heartbeat{beat("b", "b1", 7)})
	}
	return m, now
}

func TestMonitorProbe(t *testing.T) {
	tests := map[string]struct {
		boot string
		lost bool
	}{
		"no answer":    {boot: "", lost: true},
		"another boot": {boot: "b2", lost: true},
		"same boot":    {boot: "b1"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m, now := suspected()
			m.Probed(now, run("b", "b1"), tt.boot)
			is.Equal(len(m.Lost()) == 1, tt.lost)
			is.Equal(m.IsGone(run("b", "b1")), tt.lost)
			is.Equal(len(m.Live()), map[bool]int{true: 0, false: 1}[tt.lost])
		})
	}
}

func TestMonitorTakesBackARunThatWakes(t *testing.T) {
	is := is.New(t)
	m, now := suspected()
	m.Probed(now, run("b", "b1"), "")
	is.Equal(len(m.Lost()), 1)
	m.Observe(now.Add(time.Second), []Heartbeat{beat("b", "b1", 8)})
	is.Equal(len(m.Lost()), 0)
	is.Equal(len(m.Live()), 1)
}

func TestMonitorOrphans(t *testing.T) {
	is := is.New(t)
	m := newTestMonitor()
	m.Observe(began, []Heartbeat{beat("b", "b2", 1)})
	holders := []job.Holder{run("b", "b1"), run("b", "b2"), run("c", "c1"), run("a", "a1")}
	m.Orphaned(began, holders)
	is.Equal(len(m.Lost()), 0)
	m.Orphaned(began, holders)
	is.Equal(len(m.Lost()), 2)
	is.Equal(m.Lost()[0].Holder, run("b", "b1"))
	is.Equal(m.Lost()[1].Holder, run("c", "c1"))
}

func TestRankSpreadsJobs(t *testing.T) {
	is := is.New(t)
	const hosts, jobs = 9, 9000
	var live []Heartbeat
	for i := range hosts {
		live = append(live, beat(fmt.Sprintf("entry-%d", i+1), "x", 1))
	}
	first := map[ident.Host]int{}
	for k := range jobs {
		ranks := map[int]bool{}
		for _, b := range live {
			rank := Rank(b.Host, live, fmt.Sprintf("kusweg/tide-%d", k))
			ranks[rank] = true
			if rank == 0 {
				first[b.Host]++
			}
		}
		is.Equal(len(ranks), hosts)
	}
	for _, b := range live {
		share := float64(first[b.Host]) * hosts / jobs
		is.True(share > 0.85 && share < 1.15)
	}
}

func TestChooseMirror(t *testing.T) {
	near := Heartbeat{Holder: run("b", "b1"), DataCentre: "coast-a"}
	far := Heartbeat{Holder: run("c", "c1"), DataCentre: "coast-b"}
	tests := map[string]struct {
		live []Heartbeat
		want job.Holder
	}{
		"none":                 {},
		"same data centre":     {live: []Heartbeat{far, near}, want: near.Holder},
		"another data centre":  {live: []Heartbeat{far}, want: far.Holder},
		"order does not count": {live: []Heartbeat{near, far}, want: near.Holder},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(ChooseMirror("coast-a", tt.live, "kusweg/tide"), tt.want)
		})
	}
}
