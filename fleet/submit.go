package fleet

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/catkingap/catkingap/dispatch"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/ownership"
	"github.com/catkingap/catkingap/peer"
	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

const (
	// retryPause is the time between two tries to reach an owner.
	retryPause = 20 * time.Millisecond
	// noOwnerTime is how long a host without an owner takes jobs, and how long a
	// job that has begun waits for the next owner. An owner that was lost is
	// replaced within about a second.
	noOwnerTime = 1200 * time.Millisecond
	// withdrawTimeout bounds the message to an owner that a caller has left. What
	// it misses, the next sign tells.
	withdrawTimeout = 250 * time.Millisecond
	// ownerSilence is how long an owner may be silent before jobs are handed to
	// another one that is heard.
	ownerSilence = 500 * time.Millisecond
	// refusedRetry is when a caller should come back if no owner was found.
	refusedRetry = time.Second
)

// Submitter hands the jobs of this host's callers to owners.
type Submitter struct {
	self      ownership.Host
	links     *peer.Links
	directory *Directory
	contacts  *Contacts
	owners    *Owners
	watch     *Watch
	counters  *Counters
	logger    log.Interface
	wants     *wants
	open      atomic.Int64
	// owned is when an owner was last known, in nanoseconds since 1970.
	owned atomic.Int64
	// last is when the last job ended, in nanoseconds since 1970.
	last atomic.Int64
}

func newSubmitter(self ownership.Host, l *peer.Links, d *Directory, c *Contacts, o *Owners, w *Watch, counters *Counters, logger log.Interface) *Submitter {
	s := &Submitter{
		self: self, links: l, directory: d, contacts: c, owners: o, watch: w, counters: counters, logger: logger, wants: newWants(),
	}
	s.owned.Store(time.Now().UnixNano())
	c.wanted = s.wanted
	c.waits = s.wants.any
	return s
}

// wanted returns which calls may be at the owner of a data centre, and false if
// this process can not tell because it was paused.
func (s *Submitter) wanted(c ident.DataCentre) (wantedCalls, bool) {
	at := s.watch.Verified()
	if !s.watch.Awake(s.contacts.clock()) {
		return wantedCalls{}, false
	}
	calls, try := s.wants.list(c)
	return wantedCalls{calls: calls, try: try, at: at}, true
}

// Owned returns true if an owner of workers is known, or was so lately that
// another one may take its place.
func (s *Submitter) Owned(now time.Time) bool {
	for _, o := range s.directory.Owners() {
		if s.heard(now, o) {
			s.owned.Store(now.UnixNano())
			return true
		}
	}
	return now.Sub(time.Unix(0, s.owned.Load())) < noOwnerTime
}

// attempt is a job on its way to an owner.
type attempt struct {
	job      work.Job
	call     uint64
	arrived  time.Time
	deadline time.Time
	// bound is the data centre in which something of the job may have started,
	// or empty.
	bound ident.DataCentre
	// boundAt is since when no owner is known to have the job.
	boundAt time.Time
	// token is that of the ownership to which the job was handed last, and moved
	// is true if another one may have started something of it before.
	token worker.Token
	moved bool
	// tried holds the data centres without room.
	tried map[ident.DataCentre]bool
	// gates tells for the data centres that were picked whether their owners get the
	// job, or are too far behind for it.
	gates map[ident.DataCentre]bool
	tries int
	// yielded is true if an owner that had queued the job has sent it away, since others
	// had room.
	yielded bool
	// refusal is the reply of the owner that had the job last and has refused it as not
	// run, or nil.
	refusal *dispatch.Reply
	// trail tells the tries for the log: the owner and its token, how the try
	// ended, when it began after the caller's request and how long it took.
	trail []string
}

func newAttempt(j work.Job, arrived, deadline time.Time) *attempt {
	return &attempt{
		job: j, arrived: arrived, deadline: deadline, tried: map[ident.DataCentre]bool{}, gates: map[ident.DataCentre]bool{},
	}
}

// held returns true if an owner does not get the job since it is too far behind.
func (a *attempt) held() bool {
	for _, passes := range a.gates {
		if !passes {
			return true
		}
	}
	return false
}

// maxTrail bounds the tries of one job that are logged.
const maxTrail = 8

// note adds a try to the trail.
func (a *attempt) note(began, now time.Time, o ownership.Owner, how string) {
	if len(a.trail) < maxTrail {
		a.trail = append(a.trail, fmt.Sprintf("%s#%d %d+%d %s", o.Host, o.Token,
			began.Sub(a.arrived).Milliseconds(), now.Sub(began).Milliseconds(), how))
	}
}

// Submit hands a job to an owner and waits for its end. It ends early if ctx
// does, which means that the caller has left.
func (s *Submitter) Submit(ctx context.Context, j work.Job, arrived, deadline time.Time) dispatch.Reply {
	defer s.enter()()
	a := newAttempt(j, arrived, deadline)
	a.call = s.wants.number()
	r := s.run(ctx, a)
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

// enter counts a call of a caller as open until the returned function is called.
func (s *Submitter) enter() func() {
	s.open.Add(1)
	return func() {
		s.last.Store(time.Now().UnixNano())
		s.open.Add(-1)
	}
}

// Turned logs a job that was turned away before it was handed in.
func (s *Submitter) Turned(id work.ID, status int, reason string) {
	s.counters.results.Add("turned", 1)
	s.logger.WithFields(log.Fields{"job": string(id), "status": status, "reason": reason}).Info("job turned away")
}

// Quiet returns how long there has been no job.
func (s *Submitter) Quiet(now time.Time) time.Duration {
	if s.open.Load() > 0 {
		return 0
	}
	return now.Sub(time.Unix(0, s.last.Load()))
}

// Open returns the number of calls of callers that are not answered.
func (s *Submitter) Open() int { return int(s.open.Load()) }

func (s *Submitter) run(ctx context.Context, a *attempt) dispatch.Reply {
	for {
		now := time.Now()
		if ctx.Err() != nil {
			return dispatch.Reply{Result: dispatch.Expired, Reason: "the caller has left"}
		}
		if !now.Before(a.deadline) {
			return a.giveUp("the deadline has passed")
		}
		verified := s.watch.Verified()
		if !s.watch.Awake(s.contacts.clock()) {
			// The caller may have left while this process was paused.
			pause(ctx, retryPause)
			continue
		}
		o, final, ok := s.pick(now, a)
		if ok && a.bound == "" && !s.passes(a, o.DataCentre) {
			continue
		}
		if !ok && a.refusal != nil {
			return *a.refusal
		}
		if !ok && a.bound == "" && a.held() {
			return a.giveUp("the owners of the workers are behind")
		}
		if !ok {
			if !s.Owned(now) || a.lost(now) {
				return a.giveUp("no owner of workers answers")
			}
			pause(ctx, retryPause)
			continue
		}
		reply, ended := s.try(ctx, verified, a, o, final)
		if ended {
			return reply
		}
	}
}

// passes returns true if the owner of a data centre gets a job, which is decided once.
func (s *Submitter) passes(a *attempt, c ident.DataCentre) bool {
	passes, asked := a.gates[c]
	if !asked {
		passes = s.contacts.Pass(c)
		a.gates[c] = passes
	}
	return passes
}

// try hands a job to one owner, whose caller was known to wait at verified. It
// returns true with the final reply.
func (s *Submitter) try(ctx context.Context, verified time.Time, a *attempt, o ownership.Owner, final bool) (dispatch.Reply, bool) {
	a.tries++
	now := time.Now()
	waited, left := a.times(now, s.contacts.clock().Sub(verified))
	sub := dispatch.Submission{
		Job: a.job, Host: s.self.Name, Boot: s.self.Boot, Call: a.call, Try: s.wants.add(o.DataCentre, a.call),
		Waited: waited, Left: left, Final: final, Again: a.startedBefore(o), Stays: a.yielded,
	}
	reply, err := s.call(ctx, verified, o, sub)
	ended := time.Now()
	if err != nil {
		a.note(now, ended, o, err.Error())
		if !errors.As(err, new(*peer.UnreachableError)) {
			a.bind(ended, o)
		} else if a.bound == "" {
			s.wants.remove(o.DataCentre, a.call)
		}
		if ctx.Err() != nil {
			return dispatch.Reply{Result: dispatch.Expired, Reason: "the caller has left"}, true
		}
		s.logger.WithFields(log.Fields{
			"job": string(a.job.ID), "owner": string(o.Host), "token": int64(o.Token),
		}).WithError(err).Warn("owner did not answer")
		pause(ctx, retryPause)
		return reply, false
	}
	a.note(now, ended, o, string(reply.Result))
	if reply.Result != dispatch.Moved {
		s.contacts.SetLoad(o.DataCentre, reply.Load)
	}
	switch reply.Result {
	case dispatch.Busy:
		s.release(a, o.DataCentre)
		if final && !a.yielded {
			// Another data centre has got room since it was asked.
			a.yielded = true
			clear(a.tried)
		}
		a.tried[o.DataCentre] = true
		return reply, false
	case dispatch.Moved:
		s.release(a, o.DataCentre)
		pause(ctx, retryPause)
		return reply, false
	case dispatch.Interrupted:
		a.bind(ended, o)
		return reply, false
	case dispatch.Refused:
		if a.bound != "" {
			return a.giveUp(reply.Reason), true
		}
		s.release(a, o.DataCentre)
		if a.refusal == nil {
			// Another data centre may have got room since it was asked.
			clear(a.tried)
		}
		a.refusal, a.tried[o.DataCentre] = &reply, true
		return reply, false
	}
	a.bound = ""
	s.release(a, o.DataCentre)
	return reply, true
}

// times returns how long the caller had waited, and how long it waits yet, a while
// before now.
func (a *attempt) times(now time.Time, before time.Duration) (waited, left time.Duration) {
	return now.Sub(a.arrived) - before, a.deadline.Sub(now) + before
}

// release notes that the owner of a data centre does not have a job, unless an
// earlier try may still be there.
func (s *Submitter) release(a *attempt, c ident.DataCentre) {
	if a.bound == "" {
		s.wants.remove(c, a.call)
	}
}

// bind notes that an owner may have started something of the job: only the owner
// of the same workers can tell, or go on.
func (a *attempt) bind(now time.Time, o ownership.Owner) {
	a.moved = a.startedBefore(o)
	a.bound, a.boundAt, a.token = o.DataCentre, now, o.Token
	a.refusal = nil
}

// startedBefore returns true if something of the job may have started under an
// ownership before o.
func (a *attempt) startedBefore(o ownership.Owner) bool {
	return a.moved || (a.bound != "" && a.token != o.Token)
}

// giveUp returns the reply to a job that ends without an owner's word.
func (a *attempt) giveUp(reason string) dispatch.Reply {
	if a.bound != "" {
		return dispatch.Reply{Result: dispatch.Interrupted, Reason: reason}
	}
	return dispatch.Reply{Result: dispatch.Refused, Reason: reason, RetryAfter: refusedRetry}
}

// lost returns true if the owner that has the job, or had it, is gone for too
// long.
func (a *attempt) lost(now time.Time) bool {
	return a.bound != "" && now.Sub(a.boundAt) >= noOwnerTime
}

// pick returns the owner to ask next, and true if it must take or refuse the job. A job
// that was refused is offered only to owners that have room at once.
func (s *Submitter) pick(now time.Time, a *attempt) (ownership.Owner, bool, bool) {
	owners := s.directory.Owners()
	if a.bound != "" {
		o, ok := owners[a.bound]
		return o, true, ok && s.heard(now, o)
	}
	tasks := a.job.Steps[0].Count
	var best, fallback ownership.Owner
	bestRoom, fallbackRoom := 0, 0
	for c, o := range owners {
		if passes, asked := a.gates[c]; (asked && !passes) || !s.heard(now, o) {
			continue
		}
		load, known := s.contacts.Load(c)
		room := load.Room
		if !known {
			room = tasks
		}
		home := c == s.self.DataCentre
		if a.refusal != nil && room < tasks {
			continue
		}
		if fallback.Host == "" || spillScore(room, home) > spillScore(fallbackRoom, fallback.DataCentre == s.self.DataCentre) {
			fallback, fallbackRoom = o, room
		}
		if a.tried[c] || (!home && room < tasks) {
			continue
		}
		if home {
			room += homeBonus
		}
		if best.Host == "" || room > bestRoom {
			best, bestRoom = o, room
		}
	}
	if best.Host != "" && len(a.tried) < len(owners) {
		return best, false, true
	}
	return fallback, true, fallback.Host != "" && a.refusal == nil
}

// homeBonus makes the owner of the host's own data centre be asked first: bytes
// between data centres are dear.
const homeBonus = 1 << 20

// homeSpill is how many more waiting tasks the own data centre may have than
// another one before a job that no owner can start at once goes there.
const homeSpill = 6

func spillScore(room int, home bool) int {
	if home {
		return room + homeSpill
	}
	return room
}

// heard returns true if an owner is this host or has answered it lately.
func (s *Submitter) heard(now time.Time, o ownership.Owner) bool {
	if o.Host == s.self.Name {
		return o.Boot == s.self.Boot
	}
	c, ok := s.contacts.Contact(o.Host)
	return ok && c.Boot == o.Boot && now.Sub(c.Heard) < ownerSilence
}

func (s *Submitter) call(ctx context.Context, verified time.Time, o ownership.Owner, sub dispatch.Submission) (dispatch.Reply, error) {
	if o.Host == s.self.Name {
		sub.Wanted = verified
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

// abandon tells the owner that may have a job that nobody waits for it any more.
// The owner may hear this host although it is not heard itself.
func (s *Submitter) abandon(a *attempt) {
	if a.bound == "" {
		return
	}
	s.wants.remove(a.bound, a.call)
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
