package storage_test

import (
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/standin"
	"github.com/catkingap/catkingap/storage"
)

func member(id string, state storage.State) storage.TargetGroup {
	return storage.TargetGroup{Targets: []string{"127.0.0.1:1"}, Labels: map[string]string{
		storage.LabelID: id, storage.LabelRole: string(storage.Worker), storage.LabelState: string(state),
	}}
}

// TestMembersAreSentOnChangeOnly counts the bytes of the answers to check that an
// unchanged list is not sent again.
func TestMembersAreSentOnChangeOnly(t *testing.T) {
	is := is.New(t)
	platform := standin.NewPlatform(standin.PlatformConfig{})
	server := httptest.NewServer(platform.Handler())
	defer server.Close()
	for _, id := range []string{"a", "b", "c"} {
		platform.Members.Set(member(id, storage.Live))
	}
	counted := &countingTransport{next: server.Client().Transport}
	client := *server.Client()
	client.Transport = counted
	list := storage.NewRemoteMembership(&client, server.URL+"/members")
	first, err := list.Members(t.Context())
	is.NoErr(err)
	is.Equal(len(first), 3)
	whole := counted.bytes
	second, err := list.Members(t.Context())
	is.NoErr(err)
	is.Equal(second, first)
	is.Equal(counted.bytes, whole)
	platform.Members.Set(member("b", storage.Leaving))
	third, err := list.Members(t.Context())
	is.NoErr(err)
	is.Equal(third[1].State, storage.Leaving)
}
