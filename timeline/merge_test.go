package timeline

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/ident"
)

// newSource returns the events of a host whose clock is ahead by skew. The
// estimate of the offset is off by estimateError.
func newSource(host ident.Host, skew, estimateError time.Duration, events ...Event) Source {
	for i := range events {
		events[i].Host, events[i].Sequence = host, uint64(i)
		events[i].Wall = start.Add(events[i].Monotonic + skew)
	}
	return Source{Host: host, Offset: skew + estimateError, Events: events}
}

// at returns e as an event of kind k that happens ms milliseconds after start on a
// correct clock.
func at(ms int, k Kind, e Event) Event {
	e.Kind, e.Monotonic = k, time.Duration(ms)*time.Millisecond
	return e
}

func TestMerge(t *testing.T) {
	const hour = time.Hour
	job := Event{Team: "kusweg", Job: "tide"}
	epoch := func(e ident.Epoch) Event { return Event{Team: "kusweg", Job: "tide", Epoch: e} }
	row := func(e ident.Epoch, r ident.Revision) Event {
		return Event{Team: "kusweg", Job: "tide", Epoch: e, Revision: r}
	}
	request := Event{Request: "r-1"}
	tests := map[string]struct {
		sources []Source
		want    string
	}{
		"corrected clocks": {
			sources: []Source{
				newSource("a", 0, 0, at(1, Started, Event{}), at(30, Answered, Event{})),
				newSource("b", hour, 0, at(10, Started, Event{}), at(20, Answered, Event{})),
			},
			want: "a:started b:started b:answered a:answered",
		},
		"send before receipt despite a wrong offset estimate": {
			sources: []Source{
				newSource("a", 0, 0, at(10, CallSent, request), at(40, CallReturned, request)),
				newSource("b", -hour, 100*time.Millisecond, at(20, CallReceived, request), at(30, CallAnswered, request)),
			},
			want: "a:callSent b:callReceived b:callAnswered a:callReturned",
		},
		"receipt before return though the peer's corrected time is later": {
			sources: []Source{
				newSource("a", 0, 0, at(10, CallSent, request), at(40, CallReturned, request)),
				newSource("b", hour, -100*time.Millisecond, at(20, CallReceived, request), at(30, CallAnswered, request)),
			},
			want: "a:callSent b:callReceived b:callAnswered a:callReturned",
		},
		"claim before attach": {
			sources: []Source{
				newSource("a", 0, 50*time.Millisecond, at(20, Attached, epoch(1))),
				newSource("b", 0, 0, at(10, Claimed, epoch(1)), at(90, Answered, job)),
			},
			want: "b:claimed a:attached b:answered",
		},
		"adoptions in the order of their epochs": {
			sources: []Source{
				newSource("a", 0, -time.Second, at(10, Claimed, epoch(1))),
				newSource("b", 0, 0, at(20, Adopted, epoch(2))),
				newSource("c", 0, time.Second, at(30, Adopted, epoch(3))),
			},
			want: "a:claimed b:adopted c:adopted",
		},
		"row writes in the order of their revisions": {
			sources: []Source{
				newSource("a", 0, -time.Second, at(10, Claimed, row(1, 5)), at(20, IntentWritten, row(1, 7))),
				newSource("b", 0, 0, at(30, Adopted, row(2, 9)), at(40, OutcomeRecorded, row(2, 12))),
			},
			want: "a:claimed a:intentWritten b:adopted b:outcomeRecorded",
		},
		"a paused holder's answer stays after the adoption": {
			sources: []Source{
				newSource("a", 0, 0, at(10, Claimed, row(1, 5)), at(90, Answered, job)),
				newSource("b", 0, 0, at(30, Adopted, row(2, 9))),
			},
			want: "a:claimed b:adopted a:answered",
		},
		"configuration written before applied": {
			sources: []Source{
				newSource("a", 0, 0, at(20, ConfigApplied, Event{Revision: 8})),
				newSource("b", 0, -time.Second, at(10, ConfigWritten, Event{Revision: 8})),
			},
			want: "b:configWritten a:configApplied",
		},
		"an older configuration does not wait for a newer write": {
			sources: []Source{
				newSource("a", 0, 0, at(10, ConfigApplied, Event{Revision: 7})),
				newSource("b", 0, 0, at(20, ConfigWritten, Event{Revision: 8})),
			},
			want: "a:configApplied b:configWritten",
		},
		"sequence takes precedence over a wall clock that was set back": {
			sources: []Source{
				newSource("a", 0, 0, at(50, Started, Event{}), at(10, Answered, Event{})),
				newSource("b", 0, 0, at(30, Started, Event{})),
			},
			want: "b:started a:started a:answered",
		},
		"cycle of causes": {
			sources: []Source{
				newSource("a", 0, 0, at(10, CallReceived, Event{Request: "r-2"}), at(20, CallSent, Event{Request: "r-1"})),
				newSource("b", 0, 0, at(15, CallReceived, Event{Request: "r-1"}), at(25, CallSent, Event{Request: "r-2"})),
			},
			want: "a:callReceived a:callSent b:callReceived b:callSent",
		},
		"a host that was not reached": {
			sources: []Source{{Host: "b", Error: "link closed"}, newSource("a", 0, 0, at(10, Started, Event{}))},
			want:    "a:started",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			view := Merge(test.sources)
			var got []string
			for _, e := range view.Entries {
				got = append(got, fmt.Sprintf("%s:%s", e.Host, e.Kind))
			}
			is.Equal(strings.Join(got, " "), test.want)
			is.Equal(len(view.Sources), len(test.sources))
		})
	}
}

// TestMergeKeepsAllInSequence merges random events of hosts with random clock
// offsets: each event appears once, in the sequence of its host, and no receipt
// precedes its send.
func TestMergeKeepsAllInSequence(t *testing.T) {
	for seed := range uint64(200) {
		is := is.New(t)
		random := rand.New(rand.NewPCG(seed, 7))
		sources, count := randomSources(random)
		view := Merge(sources)
		is.Equal(len(view.Entries), count)
		next := map[ident.Host]uint64{}
		sent := map[ident.Request]bool{}
		for _, e := range view.Entries {
			is.Equal(e.Sequence, next[e.Host])
			next[e.Host]++
			switch e.Kind {
			case CallSent:
				sent[e.Request] = true
			case CallReceived:
				is.True(sent[e.Request])
			}
		}
	}
}

// randomSources returns three hosts that call each other. Their clocks are off by
// up to ten seconds, and the estimated offsets are zero.
func randomSources(random *rand.Rand) ([]Source, int) {
	events := make([][]Event, 3)
	const calls = 60
	for i := range calls {
		from := random.IntN(3)
		to := (from + 1 + random.IntN(2)) % 3
		request := Event{Request: ident.Request(fmt.Sprint(i))}
		events[from] = append(events[from], at(10*i, CallSent, request))
		events[to] = append(events[to], at(10*i+1+random.IntN(8), CallReceived, request))
	}
	sources := make([]Source, 0, 3)
	for i, e := range events {
		skew := time.Duration(random.IntN(20_000)-10_000) * time.Millisecond
		sources = append(sources, newSource(ident.Host(rune('a'+i)), skew, -skew, e...))
	}
	return sources, 2 * calls
}

func TestEstimateClock(t *testing.T) {
	is := is.New(t)
	offset, uncertainty := EstimateClock(start, start.Add(time.Hour+2*time.Millisecond), start.Add(6*time.Millisecond))
	is.Equal(offset, time.Hour-time.Millisecond)
	is.Equal(uncertainty, 3*time.Millisecond)
}

func TestFilterSpan(t *testing.T) {
	is := is.New(t)
	r := NewRing("entry-1", start, 100)
	for i := range 10 {
		r.Add(start.Add(time.Duration(i)*time.Second), taskEvent(i))
	}
	f := Filter{Since: start.Add(3 * time.Second), Until: start.Add(6 * time.Second)}
	is.Equal(len(r.Events(f)), 3)
	is.Equal(len(r.Events(f.Shift(time.Second, 0))), 3)
	is.Equal(len(r.Events(f.Shift(0, time.Second))), 5)
	is.Equal(len(r.Events(Filter{}.Shift(time.Hour, 0))), 10)
	is.Equal(len(r.Events(Filter{Host: "entry-2"})), 0)
}

func BenchmarkMerge(b *testing.B) {
	sources := make([]Source, 0, 9)
	for h := range 9 {
		events := make([]Event, 0, 2000)
		for i := range 2000 {
			events = append(events, at(i, TaskStarted, Event{Request: ident.Request(fmt.Sprintf("%d-%d", h, i))}))
		}
		sources = append(sources, newSource(ident.Host(rune('a'+h)), 0, 0, events...))
	}
	for b.Loop() {
		Merge(sources)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/18_000, "ns/event")
}
