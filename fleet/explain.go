package fleet

import (
	"cmp"
	"slices"

	"github.com/catkingap/catkingap/dispatch"
	"github.com/catkingap/catkingap/explain"
	"github.com/catkingap/catkingap/queue"
	"github.com/catkingap/catkingap/work"
)

// explain tells where a job would go now. It submits nothing.
func (s *Submitter) explain(queues *queue.Table, r explain.Request) (*explain.Answer, error) {
	q := queues.ByName(r.Queue)
	if q == nil {
		return nil, explain.ErrUnknownQueue
	}
	now, job := s.contacts.clock(), r.Job(q)
	owner, _, found := s.pickOwner(now, newAttempt(job, now, now.Add(q.Timeout)))
	a := &explain.Answer{Queue: q.Name, DataCentre: owner.DataCentre, Host: owner.Host}
	if !found {
		a.Refusal = "no owner of workers is heard"
	}
	for c, o := range s.directory.Owners() {
		load, known := s.contacts.Load(c)
		contact, _ := s.contacts.Contact(o.Host)
		x := explain.Owner{DataCentre: c, Host: o.Host, FreeTasks: load.FreeTasks, RuledOut: explain.First(
			explain.Check{Holds: !s.isHeard(now, o), Reason: "not heard"},
			explain.Check{Holds: s.isEvacuated(c), Reason: dispatch.ReasonEvacuated},
			explain.Check{Holds: !known, Reason: "its load is not known"},
			explain.Check{Holds: c != owner.DataCentre, Reason: "another one has more free capacity, or is nearer"},
		)}
		if !contact.Heard.IsZero() && o.Host != s.self.Name {
			x.AgeMs = explain.Ms(now.Sub(contact.Heard))
		}
		a.Owners = append(a.Owners, x)
	}
	slices.SortFunc(a.Owners, func(x, y explain.Owner) int { return cmp.Compare(x.DataCentre, y.DataCentre) })
	if x := s.owners.get(owner.DataCentre); found && owner.Host == s.self.Name && x != nil {
		a.Placement = x.explain(job, q)
	}
	return a, nil
}

func (w *Owner) explain(j work.Job, q *queue.Queue) *explain.Placement {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.machine.Explain(w.owners.contacts.clock(), dispatch.Submission{Job: j, Host: w.owners.self.Name, Remaining: q.Timeout, Final: true})
}
