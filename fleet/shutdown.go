package fleet

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apex/log"
)

// Shutdown shuts this host down gracefully.
type Shutdown struct {
	settings      Settings
	contacts      *Contacts
	owners        *Owners
	submitter     *Submitter
	configuration *Configuration
	logger        log.Interface
	leaving       atomic.Bool
	closing       atomic.Bool
	// end is the deadline of the shutdown in nanoseconds since 1970, or zero.
	end atomic.Int64
}

const (
	// unreadyTime is how long a host that shuts down still accepts connections: the
	// balancer checks every second and needs two checks.
	unreadyTime = 2500 * time.Millisecond
	// finishFactor and finishMargin bound how much longer than estimated a job may take
	// that is accepted during the shutdown.
	finishFactor = 1.5
	finishMargin = 200 * time.Millisecond
	// idleExit is the time without an open call after which the shutdown ends. Later
	// callers find no listener and connect to another host.
	idleExit = 10 * time.Millisecond
)

func newShutdown(s Settings, c *Contacts, o *Owners, submitter *Submitter, configuration *Configuration, l log.Interface) *Shutdown {
	return &Shutdown{settings: s, contacts: c, owners: o, submitter: submitter, configuration: configuration, logger: l}
}

// Ready returns true if callers should be sent to this host.
func (s *Shutdown) Ready() bool {
	return !s.leaving.Load() && s.configuration.Table() != nil && s.submitter.HasOwner(time.Now())
}

// Closing returns true if connections should be closed after their response.
func (s *Shutdown) Closing() bool { return s.closing.Load() }

// MustRefuse returns true if a job with an estimated run time cannot end before the host
// has shut down.
func (s *Shutdown) MustRefuse(now time.Time, estimate time.Duration) bool {
	end := s.end.Load()
	return end != 0 && now.Add(time.Duration(finishFactor*float64(estimate))+finishMargin).After(time.Unix(0, end))
}

// Run shuts the host down: other hosts take over its ownerships, callers are sent to
// other hosts, and open calls are answered.
func (s *Shutdown) Run(ctx context.Context) {
	end := time.Now().Add(s.settings.ShutdownTimeout)
	s.end.Store(end.UnixNano())
	s.leaving.Store(true)
	s.contacts.Leave()
	s.logger.WithField("open", s.submitter.OpenCalls()).Info("shutdown begun")
	sleep(ctx, unreadyTime)
	s.closing.Store(true)
	for now := time.Now(); now.Before(end) && ctx.Err() == nil; now = time.Now() {
		if s.submitter.IdleTime(now) >= idleExit && s.owners.isIdle() {
			break
		}
		sleep(ctx, retryPause)
	}
	s.logger.WithField("open", s.submitter.OpenCalls()).Info("shutdown ends")
	s.submitter.EndCalls()
}
