// Package incarnation decides what may belong to which incarnation of a worker. A worker that
// restarts under its id also carries out the orders that were meant for its earlier incarnation,
// and its clock starts anew. The package has no side effects.
package incarnation

import "github.com/catkingap/catkingap/worker"

// Token is the fencing token of the orders to one worker. Orders that were sent before a worker
// may have restarted are refused once it has seen a higher one, by whichever incarnation.
type Token struct {
	inUse    worker.Token
	replaced bool
}

// Replace has the next orders carry a higher token than those before, as soon as there is one.
func (t *Token) Replace() { t.replaced = true }

// Next returns the token of the next order, which may be at most highest.
func (t *Token) Next(highest worker.Token) worker.Token {
	if t.inUse == 0 || (t.replaced && highest > t.inUse) {
		t.inUse, t.replaced = highest, false
	}
	return t.inUse
}

// IsMissing returns true if orders are to carry a higher token and there is none: highest is the
// highest that they may carry.
func (t *Token) IsMissing(highest worker.Token) bool { return t.replaced && highest <= t.inUse }

// IsReplaced returns true if orders with a higher token than x were sent: a worker that refuses
// x may have seen that of one of them.
func (t *Token) IsReplaced(x worker.Token) bool { return x < t.inUse }
