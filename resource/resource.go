// Package resource defines the resources that operators declare: teams, services,
// pools and backend servers. It stores them in the platform's table and builds the
// configuration snapshot that requests read.
package resource

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/rollout"
)

// Kind is the kind of a resource.
type Kind string

// The kinds of resources.
const (
	KindBackendServer Kind = "backendServer"
	KindPool          Kind = "pool"
	KindService       Kind = "service"
	KindTeam          Kind = "team"
)

// Object is a resource of any kind.
type Object struct {
	Kind     Kind              `json:"kind"`
	Name     string            `json:"name"`
	Revision ident.Revision    `json:"revision"`
	Labels   map[string]string `json:"labels,omitempty"`
	Spec     json.RawMessage   `json:"spec"`
	// Operation is the client's id for a write. A write that is repeated with
	// the same operation takes effect once.
	Operation string `json:"operation,omitempty"`
	// Status is the state as the answering host sees it. It is never stored.
	Status *Status `json:"status,omitempty"`

	// decoded caches the spec in the type of its kind.
	decoded any
}

// BackendServerSpec declares one backend server or worker.
type BackendServerSpec struct {
	Pool       ident.Pool       `json:"pool" validate:"required"`
	Address    string           `json:"address" validate:"required,hostname_port"`
	DataCentre ident.DataCentre `json:"dataCentre" validate:"required,max=63"`
	// Slots is the number of tasks that the server runs at once.
	Slots int `json:"slots" validate:"min=1,max=4096"`
	// MemoryMB is the memory of the server in megabytes. Zero means unknown.
	MemoryMB int `json:"memoryMb,omitempty" validate:"min=0"`
	// Drain requests that the server gets no new work.
	Drain bool `json:"drain,omitempty"`
}

// PoolSpec declares a pool of backend servers.
type PoolSpec struct {
	// QueueTasks bounds the tasks that wait for the pool on one entry host.
	QueueTasks int `json:"queueTasks,omitempty" validate:"min=0,max=1000000"`
}

// ServiceSpec declares a service and the pool behind it.
type ServiceSpec struct {
	Pool ident.Pool `json:"pool" validate:"required"`
	// TimeoutMS is the timeout, in milliseconds, of requests that do not set one
	// themselves.
	TimeoutMS int `json:"timeoutMs,omitempty" validate:"min=0,max=3600000"`
	// Hedge allows a second copy of slow idempotent requests.
	Hedge bool `json:"hedge,omitempty"`
}

// TeamSpec declares a team and its quota.
type TeamSpec struct {
	// Weight is the team's share of a contended pool. Zero means one.
	Weight int `json:"weight,omitempty" validate:"min=0,max=1000"`
	// TasksPerSecond bounds the rate of task starts. Zero means no bound.
	TasksPerSecond float64 `json:"tasksPerSecond,omitempty" validate:"min=0"`
	// QueueTasks bounds the team's tasks that wait on one entry host.
	QueueTasks int `json:"queueTasks,omitempty" validate:"min=0,max=1000000"`
}

// Server is a backend server in a snapshot.
type Server struct {
	Name ident.Server
	BackendServerSpec
}

// Snapshot is the configuration at one revision. It is immutable once it is
// built.
type Snapshot struct {
	Revision ident.Revision
	// Applied is when this host put the snapshot in force.
	Applied  time.Time
	Pools    map[ident.Pool]PoolSpec
	Servers  map[ident.Pool][]Server
	Services map[ident.Service]ServiceSpec
	Teams    map[ident.Team]TeamSpec
	Objects  map[Kind]map[string]Object
	// Rows holds the rows that the snapshot was built from.
	Rows *rollout.Set

	// serversByName holds the backend servers of all pools by name.
	serversByName map[ident.Server]Server
	// objectsByKey holds the resources by row key.
	objectsByKey map[string]Object
}

// Server returns the backend server with a name, whatever its pool.
func (s *Snapshot) Server(name ident.Server) (Server, bool) {
	server, ok := s.serversByName[name]
	return server, ok
}

// Build returns the snapshot of objects at revision. Objects that can not be
// decoded are left out and reported in the error.
func Build(now time.Time, revision ident.Revision, objects []Object) (*Snapshot, error) {
	s := &Snapshot{
		Revision:      revision,
		Applied:       now,
		Pools:         map[ident.Pool]PoolSpec{},
		Servers:       map[ident.Pool][]Server{},
		Services:      map[ident.Service]ServiceSpec{},
		Teams:         map[ident.Team]TeamSpec{},
		Objects:       map[Kind]map[string]Object{},
		Rows:          &rollout.Set{},
		serversByName: map[ident.Server]Server{},
		objectsByKey:  make(map[string]Object, len(objects)),
	}
	var failed error
	for _, o := range objects {
		if err := s.add(&o); err != nil {
			failed = errors.CombineErrors(failed, errors.Wrapf(err, "%s %s", o.Kind, o.Name))
			continue
		}
		if s.Objects[o.Kind] == nil {
			s.Objects[o.Kind] = map[string]Object{}
		}
		s.Objects[o.Kind][o.Name] = o
		s.objectsByKey[Key(o.Kind, o.Name)] = o
	}
	return s, failed
}

// add decodes a resource into the map of its kind.
func (s *Snapshot) add(o *Object) error {
	switch o.Kind {
	case KindBackendServer:
		spec, err := decode[BackendServerSpec](o)
		if err != nil {
			return err
		}
		server := Server{Name: ident.Server(o.Name), BackendServerSpec: spec}
		s.Servers[spec.Pool] = append(s.Servers[spec.Pool], server)
		s.serversByName[server.Name] = server
	case KindPool:
		spec, err := decode[PoolSpec](o)
		if err != nil {
			return err
		}
		s.Pools[ident.Pool(o.Name)] = spec
	case KindService:
		spec, err := decode[ServiceSpec](o)
		if err != nil {
			return err
		}
		s.Services[ident.Service(o.Name)] = spec
	case KindTeam:
		spec, err := decode[TeamSpec](o)
		if err != nil {
			return err
		}
		s.Teams[ident.Team(o.Name)] = spec
	default:
		return errors.Newf("unknown kind %q", o.Kind)
	}
	return nil
}

// decode returns the decoded spec of o and caches it in o.
func decode[T any](o *Object) (T, error) {
	if spec, ok := o.decoded.(T); ok {
		return spec, nil
	}
	var spec T
	err := json.Unmarshal(o.Spec, &spec)
	if err == nil {
		o.decoded = spec
	}
	return spec, err
}
