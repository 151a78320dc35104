package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/dispatch"
	"github.com/catkingap/catkingap/worker"
)

// raised is a revision at which the owner of the tests was not replaced. Its first token is 7.
const raised = worker.Token(20)

// TestOrdersOfAnEarlierIncarnationAreBarred looks at the token of the orders to a worker after it
// may have restarted (TWICE: the next incarnation carried out starts, and acknowledgements of ends,
// that were meant for the earlier one). It must be higher than that of all orders before.
func TestOrdersOfAnEarlierIncarnationAreBarred(t *testing.T) {
	tests := map[string]struct {
		play  func(m *dispatch.Machine, s worker.Start)
		token worker.Token
	}{
		"answered as usual": {play: func(m *dispatch.Machine, s worker.Start) {
			m.Started(at(12), s, worker.Answer{Verdict: worker.Accepted, Clock: 1012})
		}, token: 7},
		"start unanswered": {play: func(m *dispatch.Machine, s worker.Start) {
			m.Started(at(70), s, worker.Answer{Verdict: worker.Unanswered})
		}, token: raised},
		"connection refused": {play: func(m *dispatch.Machine, s worker.Start) {
			m.Started(at(12), s, worker.Answer{Verdict: worker.Refusing})
		}, token: raised},
		"acknowledgement unanswered": {play: func(m *dispatch.Machine, s worker.Start) {
			m.Started(at(12), s, worker.Answer{Verdict: worker.Accepted, Clock: 1012})
			m.TakeActions()
			m.PollAnswered(at(130), at(70), worker.Poll{Order: s.Order, AcknowledgedEnds: 1}, nil, worker.Unanswered)
		}, token: raised},
		"clock has gone back": {play: func(m *dispatch.Machine, s worker.Start) {
			m.Started(at(12), s, worker.Answer{Verdict: worker.Accepted, Clock: 3})
		}, token: raised},
		"another incarnation reports": {play: func(m *dispatch.Machine, s worker.Start) {
			m.PollAnswered(at(14), at(12), worker.Poll{Order: s.Order}, &worker.Report{Incarnation: 2, Clock: 3}, worker.Accepted)
		}, token: raised},
		"row names another incarnation": {play: func(m *dispatch.Machine, _ worker.Start) {
			w := testWorker("w1")
			w.Life = 2
			m.SetWorkers(at(14), []worker.Worker{w})
		}, token: raised},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := readyMachine("w1")
			s := startOne(is, m, at(10))
			is.Equal(s.Token, worker.Token(7))
			m.RaiseToken(raised)
			test.play(m, s)
			for ms := 150; ms < 30_000; ms += 25 {
				m.Tick(at(ms))
			}
			polls := m.TakeActions().Polls
			is.True(len(polls) > 0)
			for _, l := range polls {
				is.Equal(l.Token, test.token)
			}
		})
	}
}

// TestTokenThatBecomesKnownLateBarsOrders has no higher token yet when a worker may have restarted
// (TWICE: late orders of the earlier incarnation were carried out for as long as it ran).
func TestTokenThatBecomesKnownLateBarsOrders(t *testing.T) {
	is := is.New(t)
	m := readyMachine("w1")
	s := startOne(is, m, at(10))
	m.Started(at(70), s, worker.Answer{Verdict: worker.Unanswered})
	a := m.TakeActions()
	is.Equal(a.Polls[0].Token, worker.Token(7))
	m.RaiseToken(raised)
	for _, l := range a.Polls {
		m.PollAnswered(at(190), at(70), l, nil, worker.Unanswered)
	}
	m.Tick(at(250))
	a = m.TakeActions()
	is.Equal(a.Polls[0].Token, raised)
}

// TestOrderWithAReplacedTokenIsSentAgain has a worker refuse the token of an order that was
// overtaken by one with a higher token of the same owner. The ownership must not end, and the
// order must be sent again. A refused token that was not replaced ends the ownership.
func TestOrderWithAReplacedTokenIsSentAgain(t *testing.T) {
	is := is.New(t)
	m := readyMachine("w1", "w2")
	s := startOne(is, m, at(10))
	m.RaiseToken(raised)
	m.PollAnswered(at(130), at(10), worker.Poll{Order: s.Order}, nil, worker.Unanswered)
	polls := m.TakeActions().Polls
	is.Equal(polls[0].Token, raised)
	m.Started(at(131), s, worker.Answer{Verdict: worker.Fenced, Clock: 1131})
	a := m.TakeActions()
	is.True(!a.Fenced)
	is.Equal(len(a.Starts), 1)
	is.Equal(a.LostRuns, map[string]int{string(dispatch.LossRefused): 1})
	stop := worker.Stop{Order: a.Starts[0].Order, Task: "j.0.0.0", Run: a.Starts[0].Run}
	m.Withdraw(at(132), hostA, 1, "j")
	is.Equal(m.TakeActions().Stops, []worker.Stop{stop})
	stop.Token--
	m.Stopped(at(133), stop, worker.Answer{Verdict: worker.Fenced})
	is.True(!m.TakeActions().Fenced)
	m.PollAnswered(at(140), at(135), polls[0], nil, worker.Fenced)
	is.True(m.TakeActions().Fenced)
}

// TestOvertakenPollIsSentAgain has a worker refuse the token of the poll that was to tell whether
// it has carried out a start without an answer. The next poll must not wait for an end there.
func TestOvertakenPollIsSentAgain(t *testing.T) {
	is := is.New(t)
	m := readyMachine("w1")
	s := startOne(is, m, at(10))
	m.Started(at(70), s, worker.Answer{Verdict: worker.Unanswered})
	polls := m.TakeActions().Polls
	m.RaiseToken(raised)
	m.PollAnswered(at(72), at(60), worker.Poll{Order: s.Order}, nil, worker.Unanswered)
	m.TakeActions()
	for _, l := range polls {
		m.PollAnswered(at(73), at(70), l, nil, worker.Fenced)
	}
	again := m.TakeActions().Polls
	is.True(len(again) > 0)
	for _, l := range again {
		is.Equal(l.Token, raised)
	}
}

// TestRestartedWorkerIsPolledOftenWhileStartsMayBeLate leaves a worker silent after a start to it
// got no answer (TWICE: a start that is late comes to the next incarnation before any poll).
func TestRestartedWorkerIsPolledOftenWhileStartsMayBeLate(t *testing.T) {
	for name, test := range map[string]struct {
		from, to       int
		fewest, atMost int
	}{
		"soon after": {from: 3000, to: 6000, fewest: 15, atMost: 60},
		"later":      {from: 13_000, to: 16_000, fewest: 1, atMost: 5},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := readyMachine("w1")
			s := startOne(is, m, at(10))
			m.Started(at(70), s, worker.Answer{Verdict: worker.Unanswered})
			polls := 0
			for ms := 75; ms < test.to; ms += 25 {
				m.Tick(at(ms))
				for _, l := range m.TakeActions().Polls {
					if ms >= test.from {
						polls++
					}
					m.PollAnswered(at(ms+20), at(ms), l, nil, worker.Unanswered)
				}
			}
			is.True(polls >= test.fewest)
			is.True(polls <= test.atMost)
		})
	}
}

// TestRestartedWorkerWaitsForAToken restarts a worker when its owner has no higher token for it
// (TWICE: a late acknowledgement had it forget an end that its owner had not seen). The owner must
// ask for one, and start nothing there for as long as a heartbeat takes.
func TestRestartedWorkerWaitsForAToken(t *testing.T) {
	for name, higher := range map[string]bool{"there is a higher token": true, "there is none": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := readyMachine("w1")
			if higher {
				m.RaiseToken(raised)
			}
			m.Tick(at(100))
			m.TakeActions()
			w := testWorker("w1")
			w.Life = 2
			m.PollAnswered(at(110), at(105), worker.Poll{Order: worker.Order{Worker: "w1"}}, &worker.Report{Incarnation: 2, Clock: 30}, worker.Accepted)
			m.SetWorkers(at(111), []worker.Worker{w})
			is.Equal(m.TakeActions().TokenWanted, !higher)
			s := submission("j", 1, 1)
			s.Job.Target = time.Second
			m.Submit(at(112), s)
			is.Equal(len(m.TakeActions().Starts) == 1, higher)
			if higher {
				return
			}
			m.RaiseToken(raised)
			m.Tick(at(165))
			starts := m.TakeActions().Starts
			is.Equal(len(starts), 1)
			is.Equal(starts[0].Token, raised)
		})
	}
}
