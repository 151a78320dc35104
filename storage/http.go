package storage

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/network"
)

// maxAnswerBytes bounds an answer of the platform.
const maxAnswerBytes = 64 << 20

// roundTrip sends one request and reads the whole answer. It returns a *NotSentError
// if it can not connect, or if the platform rejects the request before it has any
// effect.
func roundTrip(ctx context.Context, client *http.Client, method, url string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, &NotSentError{Cause: err}
	}
	// The transport never retries a request without GetBody.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	_, data, err := exchange(client, request)
	return data, err
}

// exchange sends a request and reads the whole answer.
func exchange(client *http.Client, request *http.Request) (*http.Response, []byte, error) {
	response, err := client.Do(request)
	if err != nil {
		if network.IsDial(err) {
			return nil, nil, &NotSentError{Cause: err}
		}
		return nil, nil, errors.Wrap(err, request.Method)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, nil, errors.Wrap(err, "read answer")
	}
	switch response.StatusCode {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent, http.StatusNotModified:
		return response, data, nil
	case http.StatusNotFound:
		return nil, nil, &NotFoundError{Key: request.URL.Path}
	case http.StatusServiceUnavailable:
		return nil, nil, &NotSentError{Cause: errors.New("platform refuses: " + response.Status)}
	}
	return nil, nil, errors.Newf("platform answered %s", response.Status)
}

// RemoteObjects is a client of the object store, which serves PUT and GET over HTTP.
type RemoteObjects struct {
	client *http.Client
	url    string
}

// NewRemoteObjects returns a client of the object store at the base URL url.
func NewRemoteObjects(client *http.Client, url string) *RemoteObjects {
	return &RemoteObjects{client: client, url: url}
}

// Put implements Objects.
func (o *RemoteObjects) Put(ctx context.Context, key string, value []byte) error {
	_, err := roundTrip(ctx, o.client, http.MethodPut, o.url+"/"+key, value)
	return err
}

// Get implements Objects.
func (o *RemoteObjects) Get(ctx context.Context, key string) ([]byte, error) {
	return roundTrip(ctx, o.client, http.MethodGet, o.url+"/"+key, nil)
}

// TargetGroup is an entry of the membership list, which is published in the format of
// Prometheus HTTP service discovery.
type TargetGroup struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// The labels of a member in the membership list.
const (
	LabelAPI        = "api"
	LabelDataCentre = "dataCentre"
	LabelID         = "id"
	LabelRack       = "rack"
	LabelRole       = "role"
	LabelState      = "state"
)

// RemoteMembership is a client of the membership list over HTTP. The server does not
// send a list again that has not changed since the last read.
type RemoteMembership struct {
	client *http.Client
	url    string

	mutex   sync.Mutex
	tag     string
	members []Member
}

// NewRemoteMembership returns a client of the membership list at url.
func NewRemoteMembership(client *http.Client, url string) *RemoteMembership {
	return &RemoteMembership{client: client, url: url}
}

// Members implements Membership.
func (m *RemoteMembership) Members(ctx context.Context) ([]Member, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, m.url, nil)
	if err != nil {
		return nil, &NotSentError{Cause: err}
	}
	if m.tag != "" {
		request.Header.Set("If-None-Match", m.tag)
	}
	response, data, err := exchange(m.client, request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode == http.StatusNotModified {
		return m.members, nil
	}
	var groups []TargetGroup
	if err := json.Unmarshal(data, &groups); err != nil {
		return nil, errors.Wrap(err, "membership list")
	}
	m.members, m.tag = decodeMembers(groups), response.Header.Get("ETag")
	return m.members, nil
}

func decodeMembers(groups []TargetGroup) []Member {
	members := make([]Member, 0, len(groups))
	for _, g := range groups {
		for _, address := range g.Targets {
			members = append(members, Member{
				ID:         g.Labels[LabelID],
				Role:       Role(g.Labels[LabelRole]),
				Address:    address,
				API:        g.Labels[LabelAPI],
				DataCentre: ident.DataCentre(g.Labels[LabelDataCentre]),
				Rack:       g.Labels[LabelRack],
				State:      State(g.Labels[LabelState]),
			})
		}
	}
	return members
}
