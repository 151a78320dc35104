package peer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// kindPing asks the peer for an empty answer. Every process handles it.
const kindPing = Kind("ping")

// errSilent is the logged reason for closing a silent link.
var errSilent = errors.New("link went silent")

// silence decides whether a link is silent. A link without open calls may receive
// nothing for any time. The decision depends only on its arguments and fields.
type silence struct {
	timeout time.Duration
	pinged  time.Time
}

// silenceVerdict is the decision on a link.
type silenceVerdict int

const (
	linkAlive silenceVerdict = iota
	linkNeedsPing
	linkSilent
)

// decide returns what to do with a link, given the time of the last received byte and
// the number of open calls.
func (s *silence) decide(now, lastReceived time.Time, open int) silenceVerdict {
	if open == 0 || now.Sub(lastReceived) < s.timeout {
		s.pinged = time.Time{}
		return linkAlive
	}
	if s.pinged.IsZero() {
		s.pinged = now
		return linkNeedsPing
	}
	if now.Sub(s.pinged) >= s.timeout {
		return linkSilent
	}
	return linkAlive
}

// checksPerTimeout is the number of times that a link is checked within its timeout.
const checksPerTimeout = 4

// watch closes silent links, so that their calls end and later calls open new links.
// It ends when done is closed, which happens when the last link ends.
func (l *Links) watch(done <-chan struct{}) {
	ticker := time.NewTicker(l.config.SilenceTimeout / checksPerTimeout)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case now := <-ticker.C:
			l.mutex.Lock()
			open := make([]*link, 0, len(l.open))
			for k := range l.open {
				open = append(open, k)
			}
			l.mutex.Unlock()
			for _, k := range open {
				k.checkSilence(now)
			}
		}
	}
}

// checkSilence pings the link or closes it if it is silent.
func (k *link) checkSilence(now time.Time) {
	k.mutex.Lock()
	open := len(k.calls)
	k.mutex.Unlock()
	switch k.silence.decide(now, time.Unix(0, k.lastReceived.Load()), open) {
	case linkNeedsPing:
		go k.ping(k.silence.timeout)
	case linkSilent:
		k.links.Statistics.Silent.Add(1)
		k.links.config.Logger.WithField("remote", k.connection.RemoteAddr().String()).WithError(errSilent).Warn("peer link closed")
		k.connection.Close()
	}
}

// ping sends a ping and waits for its answer. The receipt of the answer is recorded in
// lastReceived.
func (k *link) ping(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_, _ = k.call(ctx, kindPing, nil)
}

// answerPing is the handler of kindPing.
func answerPing(context.Context, msgpack.RawMessage) (any, error) { return struct{}{}, nil }
