package peer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// kindPing asks the peer for an answer without a body. Each process answers
// it.
const kindPing = Kind("ping")

// errSilent closes a link that showed no life.
var errSilent = errors.New("link went silent")

// silence decides whether a link has gone silent. A link without open calls
// may be silent for long. It is pure.
type silence struct {
	timeout time.Duration
	pinged  time.Time
}

// silenceVerdict says what to do with a link.
type silenceVerdict int

const (
	linkLives silenceVerdict = iota
	linkPing
	linkSilent
)

// judge takes the time of the last received byte and the number of open calls.
func (s *silence) judge(now, heard time.Time, open int) silenceVerdict {
	if open == 0 || now.Sub(heard) < s.timeout {
		s.pinged = time.Time{}
		return linkLives
	}
	if s.pinged.IsZero() {
		s.pinged = now
		return linkPing
	}
	if now.Sub(s.pinged) >= s.timeout {
		return linkSilent
	}
	return linkLives
}

// looksPerTimeout is how often a link is looked at within its timeout.
const looksPerTimeout = 4

// watch closes the links that have gone silent, so that their calls end and later
// calls open new ones. It ends with the last link, when done is closed.
func (l *Links) watch(done <-chan struct{}) {
	ticker := time.NewTicker(l.config.SilenceTimeout / looksPerTimeout)
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
				k.look(now)
			}
		}
	}
}

// look pings or closes the link if it is silent.
func (k *link) look(now time.Time) {
	k.mutex.Lock()
	open := len(k.calls)
	k.mutex.Unlock()
	switch k.silence.judge(now, time.Unix(0, k.heard.Load()), open) {
	case linkPing:
		go k.ping(k.silence.timeout)
	case linkSilent:
		k.links.Statistics.Silent.Add(1)
		k.links.config.Logger.WithField("remote", k.connection.RemoteAddr().String()).WithError(errSilent).Warn("peer link closed")
		k.connection.Close()
	}
}

// ping sends a ping and waits for its answer, which is a sign of life.
func (k *link) ping(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_, _ = k.call(ctx, kindPing, nil)
}

// answerPing is the handler of kindPing.
func answerPing(context.Context, msgpack.RawMessage) (any, error) { return struct{}{}, nil }
