package fleet

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/catkingap/catkingap/dispatch"
	"github.com/catkingap/catkingap/evacuation"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/intake"
	"github.com/catkingap/catkingap/livecalls"
	"github.com/catkingap/catkingap/ownership"
	"github.com/catkingap/catkingap/pause"
	"github.com/catkingap/catkingap/peer"
	"github.com/catkingap/catkingap/spill"
	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

const (
	// retryPause is the time between two tries to submit a job.
	retryPause = 20 * time.Millisecond
	// noOwnerTime is how long a host that hears no owner accepts jobs, and how long a job
	// that has begun waits for the next owner. A lost owner is replaced within about a
	// second.
	noOwnerTime = 1200 * time.Millisecond
	// withdrawTimeout bounds the message to an owner that a caller has left. If it is
	// lost, the next keepalive has the same effect.
	withdrawTimeout = 250 * time.Millisecond
	// ownerSilence is how long an owner may be silent before jobs are submitted to
	// another one.
	ownerSilence = 500 * time.Millisecond
	// refusalRetryAfter tells a caller when to retry if no owner was found.
	refusalRetryAfter = time.Second
)

// Submitter submits the jobs of this host's callers to owners.
type Submitter struct {
	self      ownership.Host
	links     *peer.Links
	directory *Directory
	contacts  *Contacts
	owners    *Owners
	pauses    *pause.Detector
	counters  *Counters
	logger    log.Interface
	calls     *livecalls.Tracker
	open      atomic.Int64
	// ending ends when the open calls must be answered at once.
	ending context.Context
	end    context.CancelFunc
	// ownerSeen is when an owner was last heard, in nanoseconds since 1970.
	ownerSeen atomic.Int64
	// lastEnded is when the last call ended, in nanoseconds since 1970.
	lastEnded atomic.Int64
}

func newSubmitter(self ownership.Host, l *peer.Links, d *Directory, c *Contacts, o *Owners, p *pause.Detector, counters *Counters, logger log.Interface) *Submitter {
	s := &Submitter{
		self: self, links: l, directory: d, contacts: c, owners: o, pauses: p, counters: counters, logger: logger, calls: livecalls.NewTracker(),
	}
	s.ending, s.end = context.WithCancel(context.Background())
	s.ownerSeen.Store(time.Now().UnixNano())
	c.liveCalls = s.liveCalls
	c.hasLiveCalls = s.calls.HasCalls
	return s
}

// liveCalls returns which calls may be at the owner of a data centre, and false if this
// process does not know which callers still wait because it was paused.
func (s *Submitter) liveCalls(c ident.DataCentre) (liveCalls, bool) {
	at := s.pauses.LastVerified()
	if !s.pauses.IsAwake(s.contacts.clock()) {
		return liveCalls{}, false
	}
	calls, sequence := s.calls.List(c)
	return liveCalls{calls: calls, sequence: sequence, at: at}, true
}

// HasOwner returns true if an owner is heard, or was heard so recently that it may yet be
// replaced.
func (s *Submitter) HasOwner(now time.Time) bool {
	for _, o := range s.directory.Owners() {
		if s.isHeard(now, o) {
			s.ownerSeen.Store(now.UnixNano())
			return true
		}
	}
	return now.Sub(time.Unix(0, s.ownerSeen.Load())) < noOwnerTime
}

// attempt is the state of submitting one job.
type attempt struct {
	job      work.Job
	weight   intake.Bytes
	call     uint64
	arrived  time.Time
	deadline time.Time
	// bound is the data centre in which a task of the job may have started, or empty.
	bound ident.DataCentre
	// ownerlessSince is since when no owner is known to have the job.
	ownerlessSince time.Time
	// token is the token of the ownership to which the job was bound last, and
	// startedEarlier is true if an ownership before it may have started a task of the job.
	token          worker.Token
	startedEarlier bool
	// tried holds the data centres that had no free capacity, and unsuited those that have
	// no worker for the job.
	tried, unsuited map[ident.DataCentre]bool
	// admitted tells for each data centre that was picked whether its owner gets the job.
	// It does not if its lag is too high.
	admitted map[ident.DataCentre]bool
	// lacksMemory is true if the last pick has left out an owner that has no memory for the job.
	lacksMemory bool
	tries       int
	// yielded is true if an owner had queued the job and returned it because others had
	// free capacity.
	yielded bool
	// refusal is the last reply by which an owner has refused the job without running it,
	// or nil.
	refusal *dispatch.Reply
	// trail describes the tries for the log: the owner and its token, when the try began
	// after the caller's request, how long it took, and how it ended.
	trail []string
}

func newAttempt(j work.Job, arrived, deadline time.Time) *attempt {
	return &attempt{
		job: j, weight: j.Weight(), arrived: arrived, deadline: deadline, tried: map[ident.DataCentre]bool{}, unsuited: map[ident.DataCentre]bool{},
		admitted: map[ident.DataCentre]bool{},
	}
}

// isThrottled returns true if an owner does not get the job because its lag is too high.
func (a *attempt) isThrottled() bool {
	for _, ok := range a.admitted {
		if !ok {
			return true
		}
	}
	return false
}

// maxTrail bounds the tries of one job that are logged.
const maxTrail = 8

// addTry adds a try to the trail.
func (a *attempt) addTry(began, now time.Time, o ownership.Owner, how string) {
	if len(a.trail) < maxTrail {
		a.trail = append(a.trail, fmt.Sprintf("%s#%d %d+%d %s", o.Host, o.Token,
			began.Sub(a.arrived).Milliseconds(), now.Sub(began).Milliseconds(), how))
	}
}

// Submit submits a job to an owner and waits for its end. It returns early if ctx ends,
// which means that the caller has left.
func (s *Submitter) Submit(ctx context.Context, j work.Job, arrived, deadline time.Time) dispatch.Reply {
	defer s.trackCall()()
	a := newAttempt(j, arrived, deadline)
	a.call = s.calls.NewCall()
	call, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(s.ending, cancel)()
	r := s.run(call, a)
	if call.Err() != nil && ctx.Err() == nil && r.Result == dispatch.Expired {
		r = a.giveUp("the host shuts down")
	}
	s.abandon(a)
	took := time.Since(arrived)
	s.counters.results.Add(string(r.Result), 1)
	s.counters.response.Record(took)
	s.logger.WithFields(log.Fields{
		"job": string(j.ID), "queue": string(j.Queue), "result": string(r.Result), "reason": r.Reason,
		"tookMs": took.Milliseconds(), "tries": a.tries, "tasks": j.Tasks(), "retryAfterMs": r.RetryAfter.Milliseconds(),
		"call": a.call, "owners": a.trail, "mayBeAt": string(a.bound),
	}).Info("job answered")
	return r
}

// EndCalls has the open calls of callers that wait for the end of their job answered at
// once: interrupted, or refused if no owner has got the job.
func (s *Submitter) EndCalls() { s.end() }

// trackCall counts a call as open until the returned function is called.
func (s *Submitter) trackCall() func() {
	s.open.Add(1)
	return func() {
		s.lastEnded.Store(time.Now().UnixNano())
		s.open.Add(-1)
	}
}

// Rejected counts and logs a job that was rejected before it was submitted.
func (s *Submitter) Rejected(id work.ID, status int, reason string) {
	s.counters.results.Add("turned", 1)
	s.logger.WithFields(log.Fields{"job": string(id), "status": status, "reason": reason}).Info("job rejected")
}

// IdleTime returns how long there has been no open call.
func (s *Submitter) IdleTime(now time.Time) time.Duration {
	if s.open.Load() > 0 {
		return 0
	}
	return now.Sub(time.Unix(0, s.lastEnded.Load()))
}

// OpenCalls returns the number of calls that are not answered yet.
func (s *Submitter) OpenCalls() int { return int(s.open.Load()) }

func (s *Submitter) run(ctx context.Context, a *attempt) dispatch.Reply {
	for {
		now := time.Now()
		if ctx.Err() != nil {
			return dispatch.Reply{Result: dispatch.Expired, Reason: "the caller has left"}
		}
		if !now.Before(a.deadline) {
			return a.giveUp("the deadline has passed")
		}
		verified := s.pauses.LastVerified()
		if !s.pauses.IsAwake(s.contacts.clock()) {
			// The caller may have left while this process was paused.
			sleep(ctx, retryPause)
			continue
		}
		o, final, ok := s.pickOwner(now, a)
		if ok && a.bound == "" && !s.isAdmitted(a, o.DataCentre) {
			continue
		}
		if !ok && a.refusal != nil {
			return *a.refusal
		}
		if !ok && a.bound == "" && len(a.unsuited) > 0 {
			return a.giveUp("no owner that answers has workers for a task")
		}
		if !ok && a.bound == "" && a.lacksMemory {
			return a.giveUp(reasonNoMemory)
		}
		if !ok && a.bound == "" && a.isThrottled() {
			return a.giveUp("the owners of the workers are behind")
		}
		if !ok {
			if !s.HasOwner(now) || a.isOwnerLost(now) {
				return a.giveUp("no owner of workers answers")
			}
			sleep(ctx, retryPause)
			continue
		}
		reply, ended := s.tryOwner(ctx, verified, a, o, final)
		if ended {
			return reply
		}
	}
}

// isAdmitted returns true if a job may be submitted to the owner of a data centre. This is
// decided once per job and data centre.
func (s *Submitter) isAdmitted(a *attempt, c ident.DataCentre) bool {
	ok, decided := a.admitted[c]
	if !decided {
		ok = s.contacts.Admits(c)
		a.admitted[c] = ok
	}
	return ok
}

// tryOwner submits a job to one owner. At the time verified the caller was known to be
// connected. It returns true if the reply is final.
func (s *Submitter) tryOwner(ctx context.Context, verified time.Time, a *attempt, o ownership.Owner, final bool) (dispatch.Reply, bool) {
	a.tries++
	now := time.Now()
	waited, left := a.times(now, s.contacts.clock().Sub(verified))
	sub := dispatch.Submission{
		Job: a.job, Host: s.self.Name, Boot: s.self.Boot, Call: a.call, Sequence: s.calls.Add(o.DataCentre, a.call),
		Waited: waited, Remaining: left, Final: final, Resubmitted: a.startedBefore(o), Pinned: a.yielded, MayRefer: true,
		Losses: s.contacts.lossesOf(a.job.ID),
	}
	reply, err := s.call(ctx, verified, o, sub)
	ended := time.Now()
	if err != nil {
		a.addTry(now, ended, o, err.Error())
		if !errors.As(err, new(*peer.UnreachableError)) {
			a.bind(ended, o)
		} else if a.bound == "" {
			s.calls.Remove(o.DataCentre, a.call)
		}
		if ctx.Err() != nil {
			return dispatch.Reply{Result: dispatch.Expired, Reason: "the caller has left"}, true
		}
		s.logger.WithFields(log.Fields{
			"job": string(a.job.ID), "owner": string(o.Host), "token": int64(o.Token),
		}).WithError(err).Warn("owner did not answer")
		sleep(ctx, retryPause)
		return reply, false
	}
	a.addTry(now, ended, o, string(reply.Result))
	if reply.Result != dispatch.Moved {
		s.contacts.SetLoad(o.DataCentre, reply.Load)
	}
	switch reply.Result {
	case dispatch.Busy:
		s.release(a, o.DataCentre)
		if final && !a.yielded {
			// Another data centre has got free capacity since it was tried.
			a.yielded = true
			clear(a.tried)
		}
		a.tried[o.DataCentre] = true
		return reply, false
	case dispatch.Unsuited:
		if a.bound != "" {
			return a.giveUp(reply.Reason), true
		}
		s.release(a, o.DataCentre)
		a.unsuited[o.DataCentre] = true
		return reply, false
	case dispatch.Moved:
		s.release(a, o.DataCentre)
		sleep(ctx, retryPause)
		return reply, false
	case dispatch.Interrupted:
		if reply.Final {
			return reply, true
		}
		a.bind(ended, o)
		return reply, false
	case dispatch.Refused:
		if a.bound != "" {
			return a.giveUp(reply.Reason), true
		}
		s.release(a, o.DataCentre)
		if a.refusal == nil {
			// Another data centre may have got free capacity since it was tried.
			clear(a.tried)
		}
		a.refusal, a.tried[o.DataCentre] = &reply, true
		return reply, false
	}
	a.bound = ""
	s.release(a, o.DataCentre)
	return reply, true
}

// times returns how long the caller had waited, and how long it would still wait, at the
// given duration before now.
func (a *attempt) times(now time.Time, before time.Duration) (waited, left time.Duration) {
	return now.Sub(a.arrived) - before, a.deadline.Sub(now) + before
}

// release records that the owner of a data centre does not have a job, unless an earlier
// try of it may still be there.
func (s *Submitter) release(a *attempt, c ident.DataCentre) {
	if a.bound == "" {
		s.calls.Remove(c, a.call)
	}
}

// bind records that an owner may have started a task of the job: only the owner of the
// same workers can then continue the job or tell its outcome.
func (a *attempt) bind(now time.Time, o ownership.Owner) {
	a.startedEarlier = a.startedBefore(o)
	a.bound, a.ownerlessSince, a.token = o.DataCentre, now, o.Token
	a.refusal = nil
}

// startedBefore returns true if a task of the job may have started under an ownership
// before o.
func (a *attempt) startedBefore(o ownership.Owner) bool {
	return a.startedEarlier || (a.bound != "" && a.token != o.Token)
}

// giveUp returns the reply to a job that ends without the reply of an owner.
func (a *attempt) giveUp(reason string) dispatch.Reply {
	if a.bound != "" {
		return dispatch.Reply{Result: dispatch.Interrupted, Reason: reason}
	}
	return dispatch.Reply{Result: dispatch.Refused, Reason: reason, RetryAfter: refusalRetryAfter}
}

// isOwnerLost returns true if the owner that may have the job has been missing for too
// long.
func (a *attempt) isOwnerLost(now time.Time) bool {
	return a.bound != "" && now.Sub(a.ownerlessSince) >= noOwnerTime
}

// pickOwner returns the owner to try next, and whether it must take or refuse the job. Its
// last result is false if there is none. A job that was refused is offered only to owners
// that have free capacity for it at once.
func (s *Submitter) pickOwner(now time.Time, a *attempt) (ownership.Owner, bool, bool) {
	owners := s.directory.Owners()
	if a.bound != "" {
		o, ok := owners[a.bound]
		return o, true, ok && s.isHeard(now, o)
	}
	a.lacksMemory = false
	tasks := a.job.Steps[0].Count
	hasOpen := s.hearsOpenCentre(now, owners)
	var candidates []spill.Owner
	for c, o := range owners {
		if ok, decided := a.admitted[c]; (decided && !ok) || a.unsuited[c] || !s.isHeard(now, o) || (hasOpen && s.isEvacuated(c)) {
			continue
		}
		if !s.freeMemory(c, o).Fits(a.weight) {
			a.lacksMemory = true
			continue
		}
		free, known := s.contacts.freeTasks(now, c)
		if !known {
			free = tasks
		}
		candidates = append(candidates, spill.Owner{DataCentre: c, Free: free, Home: c == s.self.DataCentre, Tried: a.tried[c]})
	}
	picked, final, ok := spill.Pick(candidates, tasks, a.refusal != nil)
	return owners[picked.DataCentre], final, ok
}

// freeMemory returns the memory that the owner of a data centre has left for large jobs, as far as
// it is known.
func (s *Submitter) freeMemory(c ident.DataCentre, o ownership.Owner) intake.FreeMemory {
	if o.Host == s.self.Name {
		return s.owners.memory.Free()
	}
	l, _ := s.contacts.Load(c)
	return l.Memory
}

func (s *Submitter) isEvacuated(c ident.DataCentre) bool {
	return s.contacts.evacuation.Access(c) == evacuation.Evacuated
}

// hearsOpenCentre returns true if the owner of a data centre is heard that is not evacuated.
func (s *Submitter) hearsOpenCentre(now time.Time, owners map[ident.DataCentre]ownership.Owner) bool {
	for c, o := range owners {
		if !s.isEvacuated(c) && s.isHeard(now, o) {
			return true
		}
	}
	return false
}

// isHeard returns true if an owner is this process or has answered it within
// ownerSilence.
func (s *Submitter) isHeard(now time.Time, o ownership.Owner) bool {
	if o.Host == s.self.Name {
		return o.Boot == s.self.Boot
	}
	c, ok := s.contacts.Contact(o.Host)
	return ok && c.Boot == o.Boot && now.Sub(c.Heard) < ownerSilence
}

func (s *Submitter) call(ctx context.Context, verified time.Time, o ownership.Owner, sub dispatch.Submission) (dispatch.Reply, error) {
	if o.Host == s.self.Name {
		sub.CallerSeen = verified
		return s.owners.Submit(ctx, o.DataCentre, sub)
	}
	sent, ok := s.contacts.ClockOf(verified, o)
	if !ok {
		return dispatch.Reply{Result: dispatch.Moved}, nil
	}
	sub.Sent = sent
	return peer.Call[submitRequest, dispatch.Reply](ctx, s.links, o.Address, kindSubmit, submitRequest{
		DataCentre: o.DataCentre, Token: o.Token, Submission: sub,
	})
}

// abandon tells the owner that may have a job that its caller no longer waits. It does so
// even if the owner is not heard, because the owner may still hear this host.
func (s *Submitter) abandon(a *attempt) {
	if a.bound == "" {
		return
	}
	s.calls.Remove(a.bound, a.call)
	if o, ok := s.directory.Owners()[a.bound]; ok {
		go s.withdraw(o, a)
	}
}

// withdraw tells an owner that the caller of a job has left.
func (s *Submitter) withdraw(o ownership.Owner, a *attempt) {
	r := withdrawRequest{DataCentre: o.DataCentre, Host: s.self.Name, Call: a.call, Job: a.job.ID}
	if o.Host == s.self.Name {
		s.owners.Withdraw(r.DataCentre, r.Host, r.Call, r.Job)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
	defer cancel()
	if _, err := peer.Call[withdrawRequest, struct{}](ctx, s.links, o.Address, kindWithdraw, r); err != nil {
		s.counters.withdrawals.Add(withdrawalLost, 1)
		s.logger.WithFields(log.Fields{"job": string(a.job.ID), "owner": string(o.Host)}).WithError(err).Warn("job not withdrawn")
	}
}
