package entry

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/job"
	"github.com/catkingap/catkingap/outcome"
	"github.com/catkingap/catkingap/storage"
)

const (
	jobKeyPrefix = "job/"
	// heldKeyPrefix is the prefix of the keys of index rows, which list the
	// jobs that have not ended by holder.
	heldKeyPrefix = "held/"
	// inlineAnswersBytes bounds the answers that are stored in the job's row.
	inlineAnswersBytes = 64 << 10
	// inlinePayloadBytes bounds the tasks that are stored in an accepted row.
	inlinePayloadBytes = 16 << 10
)

// heldPrefix returns the prefix of the index rows of one holder.
func heldPrefix(h job.Holder) string {
	return heldKeyPrefix + string(h.Host) + "/" + h.Boot + "/"
}

// encodeWrite returns the conditional write of a job's row and its index row.
func (j *Jobs) encodeWrite(a job.Write) (storage.Write, error) {
	key := jobKeyPrefix + a.Row.Job.String()
	w := storage.Write{Conditions: []storage.Condition{{Key: key, Revision: a.Condition}}}
	stored, err := j.storeLargeAnswers(a.Row)
	if err != nil {
		return w, err
	}
	a.Row.Outcome = stored
	value, err := json.Marshal(a.Row)
	if err != nil {
		return w, err
	}
	w.Puts = []storage.Put{{Key: key, Value: value}}
	index := heldPrefix(a.Row.Holder) + a.Row.Job.String()
	if a.Previous != (job.Holder{}) && a.Previous != a.Row.Holder {
		w.Deletes = append(w.Deletes, heldPrefix(a.Previous)+a.Row.Job.String())
	}
	if a.Row.State.Ended() {
		w.Deletes = append(w.Deletes, index)
		return w, nil
	}
	if a.Condition == 0 || len(w.Deletes) > 0 {
		id, err := json.Marshal(a.Row.Job)
		if err != nil {
			return w, err
		}
		w.Puts = append(w.Puts, storage.Put{Key: index, Value: id})
	}
	return w, nil
}

// storeLargeAnswers moves answers that are too large for the row to the object
// store and returns the outcome for the row.
func (j *Jobs) storeLargeAnswers(row job.Row) (*job.Outcome, error) {
	if row.Outcome == nil || len(row.Outcome.Answers) == 0 {
		return row.Outcome, nil
	}
	data, err := json.Marshal(row.Outcome.Answers)
	if err != nil || len(data) <= inlineAnswersBytes {
		return row.Outcome, err
	}
	object := "answers/" + row.Job.String() + "/" + row.Operation
	if err := j.objects.Put(context.Background(), object, data); err != nil {
		return nil, errors.Wrap(err, "answers")
	}
	return &job.Outcome{State: row.Outcome.State, Object: object}, nil
}

// loadAnswers returns o with its answers, read from the object store if they
// are there.
func (j *Jobs) loadAnswers(ctx context.Context, o job.Outcome) job.Outcome {
	if o.Object == "" {
		return o
	}
	data, err := j.objects.Get(context.WithoutCancel(ctx), o.Object)
	if err == nil {
		err = json.Unmarshal(data, &o.Answers)
	}
	if err != nil {
		return failedOutcome(outcome.New(outcome.Unknown, outcome.StoreDown, "the answers can not be read: %v", err).WithRetryAfter(storeRetryDelay))
	}
	o.Object = ""
	return o
}

// placePayload returns where the tasks of an accepted row are stored: the tasks
// for the row if they are small, else the name of an object.
func placePayload(s *job.Submission) ([]job.Task, string) {
	size := 0
	for _, t := range s.Tasks {
		size += len(t.Payload)
	}
	if size <= inlinePayloadBytes {
		return s.Tasks, ""
	}
	return nil, "payload/" + s.Job.String() + "/" + ident.NewToken()
}

// storePayload stores the tasks of an accepted job while its claim is written.
func (j *Jobs) storePayload(object string, tasks []job.Task) {
	data, err := json.Marshal(tasks)
	if err == nil {
		err = j.objects.Put(context.Background(), object, data)
	}
	if err != nil {
		j.logger.WithError(err).Warn("payload not stored")
	}
}

// loadPayload returns the submission of an accepted row, or nil if its tasks
// were not stored completely.
func (j *Jobs) loadPayload(ctx context.Context, row *job.Row) (*job.Submission, error) {
	tasks := row.Payload
	if row.PayloadObject != "" {
		data, err := j.objects.Get(ctx, row.PayloadObject)
		var missing *storage.NotFoundError
		if errors.As(err, &missing) {
			return nil, nil
		}
		if err != nil {
			return nil, err
		}
		if json.Unmarshal(data, &tasks) != nil {
			return nil, nil
		}
	}
	s := row.Submission(tasks)
	if len(tasks) != row.Tasks || s.Digest() != row.Digest {
		return nil, nil
	}
	return s, nil
}

func (j *Jobs) read(ctx context.Context, id ident.Job) (*job.Row, ident.Revision, error) {
	found, _, err := j.table.Get(ctx, jobKeyPrefix+id.String())
	if err != nil || found == nil {
		return nil, 0, err
	}
	return decodeRow(found), found.Revision, nil
}

func decodeRow(r *storage.Row) *job.Row {
	var row job.Row
	if err := json.Unmarshal(r.Value, &row); err != nil {
		return &job.Row{State: job.Failed, Outcome: &job.Outcome{
			State: job.Failed, Error: outcome.New(outcome.Unknown, outcome.Internal, "the job's row can not be read: %v", err),
		}}
	}
	return &row
}
