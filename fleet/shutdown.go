package fleet

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apex/log"
)

// Shutdown ends the work of this host in order.
type Shutdown struct {
	settings      Settings
	contacts      *Contacts
	owners        *Owners
	submitter     *Submitter
	configuration *Configuration
	logger        log.Interface
	leaving       atomic.Bool
	closing       atomic.Bool
	// end is when the shutdown ends, in nanoseconds since 1970, or zero.
	end atomic.Int64
}

const (
	// unreadyTime is how long a host that leaves goes on taking connections: the
	// balancer looks every second and needs two looks.
	unreadyTime = 2500 * time.Millisecond
	// finishFactor and finishTime bound how much longer than estimated a job may
	// take that is accepted while the host shuts down.
	finishFactor = 1.5
	finishTime   = 200 * time.Millisecond
	// quietExit is the time without a job after which a host that shuts down
	// ends. Callers that still come find no listener and go elsewhere.
	quietExit = 10 * time.Millisecond
)

func newShutdown(s Settings, c *Contacts, o *Owners, submitter *Submitter, configuration *Configuration, l log.Interface) *Shutdown {
	return &Shutdown{settings: s, contacts: c, owners: o, submitter: submitter, configuration: configuration, logger: l}
}

// Ready returns true if callers should be sent to this host.
func (s *Shutdown) Ready() bool {
	return !s.leaving.Load() && s.configuration.Table() != nil && s.submitter.Owned(time.Now())
}

// Closing returns true if connections should be closed after their answer.
func (s *Shutdown) Closing() bool { return s.closing.Load() }

// Refusing returns true if a job with an estimated run time can not be done
// before the host has shut down.
func (s *Shutdown) Refusing(now time.Time, estimate time.Duration) bool {
	end := s.end.Load()
	return end != 0 && now.Add(time.Duration(finishFactor*float64(estimate))+finishTime).After(time.Unix(0, end))
}

// Run leaves the fleet: other hosts take what this one owns, callers go to
// other hosts, and what is open is answered.
func (s *Shutdown) Run(ctx context.Context) {
	end := time.Now().Add(s.settings.ShutdownTimeout)
	s.end.Store(end.UnixNano())
	s.leaving.Store(true)
	s.contacts.Leave()
	s.logger.WithField("open", s.submitter.Open()).Info("shutdown begun")
	pause(ctx, unreadyTime)
	s.closing.Store(true)
	for now := time.Now(); now.Before(end) && ctx.Err() == nil; now = time.Now() {
		if s.submitter.Quiet(now) >= quietExit && s.owners.idle() {
			break
		}
		pause(ctx, retryPause)
	}
	s.logger.WithField("open", s.submitter.Open()).Info("shutdown ends")
}
