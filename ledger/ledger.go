// Package ledger decides what the platform's table stores of stored jobs, so that
// any later owner of their workers can continue them. It has no side effects: the
// caller passes the present time and executes the writes.
//
// A job has two rows in the platform's table: one with its specification,
// written once, and one with its state, written when runs have ended. Each write
// has the condition that the owner's row is unchanged, which fences an owner that
// was replaced, and that the state rows are unchanged since they were last read.
package ledger

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/catkingap/catkingap/crash"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/storage"
	"github.com/catkingap/catkingap/work"
)

// The groups of rows. The key of a row is its group, a slash and the id of a job.
const (
	// JobGroup holds the specifications, StateGroup the states.
	JobGroup   = "catkingapJob"
	StateGroup = "catkingapJobState"
	// CancelGroup holds the rows by which owners learn of cancelled jobs.
	CancelGroup = "catkingapCancel"
)

// JobKey returns the key of a job's specification.
func JobKey(id work.ID) string { return JobGroup + "/" + string(id) }

// StateKey returns the key of a job's state.
func StateKey(id work.ID) string { return StateGroup + "/" + string(id) }

// CancelKey returns the key of a job's cancellation row.
func CancelKey(id work.ID) string { return CancelGroup + "/" + string(id) }

// ID returns the job that a key of any group belongs to.
func ID(key string) work.ID {
	_, id, _ := strings.Cut(key, "/")
	return work.ID(id)
}

// State is the state of a job.
type State string

// The states of jobs.
const (
	Accepted  State = "accepted"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Entry is the row with the state of a job.
type Entry struct {
	// DataCentre is the data centre whose owner runs the job.
	DataCentre ident.DataCentre `msgpack:"dataCentre"`
	Queue      work.Queue       `msgpack:"queue"`
	State      State            `msgpack:"state"`
	Progress   work.Progress    `msgpack:"progress"`
	// Rows is the number of rows of the job's specification. Zero means one.
	Rows int `msgpack:"rows,omitempty"`
	// Losses holds the losses of workers under the job's tasks.
	Losses []crash.TaskLosses `msgpack:"losses,omitempty"`
	// Ended is when the job ended, in milliseconds since 1970, or zero. It only
	// informs people who read the table: no decision uses it, since clocks jump.
	Ended int64 `msgpack:"ended,omitempty"`
}

// HasEnded returns true if the job has ended.
func (e *Entry) HasEnded() bool { return e.State != Accepted }

// End sets the state of a job that has ended.
func (e *Entry) End(now time.Time, s State) { e.State, e.Ended = s, now.UnixMilli() }

// Encode returns the value of the row.
func (e *Entry) Encode() ([]byte, error) { return msgpack.Marshal(e) }

// ReadEntry returns the entry in a row.
func ReadEntry(r storage.Row) (Entry, error) {
	var e Entry
	err := msgpack.Unmarshal(r.Value, &e)
	return e, errors.Wrapf(err, "row %s", r.Key)
}

// IsTombstone returns true for a tombstone: the state of a job that was cancelled
// before it was stored.
func (e *Entry) IsTombstone() bool { return e.State == Cancelled && e.Queue == "" }

// Tombstone returns the write by which any host cancels a job that is not stored.
// It stores a tombstone, since the request of the job or the write that stores it
// may still be on its way. The owner of data centre d removes the rows later.
func Tombstone(now time.Time, id work.ID, d ident.DataCentre) (storage.Write, error) {
	e := Entry{DataCentre: d}
	e.End(now, Cancelled)
	value, err := e.Encode()
	return storage.Write{
		Conditions: []storage.Condition{{Key: StateKey(id)}},
		Puts:       []storage.Put{{Key: StateKey(id), Value: value}, {Key: CancelKey(id), Value: value}},
	}, err
}

// Cancel returns the write by which any host cancels a job whose state row is r.
// It returns false if the job has ended.
func Cancel(now time.Time, id work.ID, r storage.Row) (storage.Write, bool, error) {
	e, err := ReadEntry(r)
	if err != nil || e.HasEnded() {
		return storage.Write{}, false, err
	}
	e.End(now, Cancelled)
	value, err := e.Encode()
	if err != nil {
		return storage.Write{}, false, err
	}
	return storage.Write{
		Conditions: []storage.Condition{{Key: r.Key, Revision: r.Revision}},
		Puts:       []storage.Put{{Key: r.Key, Value: value}, {Key: CancelKey(id), Value: value}},
		Deletes:    specificationKeys(id, e.Rows),
	}, true, nil
}
