package intake

import (
	"sync"
	"time"
)

// Phase is what a connection does.
type Phase int

// The phases of a connection.
const (
	// Receiving means that the client has to send the rest of a request, or to close.
	Receiving Phase = iota
	// Serving means that a request has been received whole and waits for its answer.
	Serving
	// Idle means that the last request has been answered.
	Idle
)

const (
	// minIdle is how long a connection must be idle to be closed for another one.
	minIdle = time.Second
	// servingParts is the inverse of the share of the connections that may not serve
	// requests, so that new clients can still be answered while the others wait.
	servingParts = 4
	// connectionBytes is what one connection takes at most beside its request: stack,
	// buffers and header.
	connectionBytes = 64 << 10
	// connectionParts is the inverse of the share of memory for connections.
	connectionParts = 4
	// minConnections is above the 45 connections that ordinary callers open to one host.
	minConnections = 48
)

// Connections decides which connections of callers stay open. It is safe for concurrent
// use. C identifies a connection.
type Connections[C comparable] struct {
	limit   int
	mutex   sync.Mutex
	serving int
	open    map[C]state
}

// state is the phase of a connection and when it began.
type state struct {
	phase Phase
	since time.Time
}

// NewConnections returns Connections that keep at most limit connections open. Zero
// means no bound.
func NewConnections[C comparable](limit int) *Connections[C] {
	return &Connections[C]{limit: limit, open: map[C]state{}}
}

// Open returns the number of open connections.
func (s *Connections[C]) Open() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.open)
}

// Add adds a new connection. If there are too many, it returns the one that is to be
// closed for it: the one that has been receiving for the longest time, else the one that
// has been idle for the longest time, else the new one. The caller closes it; it is
// removed already.
func (s *Connections[C]) Add(now time.Time, c C) (victim C, found bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.limit > 0 && len(s.open) >= s.limit {
		if victim, found = s.victim(now); !found {
			return c, true
		}
		delete(s.open, victim)
	}
	s.open[c] = state{phase: Receiving, since: now}
	return victim, found
}

func (s *Connections[C]) victim(now time.Time) (victim C, found bool) {
	var worst state
	for c, x := range s.open {
		if x.phase == Serving || x.phase == Idle && now.Sub(x.since) < minIdle {
			continue
		}
		if !found || x.phase < worst.phase || x.phase == worst.phase && x.since.Before(worst.since) {
			victim, worst, found = c, x, true
		}
	}
	return victim, found
}

// Set sets the phase of a connection. It returns false if the phase is Serving and too many
// connections serve, or if the connection has been removed.
func (s *Connections[C]) Set(now time.Time, c C, p Phase) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	x, ok := s.open[c]
	if !ok || x.phase == p {
		return ok
	}
	if s.limit > 0 && p == Serving && s.serving >= s.limit-s.limit/servingParts {
		return false
	}
	s.count(x.phase, -1)
	s.count(p, 1)
	s.open[c] = state{phase: p, since: now}
	return true
}

// Remove removes a connection that has been closed.
func (s *Connections[C]) Remove(c C) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if x, ok := s.open[c]; ok {
		s.count(x.phase, -1)
		delete(s.open, c)
	}
}

func (s *Connections[C]) count(p Phase, n int) {
	if p == Serving {
		s.serving += n
	}
}

// Descriptors is a number of open files and sockets.
type Descriptors int

// Allotment divides the descriptors of a process among its sockets. What is left over is for
// its own connections: to workers, other hosts and the table.
type Allotment struct {
	// Callers, Peers, Readiness and Metrics are the connections that are accepted from
	// callers, from other hosts, from the load balancer and from those who read metrics.
	Callers, Peers, Readiness, Metrics int
}

const (
	// fileDescriptors is the number of descriptors that are kept for files, at most one of
	// fileParts.
	fileDescriptors = 200
	fileParts       = 4
	callerParts     = 4
	peerParts       = 8
	// minPeers is the least number of links of other hosts.
	minPeers = 64
	// controlConnections is the number of connections for readiness and for metrics, each at
	// most one of controlParts.
	controlConnections = 32
	controlParts       = 32
	minControl         = 4
)

// Allot returns the allotment for a process with the given descriptors and memory.
func Allot(d Descriptors, memory Bytes) Allotment {
	sockets := int(d) - min(fileDescriptors, int(d)/fileParts)
	control := max(minControl, min(controlConnections, sockets/controlParts))
	return Allotment{
		Callers:   max(minConnections, min(sockets/callerParts, int(memory/connectionParts/connectionBytes))),
		Peers:     max(minPeers, sockets/peerParts),
		Readiness: control,
		Metrics:   control,
	}
}
