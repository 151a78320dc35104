package commit

import (
	"time"

	"github.com/catkingap/catkingap/storage"
)

// WindowConfig builds a Window.
type WindowConfig struct {
	// Rate is the budget of transactions per second and Burst the number that
	// can be saved up.
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

// Window decides when the next transaction goes and how many of the waiting
// writes it carries. One transaction is under way at a time, so that a slow
// store is met by larger transactions. It is pure.
type Window struct {
	config   WindowConfig
	tokens   float64
	filled   time.Time
	underWay bool
	failures int
	resume   time.Time
}

// NewWindow returns a window with a full budget.
func NewWindow(now time.Time, c WindowConfig) *Window {
	return &Window{config: c, tokens: c.Burst, filled: now}
}

// SetRate changes the budget of transactions per second.
func (w *Window) SetRate(now time.Time, rate float64) {
	w.refill(now)
	w.config.Rate = rate
}

func (w *Window) refill(now time.Time) {
	w.tokens = min(w.config.Burst, w.tokens+now.Sub(w.filled).Seconds()*w.config.Rate)
	w.filled = now
}

// Begin returns how many of the waiting writes go now in one transaction. If
// none go, wait is the time after which to ask again; it is zero if that is
// when the transaction under way has ended or a write comes.
func (w *Window) Begin(now time.Time, waiting []storage.Write) (count int, wait time.Duration) {
	if w.underWay || len(waiting) == 0 {
		return 0, 0
	}
	if now.Before(w.resume) {
		return 0, w.resume.Sub(now)
	}
	w.refill(now)
	if w.tokens < 1 {
		missing := (1 - w.tokens) / w.config.Rate
		return 0, max(time.Nanosecond, time.Duration(missing*float64(time.Second)))
	}
	w.tokens--
	w.underWay = true
	return w.fit(waiting), 0
}

// fit returns how many of the first writes go together: the table bounds the
// number and the bytes, and takes each key at most once in a transaction.
func (w *Window) fit(waiting []storage.Write) int {
	keys := map[string]bool{}
	size := 0
	for i, write := range waiting {
		size += bytesOf(write)
		if i > 0 && (i >= w.config.MaxWrites || size > w.config.MaxBytes || clashes(keys, write)) {
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

// End tells that the transaction under way has ended.
func (w *Window) End(now time.Time, failed bool) {
	w.underWay = false
	if !failed {
		w.failures = 0
		return
	}
	pause := w.config.MaxPause
	if w.failures < maxDoublings {
		pause = min(pause, w.config.MinPause<<w.failures)
		w.failures++
	}
	w.resume = now.Add(pause)
}

// maxDoublings keeps the doubled pause within the range of a duration.
const maxDoublings = 16

func clashes(keys map[string]bool, w storage.Write) bool {
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

// bytesOf returns the bytes that a write adds to a transaction, after the
// encoding of values in base64.
func bytesOf(w storage.Write) int {
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
