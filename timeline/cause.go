package timeline

import (
	"cmp"
	"slices"

	"github.com/catkingap/catkingap/ident"
)

// requestOrder gives the order of the events of one request over all hosts: a
// message is sent before it is received, and received before it is answered.
var requestOrder = map[Kind]int{
	CallSent:     1,
	CallReceived: 2,
	TaskStarted:  3,
	TaskEnded:    4,
	CallAnswered: 5,
	CallReturned: 6,
}

// rowKinds are the events of a write of the job's row. The table orders them.
var rowKinds = map[Kind]bool{
	Adopted:       true,
	Claimed:       true,
	IntentWritten: true,
	OutcomeKept:   true,
}

// located is an event with its place.
type located struct {
	place
	event *Event
}

// causes gathers the events that have to come before others.
type causes struct {
	before   map[place][]place
	requests map[ident.Request][]located
	rows     map[ident.Job][]located
	attached map[ident.Job][]located
	written  []located
	applied  []located
}

// findCauses returns, for each event that has them, the events on other hosts
// that caused it.
func findCauses(sources []Source) map[place][]place {
	c := &causes{
		before:   map[place][]place{},
		requests: map[ident.Request][]located{},
		rows:     map[ident.Job][]located{},
		attached: map[ident.Job][]located{},
	}
	for i, s := range sources {
		for k := range s.Events {
			c.sort(located{place{i, k}, &s.Events[k]})
		}
	}
	for _, events := range c.requests {
		c.orderRequest(events)
	}
	for job, events := range c.rows {
		c.orderRows(events, c.attached[job])
	}
	c.orderConfiguration()
	return c.before
}

// sort puts an event into the groups that it may have causes in.
func (c *causes) sort(l located) {
	e := l.event
	job := ident.Job{Team: e.Team, Key: e.Job}
	if e.Request != "" && requestOrder[e.Kind] > 0 {
		c.requests[e.Request] = append(c.requests[e.Request], l)
	}
	switch {
	case rowKinds[e.Kind]:
		c.rows[job] = append(c.rows[job], l)
	case e.Kind == Attached:
		c.attached[job] = append(c.attached[job], l)
	case e.Kind == ConfigWritten:
		c.written = append(c.written, l)
	case e.Kind == ConfigApplied:
		c.applied = append(c.applied, l)
	}
}

// add records that cause comes before effect. Events of one host are in order
// already.
func (c *causes) add(cause, effect located) {
	if cause.source != effect.source {
		c.before[effect.place] = append(c.before[effect.place], cause.place)
	}
}

// orderRequest orders the events of one request.
func (c *causes) orderRequest(events []located) {
	for _, effect := range events {
		for _, cause := range events {
			if requestOrder[cause.event.Kind] < requestOrder[effect.event.Kind] {
				c.add(cause, effect)
			}
		}
	}
}

// orderRows orders the writes of one job's row, and puts each attachment after
// the claim or adoption that it found.
func (c *causes) orderRows(rows, attached []located) {
	slices.SortStableFunc(rows, func(a, b located) int {
		return cmp.Or(cmp.Compare(a.event.Epoch, b.event.Epoch), cmp.Compare(a.event.Revision, b.event.Revision))
	})
	for i := range rows[1:] {
		if isOrdered(rows[i].event, rows[i+1].event) {
			c.add(rows[i], rows[i+1])
		}
	}
	for _, effect := range attached {
		for _, cause := range rows {
			isClaim := cause.event.Kind == Claimed || cause.event.Kind == Adopted
			if isClaim && (cause.event.Epoch <= effect.event.Epoch || cause.event.Kind == Claimed) {
				c.add(cause, effect)
			}
		}
	}
}

// isOrdered returns true if the row write a is known to come before b.
func isOrdered(a, b *Event) bool {
	if a.Revision > 0 && b.Revision > 0 {
		return a.Revision < b.Revision
	}
	return a.Epoch > 0 && a.Epoch < b.Epoch
}

// orderConfiguration orders the writes of the configuration by their revision
// and puts each application after the writes that it holds.
func (c *causes) orderConfiguration() {
	byRevision := func(a, b located) int { return cmp.Compare(a.event.Revision, b.event.Revision) }
	slices.SortStableFunc(c.written, byRevision)
	for i := 1; i < len(c.written); i++ {
		c.add(c.written[i-1], c.written[i])
	}
	for _, effect := range c.applied {
		for i := len(c.written) - 1; i >= 0; i-- {
			if cause := c.written[i]; cause.event.Revision <= effect.event.Revision {
				c.add(cause, effect)
				break
			}
		}
	}
}
