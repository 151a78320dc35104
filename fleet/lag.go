package fleet

import (
	"expvar"
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
)

// ownerCounters counts the events of this host's owners.
type ownerCounters struct {
	// events counts the events by kind, and busy the microseconds that they took.
	events, busy *expvar.Map
	// lag is the delay of the ticks.
	lag *metrics.Histogram
}

// noteLag records the delay of a tick. It returns fields to log, and false if nothing is
// to be logged. The caller holds the mutex.
func (w *Owner) noteLag(now time.Time, late time.Duration) (log.Fields, bool) {
	delay := w.lag.Tick(late)
	if delay < lagThreshold || now.Sub(w.lagLogged) < lagLogInterval {
		return nil, false
	}
	w.lagLogged = now
	return log.Fields{"delayMs": delay.Milliseconds(), "waitingEvents": w.waitingEvents.Load()}, true
}

// handled counts an event and the time that it took.
func (c *ownerCounters) handled(e event, took time.Duration) {
	c.events.Add(string(e), 1)
	c.busy.Add(string(e), took.Microseconds())
}
