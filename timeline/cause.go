package timeline

import (
	"cmp"
	"slices"

	"github.com/catkingap/catkingap/ident"
)

// requestOrder is the order of the events of one request across all hosts: a
// message is sent before it is received, and received before it is answered.
var requestOrder = map[Kind]int{
	CallSent:     1,
	CallReceived: 2,
	TaskStarted:  3,
	TaskEnded:    4,
	CallAnswered: 5,
	CallReturned: 6,
}

// rowWriteKinds are the events of writes of a job's row. The table orders the
// writes.
var rowWriteKinds = map[Kind]bool{
	Adopted:         true,
	Claimed:         true,
	IntentWritten:   true,
	OutcomeRecorded: true,
}

// positionedEvent is an event with its position.
type positionedEvent struct {
	position
	event *Event
}

// causeBuilder collects, for each event, the events that have to precede it.
type causeBuilder struct {
	before   map[position][]position
	requests map[ident.Request][]positionedEvent
	rows     map[ident.Job][]positionedEvent
	attached map[ident.Job][]positionedEvent
	written  []positionedEvent
	applied  []positionedEvent
}

// findCauses returns the causes on other hosts of each event that has any.
func findCauses(sources []Source) map[position][]position {
	c := &causeBuilder{
		before:   map[position][]position{},
		requests: map[ident.Request][]positionedEvent{},
		rows:     map[ident.Job][]positionedEvent{},
		attached: map[ident.Job][]positionedEvent{},
	}
	for i, s := range sources {
		for k := range s.Events {
			c.group(positionedEvent{position{i, k}, &s.Events[k]})
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

// group adds an event to the groups in which it may have causes or effects.
func (c *causeBuilder) group(l positionedEvent) {
	e := l.event
	job := ident.Job{Team: e.Team, Key: e.Job}
	if e.Request != "" && requestOrder[e.Kind] > 0 {
		c.requests[e.Request] = append(c.requests[e.Request], l)
	}
	switch {
	case rowWriteKinds[e.Kind]:
		c.rows[job] = append(c.rows[job], l)
	case e.Kind == Attached:
		c.attached[job] = append(c.attached[job], l)
	case e.Kind == ConfigWritten:
		c.written = append(c.written, l)
	case e.Kind == ConfigApplied:
		c.applied = append(c.applied, l)
	}
}

// addCause records that cause comes before effect. Events of one host are already
// in order.
func (c *causeBuilder) addCause(cause, effect positionedEvent) {
	if cause.source != effect.source {
		c.before[effect.position] = append(c.before[effect.position], cause.position)
	}
}

// orderRequest orders the events of one request.
func (c *causeBuilder) orderRequest(events []positionedEvent) {
	for _, effect := range events {
		for _, cause := range events {
			if requestOrder[cause.event.Kind] < requestOrder[effect.event.Kind] {
				c.addCause(cause, effect)
			}
		}
	}
}

// orderRows orders the writes of one job's row and puts each attachment after
// the claim or adoption that it found.
func (c *causeBuilder) orderRows(rows, attached []positionedEvent) {
	slices.SortStableFunc(rows, func(a, b positionedEvent) int {
		return cmp.Or(cmp.Compare(a.event.Epoch, b.event.Epoch), cmp.Compare(a.event.Revision, b.event.Revision))
	})
	for i := range rows[1:] {
		if isOrdered(rows[i].event, rows[i+1].event) {
			c.addCause(rows[i], rows[i+1])
		}
	}
	for _, effect := range attached {
		for _, cause := range rows {
			isClaim := cause.event.Kind == Claimed || cause.event.Kind == Adopted
			if isClaim && (cause.event.Epoch <= effect.event.Epoch || cause.event.Kind == Claimed) {
				c.addCause(cause, effect)
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
// and puts each application after the writes that it includes.
func (c *causeBuilder) orderConfiguration() {
	byRevision := func(a, b positionedEvent) int { return cmp.Compare(a.event.Revision, b.event.Revision) }
	slices.SortStableFunc(c.written, byRevision)
	for i := 1; i < len(c.written); i++ {
		c.addCause(c.written[i-1], c.written[i])
	}
	for _, effect := range c.applied {
		for i := len(c.written) - 1; i >= 0; i-- {
			if cause := c.written[i]; cause.event.Revision <= effect.event.Revision {
				c.addCause(cause, effect)
				break
			}
		}
	}
}
