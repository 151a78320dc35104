package resource

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/storage"
)

// The pauses between tries to settle a write whose answer was lost. Each is
// twice the one before.
const (
	settleFirstPause = 5 * time.Millisecond
	settlePause      = 200 * time.Millisecond
)

// ConflictError means that a write named a revision that is not the present
// one.
type ConflictError struct {
	Kind Kind
	Name string
	// Present is the revision of the resource. Zero means that there is none.
	Present ident.Revision
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.Present == 0 {
		return fmt.Sprintf("%s %s does not exist any more", e.Kind, e.Name)
	}
	return fmt.Sprintf("%s %s was changed by somebody else and is at revision %d", e.Kind, e.Name, e.Present)
}

// UnsettledError means that a write may or may not have taken effect. Repeated
// with the same operation, it takes effect once.
type UnsettledError struct {
	Operation string
	Cause     error
}

// Error implements error.
func (e *UnsettledError) Error() string {
	return "operation " + e.Operation + " may or may not have taken effect: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnsettledError) Unwrap() error { return e.Cause }

// Change is one change of a resource. Object.Revision is the revision that the
// writer saw, zero to create.
type Change struct {
	Object
	Delete bool
}

// errOutdated means that the snapshot in force is older than the table.
var errOutdated = errors.New("the configuration in force is older than the table")

// Write makes a change and returns the revision of the resource after it. It
// returns nil only for a write that took effect, and a *ConflictError or an
// *InvalidError only for one that never will.
func (s *Store) Write(ctx context.Context, c Change) (ident.Revision, error) {
	if c.Operation == "" {
		c.Operation = ident.NewToken()
	}
	fresh := false
	for {
		revision, err := s.try(ctx, c, fresh)
		var invalid *InvalidError
		var conflict *ConflictError
		isOld := errors.Is(err, errOutdated)
		// A refusal is decided on rows that are as new as the refusal.
		isRefused := !fresh && (errors.As(err, &invalid) || errors.As(err, &conflict))
		if !isOld && !isRefused {
			return revision, err
		}
		// Each way to come here means that the change did not take effect.
		if err := s.catchUp(ctx); err != nil {
			return 0, &storage.NotSentError{Cause: err}
		}
		fresh = true
	}
}

// try decides and makes a change on the snapshot in force. Fresh is true if the
// snapshot was read after the change was asked for.
func (s *Store) try(ctx context.Context, c Change, fresh bool) (ident.Revision, error) {
	snapshot := s.Snapshot()
	key := Key(c.Kind, c.Name)
	present, exists := snapshot.Rows.Row(key)
	var old row
	if exists {
		var err error
		if old, err = parseRow(present.Value); err != nil {
			return 0, errors.Wrap(err, key)
		}
	}
	if revision, ok := old.written(c.Operation, present.Revision); ok {
		return revision, nil
	}
	isPresent := exists && !present.Deleted
	switch {
	case c.Revision > present.Revision:
		if !fresh {
			return 0, errOutdated
		}
		return 0, conflictOf(c, present.Revision, isPresent)
	case isPresent && c.Revision != present.Revision, !isPresent && c.Revision != 0:
		return 0, conflictOf(c, present.Revision, isPresent)
	}
	if err := snapshot.check(c); err != nil {
		return 0, err
	}
	now := time.Now()
	next := row{Kind: c.Kind, Name: c.Name, Labels: c.Labels, Spec: c.Spec}
	if c.Delete {
		next = row{Kind: c.Kind, Name: c.Name, Deleted: now}
	}
	return s.commit(ctx, c, snapshot, old.replace(now, next, c.Operation, present.Revision), present.Revision)
}

func conflictOf(c Change, present ident.Revision, isPresent bool) error {
	conflict := &ConflictError{Kind: c.Kind, Name: c.Name}
	if isPresent {
		conflict.Present = present
	}
	return conflict
}

// commit writes next over the row at revision base. The head guards a change
// that depends on other resources.
func (s *Store) commit(ctx context.Context, c Change, snapshot *Snapshot, next row, base ident.Revision) (ident.Revision, error) {
	key := Key(c.Kind, c.Name)
	value, err := json.Marshal(next)
	if err != nil {
		return 0, err
	}
	w := storage.Write{
		Conditions: []storage.Condition{{Key: key, Revision: base}},
		Puts:       []storage.Put{{Key: key, Value: value}, {Key: keyHead, Value: []byte("{}")}},
		Reads:      []storage.Read{{Prefix: keyPrefix, After: snapshot.Revision}},
	}
	if c.dependsOnOthers() {
		w.Conditions = append(w.Conditions, storage.Condition{Key: keyHead, Revision: snapshot.Revision})
	}
	result, unsure, err := s.settle(ctx, c.Operation, w)
	if err != nil {
		return 0, err
	}
	if !result.Applied {
		revision, err := s.refused(c, base, result.Current, unsure)
		if err == nil {
			// The poll brings what this read fails to.
			_ = s.catchUp(ctx)
		}
		return revision, err
	}
	d, err := newDelta(snapshot.Revision, result.Rows)
	if err == nil {
		s.offer(d)
	}
	return result.Revision, nil
}

// settle commits w until an answer says whether it took effect, and returns
// true if an earlier answer was lost. Repeating w does no harm: its conditions
// hold at most once, and its refusal reads the row back.
func (s *Store) settle(ctx context.Context, id string, w storage.Write) (storage.Result, bool, error) {
	unsure := false
	for pause := settleFirstPause; ; pause = min(2*pause, settlePause) {
		results, err := s.table.Commit(ctx, []storage.Write{w})
		if err == nil {
			return results[0], unsure, nil
		}
		var notSent *storage.NotSentError
		unsure = unsure || !errors.As(err, &notSent)
		if !unsure {
			return storage.Result{}, false, err
		}
		select {
		case <-ctx.Done():
			return storage.Result{}, true, &UnsettledError{Operation: id, Cause: err}
		case <-time.After(pause):
		}
	}
}

// refused tells what a write that the table refused means: it took effect
// before, somebody else was first, or another resource changed.
func (s *Store) refused(c Change, base ident.Revision, current []storage.Row, unsure bool) (ident.Revision, error) {
	key := Key(c.Kind, c.Name)
	for _, r := range current {
		if r.Key != key {
			continue
		}
		parsed, err := parseRow(r.Value)
		if err != nil {
			return 0, errors.Wrap(err, key)
		}
		if revision, ok := parsed.written(c.Operation, r.Revision); ok {
			return revision, nil
		}
		if unsure && r.Revision != base && !parsed.reaches(base) {
			return 0, &UnsettledError{Operation: c.Operation, Cause: conflictOf(c, r.Revision, parsed.Deleted.IsZero())}
		}
		if r.Revision != base {
			return 0, conflictOf(c, r.Revision, parsed.Deleted.IsZero())
		}
		return 0, errOutdated
	}
	if base != 0 {
		return 0, conflictOf(c, 0, false)
	}
	return 0, errOutdated
}
