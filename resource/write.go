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

// The bounds of the pauses between attempts to commit a write whose answer was
// lost. Each pause is twice the one before.
const (
	minCommitPause = 5 * time.Millisecond
	maxCommitPause = 200 * time.Millisecond
)

// ConflictError means that a write named a revision that is not the current one.
type ConflictError struct {
	Kind Kind
	Name string
	// Present is the current revision of the resource. Zero means that the
	// resource does not exist.
	Present ident.Revision
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.Present == 0 {
		return fmt.Sprintf("%s %s does not exist any more", e.Kind, e.Name)
	}
	return fmt.Sprintf("%s %s was changed by somebody else and is at revision %d", e.Kind, e.Name, e.Present)
}

// UnknownOutcomeError means that a write may or may not have taken effect. It is
// safe to repeat the write with the same operation: it takes effect once.
type UnknownOutcomeError struct {
	Operation string
	Cause     error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return "operation " + e.Operation + " may or may not have taken effect: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// Change is one change of a resource. Object.Revision is the revision that the
// writer has seen, or zero to create the resource.
type Change struct {
	Object
	Delete bool
}

// errOutdated means that the snapshot in force is older than the table.
var errOutdated = errors.New("the configuration in force is older than the table")

// Write makes a change and returns the resulting revision of the resource. It
// returns a nil error only if the write took effect, and a *ConflictError or an
// *InvalidError only if the write will never take effect.
func (s *Store) Write(ctx context.Context, c Change) (ident.Revision, error) {
	if c.Operation == "" {
		c.Operation = ident.NewToken()
	}
	fresh := false
	for {
		revision, err := s.tryWrite(ctx, c, fresh)
		var invalid *InvalidError
		var conflict *ConflictError
		isOutdated := errors.Is(err, errOutdated)
		// A refusal counts only if it was decided on rows that were read after
		// the change was requested.
		isRefused := !fresh && (errors.As(err, &invalid) || errors.As(err, &conflict))
		if !isOutdated && !isRefused {
			return revision, err
		}
		// In both cases the change did not take effect.
		if err := s.catchUp(ctx); err != nil {
			return 0, &storage.NotSentError{Cause: err}
		}
		fresh = true
	}
}

// tryWrite checks a change against the snapshot in force and commits it. Fresh is
// true if the snapshot was read after the change was requested.
func (s *Store) tryWrite(ctx context.Context, c Change, fresh bool) (ident.Revision, error) {
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
	if revision, ok := old.revisionOf(c.Operation, present.Revision); ok {
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

// conflictOf returns a *ConflictError for a change to a resource at revision
// present.
func conflictOf(c Change, present ident.Revision, isPresent bool) error {
	conflict := &ConflictError{Kind: c.Kind, Name: c.Name}
	if isPresent {
		conflict.Present = present
	}
	return conflict
}

// commit writes next over the row at revision base. A change that depends on other
// resources is also conditional on the revision of the head row.
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
	result, answerLost, err := s.commitUntilAnswered(ctx, c.Operation, w)
	if err != nil {
		return 0, err
	}
	if !result.Applied {
		revision, err := s.resolveRefusal(c, base, result.Current, answerLost)
		if err == nil {
			// If this read fails, the next poll reads the rows.
			_ = s.catchUp(ctx)
		}
		return revision, err
	}
	d, err := newDelta(snapshot.Revision, result.Rows)
	if err == nil {
		s.onDelta(d)
	}
	return result.Revision, nil
}

// commitUntilAnswered commits w until an answer says whether it took effect, and
// returns true if an earlier answer was lost. Repeating w is safe: its conditions
// hold at most once, and a refused w returns the row.
func (s *Store) commitUntilAnswered(ctx context.Context, id string, w storage.Write) (storage.Result, bool, error) {
	answerLost := false
	for pause := minCommitPause; ; pause = min(2*pause, maxCommitPause) {
		results, err := s.table.Commit(ctx, []storage.Write{w})
		if err == nil {
			return results[0], answerLost, nil
		}
		var notSent *storage.NotSentError
		answerLost = answerLost || !errors.As(err, &notSent)
		if !answerLost {
			return storage.Result{}, false, err
		}
		select {
		case <-ctx.Done():
			return storage.Result{}, true, &UnknownOutcomeError{Operation: id, Cause: err}
		case <-time.After(pause):
		}
	}
}

// resolveRefusal decides why the table refused a write: an earlier attempt took
// effect, another writer was first, or another resource changed. It returns the
// revision of the earlier attempt, a conflict or errOutdated. After a lost answer
// it returns an *UnknownOutcomeError if the history is too short to tell.
func (s *Store) resolveRefusal(c Change, base ident.Revision, current []storage.Row, answerLost bool) (ident.Revision, error) {
	key := Key(c.Kind, c.Name)
	for _, r := range current {
		if r.Key != key {
			continue
		}
		parsed, err := parseRow(r.Value)
		if err != nil {
			return 0, errors.Wrap(err, key)
		}
		if revision, ok := parsed.revisionOf(c.Operation, r.Revision); ok {
			return revision, nil
		}
		if answerLost && r.Revision != base && !parsed.hasReplaced(base) {
			return 0, &UnknownOutcomeError{Operation: c.Operation, Cause: conflictOf(c, r.Revision, parsed.Deleted.IsZero())}
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
