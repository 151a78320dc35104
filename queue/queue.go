// Package queue holds the queues that the operator has configured, and finds
// the queue that a request belongs to.
package queue

import (
	"strings"
	"time"

	"github.com/catkingap/catkingap/cold"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/work"
)

// Version is the version of a configuration. Later ones are higher.
type Version int64

// Queue is the configuration of one queue of jobs.
type Queue struct {
	Name work.Queue `msgpack:"name"`
	// Host and Prefix select the requests of the queue.
	Host     string        `msgpack:"host"`
	Prefix   string        `msgpack:"prefix"`
	Pool     ident.Pool    `msgpack:"pool"`
	Priority work.Priority `msgpack:"priority"`
	// Attempts is the number of failed runs of one task after which its job
	// fails.
	Attempts int `msgpack:"attempts"`
	// Stretch and Target define the objective for the response time: Stretch
	// times the estimated run time of a job's critical path, plus Target.
	Stretch float64       `msgpack:"stretch"`
	Target  time.Duration `msgpack:"target"`
	// Timeout limits the duration of one request.
	Timeout time.Duration `msgpack:"timeout"`
	// Restricted is true if only some workers may run the queue's steps.
	Restricted bool `msgpack:"advised,omitempty"`
}

// Limits holds the size limits of requests.
type Limits struct {
	BodyBytes int64 `msgpack:"bodyBytes"`
	// HeaderBytes limits the total size of the names and values of all header
	// fields.
	HeaderBytes int64 `msgpack:"headerBytes"`
}

// Configuration is one version of the operator's configuration.
type Configuration struct {
	Version Version `msgpack:"version"`
	Queues  []Queue `msgpack:"queues"`
	Limits  Limits  `msgpack:"limits"`
	// Cold holds the limits for the cold workers of each pool that has any.
	Cold map[ident.Pool]cold.Limits `msgpack:"cold,omitempty"`
}

// Table finds the queue of a request. It is immutable.
type Table struct {
	Configuration
	byHost map[string][]*Queue
}

// NewTable returns the table of a configuration.
func NewTable(c Configuration) *Table {
	t := &Table{Configuration: c, byHost: map[string][]*Queue{}}
	for i := range c.Queues {
		q := &c.Queues[i]
		t.byHost[q.Host] = append(t.byHost[q.Host], q)
	}
	return t
}

// ByName returns the queue of a name, or nil. There is none as long as no configuration is known.
func (t *Table) ByName(name work.Queue) *Queue {
	for i := range t.queues() {
		if q := &t.Queues[i]; q.Name == name {
			return q
		}
	}
	return nil
}

// queues returns the queues, also of a nil table.
func (t *Table) queues() []Queue {
	if t == nil {
		return nil
	}
	return t.Queues
}

// Find returns the queue of the host with the longest prefix of path, and the
// rest of path. It returns nil if there is none.
func (t *Table) Find(host, path string) (*Queue, string) {
	var best *Queue
	for _, q := range t.byHost[host] {
		if strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	if best == nil {
		return nil, ""
	}
	return best, path[len(best.Prefix):]
}

// ColdLimits returns the limits for the cold workers of each pool. Bursts of starts on one stay
// below slack.
func (t *Table) ColdLimits(slack float64) map[ident.Pool]cold.Limits {
	limits := make(map[ident.Pool]cold.Limits, len(t.Cold))
	for p, l := range t.Cold {
		l.Slack = slack
		limits[p] = l
	}
	return limits
}
