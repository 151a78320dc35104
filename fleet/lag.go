package fleet

import (
	"expvar"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/catkingap/catkingap/metrics"
)

// event is the kind of an owner's event, as its counters name it.
type event string

// The kinds of an owner's events.
const (
	eventStore     event = "keep"
	eventPoll      event = "look"
	eventKeepalive event = "sign"
	eventStart     event = "start"
	eventStop      event = "stop"
	eventSubmit    event = "submit"
	eventTick      event = "tick"
	eventWithdraw  event = "withdraw"
	eventWorkers   event = "workers"
)

const (
	// lagThreshold is the delay from which the lag of an owner is logged: half of
	// orderTimeout.
	lagThreshold = 30 * time.Millisecond
	// lagLogInterval is the time between two log lines about an owner's lag.
	lagLogInterval = time.Second
	// lagDecay is the share of the last delay that remains after a punctual tick.
	lagDecay = 0.8
	// minAnswers is the number of answers between two ticks from which they are used to
	// estimate the lag of this process. Fewer mean that there is no load and that
	// single slow workers dominate.
	minAnswers = 8
	// waitsPerExchange is how often a message and its answer wait to be scheduled in
	// this process: to be sent, written, read and handled. The other side does not cause
	// that delay.
	waitsPerExchange = 4
	// maxAllowance bounds the allowance for that, since a lease lasts a second.
	maxAllowance = 300 * time.Millisecond
)

// ownerCounters counts the events of this host's owners.
type ownerCounters struct {
	// events counts the events by kind, and busy the microseconds that they took.
	events, busy *expvar.Map
	// lag is the delay of the ticks.
	lag *metrics.Histogram
}

// lag measures the delay of a loop of this process. Its zero value stands for no delay.
type lag struct {
	// delay is the decaying maximum of the ticks' delays in nanoseconds, and waiting is
	// the number of events that wait to be handled.
	delay, waiting atomic.Int64
	logged         time.Time
	// mutex guards answers and fastest. answers holds the durations of the orders that
	// workers have answered since the last tick, and fastest is the shortest duration so
	// far, which is the round-trip time. readDelay is how much longer the lower quartile
	// of the answers took, in nanoseconds.
	mutex     sync.Mutex
	answers   []time.Duration
	fastest   time.Duration
	readDelay atomic.Int64
}

// allowance returns by how much a timeout for an answer is extended because of the lag of
// this process.
func (l *lag) allowance() time.Duration {
	return min(waitsPerExchange*time.Duration(l.delay.Load()), maxAllowance)
}

// note records the delay of a tick, and returns the decaying maximum of the delays.
func (l *lag) note(late time.Duration) time.Duration {
	delay := max(late, time.Duration(lagDecay*float64(l.delay.Load())))
	l.delay.Store(int64(delay))
	return delay
}

// noteAnswer records the duration of an order that a worker has answered.
func (l *lag) noteAnswer(took time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.answers = append(l.answers, took)
}

// updateReadDelay estimates how long this process takes to read an answer. Workers answer
// orders at once, so if most answers take longer, this process lacks processor time. The
// estimate decays while there are few answers.
func (l *lag) updateReadDelay() time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	readDelay := time.Duration(lagDecay * float64(l.readDelay.Load()))
	if len(l.answers) >= minAnswers {
		slices.Sort(l.answers)
		if l.fastest == 0 || l.answers[0] < l.fastest {
			l.fastest = l.answers[0]
		}
		readDelay = l.answers[len(l.answers)/4] - l.fastest
		l.answers = l.answers[:0]
	}
	l.readDelay.Store(int64(readDelay))
	return readDelay
}

// tick records the delay of a tick. It returns fields to log, and false if nothing is to be
// logged.
func (l *lag) tick(now time.Time, late time.Duration) (log.Fields, bool) {
	delay := l.note(max(late, l.updateReadDelay()))
	if delay < lagThreshold || now.Sub(l.logged) < lagLogInterval {
		return nil, false
	}
	l.logged = now
	return log.Fields{"delayMs": delay.Milliseconds(), "waitingEvents": l.waiting.Load()}, true
}

// handled counts an event and the time that it took.
func (c *ownerCounters) handled(e event, took time.Duration) {
	c.events.Add(string(e), 1)
	c.busy.Add(string(e), took.Microseconds())
}
