package steady

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestNow compares the clock with that of the standard library.
func TestNow(t *testing.T) {
	is := is.New(t)
	before, first := time.Now(), Now()
	time.Sleep(20 * time.Millisecond)
	second, after := Now(), time.Now()
	passed := second.Sub(first)
	is.True(passed >= 20*time.Millisecond)
	is.True(passed <= after.Sub(before)+time.Millisecond)
}
