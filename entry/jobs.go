package entry

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/catkingap/catkingap/backend"
	"github.com/catkingap/catkingap/commit"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/job"
	"github.com/catkingap/catkingap/outcome"
	"github.com/catkingap/catkingap/peer"
	"github.com/catkingap/catkingap/platform"
	"github.com/catkingap/catkingap/resource"
	"github.com/catkingap/catkingap/timeline"
)

const (
	keyJobs = "job/"
	// inlineAnswersBytes bounds the answers that are kept in the job's row.
	inlineAnswersBytes = 64 << 10
	attachPoll         = 250 * time.Millisecond
	eventBuffer        = 16
	kindJobWait        = peer.Kind("jobWait")
)

// JobWait asks the holder of a job for its outcome.
type JobWait struct {
	Job ident.Job `msgpack:"job"`
}

// JobOutcome answers a JobWait. Held is false if the host does not hold the
// job.
type JobOutcome struct {
	Held    bool        `msgpack:"held"`
	Outcome job.Outcome `msgpack:"outcome"`
}

// Jobs runs the jobs that this host holds.
type Jobs struct {
	identity   Identity
	batcher    *commit.Batcher
	table      platform.Table
	objects    platform.Objects
	store      *resource.Store
	dispatcher *Dispatcher
	directory  *Directory
	links      *peer.Links
	ring       *timeline.Ring
	logger     log.Interface

	mutex sync.Mutex
	held  map[ident.Job]*running
	open  sync.WaitGroup
}

// running is one job with its machine. Only its loop touches the machine.
type running struct {
	jobs       *Jobs
	submission *job.Submission
	digest     string
	machine    *job.Machine
	events     chan job.Event
	context    context.Context
	cancel     context.CancelFunc

	// done is closed when outcome is set.
	done    chan struct{}
	outcome job.Outcome
}

func newJobs(i Identity, b *commit.Batcher, t platform.Table, o platform.Objects, s *resource.Store,
	d *Dispatcher, directory *Directory, l *peer.Links, r *timeline.Ring, logger log.Interface,
) *Jobs {
	return &Jobs{
		identity: i, batcher: b, table: t, objects: o, store: s, dispatcher: d, directory: directory,
		links: l, ring: r, logger: logger, held: map[ident.Job]*running{},
	}
}

func (j *Jobs) register(l *peer.Links) {
	peer.Handle(l, kindJobWait, j.answerWait)
}

// answerWait answers another host that waits for a job of this one.
func (j *Jobs) answerWait(ctx context.Context, w JobWait) (JobOutcome, error) {
	j.mutex.Lock()
	r := j.held[w.Job]
	j.mutex.Unlock()
	if r == nil {
		return JobOutcome{}, nil
	}
	select {
	case <-r.done:
		return JobOutcome{Held: true, Outcome: r.outcome}, nil
	case <-ctx.Done():
		return JobOutcome{}, ctx.Err()
	}
}

// Submit runs a job or attaches to it, and waits for its outcome.
func (j *Jobs) Submit(ctx context.Context, s *job.Submission) job.Outcome {
	if e := s.Check(time.Now()); e != nil {
		return job.Outcome{State: job.Failed, Error: e}
	}
	if _, ok := j.store.Snapshot().Pools[s.Pool]; !ok {
		return job.Outcome{State: job.Failed, Error: outcome.New(outcome.NotRun, outcome.NotFound, "there is no pool %s", s.Pool)}
	}
	digest := s.Digest()
	r := j.hold(s, digest)
	if r.digest != digest {
		return job.Outcome{State: job.Failed, Error: outcome.New(outcome.NotRun, outcome.Conflict, "key %s was used for another job", s.Key)}
	}
	select {
	case <-r.done:
		return r.outcome
	case <-ctx.Done():
		return job.Outcome{State: job.Failed, Error: outcome.New(outcome.Unknown, outcome.Cancelled, "the caller went away")}
	}
}

// Cancel gives a job up that this host holds. It returns false if it holds no
// such job.
func (j *Jobs) Cancel(id ident.Job) bool {
	j.mutex.Lock()
	r := j.held[id]
	j.mutex.Unlock()
	if r == nil {
		return false
	}
	r.post(job.CancelRequested{})
	return true
}

// Read returns the row of a job.
func (j *Jobs) Read(ctx context.Context, id ident.Job) (*job.Row, ident.Revision, error) {
	return j.read(ctx, id)
}

// hold returns the running job of a submission and starts it if there is none.
func (j *Jobs) hold(s *job.Submission, digest string) *running {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if r := j.held[s.Job]; r != nil {
		return r
	}
	ctx, cancel := context.WithCancel(context.Background())
	if !s.Deadline.IsZero() {
		ctx, cancel = context.WithDeadline(context.Background(), s.Deadline)
	}
	r := &running{
		jobs:       j,
		submission: s,
		digest:     digest,
		machine: job.NewMachine(job.Config{
			Self: j.identity.Holder, Submission: s, ReadDelay: settleReadInterval, StoreRetry: storeRetry,
		}),
		events:  make(chan job.Event, eventBuffer),
		context: ctx,
		cancel:  cancel,
		done:    make(chan struct{}),
	}
	j.held[s.Job] = r
	j.open.Add(1)
	go r.loop()
	return r
}

func (j *Jobs) release(r *running) {
	j.mutex.Lock()
	delete(j.held, r.submission.Job)
	j.mutex.Unlock()
	j.open.Done()
}

// wait waits until all jobs that this host holds have ended.
func (j *Jobs) wait(ctx context.Context) error {
	ended := make(chan struct{})
	go func() {
		j.open.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// loop drives the machine until the job has ended.
func (r *running) loop() {
	defer r.jobs.release(r)
	defer r.cancel()
	stop := context.AfterFunc(r.context, func() {
		if errors.Is(r.context.Err(), context.DeadlineExceeded) {
			r.post(job.Expired{})
		}
	})
	defer stop()
	actions := r.machine.Start(time.Now())
	for {
		for _, a := range actions {
			r.execute(a)
		}
		if phase := r.machine.Phase(); phase == job.Ended || phase == job.Attached {
			return
		}
		actions = r.machine.Step(time.Now(), <-r.events)
	}
}

// post hands an event to the loop. Events after the end are dropped.
func (r *running) post(e job.Event) {
	select {
	case r.events <- e:
	case <-r.done:
	}
}

func (r *running) execute(a job.Action) {
	switch a := a.(type) {
	case job.Write:
		go r.write(a)
	case job.Read:
		go r.settle(a)
	case job.StartTasks:
		r.start()
	case job.CancelTasks:
		r.jobs.dispatcher.Drop(r.submission.Pool, r.submission.Job)
	case job.Attach:
		r.finish(r.jobs.follow(r.submission, a.Row))
	case job.Reply:
		r.note(timeline.Answered, string(a.Outcome.State))
		r.finish(r.jobs.load(r.context, a.Outcome))
	}
}

func (r *running) finish(o job.Outcome) {
	r.outcome = o
	close(r.done)
}

func (r *running) note(k timeline.Kind, detail string) {
	r.jobs.ring.Add(time.Now(), timeline.Event{Kind: k, Team: r.submission.Team, Job: r.submission.Key, Detail: detail})
}

var rowEvents = map[job.State]timeline.Kind{
	job.Accepted: timeline.Claimed,
	job.Started:  timeline.IntentWritten,
	job.Complete: timeline.OutcomeKept,
	job.Failed:   timeline.OutcomeKept,
}

// write executes a Write action and posts its result.
func (r *running) write(a job.Write) {
	time.Sleep(a.After)
	row := a.Row
	key := keyJobs + row.Job.String()
	row.Outcome = r.jobs.keepAnswers(row)
	value, err := json.Marshal(row)
	if err != nil {
		r.jobs.logger.WithError(err).Error("job row not encoded")
		r.post(job.WriteUnsure{NotSent: true})
		return
	}
	result, err := r.jobs.batcher.Commit(context.Background(), platform.Write{
		Conditions: []platform.Condition{{Key: key, Revision: a.Condition}},
		Puts:       []platform.Put{{Key: key, Value: value}},
	})
	if err != nil {
		var notSent *platform.NotSentError
		r.note(timeline.StoreLost, err.Error())
		r.post(job.WriteUnsure{NotSent: errors.As(err, &notSent)})
		return
	}
	written := job.Written{Applied: result.Applied, Revision: result.Revision}
	if result.Applied {
		r.note(rowEvents[row.State], "")
	}
	for _, current := range result.Current {
		written.Current, written.CurrentRevision = decodeRow(&current), current.Revision
	}
	r.post(written)
}

// keepAnswers moves answers that are too large for the row to the object store and
// returns the outcome for the row.
func (j *Jobs) keepAnswers(row job.Row) *job.Outcome {
	if row.Outcome == nil || len(row.Outcome.Answers) == 0 {
		return row.Outcome
	}
	data, err := json.Marshal(row.Outcome.Answers)
	if err != nil || len(data) <= inlineAnswersBytes {
		return row.Outcome
	}
	object := "answers/" + row.Job.String() + "/" + row.Operation
	if err := j.objects.Put(context.Background(), object, data); err != nil {
		return row.Outcome
	}
	return &job.Outcome{State: row.Outcome.State, Object: object}
}

// load returns o with its answers if they are in the object store.
func (j *Jobs) load(ctx context.Context, o job.Outcome) job.Outcome {
	if o.Object == "" {
		return o
	}
	data, err := j.objects.Get(context.WithoutCancel(ctx), o.Object)
	if err == nil {
		err = json.Unmarshal(data, &o.Answers)
	}
	if err != nil {
		return job.Outcome{State: job.Failed, Error: outcome.New(outcome.Unknown, outcome.StoreDown, "the answers can not be read: %v", err).After(storeRetry)}
	}
	o.Object = ""
	return o
}

// settle executes a Read action and posts its result.
func (r *running) settle(a job.Read) {
	time.Sleep(a.After)
	row, revision, err := r.jobs.read(context.Background(), r.submission.Job)
	if err != nil {
		r.post(job.ReadFailed{})
		return
	}
	r.post(job.ReadBack{Row: row, Revision: revision})
}

func (j *Jobs) read(ctx context.Context, id ident.Job) (*job.Row, ident.Revision, error) {
	found, _, err := j.table.Get(ctx, keyJobs+id.String())
	if err != nil || found == nil {
		return nil, 0, err
	}
	return decodeRow(found), found.Revision, nil
}

func decodeRow(r *platform.Row) *job.Row {
	var row job.Row
	if err := json.Unmarshal(r.Value, &row); err != nil {
		return &job.Row{State: job.Failed, Outcome: &job.Outcome{
			State: job.Failed, Error: outcome.New(outcome.Unknown, outcome.Internal, "the job's row can not be read: %v", err),
		}}
	}
	return &row
}

// start queues all tasks of the job.
func (r *running) start() {
	works := make([]*Work, 0, len(r.submission.Tasks))
	for _, t := range r.submission.Tasks {
		id := ident.Task{Job: r.submission.Job, Index: t.Index}
		works = append(works, &Work{
			Context: r.context,
			Team:    r.submission.Team,
			Pool:    r.submission.Pool,
			Task:    &id,
			RunTime: time.Duration(t.DeclaredMS) * time.Millisecond,
			Body:    t.Payload,
			Done: func(reply backend.Reply, failure *outcome.Error) {
				r.post(job.TaskEnded{Index: id.Index, Answer: reply.Body, Error: failure})
			},
		})
	}
	if e := r.jobs.dispatcher.Submit(works...); e != nil {
		go r.post(job.TaskEnded{Error: e})
	}
}

// follow waits for the outcome of a job that another host holds.
func (j *Jobs) follow(s *job.Submission, row job.Row) job.Outcome {
	ctx := context.Background()
	j.ring.Add(time.Now(), timeline.Event{Kind: timeline.Attached, Team: s.Team, Job: s.Key, Detail: string(row.Holder.Host)})
	for {
		if m, ok := j.directory.Host(row.Holder.Host); ok && row.Holder != j.identity.Holder {
			answer, err := peer.Call[JobWait, JobOutcome](ctx, j.links, m.Address, kindJobWait, JobWait{Job: s.Job})
			if err == nil && answer.Held {
				return answer.Outcome
			}
		}
		current, _, err := j.read(ctx, s.Job)
		if err == nil && current != nil {
			if current.State.Ended() {
				return j.load(ctx, *current.Outcome)
			}
			row = *current
		}
		if !s.Deadline.IsZero() && time.Now().After(s.Deadline) {
			return job.Outcome{State: job.Failed, Error: outcome.New(outcome.Unknown, outcome.DeadlinePassed, "no outcome before the deadline").After(storeRetry)}
		}
		time.Sleep(attachPoll)
	}
}
