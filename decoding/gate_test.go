package decoding_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/decoding"
	"github.com/catkingap/catkingap/intake"
)

// smallestMemory is that of the smallest machine.
const smallestMemory = intake.Bytes(144 << 20)

// TestAnswersDecodedTogether checks how many answers of a length are decoded at the same time, and
// that all of them are in the end.
func TestAnswersDecodedTogether(t *testing.T) {
	const answers = 100
	for name, row := range map[string]struct {
		memory, length intake.Bytes
		most           int64
	}{
		"usual":    {memory: smallestMemory, length: 2 << 10, most: answers},
		"long":     {memory: smallestMemory, length: 60 << 10, most: 4},
		"longest":  {memory: smallestMemory, length: 1 << 20, most: 1},
		"no bound": {length: 1 << 20, most: answers},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := decoding.NewGate(row.memory)
				var open, most, decoded atomic.Int64
				var all sync.WaitGroup
				for range answers {
					all.Go(func() {
						leave, err := g.Decode(t.Context(), row.length)
						is.NoErr(err)
						defer leave()
						most.Store(max(most.Load(), open.Add(1)))
						time.Sleep(time.Millisecond)
						open.Add(-1)
						decoded.Add(1)
					})
				}
				all.Wait()
				is.Equal(most.Load(), row.most)
				is.Equal(decoded.Load(), int64(answers))
			})
		})
	}
}

// TestAnswerThatNobodyWaitsFor checks that an answer is given up with its order.
func TestAnswerThatNobodyWaitsFor(t *testing.T) {
	is := is.New(t)
	g := decoding.NewGate(smallestMemory)
	leave, err := g.Decode(t.Context(), smallestMemory)
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = g.Decode(ctx, smallestMemory)
	is.True(err != nil)
	leave()
	_, err = g.Decode(t.Context(), smallestMemory)
	is.NoErr(err)
}
