package lease

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/job"
)

var start = time.Unix(1_800_000_000, 0)

func run(host, boot string) job.Holder {
	return job.Holder{Host: ident.Host(host), Boot: boot}
}

func beat(host, boot string, counter uint64) Heartbeat {
	return Heartbeat{Holder: run(host, boot), Counter: counter, Revision: ident.Revision(counter)}
}

func newTestMonitor() *Monitor {
	return NewMonitor(Config{Self: run("a", "a1"), SilenceTimeout: 3 * time.Second, MaxGap: 2 * time.Second, ForgetAfter: 30 * time.Second})
}

// reading is one read of the table by the observer.
type reading struct {
	beats []Heartbeat
	// failed is true if the observer's own read failed.
	failed bool
	// pause is added to the second between two readings.
	pause time.Duration
}

func repeat(r reading, count int) []reading {
	readings := make([]reading, count)
	for i := range readings {
		readings[i] = r
	}
	return readings
}

func TestMonitorSuspects(t *testing.T) {
	silent := reading{beats: []Heartbeat{beat("b", "b1", 7)}}
	var advancing []reading
	for i := range 10 {
		advancing = append(advancing, reading{beats: []Heartbeat{beat("b", "b1", uint64(i))}})
	}
	tests := map[string]struct {
		readings []reading
		suspects int
		lost     int
	}{
		"advancing":                  {readings: advancing},
		"silent below the bound":     {readings: repeat(silent, 3)},
		"silent":                     {readings: repeat(silent, 4), suspects: 1},
		"own reads failed meanwhile": {readings: append(append(repeat(silent, 3), reading{failed: true}), repeat(silent, 3)...)},
		"own read failed each time":  {readings: append(repeat(silent, 1), repeat(reading{failed: true}, 20)...)},
		"observer was paused":        {readings: append(repeat(silent, 2), reading{beats: silent.beats, pause: time.Minute})},
		"another boot":               {readings: append(repeat(silent, 1), reading{beats: []Heartbeat{beat("b", "b2", 1)}}), lost: 1},
		"row deleted":                {readings: append(repeat(silent, 1), reading{}), lost: 1},
		"self is never suspected":    {readings: repeat(reading{beats: []Heartbeat{beat("a", "a1", 1)}}, 9)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := newTestMonitor()
			now := start
			suspects := 0
			for _, r := range tt.readings {
				now = now.Add(time.Second + r.pause)
				if r.failed {
					m.ReadFailed()
					continue
				}
				suspects += len(m.Observe(now, r.beats).Suspects)
			}
			is.Equal(suspects, tt.suspects)
			is.Equal(len(m.Lost()), tt.lost)
		})
	}
}

// newSuspectingMonitor returns a monitor that suspects incarnation b1.
func newSuspectingMonitor() (*Monitor, time.Time) {
	m := newTestMonitor()
	now := start
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
			m, now := newSuspectingMonitor()
			m.HandleProbe(now, run("b", "b1"), tt.boot)
			is.Equal(len(m.Lost()) == 1, tt.lost)
			is.Equal(m.IsGone(run("b", "b1")), tt.lost)
			is.Equal(len(m.Live()), map[bool]int{true: 0, false: 1}[tt.lost])
		})
	}
}

func TestMonitorTakesBackARunThatWakes(t *testing.T) {
	is := is.New(t)
	m, now := newSuspectingMonitor()
	m.HandleProbe(now, run("b", "b1"), "")
	is.Equal(len(m.Lost()), 1)
	m.Observe(now.Add(time.Second), []Heartbeat{beat("b", "b1", 8)})
	is.Equal(len(m.Lost()), 0)
	is.Equal(len(m.Live()), 1)
}

func TestMonitorOrphans(t *testing.T) {
	is := is.New(t)
	m := newTestMonitor()
	m.Observe(start, []Heartbeat{beat("b", "b2", 1)})
	holders := []job.Holder{run("b", "b1"), run("b", "b2"), run("c", "c1"), run("a", "a1")}
	m.ObserveHolders(start, holders)
	is.Equal(len(m.Lost()), 0)
	m.ObserveHolders(start, holders)
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
