package standin

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/catkingap/catkingap/storage"
)

// Objects is a stand-in for the platform's object store.
type Objects struct {
	Faults Switch

	mutex   sync.Mutex
	objects map[string][]byte
}

// Register adds the store's paths to mux.
func (o *Objects) Register(mux *http.ServeMux) {
	mux.HandleFunc("PUT /objects/{key...}", o.Faults.applyFaults(func(w http.ResponseWriter, r *http.Request, _ Faults) {
		data, err := io.ReadAll(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		o.mutex.Lock()
		defer o.mutex.Unlock()
		o.objects[r.PathValue("key")] = data
		w.WriteHeader(http.StatusNoContent)
	}))
	mux.HandleFunc("GET /objects/{key...}", o.Faults.applyFaults(func(w http.ResponseWriter, r *http.Request, _ Faults) {
		o.mutex.Lock()
		data, ok := o.objects[r.PathValue("key")]
		o.mutex.Unlock()
		if !ok {
			http.NotFound(w, r)
			return
		}
		_, _ = w.Write(data)
	}))
	mux.Handle("PUT /object-store"+PathFaults, &o.Faults)
}

// Members is a stand-in for the membership list. Changes become visible after Lag.
type Members struct {
	Faults Switch
	// Lag is the time after which a change is visible.
	Lag time.Duration

	mutex   sync.Mutex
	members map[string]memberVersions
	now     func() time.Time
}

// memberVersions holds the state of a member before and after its last change.
type memberVersions struct {
	previous    storage.TargetGroup
	listed      bool
	current     storage.TargetGroup
	removed     bool
	visibleFrom time.Time
}

// Set adds or replaces a member.
func (m *Members) Set(g storage.TargetGroup) {
	m.change(g, false)
}

// Remove removes a member from the list.
func (m *Members) Remove(id string) {
	m.change(storage.TargetGroup{Labels: map[string]string{storage.LabelID: id}}, true)
}

func (m *Members) change(g storage.TargetGroup, removed bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := m.now()
	id := g.Labels[storage.LabelID]
	v, known := m.members[id]
	previous, listed := v.visible(now)
	from := now.Add(m.Lag)
	if !known {
		// A new member is listed at once, so that tests start quickly.
		from = now
	}
	m.members[id] = memberVersions{previous: previous, listed: listed, current: g, removed: removed, visibleFrom: from}
}

// visible returns the member as it is listed at now, and whether it is listed.
func (v memberVersions) visible(now time.Time) (storage.TargetGroup, bool) {
	if now.Before(v.visibleFrom) {
		return v.previous, v.listed
	}
	return v.current, !v.removed && v.current.Targets != nil
}

// list returns the visible members in order of their ids.
func (m *Members) list() []storage.TargetGroup {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := m.now()
	groups := []storage.TargetGroup{}
	for _, id := range slices.Sorted(maps.Keys(m.members)) {
		if g, ok := m.members[id].visible(now); ok {
			groups = append(groups, g)
		}
	}
	return groups
}

// Register adds the list's paths to mux.
func (m *Members) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /members", m.Faults.applyFaults(func(w http.ResponseWriter, r *http.Request, _ Faults) {
		data, err := json.Marshal(m.list())
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		sum := sha256.Sum256(data)
		w.Header().Set("ETag", `"`+hex.EncodeToString(sum[:8])+`"`)
		w.Header().Set("Content-Type", "application/json")
		http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(data))
	}))
	mux.HandleFunc("PUT /members", func(w http.ResponseWriter, r *http.Request) {
		var g storage.TargetGroup
		if err := json.NewDecoder(r.Body).Decode(&g); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		m.Set(g)
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("DELETE /members/{id}", func(w http.ResponseWriter, r *http.Request) {
		m.Remove(r.PathValue("id"))
		w.WriteHeader(http.StatusNoContent)
	})
	mux.Handle("PUT /membership"+PathFaults, &m.Faults)
}

// PlatformConfig configures a Platform.
type PlatformConfig struct {
	Table         TableConfig
	MembershipLag time.Duration
}

// Platform holds the stand-ins for all services of the platform.
type Platform struct {
	Table   *Table
	Objects *Objects
	Members *Members
}

// NewPlatform returns a platform without rows, objects or members.
func NewPlatform(c PlatformConfig) *Platform {
	return &Platform{
		Table:   NewTable(c.Table),
		Objects: &Objects{objects: map[string][]byte{}},
		Members: &Members{Lag: c.MembershipLag, members: map[string]memberVersions{}, now: time.Now},
	}
}

// Handler returns the HTTP handler of all services.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	p.Table.Register(mux)
	p.Objects.Register(mux)
	p.Members.Register(mux)
	return mux
}

// SetFaults sets the faults of all services.
func (p *Platform) SetFaults(f Faults) {
	p.Table.saveStale()
	p.Table.Faults.Set(f)
	p.Objects.Faults.Set(f)
	p.Members.Faults.Set(f)
}
