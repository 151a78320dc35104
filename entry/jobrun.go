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
	// roomPoll is the pause between looks at the queue of a full pool.
	roomPoll = 20 * time.Millisecond
	// roomTimeout is the time after which a job enters the queue of a pool
	// that never has room.
	roomTimeout = 10 * time.Second
)

// ending is what a caller of a running job is told.
type ending struct {
	outcome  job.Outcome
	recorded bool
	// attached is set if another holder has the job.
	attached *job.Row
}

// running is one job with its machine. Only its loop touches the machine.
type running struct {
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
	// refusal answers callers at once while a write can not be settled.
	refusal *outcome.Error
	// told is closed when refusal is set, and replaced.
	told chan struct{}
}

// newRunning returns a job that is not started. S is nil for a job without its
// tasks.
func (j *Jobs) newRunning(id ident.Job, s *job.Submission, digest string, deadline time.Time, m *job.Machine) *running {
	ctx, cancel := context.WithCancel(context.Background())
	if !deadline.IsZero() {
		ctx, cancel = context.WithDeadline(context.Background(), deadline)
	}
	return &running{
		jobs: j, id: id, submission: s, digest: digest, machine: m, context: ctx, cancel: cancel,
		events: make(chan job.Event, eventBuffer), stopped: make(chan struct{}),
		done: make(chan struct{}), told: make(chan struct{}),
	}
}

// loop drives the machine until it has ended.
func (r *running) loop() {
	defer close(r.stopped)
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
		if !r.machine.Unsettled() {
			r.settled()
		}
		if phase := r.machine.Phase(); phase == job.Ended || phase == job.Attached {
			return
		}
		// The present time is that of the event, not that of the wait.
		event := <-r.events
		actions = r.machine.Step(time.Now(), event)
	}
}

// post hands an event to the loop. Events after the end are dropped.
func (r *running) post(e job.Event) {
	select {
	case r.events <- e:
	case <-r.stopped:
	}
}

// wait waits for what a caller is told.
func (r *running) wait(ctx context.Context) ending {
	r.mutex.Lock()
	refusal, told := r.refusal, r.told
	r.mutex.Unlock()
	if refusal != nil {
		return ending{outcome: failed(refusal)}
	}
	select {
	case <-r.done:
		return r.ending
	case <-told:
		r.mutex.Lock()
		defer r.mutex.Unlock()
		if r.refusal == nil {
			return ending{outcome: failed(outcome.New(outcome.Unknown, outcome.StoreDown, "the outcome was not known in time").After(storeRetry))}
		}
		return ending{outcome: failed(r.refusal)}
	case <-ctx.Done():
		return ending{outcome: failed(ended(ctx, true))}
	}
}

// tell answers all callers that wait now, and those that come until settled is
// called.
func (r *running) tell(e *outcome.Error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.refusal = e
	close(r.told)
	r.told = make(chan struct{})
}

func (r *running) settled() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.refusal = nil
}

// finish gives all callers the ending. Only the first call counts.
func (r *running) finish(e ending) {
	select {
	case <-r.done:
	default:
		r.ending = e
		close(r.done)
	}
}

func (r *running) execute(a job.Action) {
	switch a := a.(type) {
	case job.Write:
		go r.write(a)
	case job.Read:
		go r.settle(a)
	case job.AwaitRoom:
		go r.awaitRoom()
	case job.StartTasks:
		r.start()
	case job.CancelTasks:
		r.jobs.dispatcher.Drop(r.machine.Row().Pool, r.id)
	case job.Attach:
		r.note(timeline.LeaseLost, string(a.Row.Holder.Host))
		r.finish(ending{attached: &a.Row})
	case job.Tell:
		r.note(timeline.Refused, string(a.Error.Code))
		r.tell(a.Error)
	case job.Reply:
		r.note(timeline.Answered, string(a.Outcome.State))
		r.finish(ending{outcome: r.jobs.load(r.context, a.Outcome), recorded: a.Recorded})
	case job.Wake:
		time.AfterFunc(a.After, func() { r.post(job.Woken{}) })
	case job.KeepMirror:
		go func() { r.post(r.jobs.mirror.keep(a)) }()
	case job.AskMirror:
		go func() { r.post(r.jobs.mirror.ask(a)) }()
	}
}

func (r *running) note(k timeline.Kind, detail string) {
	r.jobs.ring.Add(time.Now(), timeline.Event{Kind: k, Team: r.id.Team, Job: r.id.Key, Detail: detail})
}

// write executes a Write action and posts its result.
func (r *running) write(a job.Write) {
	time.Sleep(a.After)
	w, err := r.jobs.encodeWrite(a)
	if err != nil {
		r.jobs.logger.WithError(err).Warn("job row not written")
		r.post(job.WriteUnsure{NotSent: true})
		return
	}
	result, err := r.jobs.batcher.Commit(context.Background(), w)
	if err != nil {
		var notSent *storage.NotSentError
		r.note(timeline.StoreLost, err.Error())
		r.post(job.WriteUnsure{NotSent: errors.As(err, &notSent)})
		return
	}
	written := job.Written{Applied: result.Applied, Revision: result.Revision}
	if result.Applied {
		r.noteApplied(a, result.Revision)
	}
	for _, current := range result.Current {
		written.Current, written.CurrentRevision = decodeRow(&current), current.Revision
	}
	r.post(written)
}

var rowEvents = map[job.State]timeline.Kind{
	job.Accepted: timeline.Claimed,
	job.Started:  timeline.IntentWritten,
	job.Complete: timeline.OutcomeKept,
	job.Failed:   timeline.OutcomeKept,
}

// noteApplied adds the events of a write that took effect at a revision.
func (r *running) noteApplied(a job.Write, revision ident.Revision) {
	note := func(k timeline.Kind, detail string) {
		r.jobs.ring.Add(time.Now(), timeline.Event{
			Kind: k, Team: r.id.Team, Job: r.id.Key, Epoch: a.Row.Epoch, Revision: revision, Detail: detail,
		})
	}
	if a.Previous != (job.Holder{}) {
		note(timeline.Adopted, string(a.Previous.Host))
	}
	if a.Condition == 0 && a.Row.State == job.Started {
		note(timeline.Claimed, "")
	}
	note(rowEvents[a.Row.State], "")
}

// settle executes a Read action and posts its result.
func (r *running) settle(a job.Read) {
	time.Sleep(a.After)
	row, revision, err := r.jobs.read(context.Background(), r.id)
	if err != nil {
		r.post(job.ReadFailed{})
		return
	}
	r.post(job.ReadBack{Row: row, Revision: revision})
}

// awaitRoom posts RoomMade once the pool has room, or after a bounded time.
func (r *running) awaitRoom() {
	limit := time.Now().Add(roomTimeout)
	ticker := time.NewTicker(roomPoll)
	defer ticker.Stop()
	for !r.jobs.dispatcher.hasRoom(r.submission.Pool) && time.Now().Before(limit) {
		select {
		case <-ticker.C:
		case <-r.stopped:
			return
		}
	}
	r.post(job.RoomMade{})
}

// start queues all tasks of the job.
func (r *running) start() {
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
