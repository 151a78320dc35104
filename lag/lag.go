// Package lag measures by how much a process is late because its processor does not keep
// up, from the delay of its own loops and from the time that it takes to read answers.
package lag

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// decay is the share of the last delay that remains after a punctual tick.
	decay = 0.8
	// minAnswers is the number of answers between two ticks from which they are used to
	// estimate the lag of this process. Fewer mean that there is no load and that
	// single slow workers dominate.
	minAnswers = 8
	// waitsPerExchange is how often a message and its answer wait to be scheduled in
	// this process: to be sent, written, read and handled. The other side does not cause
	// that delay.
	waitsPerExchange = 4
	// MaxAllowance bounds the allowance for that, since a lease lasts a second.
	MaxAllowance = 300 * time.Millisecond
)

// Meter measures the delay of a loop of this process. Its zero value stands for no delay.
type Meter struct {
	// delay is the decaying maximum of the ticks' delays in nanoseconds.
	delay atomic.Int64
	// mutex guards answers and fastest. answers holds the durations of the orders that
	// workers have answered since the last tick, and fastest is the shortest duration so
	// far, which is the round-trip time. readDelay is how much longer the lower quartile
	// of the answers took, in nanoseconds.
	mutex     sync.Mutex
	answers   []time.Duration
	fastest   time.Duration
	readDelay atomic.Int64
}

// Allowance returns by how much a timeout for an answer is extended because of the lag of
// this process.
func (m *Meter) Allowance() time.Duration {
	return min(waitsPerExchange*time.Duration(m.delay.Load()), MaxAllowance)
}

// ReadDelay returns how long this process takes to read an answer.
func (m *Meter) ReadDelay() time.Duration { return time.Duration(m.readDelay.Load()) }

// Note records the delay of a tick, and returns the decaying maximum of the delays.
func (m *Meter) Note(late time.Duration) time.Duration {
	delay := max(late, time.Duration(decay*float64(m.delay.Load())))
	m.delay.Store(int64(delay))
	return delay
}

// NoteAnswer records the duration of an order that a worker has answered.
func (m *Meter) NoteAnswer(took time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.answers = append(m.answers, took)
}

// Tick records the delay of a tick and of the answers since the last one, and returns the
// decaying maximum of the delays.
func (m *Meter) Tick(late time.Duration) time.Duration { return m.Note(max(late, m.updateReadDelay())) }

// updateReadDelay estimates how long this process takes to read an answer. Workers answer
// orders at once, so if most answers take longer, this process lacks processor time. The
// estimate decays while there are few answers.
func (m *Meter) updateReadDelay() time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	readDelay := time.Duration(decay * float64(m.readDelay.Load()))
	if len(m.answers) >= minAnswers {
		slices.Sort(m.answers)
		if m.fastest == 0 || m.answers[0] < m.fastest {
			m.fastest = m.answers[0]
		}
		readDelay = m.answers[len(m.answers)/4] - m.fastest
		m.answers = m.answers[:0]
	}
	m.readDelay.Store(int64(readDelay))
	return readDelay
}
