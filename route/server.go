package route

import (
	"math"
	"time"

	"github.com/catkingap/catkingap/ident"
)

// Server is what the choice knows of a backend server.
type Server struct {
	Name       ident.Server
	Address    string
	DataCentre ident.DataCentre
	// Slots is the number of tasks that the server runs at once.
	Slots int
	// Leaving is true if the server must get no new work.
	Leaving bool
}

// server is the state of one backend server on this entry host.
type server struct {
	Server
	present bool
	// announced is the number of heartbeats for which the server's own word
	// that it is leaving still counts, because the membership list lags.
	announced int
	// owned is the number of slots that are this host's share. It is valid
	// once shared is true.
	owned  int
	shared bool
	// lent and borrowed count slots that other hosts use or have given.
	lent, borrowed int
	// recalled counts borrowed slots whose owner wants them back.
	recalled int
	// fresh and withheld count slots that this host has owned for less than
	// two heartbeats. The host that had them may still use them.
	fresh, withheld int
	// excess counts slots that were owned until now. They may be used until
	// the next heartbeat.
	excess  int
	running int
	// logRunTime is the mean of the logarithm of the run time in seconds. A
	// logarithm keeps a few long tasks from hiding the speed of the server.
	logRunTime float64
	// runTime is the learned run time in seconds, zero before the first.
	runTime float64
	samples int
	paused  time.Time
	// refusals counts the refusals since the last task that ran.
	refusals int
}

const (
	// learnShare is the weight of a new run time in the learned mean.
	learnShare = 0.05
	// announcedBeats is the number of heartbeats for which a server's own word
	// that it is leaving counts.
	announcedBeats = 30
	// maxPauseDoublings bounds the growth of the pause after refusals.
	maxPauseDoublings = 6
)

// isLeaving returns true if the server must get no new work.
func (s *server) isLeaving() bool { return s.Leaving || s.announced > 0 }

// unused returns how many slots that this host holds on the server are unused.
func (s *server) unused() int {
	if s.isLeaving() || !s.present {
		return 0
	}
	return min(s.spareOwned()+s.borrowed, s.Slots) - s.running
}

// spareOwned returns the slots that this host owns and may use.
func (s *server) spareOwned() int {
	return s.owned + s.excess - s.fresh - s.withheld - s.lent
}

// free returns how many more tasks this host may start on the server.
func (s *server) free() int {
	if s.isLeaving() || !s.present {
		return 0
	}
	return min(s.spareOwned()+s.borrowed-s.recalled, s.Slots) - s.running
}

// learn adds a run time to the learned mean.
func (s *server) learn(took time.Duration) {
	s.samples++
	weight := max(learnShare, 1/float64(s.samples))
	s.logRunTime += weight * (math.Log(max(took, time.Millisecond).Seconds()) - s.logRunTime)
	s.runTime = math.Exp(s.logRunTime)
}

// refuse pauses the server after a refusal, longer with each one.
func (s *server) refuse(now time.Time, pause time.Duration) {
	s.paused = now.Add(pause << min(s.refusals, maxPauseDoublings))
	s.refusals++
}
