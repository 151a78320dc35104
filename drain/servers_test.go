package drain

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	start    = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	runner   = Server{Name: "runner-1", Address: "10.0.0.1:80"}
	settings = ServersConfig{CheckDelay: 5 * time.Second, MaxCheckDelay: 60 * time.Second}
)

func at(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }

func listed(leaving bool) func(Server) bool { return func(Server) bool { return leaving } }

// TestServers checks the actions that follow from sequences of reports, lists
// and checks of one server.
func TestServers(t *testing.T) {
	tests := map[string]struct {
		steps   func(s *Servers) []Action
		actions []Action
		leaving bool
	}{
		"first contact notifies the other hosts": {
			steps:   func(s *Servers) []Action { return s.ReportLeaving(at(0), runner, Contact) },
			actions: []Action{Apply{}, Notify{Server: runner}}, leaving: true,
		},
		"second contact notifies no host": {
			steps: func(s *Servers) []Action {
				s.ReportLeaving(at(0), runner, Contact)
				return s.ReportLeaving(at(1), runner, Contact)
			},
			leaving: true,
		},
		"report of a peer is not passed on": {
			steps:   func(s *Servers) []Action { return s.ReportLeaving(at(0), runner, Peer) },
			actions: []Action{Apply{}}, leaving: true,
		},
		"contact after a report of a peer notifies no host": {
			steps: func(s *Servers) []Action {
				s.ReportLeaving(at(0), runner, Peer)
				return s.ReportLeaving(at(1), runner, Contact)
			},
			leaving: true,
		},
		"a list that lags behind does not end the departure": {
			steps: func(s *Servers) []Action {
				s.ReportLeaving(at(0), runner, Contact)
				return s.ReportList(listed(false))
			},
			leaving: true,
		},
		"a list that has shown the departure ends it": {
			steps: func(s *Servers) []Action {
				s.ReportLeaving(at(0), runner, Contact)
				s.ReportList(listed(true))
				return s.ReportList(listed(false))
			},
			actions: []Action{Apply{}},
		},
		"no check before it is due": {
			steps: func(s *Servers) []Action {
				s.ReportLeaving(at(0), runner, Contact)
				return s.Tick(at(4))
			},
			leaving: true,
		},
		"one check when it is due": {
			steps: func(s *Servers) []Action {
				s.ReportLeaving(at(0), runner, Contact)
				return append(s.Tick(at(5)), s.Tick(at(6))...)
			},
			actions: []Action{Check{Server: runner}}, leaving: true,
		},
		"a successful check ends the departure": {
			steps: func(s *Servers) []Action {
				s.ReportLeaving(at(0), runner, Contact)
				s.Tick(at(5))
				return s.ReportCheck(at(6), runner, true)
			},
			actions: []Action{Apply{}},
		},
		"a failed check does not end the departure": {
			steps: func(s *Servers) []Action {
				s.ReportLeaving(at(0), runner, Contact)
				s.Tick(at(5))
				return s.ReportCheck(at(6), runner, false)
			},
			leaving: true,
		},
		"a report during a check overrides its result": {
			steps: func(s *Servers) []Action {
				s.ReportLeaving(at(0), runner, Contact)
				s.Tick(at(5))
				s.ReportLeaving(at(6), runner, Contact)
				return s.ReportCheck(at(7), runner, true)
			},
			leaving: true,
		},
		"the check delay doubles at the next departure": {
			steps: func(s *Servers) []Action {
				s.ReportLeaving(at(0), runner, Contact)
				s.Tick(at(5))
				s.ReportCheck(at(5), runner, true)
				s.ReportLeaving(at(6), runner, Contact)
				return s.Tick(at(15))
			},
			leaving: true,
		},
		"a server that is no longer declared is removed": {
			steps: func(s *Servers) []Action {
				s.ReportLeaving(at(0), runner, Contact)
				s.Retain(listed(false))
				return nil
			},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := NewServers(settings)
			is.Equal(tt.steps(s), tt.actions)
			is.Equal(s.IsLeaving(runner), tt.leaving)
		})
	}
}

// TestServersProperties checks over random sequences of events that a server
// counts as back only after evidence from a list or a check, and that other
// hosts are notified of a departure at most once.
func TestServersProperties(t *testing.T) {
	const events, seed = 100_000, 4
	random := rand.New(rand.NewPCG(seed, seed))
	s := NewServers(settings)
	now := start
	notified, wasListed := 0, false
	for i := range events {
		now = now.Add(time.Duration(random.IntN(3000)) * time.Millisecond)
		before := s.IsLeaving(runner)
		var actions []Action
		proof := false
		switch random.IntN(5) {
		case 0:
			actions = s.ReportLeaving(now, runner, Contact)
		case 1:
			actions = s.ReportLeaving(now, runner, Peer)
		case 2:
			leaving := random.IntN(2) == 0
			proof = wasListed && !leaving
			wasListed = before && leaving || wasListed && before
			actions = s.ReportList(listed(leaving))
		case 3:
			actions = s.Tick(now)
		case 4:
			present := random.IntN(2) == 0
			proof = present
			actions = s.ReportCheck(now, runner, present)
		}
		after := s.IsLeaving(runner)
		if before && !after && !proof {
			t.Fatalf("seed %d, event %d: came back without evidence", seed, i)
		}
		if !after {
			notified, wasListed = 0, false
		}
		for _, a := range actions {
			if _, ok := a.(Notify); ok {
				notified++
			}
		}
		if notified > 1 {
			t.Fatalf("seed %d, event %d: other hosts notified twice", seed, i)
		}
	}
}
