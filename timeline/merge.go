package timeline

import (
	"cmp"
	"slices"
	"time"

	"github.com/catkingap/catkingap/ident"
)

// Source holds the events of one host for a merged view, or why there are none.
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
	// Overwritten counts the events of any job that the host no longer keeps.
	Overwritten uint64 `json:"overwritten"`
	// Omitted counts the selected events that were left out of the answer
	// because there were too many.
	Omitted int `json:"omitted"`
	// Events are in the order of their sequence numbers.
	Events []Event `json:"-"`
}

// Entry is an event in a merged view.
type Entry struct {
	// Time is the event's wall time on the clock of the host that merges.
	Time time.Time `json:"time"`
	Event
}

// View is the merged time line of several hosts.
type View struct {
	Sources []Source `json:"hosts"`
	Entries []Entry  `json:"events"`
}

// EstimateClock returns the offset of a peer's clock and its uncertainty. It
// takes the times of sending and receiving on this host's clock, and the time
// that the peer's clock showed between the two.
func EstimateClock(sent, peer, received time.Time) (offset, uncertainty time.Duration) {
	uncertainty = received.Sub(sent) / 2
	return peer.Sub(sent.Add(uncertainty)), uncertainty
}

// Merge merges the events of all sources into one view. Each host's events stay
// in their sequence. An event follows its known causes on other hosts regardless
// of the clocks; events without such a relation are ordered by corrected time.
func Merge(sources []Source) View {
	slices.SortFunc(sources, func(a, b Source) int { return cmp.Compare(a.Host, b.Host) })
	m := newMerge(sources)
	view := View{Sources: sources, Entries: make([]Entry, 0, m.remaining)}
	for m.remaining > 0 {
		view.Entries = append(view.Entries, m.next())
	}
	return view
}

// position identifies an event by its source and its index there.
type position struct{ source, index int }

// merge is the state of a merge. The events before the heads are already in the
// view.
type merge struct {
	sources   []Source
	heads     []int
	causes    map[position][]position
	remaining int
}

func newMerge(sources []Source) *merge {
	m := &merge{sources: sources, heads: make([]int, len(sources)), causes: findCauses(sources)}
	for _, s := range sources {
		m.remaining += len(s.Events)
	}
	return m
}

// next removes and returns the earliest head whose causes are all in the view. If
// the causes form a cycle, it takes the earliest head.
func (m *merge) next() Entry {
	chosen, chosenReady := -1, false
	for i, head := range m.heads {
		if head == len(m.sources[i].Events) {
			continue
		}
		ready := m.isReady(position{i, head})
		if chosen < 0 || (ready && !chosenReady) || (ready == chosenReady && m.headTime(i).Before(m.headTime(chosen))) {
			chosen, chosenReady = i, ready
		}
	}
	e := Entry{Time: m.headTime(chosen), Event: m.sources[chosen].Events[m.heads[chosen]]}
	m.heads[chosen]++
	m.remaining--
	return e
}

func (m *merge) isReady(p position) bool {
	return !slices.ContainsFunc(m.causes[p], func(c position) bool { return m.heads[c.source] <= c.index })
}

// headTime returns the corrected time of the head of a source.
func (m *merge) headTime(source int) time.Time {
	s := m.sources[source]
	return s.Events[m.heads[source]].Wall.Add(-s.Offset)
}
