// Package worker describes workers and what they say of themselves: what runs
// there, what has ended, and how long it may go on.
package worker

import (
	"time"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/work"
)

// ID names a worker. A worker that starts again may have the same one.
type ID string

// Life is when a worker's process started, in milliseconds since 1970. It
// tells the lives under one ID apart.
type Life int64

// Clock is a time on a worker's own steady clock, in milliseconds.
type Clock int64

// Token orders the hosts that give orders to a worker: the worker refuses
// those with a lower token than it has seen. It is the revision of the row that
// says who owns the worker.
type Token int64

// EndNumber numbers the ends that one life of a worker lists, from 1.
type EndNumber int64

// Worker is what the list of workers says of one.
type Worker struct {
	ID         ID
	Life       Life
	Address    string
	Pool       ident.Pool
	DataCentre ident.DataCentre
	Capacity   work.Size
	Labels     []string
	// Draining is true if the worker announced that it leaves.
	Draining bool
}

// How tells how a run ended.
type How string

// The ways in which a run ends.
const (
	// Done means that the task has done its work.
	Done How = "done"
	// Failed means that the task failed, by its own fault or the worker's.
	Failed How = "failed"
	// Lost means that the run ended for another reason: it was stopped, its
	// lease lapsed or the worker has forgotten it.
	Lost How = "lost"
)

// Running is a run that a worker lists as at work.
type Running struct {
	Task    string
	Run     work.Run
	Percent int
}

// Ended is a run that a worker lists as ended.
type Ended struct {
	Number EndNumber
	Task   string
	Run    work.Run
	How    How
	// Reason is the worker's own word for how it ended.
	Reason string
}

// EndID names an end that a worker lists.
type EndID struct {
	Worker ID
	Life   Life
	Number EndNumber
}

// Report is the answer of a worker to a look at it.
type Report struct {
	Life    Life
	Clock   Clock
	Running []Running
	Ended   []Ended
}

// Order is what a host tells a worker.
type Order struct {
	Worker  ID
	Address string
	Token   Token
}

// Start tells a worker to begin a run. The worker refuses it after Until.
type Start struct {
	Order
	Task    work.Task
	Run     work.Run
	Payload string
	Until   Clock
}

// Stop tells a worker to end a run, and to refuse it if it has not come yet.
type Stop struct {
	Order
	Task string
	Run  work.Run
}

// Look asks a worker for its Report.
type Look struct {
	Order
	// Until extends the lease of all that runs on the worker. Zero leaves it.
	Until Clock
	// Seen lets the worker forget the ends up to it.
	Seen EndNumber
	// Wait is how long the worker waits for an end before it answers.
	Wait time.Duration
	// Extra is true for a look beside the one that watches the worker.
	Extra bool
}

// Verdict is what became of an order.
type Verdict string

// The verdicts of orders.
const (
	// Accepted means that the order was carried out.
	Accepted Verdict = "accepted"
	// Unanswered means that the order may be carried out, now or later.
	Unanswered Verdict = "unanswered"
	// Fenced means that the worker has seen a higher token.
	Fenced Verdict = "fenced"
	// Unsent means that the order did not leave this host.
	Unsent Verdict = "unsent"
	// Old means that the worker has stopped or ended a run as high.
	Old Verdict = "old"
	// Late means that the order came after its lease.
	Late Verdict = "late"
	// Full means that the worker has no room for the task.
	Full Verdict = "full"
	// Replaced means that another worker lives at the address.
	Replaced Verdict = "replaced"
	// Unhealthy means that the worker refuses work for now.
	Unhealthy Verdict = "unhealthy"
	// Rejected means that the worker can not read the order.
	Rejected Verdict = "rejected"
)

// Answer is a worker's answer to a start or a stop.
type Answer struct {
	Verdict Verdict
	// Clock is the worker's clock, or zero if the answer does not tell it.
	Clock Clock
}
