// Package explain describes where a job would go now, and why, without sending it. The
// decisions are those of packages dispatch and fleet, which fill in the answer. Package explain
// has the question, the reasons and the forms of the answer. It has no side effects.
package explain

import (
	"fmt"
	"io"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/queue"
	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

// Request describes a job of one step.
type Request struct {
	Queue work.Queue
	Step  work.Step
}

// Milliseconds is a duration in an answer.
type Milliseconds int64

// Ms returns a duration in milliseconds.
func Ms(d time.Duration) Milliseconds { return Milliseconds(d.Milliseconds()) }

// Answer tells where a job would go.
type Answer struct {
	Queue work.Queue `json:"queue"`
	// DataCentre and Host name the owner to which the job would be submitted, or are empty.
	DataCentre ident.DataCentre `json:"dataCentre,omitempty"`
	Host       ident.Host       `json:"host,omitempty"`
	// Refusal is why the host would refuse the job before it is submitted, or empty.
	Refusal string `json:"refusal,omitempty"`
	// Owners describes all owners, also those that are ruled out.
	Owners []Owner `json:"owners"`
	// Placement is what the owner would do. It is missing if another host is the owner.
	Placement *Placement `json:"placement,omitempty"`
}

// Owner is the owner of the workers of a data centre.
type Owner struct {
	DataCentre ident.DataCentre `json:"dataCentre"`
	Host       ident.Host       `json:"host"`
	// FreeTasks is the number of tasks of mean size that can start there, as it was told
	// AgeMs ago.
	FreeTasks int          `json:"freeTasks"`
	AgeMs     Milliseconds `json:"ageMs"`
	// RuledOut is why it does not get the job now, or empty.
	RuledOut string `json:"ruledOut,omitempty"`
}

// Placement is what the owner of the workers would do with a job.
type Placement struct {
	// Worker is where the first task would start at once, or empty.
	Worker worker.ID `json:"worker,omitempty"`
	// WaitMs is how long it takes until there is capacity for all tasks, if they do not
	// start at once.
	WaitMs Milliseconds `json:"waitMs"`
	// Refusal is why the owner would refuse the job, or empty, and RetryAfterMs when the caller
	// would be told to come back.
	Refusal      string       `json:"refusal,omitempty"`
	RetryAfterMs Milliseconds `json:"retryAfterMs,omitempty"`
	Workers      []Worker     `json:"workers"`
}

// Worker is a worker, as its owner knows it.
type Worker struct {
	ID        worker.ID    `json:"id"`
	FreeCores int          `json:"freeCores"`
	AgeMs     Milliseconds `json:"ageMs"`
	// ReservedFor is the job for which the worker is reserved, or empty.
	ReservedFor work.ID `json:"reservedFor,omitempty"`
	// RuledOut is why the task cannot start there now, or empty.
	RuledOut string `json:"ruledOut,omitempty"`
}

// Check is a reason that rules a worker out if it holds.
type Check struct {
	Holds  bool
	Reason string
}

// First returns the reason of the first check that holds, or an empty text.
func First(all ...Check) string {
	for _, c := range all {
		if c.Holds {
			return c.Reason
		}
	}
	return ""
}

// Job returns the job that a request describes, with the configuration of its queue.
func (r Request) Job(q *queue.Queue) work.Job {
	return work.Job{
		ID: "explain", Queue: q.Name, Pool: q.Pool, Priority: q.Priority, Attempts: q.Attempts, Stretch: q.Stretch, Target: q.Target,
		Steps: []work.Step{r.Step},
	}
}

// Values returns a request as the query of a URL.
func (r Request) Values() url.Values {
	return url.Values{
		"queue": {string(r.Queue)}, "tasks": {strconv.Itoa(r.Step.Count)}, "cores": {strconv.Itoa(r.Step.Size.Cores)},
		"memory": {strconv.Itoa(r.Step.Size.Memory)}, "estimate": {r.Step.Estimate.String()}, "label": {r.Step.Label}, "rack": {r.Step.Rack},
	}
}

// Parse returns the request that the query of a URL describes.
func Parse(v url.Values) (Request, error) {
	r := Request{Queue: work.Queue(v.Get("queue")), Step: work.Step{Label: v.Get("label"), Rack: v.Get("rack")}}
	for name, into := range map[string]*int{"tasks": &r.Step.Count, "cores": &r.Step.Size.Cores, "memory": &r.Step.Size.Memory} {
		n, err := strconv.Atoi(v.Get(name))
		if err != nil || n < 0 {
			return r, errors.Newf("%s %q is not allowed; it must be a number that is not negative", name, v.Get(name))
		}
		*into = n
	}
	var err error
	if r.Step.Estimate, err = time.ParseDuration(v.Get("estimate")); err != nil || r.Step.Estimate < 0 || r.Step.Count == 0 {
		return r, errors.Newf("estimate %q and tasks %d are not allowed; they must be positive", v.Get("estimate"), r.Step.Count)
	}
	return r, nil
}

// Write writes an answer as text.
func (a *Answer) Write(w io.Writer) error {
	p := printer{w: w}
	switch {
	case a.Refusal != "":
		p.line("queue %s: refused by the host: %s", a.Queue, a.Refusal)
	default:
		p.line("queue %s: to the owner of %s, %s", a.Queue, a.DataCentre, a.Host)
	}
	for _, o := range a.Owners {
		p.line("  owner of %s, %s: room for %d tasks %d ms ago%s", o.DataCentre, o.Host, o.FreeTasks, o.AgeMs, suffix(o.RuledOut))
	}
	if a.Placement == nil {
		p.line("the owner's workers are known to its host only")
		return p.err
	}
	switch x := a.Placement; {
	case x.Refusal != "":
		p.line("refused by the owner: %s; Retry-After %d ms", x.Refusal, x.RetryAfterMs)
	case x.Worker != "":
		p.line("the first task starts at once on worker %s", x.Worker)
	default:
		p.line("waits, for about %d ms", x.WaitMs)
	}
	for _, x := range a.Placement.Workers {
		reserved := ""
		if x.ReservedFor != "" {
			reserved = ", reserved for " + string(x.ReservedFor)
		}
		p.line("  worker %s: %d.%03d cores free %d ms ago%s%s", x.ID, x.FreeCores/1000, x.FreeCores%1000, x.AgeMs, reserved, suffix(x.RuledOut))
	}
	return p.err
}

func suffix(reason string) string {
	if reason == "" {
		return ""
	}
	return ": " + reason
}

// printer writes lines until one fails.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) line(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", args...)
	}
}
