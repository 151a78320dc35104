package timeline

import (
	"cmp"
	"slices"
	"time"

	"github.com/catkingap/catkingap/ident"
)

// Source is what was learned of one host for a merged view.
type Source struct {
	Host       ident.Host       `json:"host"`
	DataCentre ident.DataCentre `json:"dataCentre,omitempty"`
	// Error says why the host could not be reached. It is empty for a host
	// that answered.
	Error string `json:"error,omitempty"`
	// Offset is the host's clock minus the clock of the host that merges, and
	// Uncertainty is how far the offset may be off.
	Offset      time.Duration `json:"offsetNs"`
	Uncertainty time.Duration `json:"uncertaintyNs"`
	// Overwritten counts the events that the host keeps no more, of any job.
	Overwritten uint64 `json:"overwritten"`
	// Omitted counts the events that were selected but too many to send.
	Omitted int `json:"omitted"`
	// Events are in the order of their sequence.
	Events []Event `json:"-"`
}

// Entry is an event in a merged view.
type Entry struct {
	// Time is the event's wall time on the clock of the host that merges.
	Time time.Time `json:"time"`
	Event
}

// View is the time line of several hosts.
type View struct {
	Sources []Source `json:"hosts"`
	Entries []Entry  `json:"events"`
}

// EstimateClock returns the offset of a peer's clock and its uncertainty, from
// the times of sending and receiving on this host's clock and the peer's time
// between the two.
func EstimateClock(sent, peer, received time.Time) (offset, uncertainty time.Duration) {
	uncertainty = received.Sub(sent) / 2
	return peer.Sub(sent.Add(uncertainty)), uncertainty
}

// Merge merges the events of all sources into one view. Each host's events stay
// in their sequence. An event follows its known causes on other hosts whatever
// the clocks say; events without such a relation are ordered by corrected time.
func Merge(sources []Source) View {
	slices.SortFunc(sources, func(a, b Source) int { return cmp.Compare(a.Host, b.Host) })
	m := newMerge(sources)
	view := View{Sources: sources, Entries: make([]Entry, 0, m.left)}
	for m.left > 0 {
		view.Entries = append(view.Entries, m.take())
	}
	return view
}

// place is the position of an event: its source and its index there.
type place struct{ source, index int }

// merge is the state of a merge. The events before the heads are in the view.
type merge struct {
	sources []Source
	heads   []int
	causes  map[place][]place
	left    int
}

func newMerge(sources []Source) *merge {
	m := &merge{sources: sources, heads: make([]int, len(sources)), causes: findCauses(sources)}
	for _, s := range sources {
		m.left += len(s.Events)
	}
	return m
}

// take removes the earliest head whose causes are all in the view. Should the
// causes form a circle, the earliest head goes first.
func (m *merge) take() Entry {
	chosen, free := -1, false
	for i, head := range m.heads {
		if head == len(m.sources[i].Events) {
			continue
		}
		ready := m.isReady(place{i, head})
		if chosen < 0 || (ready && !free) || (ready == free && m.time(i).Before(m.time(chosen))) {
			chosen, free = i, ready
		}
	}
	e := Entry{Time: m.time(chosen), Event: m.sources[chosen].Events[m.heads[chosen]]}
	m.heads[chosen]++
	m.left--
	return e
}

func (m *merge) isReady(p place) bool {
	return !slices.ContainsFunc(m.causes[p], func(c place) bool { return m.heads[c.source] <= c.index })
}

// time returns the corrected time of the head of a source.
func (m *merge) time(source int) time.Time {
	s := m.sources[source]
	return s.Events[m.heads[source]].Wall.Add(-s.Offset)
}
