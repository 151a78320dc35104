package logline

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// slowOutput blocks until it is released.
type slowOutput struct {
	release chan struct{}
	mutex   sync.Mutex
	text    bytes.Buffer
}

// Write implements io.Writer.
func (o *slowOutput) Write(p []byte) (int, error) {
	<-o.release
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.text.Write(p)
}

// TestLogNeverBlocks writes more lines than the buffer holds while the output blocks. The
// writer must not block, and the omitted lines must be counted.
func TestLogNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := &slowOutput{release: make(chan struct{})}
		w := NewWriter(o)
		ctx, cancel := context.WithCancel(t.Context())
		go w.Run(ctx)
		synctest.Wait()
		const extra = 10
		for range lineBuffer + extra {
			_, err := w.Write([]byte("line\n"))
			is.NoErr(err)
		}
		is.True(w.omitted.Load() >= extra-1)
		close(o.release)
		cancel()
		synctest.Wait()
		o.mutex.Lock()
		defer o.mutex.Unlock()
		written := strings.Count(o.text.String(), "line\n")
		is.True(written < lineBuffer+extra)
		is.True(strings.Contains(o.text.String(), fmt.Sprintf(`"count":%d}`, lineBuffer+extra-written)))
	})
}
