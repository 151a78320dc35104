package storage_test

import (
	"io"
	"net/http"
)

// countingTransport counts the bytes of the bodies of all answers.
type countingTransport struct {
	next  http.RoundTripper
	bytes int64
}

// RoundTrip implements http.RoundTripper.
func (t *countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	response.Body = &countingBody{ReadCloser: response.Body, transport: t}
	return response, nil
}

// countingBody adds the bytes that are read to those of its transport.
type countingBody struct {
	io.ReadCloser
	transport *countingTransport
}

// Read implements io.Reader.
func (b *countingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.transport.bytes += int64(n)
	return n, err
}
