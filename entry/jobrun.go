package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/catkingap/catkingap/backend"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/job"
	"github.com/catkingap/catkingap/outcome"
	"github.com/catkingap/catkingap/storage"
	"github.com/catkingap/catkingap/timeline"
)

const (
	eventBuffer = 16
	// capacityPollInterval is the pause between polls of the queue of a full
	// pool.
	capacityPollInterval = 20 * time.Millisecond
	// capacityTimeout is the time after which a job is queued even if its pool
	// is still full.
	capacityTimeout = 10 * time.Second
)

// ending is the result of a running job for its callers.
type ending struct {
	outcome  job.Outcome
	recorded bool
	// attached is the job's row if another host holds the job.
	attached *job.Row
}

// runningJob drives the state machine of one job. Only its loop uses the
// machine.
type runningJob struct {
	jobs       *Jobs
	id         ident.Job
	submission *job.Submission
	digest     string
	machine    *job.Machine
	events     chan job.Event
	context    context.Context
	cancel     context.CancelFunc
	// stopped is closed when the loop has ended.
	stopped chan struct{}

	// done is closed when ending is set.
	done   chan struct{}
	ending ending

	mutex sync.Mutex
	// refusal is the answer to callers while the result of a write is uncertain.
	refusal *outcome.Error
	// refused is closed and replaced when refusal is set.
	refused chan struct{}
}

// newRunningJob returns a job that is not started. The submission s is nil for a
// job without its tasks.
func (j *Jobs) newRunningJob(id ident.Job, s *job.Submission, digest string, deadline time.Time, m *job.Machine) *runningJob {
	ctx, cancel := context.WithCancel(context.Background())
	if !deadline.IsZero() {
		ctx, cancel = context.WithDeadline(context.Background(), deadline)
	}
	return &runningJob{
		jobs: j, id: id, submission: s, digest: digest, machine: m, context: ctx, cancel: cancel,
		events: make(chan job.Event, eventBuffer), stopped: make(chan struct{}),
		done: make(chan struct{}), refused: make(chan struct{}),
	}
}

// loop runs the machine until the job has ended.
func (r *runningJob) loop() {
	defer close(r.stopped)
	defer r.cancel()
	stop := context.AfterFunc(r.context, func() {
		if errors.Is(r.context.Err(), context.DeadlineExceeded) {
			r.post(job.DeadlinePassed{})
		}
	})
	defer stop()
	actions := r.machine.Start(time.Now())
	for {
		for _, a := range actions {
			r.execute(a)
		}
		if !r.machine.Unsettled() {
			r.clearRefusal()
		}
		if phase := r.machine.Phase(); phase == job.Ended || phase == job.Attached {
			return
		}
		// The time is taken after the wait for the event.
		event := <-r.events
		actions = r.machine.Step(time.Now(), event)
	}
}

// post passes an event to the loop. Events after the end are dropped.
func (r *runningJob) post(e job.Event) {
	select {
	case r.events <- e:
	case <-r.stopped:
	}
}

// wait returns the ending of the job, or a refusal if the outcome is uncertain.
func (r *runningJob) wait(ctx context.Context) ending {
	r.mutex.Lock()
	refusal, refused := r.refusal, r.refused
	r.mutex.Unlock()
	if refusal != nil {
		return ending{outcome: failedOutcome(refusal)}
	}
	select {
	case <-r.done:
		return r.ending
	case <-refused:
		r.mutex.Lock()
		defer r.mutex.Unlock()
		if r.refusal == nil {
			return ending{outcome: failedOutcome(outcome.New(outcome.Unknown, outcome.StoreDown, "the outcome was not known in time").WithRetryAfter(storeRetryDelay))}
		}
		return ending{outcome: failedOutcome(r.refusal)}
	case <-ctx.Done():
		return ending{outcome: failedOutcome(outcomeOfContext(ctx, true))}
	}
}

// refuseCallers answers all waiting callers with e, and new callers until
// clearRefusal is called.
func (r *runningJob) refuseCallers(e *outcome.Error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.refusal = e
	close(r.refused)
	r.refused = make(chan struct{})
}

func (r *runningJob) clearRefusal() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.refusal = nil
}

// finish passes the ending to all callers. Only the first call has an effect.
func (r *runningJob) finish(e ending) {
	select {
	case <-r.done:
	default:
		r.ending = e
		close(r.done)
	}
}

func (r *runningJob) execute(a job.Action) {
	switch a := a.(type) {
	case job.Write:
		go r.write(a)
	case job.Read:
		go r.readBack(a)
	case job.AwaitCapacity:
		go r.awaitCapacity()
	case job.StartTasks:
		r.start()
	case job.CancelTasks:
		r.jobs.dispatcher.Drop(r.machine.Row().Pool, r.id)
	case job.Attach:
		r.addEvent(timeline.LeaseLost, string(a.Row.Holder.Host))
		r.finish(ending{attached: &a.Row})
	case job.AnswerCallers:
		r.addEvent(timeline.Refused, string(a.Error.Code))
		r.refuseCallers(a.Error)
	case job.Reply:
		r.addEvent(timeline.Answered, string(a.Outcome.State))
		r.finish(ending{outcome: r.jobs.loadAnswers(r.context, a.Outcome), recorded: a.Recorded})
	case job.SetTimer:
		time.AfterFunc(a.After, func() { r.post(job.TimerFired{}) })
	case job.KeepMirror:
		go func() { r.post(r.jobs.mirror.keep(a)) }()
	case job.AskMirror:
		go func() { r.post(r.jobs.mirror.ask(a)) }()
	}
}

func (r *runningJob) addEvent(k timeline.Kind, detail string) {
	r.jobs.ring.Add(time.Now(), timeline.Event{Kind: k, Team: r.id.Team, Job: r.id.Key, Detail: detail})
}

// write executes a Write action and posts its result.
func (r *runningJob) write(a job.Write) {
	time.Sleep(a.After)
	w, err := r.jobs.encodeWrite(a)
	if err != nil {
		r.jobs.logger.WithError(err).Warn("job row not written")
		r.post(job.WriteUncertain{NotSent: true})
		return
	}
	result, err := r.jobs.batcher.Commit(context.Background(), w)
	if err != nil {
		var notSent *storage.NotSentError
		r.addEvent(timeline.StoreLost, err.Error())
		r.post(job.WriteUncertain{NotSent: errors.As(err, &notSent)})
		return
	}
	written := job.Written{Applied: result.Applied, Revision: result.Revision}
	if result.Applied {
		r.addWriteEvents(a, result.Revision)
	}
	for _, current := range result.Current {
		written.Current, written.CurrentRevision = decodeRow(&current), current.Revision
	}
	r.post(written)
}

var stateEvents = map[job.State]timeline.Kind{
	job.Accepted: timeline.Claimed,
	job.Started:  timeline.IntentWritten,
	job.Complete: timeline.OutcomeRecorded,
	job.Failed:   timeline.OutcomeRecorded,
}

// addWriteEvents adds the events of a write that took effect at a revision.
func (r *runningJob) addWriteEvents(a job.Write, revision ident.Revision) {
	add := func(k timeline.Kind, detail string) {
		r.jobs.ring.Add(time.Now(), timeline.Event{
			Kind: k, Team: r.id.Team, Job: r.id.Key, Epoch: a.Row.Epoch, Revision: revision, Detail: detail,
		})
	}
	if a.Previous != (job.Holder{}) {
		add(timeline.Adopted, string(a.Previous.Host))
	}
	if a.Condition == 0 && a.Row.State == job.Started {
		add(timeline.Claimed, "")
	}
	add(stateEvents[a.Row.State], "")
}

// readBack executes a Read action and posts its result.
func (r *runningJob) readBack(a job.Read) {
	time.Sleep(a.After)
	row, revision, err := r.jobs.read(context.Background(), r.id)
	if err != nil {
		r.post(job.ReadFailed{})
		return
	}
	r.post(job.ReadBack{Row: row, Revision: revision})
}

// awaitCapacity posts CapacityFree once the pool has free capacity, or after
// capacityTimeout.
func (r *runningJob) awaitCapacity() {
	limit := time.Now().Add(capacityTimeout)
	ticker := time.NewTicker(capacityPollInterval)
	defer ticker.Stop()
	for !r.jobs.dispatcher.hasCapacity(r.submission.Pool) && time.Now().Before(limit) {
		select {
		case <-ticker.C:
		case <-r.stopped:
			return
		}
	}
	r.post(job.CapacityFree{})
}

// start queues all tasks of the job.
func (r *runningJob) start() {
	works := make([]*Work, 0, len(r.submission.Tasks))
	for _, t := range r.submission.Tasks {
		id := ident.Task{Job: r.id, Index: t.Index}
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
		go r.post(job.StartRefused{Error: e})
	}
}
