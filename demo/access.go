package demo

import (
	"context"
	"net/http"

	"github.com/catkingap/catkingap/client"
	"github.com/catkingap/catkingap/standin"
)

// Start starts the stand-ins and the entry hosts but submits no work. The caller
// stops them with Stop.
func Start(ctx context.Context, c Config) (*Demo, error) {
	d := &Demo{config: c}
	if err := d.start(ctx); err != nil {
		d.stop()
		return nil, err
	}
	return d, nil
}

// Stop shuts all hosts and stand-ins down.
func (d *Demo) Stop() { d.stop() }

// Client returns a client of the host with the given index.
func (d *Demo) Client(host int) *client.Client { return d.hosts[host].client }

// URL returns the base URL of the host with the given index.
func (d *Demo) URL(host int) string { return d.hosts[host].url }

// Platform returns the stand-in for the platform.
func (d *Demo) Platform() *standin.Platform { return d.platform }

// Backends returns the stand-ins for the backend servers.
func (d *Demo) Backends() []*standin.Backend { return d.backends }

// Sever closes all connections of a host but leaves it on the membership list, as
// if the platform had not yet noticed that it is dead.
func (d *Demo) Sever(host int) { d.hosts[host].network.Sever() }

// newClient returns a client of the host at a base URL.
func newClient(url string) *client.Client {
	return client.New(&http.Client{Transport: &http.Transport{}}, url)
}
