// Package storage holds clients for the services of the platform: the
// transactional table, the object store and the membership list.
package storage

import (
	"context"
	"fmt"

	"github.com/catkingap/catkingap/ident"
)

// Row is a row of the table.
type Row struct {
	Key      string
	Value    []byte
	Revision ident.Revision
}

// Condition holds if the row of Key was last written at Revision. Revision
// zero means that the row does not exist.
type Condition struct {
	Key      string
	Revision ident.Revision
}

// Put writes one row.
type Put struct {
	Key   string
	Value []byte
}

// Read selects the rows that start with Prefix and were last written after a
// revision.
type Read struct {
	Prefix string
	After  ident.Revision
}

// Write is one conditional write: its puts and deletes take effect together if
// all its conditions hold, and not at all otherwise.
type Write struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []string
	// Reads are executed in the same transaction, after the puts and deletes.
	Reads []Read
}

// Size returns the number of bytes of the values.
func (w *Write) Size() int {
	size := 0
	for _, p := range w.Puts {
		size += len(p.Value)
	}
	return size
}

// Result is the result of one Write.
type Result struct {
	// Applied is true if the write took effect.
	Applied bool
	// Revision is the revision of the transaction.
	Revision ident.Revision
	// Current holds the rows of the conditions' keys if the write did not take
	// effect. Rows that do not exist are left out.
	Current []Row
	// Rows holds the rows of all reads if the write took effect.
	Rows []Row
}

// Table is the transactional table of the platform. An error of type
// *NotSentError means that nothing took effect; after any other error of
// Commit the writes may have taken effect.
type Table interface {
	// Commit sends writes that do not depend on each other as one transaction.
	Commit(ctx context.Context, writes []Write) ([]Result, error)
	// Get returns the row of key, or a nil row if there is none.
	Get(ctx context.Context, key string) (*Row, ident.Revision, error)
	// List returns up to limit rows that start with prefix and follow after,
	// in order of their keys. Limit zero means all.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, ident.Revision, error)
	// ListChanged returns the rows that r selects, all of one revision of the
	// table. The answer may be stale.
	ListChanged(ctx context.Context, r Read) ([]Row, error)
}

// Objects is the object store of the platform.
type Objects interface {
	Put(ctx context.Context, key string, value []byte) error
	// Get returns a *NotFoundError if there is no such object.
	Get(ctx context.Context, key string) ([]byte, error)
}

// State is the state of a member.
type State string

// The states of a member.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Role is the role of a member.
type Role string

// The roles of members.
const (
	EntryHost     Role = "entryHost"
	BackendServer Role = "backendServer"
	Worker        Role = "worker"
)

// Member is one entry of the membership list.
type Member struct {
	ID         string
	Role       Role
	Address    string
	API        string
	DataCentre ident.DataCentre
	Rack       string
	State      State
}

// Membership is the list of live and leaving members. It may lag behind.
type Membership interface {
	Members(ctx context.Context) ([]Member, error)
}

// NotSentError means that a call certainly had no effect on the platform.
type NotSentError struct {
	Cause error
}

// Error implements error.
func (e *NotSentError) Error() string { return "not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// RejectedError means that the platform does not take a call as it is: repeating it is of
// no use. It had no effect.
type RejectedError struct {
	Status int
}

// Error implements error.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("the table rejects the call with %d", e.Status)
}

// NotFoundError means that an object does not exist.
type NotFoundError struct {
	Key string
}

// Error implements error.
func (e *NotFoundError) Error() string { return "no object " + e.Key }
