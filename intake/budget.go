// Package intake decides how much memory the requests of callers may take, how many
// connections they may hold, and which of them are given up when there is too much of
// either. The decisions depend only on their arguments and on the state of this package.
package intake

import (
	"sync"
	"time"
)

// Bytes is a number of bytes in memory.
type Bytes int64

const (
	// budgetParts is the inverse of the share of the host's memory that all requests
	// together may take. The garbage collector lets the heap grow to twice of what is
	// live, so requests take up to half of the memory, and the soft memory limit of 0.6
	// leaves the rest to what the host does beside them.
	budgetParts = 4
	// smallParts is the inverse of the share of the budget up to which a request is small.
	// On the smallest machine, of 144 MB, that is 1 MiB: the largest legal body, of 262,144
	// bytes, twice while it is joined, with the 1,300 steps that are decoded from it.
	smallParts = 36
	// reserveParts is the inverse of the share of the budget that only small requests
	// may use, so that a few large ones do not lock out the many small ones.
	reserveParts = 4
	// leavingParts is the inverse of the share of the budget by which requests that have
	// been shed, but have not ended yet, may exceed it.
	leavingParts = 4
)

// Budget is the memory that the requests of callers may take together. It is safe for
// concurrent use.
type Budget struct {
	limit Bytes

	mutex sync.Mutex
	used  Bytes
	// leaving is the memory of requests that have been shed and have not ended yet.
	leaving Bytes
	// unfinished holds the claims whose requests have not been received whole.
	unfinished map[*Claim]struct{}
}

// bodiesInBudget is the number of the largest bodies that the budget holds at least: one
// that is joined takes twice its length, and what is decoded from it about as much again.
// A quarter of the budget is reserved for others.
const bodiesInBudget = 4

// NewBudget returns the budget of a host with the given memory, which allows bodies up to
// largest.
func NewBudget(memory, largest Bytes) *Budget {
	return &Budget{limit: max(memory/budgetParts, bodiesInBudget*largest), unfinished: map[*Claim]struct{}{}}
}

// Used returns the memory that is charged.
func (b *Budget) Used() Bytes {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.used + b.leaving
}

// Claim is the memory of one request.
type Claim struct {
	budget *Budget
	opened time.Time
	bytes  Bytes
	// shed is called once if the request is to be given up. It must not block.
	shed func()
	gone bool
	// wasShed is true if the request was given up.
	wasShed bool
}

// WasShed returns true if the request was given up for others.
func (c *Claim) WasShed() bool {
	c.budget.mutex.Lock()
	defer c.budget.mutex.Unlock()
	return c.wasShed
}

// Open returns a claim without bytes for a request that begins now. The function shed makes
// its reader give up. It is called at most once, and never after Finish or Release.
func (b *Budget) Open(now time.Time, shed func()) *Claim {
	c := &Claim{budget: b, opened: now, shed: shed}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.unfinished[c] = struct{}{}
	return c
}

// Grow charges n more bytes, or gives back if n is negative. If they exceed the budget, the
// unfinished requests that have held the most memory for the longest time are shed.
// Grow returns false, and charges nothing, if that does not suffice or if the request
// itself is the one to be given up.
func (c *Claim) Grow(now time.Time, n Bytes) bool {
	b := c.budget
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if c.gone {
		return false
	}
	for n > 0 && b.used+n > b.allowance(c.bytes+n) {
		v := b.victim(now, c, n)
		if v == nil || v == c || b.leaving > 0 && b.leaving+v.bytes > b.limit/leavingParts {
			return false
		}
		b.drop(v)
	}
	c.bytes += n
	b.used += n
	return true
}

// set replaces the charge of a request that has been received, without a bound.
func (c *Claim) set(n Bytes) {
	b := c.budget
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if !c.gone {
		b.used += n - c.bytes
		c.bytes = n
	}
}

// allowance returns the part of the budget that is open to a request of the given size.
func (b *Budget) allowance(size Bytes) Bytes {
	if size <= b.limit/smallParts {
		return b.limit
	}
	return b.limit - b.limit/reserveParts
}

// victim returns the unfinished request with the highest product of memory and time, or nil.
// The request c counts with n more bytes. A large body that arrives at once is so
// preferred to one that stalls, and a small one to both.
func (b *Budget) victim(now time.Time, c *Claim, n Bytes) *Claim {
	var worst *Claim
	most := 0.0
	for x := range b.unfinished {
		size := x.bytes
		if x == c {
			size += n
		}
		if cost := float64(size) * now.Sub(x.opened).Seconds(); size > 0 && (worst == nil || cost > most) {
			worst, most = x, cost
		}
	}
	return worst
}

// drop sheds an unfinished request.
func (b *Budget) drop(c *Claim) {
	delete(b.unfinished, c)
	c.gone, c.wasShed = true, true
	b.used -= c.bytes
	b.leaving += c.bytes
	c.shed()
}

// Finish marks the request as received whole: it is not shed any more. It returns false if
// the request has been shed.
func (c *Claim) Finish() bool {
	b := c.budget
	b.mutex.Lock()
	defer b.mutex.Unlock()
	delete(b.unfinished, c)
	return !c.gone
}

// Release gives all bytes of the request back. Further calls have no effect.
func (c *Claim) Release() {
	b := c.budget
	b.mutex.Lock()
	defer b.mutex.Unlock()
	delete(b.unfinished, c)
	if c.gone {
		b.leaving -= c.bytes
	} else {
		b.used -= c.bytes
	}
	c.bytes, c.gone = 0, true
}
