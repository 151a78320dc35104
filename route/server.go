package route

import (
	"math"
	"time"

	"github.com/catkingap/catkingap/ident"
)

// Server describes a backend server of a pool.
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
	// announced is the number of heartbeats for which the server still counts as
	// leaving after it announced it. The membership list lags behind.
	announced int
	// owned is the number of slots that are this host's share. It is valid once
	// ownedKnown is true.
	owned      int
	ownedKnown bool
	// lent counts slots lent to other hosts, and borrowed slots borrowed from
	// them.
	lent, borrowed int
	// recalled counts borrowed slots that must be returned to their owner.
	recalled int
	// newlyOwned and withheld count slots that this host has owned for less than
	// two heartbeats. The previous owner may still use them.
	newlyOwned, withheld int
	// formerlyOwned counts slots that this host has owned since the last
	// heartbeat and no longer owns. It may use them until the next one.
	formerlyOwned int
	running       int
	// logRunTime is the moving average of the logarithm of the run time in
	// seconds. The logarithm keeps a few long tasks from hiding the speed of the
	// server.
	logRunTime float64
	// runTime is the estimated run time in seconds, or zero without samples.
	runTime     float64
	samples     int
	pausedUntil time.Time
	// pauses counts the pauses since the last answer.
	pauses int
}

const (
	// runTimeSmoothing is the least weight of a new sample in the moving average
	// of run times.
	runTimeSmoothing = 0.05
	// announcedHeartbeats is the number of heartbeats for which a server counts
	// as leaving after it announced it.
	announcedHeartbeats = 30
	// maxPauseDoublings limits the doublings of a pause.
	maxPauseDoublings = 6
)

// isLeaving returns true if the server must get no new work.
func (s *server) isLeaving() bool { return s.Leaving || s.announced > 0 }

// unusedSlots returns how many of the slots that this host holds on the server
// are not in use. It includes recalled slots.
func (s *server) unusedSlots() int {
	if s.isLeaving() || !s.present {
		return 0
	}
	return min(s.usableOwned()+s.borrowed, s.Slots) - s.running
}

// usableOwned returns how many slots of its own share this host may use.
func (s *server) usableOwned() int {
	return s.owned + s.formerlyOwned - s.newlyOwned - s.withheld - s.lent
}

// freeSlots returns how many more tasks this host may start on the server.
func (s *server) freeSlots() int {
	if s.isLeaving() || !s.present {
		return 0
	}
	return min(s.usableOwned()+s.borrowed-s.recalled, s.Slots) - s.running
}

// recordRunTime adds a run time to the moving average.
func (s *server) recordRunTime(took time.Duration) {
	s.samples++
	weight := max(runTimeSmoothing, 1/float64(s.samples))
	s.logRunTime += weight * (math.Log(max(took, time.Millisecond).Seconds()) - s.logRunTime)
	s.runTime = math.Exp(s.logRunTime)
}

// pause gives the server no work for a time that doubles with each call since
// its last answer.
func (s *server) pause(now time.Time, pause time.Duration) {
	s.pausedUntil = now.Add(pause << min(s.pauses, maxPauseDoublings))
	s.pauses++
}
