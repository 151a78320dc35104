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
	refusing      atomic.Bool
}

const (
	// unreadyTime is how long a host that leaves goes on taking connections: the
	// balancer looks every second and needs two looks.
	unreadyTime = 2500 * time.Millisecond
	// refuseTime is how long before the end of a shutdown new jobs are refused.
	refuseTime = 1200 * time.Millisecond
	// lastAnswers is the time for the last answers to leave.
	lastAnswers = 100 * time.Millisecond
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

// Refusing returns true if no more work may be taken.
func (s *Shutdown) Refusing() bool { return s.refusing.Load() }

// Run leaves the fleet: other hosts take what this one owns, callers go to
// other hosts, and what is open is answered.
func (s *Shutdown) Run(ctx context.Context) {
	begun := time.Now()
	s.leaving.Store(true)
	s.contacts.Leave()
	s.logger.WithField("open", s.submitter.Open()).Info("shutdown begun")
	pause(ctx, unreadyTime)
	s.closing.Store(true)
	end := begun.Add(s.settings.ShutdownTimeout)
	for time.Now().Before(end) && ctx.Err() == nil {
		if time.Until(end) < refuseTime {
			s.refusing.Store(true)
		}
		if s.refusing.Load() && s.submitter.Open() == 0 && s.owners.idle() {
			break
		}
		pause(ctx, retryPause)
	}
	s.logger.WithField("open", s.submitter.Open()).Info("shutdown ends")
	pause(ctx, lastAnswers)
}
