// Package worker defines workers, the orders that hosts send to them and the
// reports that they return: which runs are active and which have ended.
package worker

import (
	"slices"
	"time"

	"github.com/catkingap/catkingap/cold"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/work"
)

// ID identifies a worker. A worker that restarts may have the same ID.
type ID string

// Incarnation is the time when a worker's process started, in milliseconds since
// 1970. It distinguishes the successive processes under one ID.
type Incarnation int64

// Clock is a time on a worker's own monotonic clock, in milliseconds.
type Clock int64

// Token is the fencing token of the hosts that send orders to a worker: the
// worker refuses orders with a lower token than it has seen. It is the revision
// of the row that names the worker's owner, or one at which that row was unchanged.
type Token int64

// EndNumber numbers the ended runs that one incarnation of a worker lists, from
// 1.
type EndNumber int64

// Worker is an entry of the list of workers.
type Worker struct {
	ID         ID
	Life       Incarnation
	Address    string
	Pool       ident.Pool
	DataCentre ident.DataCentre
	Capacity   work.Size
	Labels     []string
	// Draining is true if the worker has announced that it will leave.
	Draining bool
	// Cold is what the worker tells of the time for which it is slow after its start.
	Cold cold.Told
}

// Equal returns true if two entries describe the same state of a worker, whatever time lies
// between them.
func (w Worker) Equal(x Worker) bool {
	return w.ID == x.ID && w.Life == x.Life && w.Address == x.Address && w.Pool == x.Pool &&
		w.Capacity == x.Capacity && w.Draining == x.Draining && w.Cold.IsAlike(x.Cold) && slices.Equal(w.Labels, x.Labels)
}

// IsOfKind returns true if a worker is of a pool and has a label. Empty means any label.
func (w Worker) IsOfKind(p ident.Pool, label string) bool {
	return w.Pool == p && (label == "" || slices.Contains(w.Labels, label))
}

// Result is the way in which a run ended.
type Result string

// The ways in which a run ends.
const (
	// Done means that the task completed.
	Done Result = "done"
	// Failed means that the task failed, through its own fault or the worker's.
	Failed Result = "failed"
	// Lost means that the run ended for another reason: it was stopped, its lease
	// expired or the worker has no record of it.
	Lost Result = "lost"
)

// Running is a run that a worker reports as active.
type Running struct {
	Task    string
	Run     work.Run
	Percent int
}

// Ended is a run that a worker reports as ended.
type Ended struct {
	Number EndNumber
	Task   string
	Run    work.Run
	Result Result
	// Reason is the worker's own description of how it ended.
	Reason string
}

// EndID identifies an ended run in a worker's list.
type EndID struct {
	Worker      ID
	Incarnation Incarnation
	Number      EndNumber
}

// Report is a worker's answer to a status poll.
type Report struct {
	Incarnation Incarnation
	Clock       Clock
	Running     []Running
	Ended       []Ended
}

// Order holds the fields that all orders from a host to a worker share.
type Order struct {
	Worker  ID
	Address string
	Token   Token
}

// Start orders a worker to start a run. The worker refuses it after Until.
type Start struct {
	Order
	Task    work.Task
	Run     work.Run
	Payload string
	Until   Clock
}

// Stop orders a worker to end a run, and to refuse the run's start if that has
// not arrived yet.
type Stop struct {
	Order
	Task string
	Run  work.Run
}

// Poll is a status poll: it asks a worker for its Report and can renew the lease of
// its runs.
type Poll struct {
	Order
	// Until extends the lease of all runs on the worker. Zero leaves the lease as
	// it is.
	Until Clock
	// AcknowledgedEnds acknowledges the ended runs up to this number, so that the
	// worker can forget them.
	AcknowledgedEnds EndNumber
	// Wait is how long the worker waits for a run to end before it answers.
	Wait time.Duration
	// Extra is true for a poll in addition to the regular one.
	Extra bool
}

// Verdict is the outcome of an order.
type Verdict string

// The verdicts of orders.
const (
	// Accepted means that the order was carried out.
	Accepted Verdict = "accepted"
	// Unanswered means that no answer came: the order may be carried out, now or
	// later.
	Unanswered Verdict = "unanswered"
	// Fenced means that the worker has seen a higher token.
	Fenced Verdict = "fenced"
	// Unsent means that the order did not leave this host.
	Unsent Verdict = "unsent"
	// Refusing means that the order did not leave this host because the worker's address
	// accepts no connection: no process listens there, or a network partition says so.
	Refusing Verdict = "refusing"
	// Superseded means that the worker has already stopped or ended a run of the
	// task with the same or a higher number.
	Superseded Verdict = "old"
	// Expired means that the order arrived after its lease had expired.
	Expired Verdict = "late"
	// Full means that the worker has no free capacity for the task.
	Full Verdict = "full"
	// Replaced means that another worker now uses the address.
	Replaced Verdict = "replaced"
	// Unhealthy means that the worker refuses new work for now.
	Unhealthy Verdict = "unhealthy"
	// Rejected means that the worker can not read the order.
	Rejected Verdict = "rejected"
)

// Answer is a worker's answer to a start or a stop.
type Answer struct {
	Verdict Verdict
	// Clock is the worker's clock, or zero if the answer does not contain it.
	Clock Clock
}
