package entry

import (
	"context"
	"time"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/job"
	"github.com/catkingap/catkingap/outcome"
	"github.com/catkingap/catkingap/peer"
	"github.com/catkingap/catkingap/timeline"
)

const (
	kindJobCancel = peer.Kind("jobCancel")
	kindJobWait   = peer.Kind("jobWait")

	attachPollInterval = 250 * time.Millisecond
	// jobWaitTime is how long a holder waits before it answers a JobWait.
	jobWaitTime = time.Second
	// peerTimeout bounds a call to another entry host, in addition to the time
	// that the called host waits.
	peerTimeout = 500 * time.Millisecond
	// followTimeout is the time without an update of a job after which its
	// caller gets an unknown outcome.
	followTimeout = 5 * time.Second
	// deadlineGrace is the time after the deadline in which a holder may still
	// record the outcome of a job.
	deadlineGrace = time.Second
)

// JobWait asks the holder of a job for its outcome.
type JobWait struct {
	Job ident.Job `msgpack:"job"`
}

// JobOutcome answers a JobWait. Held is false if the host does not hold the
// job. Ended is false if the outcome is not decided yet.
type JobOutcome struct {
	Held    bool        `msgpack:"held"`
	Ended   bool        `msgpack:"ended"`
	Outcome job.Outcome `msgpack:"outcome"`
}

// JobCancel asks the holder of a job to cancel it.
type JobCancel struct {
	Job ident.Job `msgpack:"job"`
}

// JobCancelled answers a JobCancel.
type JobCancelled struct {
	Held bool `msgpack:"held"`
}

// call calls an entry host at its address in the membership list, or else at
// the address in its heartbeat.
func call[Request, Response any](ctx context.Context, j *Jobs, h job.Holder, k peer.Kind, r Request) (Response, error) {
	address := j.watcher.address(h.Host)
	if m, ok := j.directory.Host(h.Host); ok {
		address = m.Address
	}
	return peer.Call[Request, Response](ctx, j.links, address, k, r)
}

func (j *Jobs) handleCancel(_ context.Context, c JobCancel) (JobCancelled, error) {
	return JobCancelled{Held: j.cancel(c.Job)}, nil
}

// handleWait answers another host that waits for a job of this host.
func (j *Jobs) handleWait(ctx context.Context, w JobWait) (JobOutcome, error) {
	j.mutex.Lock()
	r := j.held[w.Job]
	j.mutex.Unlock()
	if r == nil {
		return JobOutcome{}, nil
	}
	timer := time.NewTimer(jobWaitTime)
	defer timer.Stop()
	select {
	case <-r.done:
		if r.ending.attached != nil {
			return JobOutcome{}, nil
		}
		return JobOutcome{Held: true, Ended: true, Outcome: r.ending.outcome}, nil
	case <-timer.C:
		return JobOutcome{Held: true}, nil
	case <-ctx.Done():
		return JobOutcome{}, ctx.Err()
	}
}

// follow waits for the outcome of a job that another host holds.
func (j *Jobs) follow(ctx context.Context, s *job.Submission, digest string, row job.Row) job.Outcome {
	j.ring.Add(time.Now(), timeline.Event{Kind: timeline.Attached, Team: s.Team, Job: s.Key, Epoch: row.Epoch, Detail: string(row.Holder.Host)})
	lastUpdate := time.Now()
	for ctx.Err() == nil {
		if row.Digest != digest {
			return failedOutcome(outcome.New(outcome.NotRun, outcome.Conflict, "key %s was used for another job", s.Key))
		}
		if row.State.Ended() && row.Outcome != nil {
			return j.loadAnswers(ctx, *row.Outcome)
		}
		answer, err := j.askHolder(ctx, s.Job, row.Holder)
		if err == nil && answer.Ended {
			return answer.Outcome
		}
		now := time.Now()
		if err == nil && answer.Held {
			lastUpdate = now
		} else if current, _, err := j.read(ctx, s.Job); err == nil && current != nil {
			row, lastUpdate = *current, now
		}
		if late := !s.Deadline.IsZero() && now.After(s.Deadline.Add(deadlineGrace)); late || now.Sub(lastUpdate) > followTimeout {
			return failedOutcome(outcome.New(outcome.Unknown, outcome.DeadlinePassed, "no outcome in time").WithRetryAfter(storeRetryDelay))
		}
		if !answer.Held && !row.State.Ended() {
			pause(ctx, attachPollInterval)
		}
	}
	return failedOutcome(outcomeOfContext(ctx, true))
}

// askHolder asks the holder, which may be this host, for the outcome and waits
// a bounded time.
func (j *Jobs) askHolder(ctx context.Context, id ident.Job, h job.Holder) (JobOutcome, error) {
	if h == j.identity.Holder {
		return j.handleWait(ctx, JobWait{Job: id})
	}
	ctx, cancel := context.WithTimeout(ctx, jobWaitTime+peerTimeout)
	defer cancel()
	return call[JobWait, JobOutcome](ctx, j, h, kindJobWait, JobWait{Job: id})
}

// pause sleeps for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
