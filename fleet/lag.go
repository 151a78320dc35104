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

// event names what an owner handles, for its counters.
type event string

// The events of an owner.
const (
	eventKeep     event = "keep"
	eventLook     event = "look"
	eventSign     event = "sign"
	eventStart    event = "start"
	eventStop     event = "stop"
	eventSubmit   event = "submit"
	eventTick     event = "tick"
	eventWithdraw event = "withdraw"
	eventWorkers  event = "workers"
)

const (
	// behindTime is the delay from which an owner counts as behind: half of what
	// an order may take.
	behindTime = 30 * time.Millisecond
	// behindInterval is the time between two log lines of an owner that is
	// behind.
	behindInterval = time.Second
	// lagFade is the share of the last delay that remains with a tick that was in
	// time.
	lagFade = 0.8
	// leastAnswers is the number of answers between two ticks from which they tell
	// how late this process is: with fewer there is no load, and some workers are slow.
	leastAnswers = 8
	// answerTurns is how often a message and its answer wait for their turn in this
	// process: to be sent, to be written, to be read and to be handled. What the answer
	// takes longer for that is not the other side's doing.
	answerTurns = 4
	// maxAllowance bounds what is added for it: a lease lasts a second.
	maxAllowance = 300 * time.Millisecond
)

// ownerCounters count what the owners of a host do.
type ownerCounters struct {
	// events counts the events, and busy the microseconds that they took, by
	// kind.
	events, busy *expvar.Map
	// lag is how late the ticks are.
	lag *metrics.Histogram
}

// lag knows how far a loop of this process is behind. Its zero value is one that is not.
type lag struct {
	// delay is how late the last ticks were, in nanoseconds, and waiting is the
	// number of events that wait for their turn.
	delay, waiting atomic.Int64
	logged         time.Time
	// answers holds how long the workers that answered since the last tick took, and
	// least is the least that any took, which is the way there and back. reading is how
	// much longer the lower quartile of the answers took, in nanoseconds.
	mutex   sync.Mutex
	answers []time.Duration
	least   time.Duration
	reading atomic.Int64
}

// allowance returns how much longer than usual the other side may take to answer, because
// this process is behind.
func (l *lag) allowance() time.Duration {
	return min(answerTurns*time.Duration(l.delay.Load()), maxAllowance)
}

// note takes in how late a tick is. It returns how late the last ones were.
func (l *lag) note(late time.Duration) time.Duration {
	delay := max(late, time.Duration(lagFade*float64(l.delay.Load())))
	l.delay.Store(int64(delay))
	return delay
}

// answered takes in how long an order took that a worker has answered.
func (l *lag) answered(took time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.answers = append(l.answers, took)
}

// read returns how long this process takes to read an answer: workers answer orders at
// once, so that if most take longer it is for want of its processor. What it was fades
// while there are few answers.
func (l *lag) read() time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	reading := time.Duration(lagFade * float64(l.reading.Load()))
	if len(l.answers) >= leastAnswers {
		slices.Sort(l.answers)
		if l.least == 0 || l.answers[0] < l.least {
			l.least = l.answers[0]
		}
		reading = l.answers[len(l.answers)/4] - l.least
		l.answers = l.answers[:0]
	}
	l.reading.Store(int64(reading))
	return reading
}

// tick takes in how late a tick is. It returns what to log, and false for nothing.
func (l *lag) tick(now time.Time, late time.Duration) (log.Fields, bool) {
	delay := l.note(max(late, l.read()))
	if delay < behindTime || now.Sub(l.logged) < behindInterval {
		return nil, false
	}
	l.logged = now
	return log.Fields{"delayMs": delay.Milliseconds(), "waitingEvents": l.waiting.Load()}, true
}

// handled counts an event that took a time.
func (c *ownerCounters) handled(e event, took time.Duration) {
	c.events.Add(string(e), 1)
	c.busy.Add(string(e), took.Microseconds())
}
