package peer

import (
	"bytes"
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"
)

// The messages of two versions of a program. The items of the newer one, which are in a
// list and in a map, have one more field.
type (
	olderItem struct {
		Name string `msgpack:"name"`
	}
	newerItem struct {
		Name string            `msgpack:"name"`
		More map[string][]bool `msgpack:"more"`
	}
	message[T any] struct {
		Items []T          `msgpack:"items"`
		Named map[string]T `msgpack:"named"`
		Left  int          `msgpack:"left"`
	}
)

// TestPeersOfOtherVersions guards against failures between programs of two versions during
// an upgrade: unknown fields must be ignored, missing fields be empty, and the link go on
// after a message of an unknown kind.
func TestPeersOfOtherVersions(t *testing.T) {
	is := is.New(t)
	l, output, address := newTestLinks(t)
	Handle(l, "older", func(_ context.Context, m message[olderItem]) (message[olderItem], error) { return m, nil })
	Handle(l, "newer", func(_ context.Context, m message[newerItem]) (message[newerItem], error) { return m, nil })
	more := newerItem{Name: "a", More: map[string][]bool{"x": {true}}}
	a, err := Call[message[newerItem], message[newerItem]](t.Context(), l, address, "older", message[newerItem]{
		Items: []newerItem{more}, Named: map[string]newerItem{"b": more}, Left: 3,
	})
	is.NoErr(err)
	is.Equal(a, message[newerItem]{Items: []newerItem{{Name: "a"}}, Named: map[string]newerItem{"b": {Name: "a"}}, Left: 3})
	b, err := Call[message[olderItem], message[olderItem]](t.Context(), l, address, "newer", message[olderItem]{Items: []olderItem{{Name: "c"}}})
	is.NoErr(err)
	is.Equal(b.Items, []olderItem{{Name: "c"}})

	_, err = Call[string, string](t.Context(), l, address, "from a later version", "")
	var remote *RemoteError
	is.True(errors.As(err, &remote))
	is.True(!errors.As(err, new(*UnreachableError)))
	is.NoErr(Cast(t.Context(), l, address, "from a later version", ""))
	answer, err := Call[string, string](t.Context(), l, address, "echo", "still here")
	is.NoErr(err)
	is.Equal(answer, "still here")
	is.Equal(output.text(), "")
}

// TestFrameWithFieldsOfALaterVersion reads a frame that has an unknown field.
func TestFrameWithFieldsOfALaterVersion(t *testing.T) {
	is := is.New(t)
	body, err := msgpack.Marshal(map[string]any{"call": 7, "kind": "echo", "body": nil, "later": []any{1, map[string]any{"x": 2}}})
	is.NoErr(err)
	f, err := readFrame(bytes.NewReader(rawFrame(uint32(len(body)), Version, body)))
	is.NoErr(err)
	is.Equal(f.Call, uint64(7))
	is.Equal(f.Kind, Kind("echo"))
}
