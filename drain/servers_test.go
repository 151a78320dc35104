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
	settings = ServersConfig{TrialPause: 5 * time.Second, MaxTrialPause: 60 * time.Second}
)

func at(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }

func listed(leaving bool) func(Server) bool { return func(Server) bool { return leaving } }

// TestServers checks what follows from each order of words about one server.
func TestServers(t *testing.T) {
	tests := map[string]struct {
		steps   func(s *Servers) []Action
		actions []Action
		leaving bool
	}{
		"first contact tells the others": {
			steps:   func(s *Servers) []Action { return s.Said(at(0), runner, Contact) },
			actions: []Action{Apply{}, Tell{Server: runner}}, leaving: true,
		},
		"second contact tells nobody": {
			steps: func(s *Servers) []Action {
				s.Said(at(0), runner, Contact)
				return s.Said(at(1), runner, Contact)
			},
			leaving: true,
		},
		"word of a peer is not passed on": {
			steps:   func(s *Servers) []Action { return s.Said(at(0), runner, Peer) },
			actions: []Action{Apply{}}, leaving: true,
		},
		"contact after a peer tells nobody": {
			steps: func(s *Servers) []Action {
				s.Said(at(0), runner, Peer)
				return s.Said(at(1), runner, Contact)
			},
			leaving: true,
		},
		"a list that lags does not bring it back": {
			steps: func(s *Servers) []Action {
				s.Said(at(0), runner, Contact)
				return s.Listed(listed(false))
			},
			leaving: true,
		},
		"a list that has seen it leave brings it back": {
			steps: func(s *Servers) []Action {
				s.Said(at(0), runner, Contact)
				s.Listed(listed(true))
				return s.Listed(listed(false))
			},
			actions: []Action{Apply{}},
		},
		"no check before the trial": {
			steps: func(s *Servers) []Action {
				s.Said(at(0), runner, Contact)
				return s.Tick(at(4))
			},
			leaving: true,
		},
		"one check at the trial": {
			steps: func(s *Servers) []Action {
				s.Said(at(0), runner, Contact)
				return append(s.Tick(at(5)), s.Tick(at(6))...)
			},
			actions: []Action{Check{Server: runner}}, leaving: true,
		},
		"a good check brings it back": {
			steps: func(s *Servers) []Action {
				s.Said(at(0), runner, Contact)
				s.Tick(at(5))
				return s.Checked(at(6), runner, true)
			},
			actions: []Action{Apply{}},
		},
		"a bad check does not": {
			steps: func(s *Servers) []Action {
				s.Said(at(0), runner, Contact)
				s.Tick(at(5))
				return s.Checked(at(6), runner, false)
			},
			leaving: true,
		},
		"a word during the check is newer": {
			steps: func(s *Servers) []Action {
				s.Said(at(0), runner, Contact)
				s.Tick(at(5))
				s.Said(at(6), runner, Contact)
				return s.Checked(at(7), runner, true)
			},
			leaving: true,
		},
		"it leaves again and waits twice as long": {
			steps: func(s *Servers) []Action {
				s.Said(at(0), runner, Contact)
				s.Tick(at(5))
				s.Checked(at(5), runner, true)
				s.Said(at(6), runner, Contact)
				return s.Tick(at(15))
			},
			leaving: true,
		},
		"one that is no longer declared is forgotten": {
			steps: func(s *Servers) []Action {
				s.Said(at(0), runner, Contact)
				s.Known(listed(false))
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

// TestServersProperties checks over random orders of events that a server gets
// work again only after a proof, and that each departure is told at most once.
func TestServersProperties(t *testing.T) {
	const events, seed = 100_000, 4
	random := rand.New(rand.NewPCG(seed, seed))
	s := NewServers(settings)
	now := start
	told, wasListed := 0, false
	for i := range events {
		now = now.Add(time.Duration(random.IntN(3000)) * time.Millisecond)
		before := s.IsLeaving(runner)
		var actions []Action
		proof := false
		switch random.IntN(5) {
		case 0:
			actions = s.Said(now, runner, Contact)
		case 1:
			actions = s.Said(now, runner, Peer)
		case 2:
			leaving := random.IntN(2) == 0
			proof = wasListed && !leaving
			wasListed = before && leaving || wasListed && before
			actions = s.Listed(listed(leaving))
		case 3:
			actions = s.Tick(now)
		case 4:
			present := random.IntN(2) == 0
			proof = present
			actions = s.Checked(now, runner, present)
		}
		after := s.IsLeaving(runner)
		if before && !after && !proof {
			t.Fatalf("seed %d, event %d: came back without a proof", seed, i)
		}
		if !after {
			told, wasListed = 0, false
		}
		for _, a := range actions {
			if _, ok := a.(Tell); ok {
				told++
			}
		}
		if told > 1 {
			t.Fatalf("seed %d, event %d: told twice", seed, i)
		}
	}
}
