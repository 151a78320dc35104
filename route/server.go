package route

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
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
	// owned is the number of slots that are this host's share.
	owned int
	// lent and borrowed count slots that other hosts use or have given.
	lent, borrowed int
	running        int
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
	// maxPauseDoublings bounds the growth of the pause after refusals.
	maxPauseDoublings = 6
)

// free returns how many more tasks this host may start on the server.
func (s *server) free() int {
	if s.Leaving || !s.present {
		return 0
	}
	return min(s.owned-s.lent+s.borrowed, s.Slots) - s.running
}

// usable returns true if the server may get a task now.
func (s *server) usable(now time.Time) bool {
	return s.free() > 0 && !now.Before(s.paused)
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

// shareSlots returns the slots of a server that self owns: the slots are
// shared between the hosts of the server's data centre in proportion to their
// weights, or between all hosts if it has none. All hosts that know the same
// hosts compute the same shares.
func shareSlots(s Server, self Peer, peers []Peer) int {
	all := append([]Peer{self}, peers...)
	near := all[:0:0]
	for _, p := range all {
		if p.DataCentre == s.DataCentre {
			near = append(near, p)
		}
	}
	if len(near) == 0 {
		near = all
	}
	if !slices.Contains(near, self) {
		return 0
	}
	return apportion(s, near)[self.Name]
}

// apportion splits the slots of a server between hosts by largest remainder.
// A hash settles who gets the slots that are left, so that the shares of a host
// differ from server to server and sum up to its weight.
func apportion(s Server, hosts []Peer) map[ident.Host]int {
	total := 0
	for _, h := range hosts {
		total += max(h.Weight, 1)
	}
	type claim struct {
		host  ident.Host
		score float64
	}
	shares := make(map[ident.Host]int, len(hosts))
	claims := make([]claim, 0, len(hosts))
	left := s.Slots
	for _, h := range hosts {
		exact := float64(s.Slots) * float64(max(h.Weight, 1)) / float64(total)
		whole := int(exact)
		shares[h.Name] = whole
		left -= whole
		// Weighted rendezvous hashing: the chance to win is in proportion to
		// the remainder.
		claims = append(claims, claim{h.Name, (exact - float64(whole)) / -math.Log(hashUnit(s.Name, h.Name))})
	}
	slices.SortFunc(claims, func(a, b claim) int {
		return cmp.Or(-cmp.Compare(a.score, b.score), cmp.Compare(a.host, b.host))
	})
	for _, c := range claims[:left] {
		shares[c.host]++
	}
	return shares
}

// hashUnit returns a number between 0 and 1, both excluded, from a hash.
func hashUnit(s ident.Server, h ident.Host) float64 {
	hash := fnv.New64a()
	hash.Write([]byte(s))
	hash.Write([]byte{0})
	hash.Write([]byte(h))
	// The multiplication spreads the high bits, which FNV mixes poorly.
	mixed := (hash.Sum64() ^ hash.Sum64()>>29) * 0xbf58476d1ce4e5b9
	return (float64(mixed>>11) + 0.5) / (1 << 53)
}
