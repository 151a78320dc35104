package fleet

import (
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/catkingap/catkingap/evacuation"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/storage"
)

// sourceTable is the source of what a host reads from the platform's table.
const sourceTable = "table"

// Evacuation holds what this host knows of evacuated data centres. It learns of them from the
// platform's table and from other hosts.
type Evacuation struct {
	enabled  bool
	decoder  Decoder
	counters *Counters
	logger   log.Interface
	onChange []func()

	mutex   sync.Mutex
	tracker evacuation.Tracker
}

func newEvacuation(s Settings, d Decoder, c *Counters, l log.Interface) *Evacuation {
	return &Evacuation{enabled: s.EvacuationTime > 0, decoder: d, counters: c, logger: l}
}

// OnChange registers f to be called after the state may have changed. It must be called
// before the application starts.
func (e *Evacuation) OnChange(f func()) { e.onChange = append(e.onChange, f) }

// Access returns whether tasks may start on the workers of a data centre.
func (e *Evacuation) Access(c ident.DataCentre) evacuation.Access {
	if e == nil || !e.enabled {
		return evacuation.Open
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.tracker.State().Access(c)
}

// readView records what a view of the operator's rows shows. A deleted request shows by its
// absence.
func (e *Evacuation) readView(v *storage.View) {
	if !e.enabled {
		return
	}
	var evacuated []ident.DataCentre
	for key := range v.Rows() {
		if c, ok := e.decoder.EvacuatedCentre(key); ok {
			evacuated = append(evacuated, c)
		}
	}
	e.observe(sourceTable, evacuation.NewState(v.Revision(), evacuated...))
}

// observe records a state and tells those who depend on it.
func (e *Evacuation) observe(source string, s evacuation.State) {
	e.mutex.Lock()
	c := e.tracker.Observe(time.Now(), s)
	e.mutex.Unlock()
	if c.IsEmpty() {
		return
	}
	for _, x := range c.Began {
		e.note("began", source, s.Revision, x)
	}
	for _, x := range c.Ended {
		e.note("ended", source, s.Revision, x)
	}
	for _, f := range e.onChange {
		f()
	}
}

// note logs and counts that an evacuation began or ended in the view of this host.
func (e *Evacuation) note(what, source string, r ident.Revision, c ident.DataCentre) {
	e.counters.evacuations.Add(what, 1)
	e.logger.WithFields(log.Fields{"dataCentre": string(c), "revision": int64(r), "source": source}).Warn("evacuation " + what)
}

// request returns the state that a contact with another host carries, or nil.
func (e *Evacuation) request() *evacuation.State {
	if e == nil || !e.enabled {
		return nil
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.tracker.Request(time.Now())
}

// receive records the state that another host has told, or nil.
func (e *Evacuation) receive(from ident.Host, s *evacuation.State) {
	if e != nil && e.enabled && s != nil {
		e.observe(string(from), *s)
	}
}

// answer records the state that a contact of another host carries, or nil, and returns the one
// that the answer carries.
func (e *Evacuation) answer(from ident.Host, asked *evacuation.State) *evacuation.State {
	if e == nil || !e.enabled {
		return nil
	}
	e.receive(from, asked)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.tracker.Answer(asked)
}
