package entry

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/catkingap/catkingap/commit"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/job"
	"github.com/catkingap/catkingap/outcome"
	"github.com/catkingap/catkingap/peer"
	"github.com/catkingap/catkingap/resource"
	"github.com/catkingap/catkingap/storage"
	"github.com/catkingap/catkingap/timeline"
)

const (
	// mirrorAfter is the time after which an outcome that is not recorded is
	// sent to the mirror.
	mirrorAfter = 300 * time.Millisecond
	// settleTimeout is the time after which callers are answered that an
	// outcome is not known yet.
	settleTimeout = time.Second
)

// Jobs manages the jobs that this host holds.
type Jobs struct {
	identity   Identity
	batcher    *commit.Batcher
	table      storage.Table
	objects    storage.Objects
	store      *resource.Store
	dispatcher *Dispatcher
	directory  *Directory
	links      *peer.Links
	ring       *timeline.Ring
	logger     log.Interface
	watcher    *hostWatcher
	mirror     *mirror

	mutex sync.Mutex
	held  map[ident.Job]*runningJob
	open  sync.WaitGroup
}

func newJobs(i Identity, b *commit.Batcher, t storage.Table, o storage.Objects, s *resource.Store,
	d *Dispatcher, directory *Directory, l *peer.Links, r *timeline.Ring, logger log.Interface,
) *Jobs {
	j := &Jobs{
		identity: i, batcher: b, table: t, objects: o, store: s, dispatcher: d, directory: directory,
		links: l, ring: r, logger: logger, held: map[ident.Job]*runningJob{},
	}
	j.watcher = newHostWatcher(j)
	j.mirror = newMirror(j)
	return j
}

func (j *Jobs) register(l *peer.Links) {
	peer.Handle(l, kindJobCancel, j.handleCancel)
	peer.Handle(l, kindJobWait, j.handleWait)
	peer.Handle(l, kindProbe, j.handleProbe)
	peer.Handle(l, kindMirrorKeep, j.mirror.handleKeep)
	peer.Handle(l, kindMirrorAsk, j.mirror.handleAsk)
}

func failedOutcome(e *outcome.Error) job.Outcome {
	return job.Outcome{State: job.Failed, Error: e}
}

// admit returns why this host rejects a submission, or nil.
func (j *Jobs) admit(s *job.Submission) *outcome.Error {
	if e := s.Check(time.Now()); e != nil {
		return e
	}
	snapshot := j.store.Snapshot()
	if _, ok := snapshot.Pools[s.Pool]; !ok {
		return outcome.New(outcome.NotRun, outcome.NotFound, "there is no pool %s", s.Pool)
	}
	memory := make([]int, 0, len(snapshot.Servers[s.Pool]))
	for _, b := range snapshot.Servers[s.Pool] {
		memory = append(memory, b.MemoryMB)
	}
	return s.CheckMemory(memory)
}

// Submit runs a job or attaches to it, and waits for its outcome.
func (j *Jobs) Submit(ctx context.Context, s *job.Submission) job.Outcome {
	digest := s.Digest()
	if e := j.admit(s); e != nil {
		return j.refuse(ctx, s, digest, e)
	}
	r := j.getOrStart(s, digest)
	if r.digest != digest {
		return failedOutcome(outcome.New(outcome.NotRun, outcome.Conflict, "key %s was used for another job", s.Key))
	}
	end := r.wait(ctx)
	if end.attached != nil {
		return j.follow(ctx, s, digest, *end.attached)
	}
	if o := end.outcome; !end.recorded && o.Error != nil {
		return failedOutcome(s.Refusal(o.Error))
	}
	return end.outcome
}

// refuse rejects a submission with e. A resubmission gets the outcome of the
// earlier attempt if there is one.
func (j *Jobs) refuse(ctx context.Context, s *job.Submission, digest string, e *outcome.Error) job.Outcome {
	j.ring.Add(time.Now(), timeline.Event{Kind: timeline.Refused, Team: s.Team, Job: s.Key, Detail: string(e.Code)})
	refusal := s.Refusal(e)
	if refusal.Kind == outcome.NotRun {
		return failedOutcome(refusal)
	}
	row, _, err := j.read(ctx, s.Job)
	if err == nil && row != nil {
		return j.follow(ctx, s, digest, *row)
	}
	return failedOutcome(refusal.WithRetryAfter(storeRetryDelay))
}

// Cancel cancels a job that this or another host holds. It returns nil, or why
// the job was not or may not have been cancelled.
func (j *Jobs) Cancel(ctx context.Context, id ident.Job) *outcome.Error {
	if j.cancel(id) {
		return nil
	}
	row, _, err := j.read(ctx, id)
	if err != nil {
		return outcome.New(outcome.NotRun, outcome.StoreDown, "%v", err).WithRetryAfter(storeRetryDelay)
	}
	if row == nil || row.State.Ended() {
		return outcome.New(outcome.NotRun, outcome.NotFound, "no host holds job %s", id)
	}
	answer, err := call[JobCancel, JobCancelled](ctx, j, row.Holder, kindJobCancel, JobCancel{Job: id})
	switch {
	case isUnreachable(err):
		return outcome.New(outcome.NotRun, outcome.Unreachable, "the holder of job %s: %v", id, err).WithRetryAfter(storeRetryDelay)
	case err != nil:
		return outcome.New(outcome.Unknown, outcome.LinkLost, "the holder of job %s: %v", id, err).WithRetryAfter(storeRetryDelay)
	case !answer.Held:
		return outcome.New(outcome.NotRun, outcome.NotFound, "no host holds job %s", id)
	}
	return nil
}

func (j *Jobs) cancel(id ident.Job) bool {
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

// getOrStart returns the running job of a submission and starts it if there is
// none.
func (j *Jobs) getOrStart(s *job.Submission, digest string) *runningJob {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if r := j.held[s.Job]; r != nil {
		return r
	}
	config := j.machineConfig(s)
	r := j.newRunningJob(s.Job, s, digest, s.Deadline, job.NewMachine(config))
	j.start(r)
	if config.PayloadObject != "" {
		go j.storePayload(config.PayloadObject, s.Tasks)
	}
	return r
}

// adopt takes over the job of a lost holder unless this host already holds it.
func (j *Jobs) adopt(s *job.Submission, row job.Row, revision ident.Revision) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if j.held[row.Job] != nil {
		return
	}
	machine := job.Adopt(j.machineConfig(s), row, revision)
	j.start(j.newRunningJob(row.Job, s, row.Digest, row.Deadline, machine))
}

// machineConfig returns the configuration of a machine. The submission s is nil
// for a job without its tasks.
func (j *Jobs) machineConfig(s *job.Submission) job.Config {
	c := job.Config{
		Self: j.identity.Holder, OperationPrefix: ident.NewToken(), Submission: s, ReadDelay: settleReadInterval, StoreRetry: storeRetryDelay,
		MirrorAfter: mirrorAfter, SettleTimeout: settleTimeout,
	}
	if s == nil {
		return c
	}
	c.Mirror = j.watcher.mirrorOf(s.Job)
	c.HasCapacity = j.dispatcher.hasCapacity(s.Pool)
	if !c.HasCapacity {
		c.Payload, c.PayloadObject = placePayload(s)
	}
	return c
}

// start runs the loop of a job in the background. The caller holds the mutex.
func (j *Jobs) start(r *runningJob) {
	j.held[r.id] = r
	j.open.Add(1)
	go func() {
		defer j.remove(r)
		r.loop()
	}()
}

func (j *Jobs) remove(r *runningJob) {
	j.mutex.Lock()
	delete(j.held, r.id)
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
