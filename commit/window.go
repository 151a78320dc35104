package commit

import (
	"time"

	"github.com/catkingap/catkingap/storage"
)

// WindowConfig builds a Window.
type WindowConfig struct {
	// Rate is the budget of transactions per second. Burst bounds the unspent
	// budget, in transactions.
	Rate  float64
	Burst float64
	// MaxWrites and MaxBytes bound one transaction.
	MaxWrites int
	MaxBytes  int
	// MinPause is the pause after a transaction that failed. It doubles with
	// each further failure up to MaxPause.
	MinPause time.Duration
	MaxPause time.Duration
}

// Window decides when the next transaction starts and how many of the waiting
// writes it carries. One transaction is in flight at a time, so that a slow store
// gets larger transactions instead of more. It does no I/O and reads no clock.
type Window struct {
	config   WindowConfig
	tokens   float64
	refilled time.Time
	inFlight bool
	failures int
	resumeAt time.Time
}

// NewWindow returns a window with a full budget.
func NewWindow(now time.Time, c WindowConfig) *Window {
	return &Window{config: c, tokens: c.Burst, refilled: now}
}

// SetRate changes the budget of transactions per second.
func (w *Window) SetRate(now time.Time, rate float64) {
	w.refill(now)
	w.config.Rate = rate
}

func (w *Window) refill(now time.Time) {
	w.tokens = min(w.config.Burst, w.tokens+now.Sub(w.refilled).Seconds()*w.config.Rate)
	w.refilled = now
}

// Begin starts a transaction and returns how many of the waiting writes it
// carries. If count is zero, wait is the time after which to call Begin again. It
// is zero too if the next call is due when the transaction in flight ends or a
// write arrives.
func (w *Window) Begin(now time.Time, waiting []storage.Write) (count int, wait time.Duration) {
	if w.inFlight || len(waiting) == 0 {
		return 0, 0
	}
	if now.Before(w.resumeAt) {
		return 0, w.resumeAt.Sub(now)
	}
	w.refill(now)
	if w.tokens < 1 {
		missing := (1 - w.tokens) / w.config.Rate
		return 0, max(time.Nanosecond, time.Duration(missing*float64(time.Second)))
	}
	w.tokens--
	w.inFlight = true
	return w.batchSize(waiting), 0
}

// batchSize returns how many of the first writes fit into one transaction: the
// table bounds their number and bytes, and accepts each key at most once in a
// transaction.
func (w *Window) batchSize(waiting []storage.Write) int {
	keys := map[string]bool{}
	size := 0
	for i, write := range waiting {
		size += encodedSize(write)
		if i > 0 && (i >= w.config.MaxWrites || size > w.config.MaxBytes || sharesKey(keys, write)) {
			return i
		}
		for _, p := range write.Puts {
			keys[p.Key] = true
		}
		for _, k := range write.Deletes {
			keys[k] = true
		}
	}
	return len(waiting)
}

// End reports that the transaction in flight has ended.
func (w *Window) End(now time.Time, failed bool) {
	w.inFlight = false
	if !failed {
		w.failures = 0
		return
	}
	pause := w.config.MaxPause
	if w.failures < maxDoublings {
		pause = min(pause, w.config.MinPause<<w.failures)
		w.failures++
	}
	w.resumeAt = now.Add(pause)
}

// maxDoublings keeps the doubled pause within the range of a duration.
const maxDoublings = 16

func sharesKey(keys map[string]bool, w storage.Write) bool {
	for _, p := range w.Puts {
		if keys[p.Key] {
			return true
		}
	}
	for _, k := range w.Deletes {
		if keys[k] {
			return true
		}
	}
	return false
}

// encodedSize estimates the bytes that a write adds to a transaction, where keys
// and values are encoded in base64.
func encodedSize(w storage.Write) int {
	size := 0
	for _, c := range w.Conditions {
		size += 2 * len(c.Key)
	}
	for _, p := range w.Puts {
		size += (len(p.Key) + len(p.Value)) * 4 / 3
	}
	for _, k := range w.Deletes {
		size += len(k)
	}
	return size
}
