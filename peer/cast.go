package peer

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// castHandler handles the one-way messages of one kind.
type castHandler func(body msgpack.RawMessage) error

// HandleCast registers the handler for the one-way messages of one kind. The
// messages of one link are handled in order, so the handler must not block.
// HandleCast must not be called after Serve, Call or Cast.
func HandleCast[Message any](l *Links, k Kind, h func(Message)) {
	l.casts[k] = func(body msgpack.RawMessage) error {
		var m Message
		if err := msgpack.Unmarshal(body, &m); err != nil {
			return &FrameError{Reason: errors.Wrapf(err, "%s", k).Error()}
		}
		h(m)
		return nil
	}
}

// Cast sends a one-way message to the peer at address. Messages on one link
// arrive in order. Messages on a link that breaks may be lost.
func Cast[Message any](ctx context.Context, l *Links, address string, k Kind, m Message) error {
	body, err := msgpack.Marshal(m)
	if err != nil {
		return err
	}
	connection, err := l.dial(ctx, address)
	if err != nil {
		return &UnreachableError{Address: address, Cause: err}
	}
	return connection.write(&frame{Kind: k, Body: body})
}

// handleCast handles a one-way message. Messages of an unknown kind, as from a
// newer version, are dropped.
func (k *link) handleCast(f *frame) error {
	h := k.links.casts[f.Kind]
	if h == nil {
		return nil
	}
	_, err := k.links.recoverPanic(f.Kind, func() (any, error) { return nil, h(f.Body) })
	var bad *FrameError
	if errors.As(err, &bad) {
		return err
	}
	return nil
}
