package rollout

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/catkingap/catkingap/ident"
)

const (
	propertySeed = "20261204"
	propertyRuns = "2000"
	propertySize = "80"
	minEvents    = 100_000
	hostCount    = 4
	fetchTimeout = time.Second
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"seed": propertySeed, "checks": propertyRuns, "steps": propertySize} {
		if f := flag.Lookup("rapid." + name); f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	os.Exit(m.Run())
}

// table is a model of the platform's table that keeps the rows of each
// revision.
type table struct {
	revision ident.Revision
	floor    ident.Revision
	rows     map[string]Row
	history  map[ident.Revision]*Set
}

func (t *table) change(f func(r ident.Revision)) {
	t.revision++
	f(t.revision)
	t.history[t.revision] = &Set{Revision: t.revision, Floor: t.floor, rows: maps.Clone(t.rows)}
}

// hostModel is the model of one host.
type hostModel struct {
	machine *Machine
	// peak is the highest revision that was put in force.
	peak ident.Revision
	// cut is true if the host can not reach the table.
	cut bool
	// isolated is true if the host can not reach its peers.
	isolated bool
}

// model drives hosts through random events.
type model struct {
	t     *rapid.T
	now   time.Time
	table *table
	hosts map[ident.Host]*hostModel
	names []ident.Host
	// inFlight holds the messages in flight between hosts.
	inFlight []message
	events   int
}

// message carries an event, or a Fetch to answer, to another host.
type message struct {
	to ident.Host
	// receiver is the machine of the receiving host when the message was sent. A
	// restart replaces it.
	receiver *Machine
	from     ident.Host
	request  *Fetch
	Event
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, now: time.Unix(0, 0), hosts: map[ident.Host]*hostModel{}}
	m.table = &table{rows: map[string]Row{}, history: map[ident.Revision]*Set{}}
	for i := range hostCount {
		name := ident.Host(fmt.Sprintf("host-%d", i))
		m.names = append(m.names, name)
		m.hosts[name] = &hostModel{machine: NewMachine(Config{FetchTimeout: fetchTimeout})}
	}
	return m
}

func (m *model) pickHost(label string) ident.Host { return rapid.SampledFrom(m.names).Draw(m.t, label) }

func (m *model) step(name ident.Host, e Event) {
	h := m.hosts[name]
	m.events++
	for _, a := range h.machine.Step(m.now, e) {
		switch a := a.(type) {
		case Apply:
			if a.Set.Revision <= h.peak {
				m.t.Fatalf("%s went from revision %d to %d", name, h.peak, a.Set.Revision)
			}
			h.peak = a.Set.Revision
			m.check(name, a.Set)
		case Fetch:
			m.inFlight = append(m.inFlight, message{to: a.Host, receiver: m.hosts[a.Host].machine, from: name, request: &a})
		case Announce:
			for _, peer := range m.names {
				m.send(name, peer, RevisionHeard{Host: name, Revision: h.machine.Set().Revision})
			}
		case Reload:
			if !h.cut {
				m.step(name, DeltaReceived{Delta: m.table.history[m.table.revision].Since(0)})
			}
		}
	}
}

// check compares a set with the table's rows at the set's revision.
func (m *model) check(name ident.Host, s *Set) {
	want := m.table.history[s.Revision]
	for key, r := range want.rows {
		if got := s.rows[key]; got.Revision != r.Revision || got.Deleted != r.Deleted {
			m.t.Fatalf("%s: %s is at %d, not %d, in revision %d", name, key, got.Revision, r.Revision, s.Revision)
		}
	}
	for key, r := range s.rows {
		if _, ok := want.rows[key]; !ok {
			m.t.Fatalf("%s: %s is still there at %d in revision %d", name, key, r.Revision, s.Revision)
		}
	}
}

func (m *model) send(from, to ident.Host, e Event) {
	if from != to {
		m.inFlight = append(m.inFlight, message{to: to, receiver: m.hosts[to].machine, from: from, Event: e})
	}
}

// deliver delivers message i. It is lost if the receiver has restarted or a
// partition separates the hosts.
func (m *model) deliver(i int) {
	d := m.inFlight[i]
	m.inFlight = append(m.inFlight[:i], m.inFlight[i+1:]...)
	target := m.hosts[d.to]
	if target.machine != d.receiver || target.isolated || m.hosts[d.from].isolated {
		return
	}
	if d.request != nil {
		m.send(d.to, d.from, Fetched{Host: d.to, Delta: target.machine.Set().Since(d.request.After)})
		return
	}
	m.step(d.to, d.Event)
}

func (m *model) write(*rapid.T) {
	key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(m.t, "key")
	_, present := m.table.rows[key]
	deleted := present && rapid.Bool().Draw(m.t, "delete")
	m.table.change(func(r ident.Revision) { m.table.rows[key] = Row{Key: key, Revision: r, Deleted: deleted} })
	if name := m.pickHost("writer"); rapid.Bool().Draw(m.t, "answered") {
		h := m.hosts[name]
		m.step(name, DeltaReceived{Delta: m.delta(h.machine.Set().Revision, m.table.revision)})
	}
}

// delta returns the answer to a read of the table as of revision at.
func (m *model) delta(after, at ident.Revision) Delta {
	d := Delta{After: after, Revision: at, Floor: m.table.history[at].Floor}
	for _, r := range m.table.history[at].rows {
		if r.Revision > after {
			d.Rows = append(d.Rows, r)
		}
	}
	return d
}

// sweep removes the oldest tombstone.
func (m *model) sweep(*rapid.T) {
	oldest := Row{}
	for _, r := range m.table.rows {
		if r.Deleted && (oldest.Key == "" || r.Revision < oldest.Revision) {
			oldest = r
		}
	}
	if oldest.Key == "" {
		return
	}
	m.table.floor = oldest.Revision
	m.table.change(func(ident.Revision) { delete(m.table.rows, oldest.Key) })
}

func (m *model) poll(*rapid.T) {
	if m.table.revision == 0 {
		return
	}
	name := m.pickHost("poller")
	h := m.hosts[name]
	at := ident.Revision(rapid.IntRange(1, int(m.table.revision)).Draw(m.t, "stale"))
	if !h.cut {
		m.step(name, DeltaReceived{Delta: m.delta(h.machine.Set().Revision, at)})
	}
}

func (m *model) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"write": m.write,
		"sweep": m.sweep,
		"poll":  m.poll,
		"deliver": func(*rapid.T) {
			if len(m.inFlight) > 0 {
				m.deliver(rapid.IntRange(0, len(m.inFlight)-1).Draw(m.t, "message"))
			}
		},
		"lose": func(*rapid.T) {
			if len(m.inFlight) > 0 {
				i := rapid.IntRange(0, len(m.inFlight)-1).Draw(m.t, "lost")
				m.inFlight = append(m.inFlight[:i], m.inFlight[i+1:]...)
			}
		},
		"probe": func(*rapid.T) {
			from := m.pickHost("prober")
			m.send(from, m.pickHost("probed"), RevisionHeard{Host: from, Revision: m.hosts[from].machine.Set().Revision})
		},
		"restart": func(*rapid.T) {
			m.hosts[m.pickHost("restarted")] = &hostModel{machine: NewMachine(Config{FetchTimeout: fetchTimeout})}
		},
		"partition": func(*rapid.T) {
			h := m.hosts[m.pickHost("host")]
			h.cut, h.isolated = rapid.Bool().Draw(m.t, "cut"), rapid.Bool().Draw(m.t, "linked")
		},
		"wait": func(*rapid.T) {
			m.now = m.now.Add(fetchTimeout)
			m.step(m.pickHost("ticked"), Ticked{})
		},
	}
}

// converge heals the links between hosts while the table is unreachable, lets
// the hosts exchange their revisions, and checks that all reach the highest.
func (m *model) converge() {
	m.inFlight = nil
	highest := ident.Revision(0)
	for _, h := range m.hosts {
		h.cut, h.isolated = true, false
		highest = max(highest, h.machine.Set().Revision)
	}
	for range 3 {
		m.now = m.now.Add(2 * fetchTimeout)
		for _, from := range m.names {
			for _, to := range m.names {
				m.send(from, to, RevisionHeard{Host: from, Revision: m.hosts[from].machine.Set().Revision})
			}
		}
		for len(m.inFlight) > 0 {
			m.deliver(0)
		}
	}
	for name, h := range m.hosts {
		if got := h.machine.Set().Revision; got != highest {
			m.t.Fatalf("%s stays at revision %d, not %d", name, got, highest)
		}
	}
}

// TestRolloutNeverReverts checks that no host goes back to an older revision
// under random writes, deletions, stale reads, lost and delayed messages,
// restarts and partitions.
func TestRolloutNeverReverts(t *testing.T) {
	events := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(m.actions())
		m.converge()
		events += m.events
	})
	t.Logf("%d events", events)
	if events < minEvents {
		t.Errorf("%d events are fewer than %d", events, minEvents)
	}
}

func TestStep(t *testing.T) {
	row := func(key string, r ident.Revision) Row { return Row{Key: key, Revision: r} }
	tests := map[string]struct {
		events []Event
		want   ident.Revision
		last   Action
	}{
		"a full set is applied and announced": {
			events: []Event{DeltaReceived{Delta{Revision: 4, Rows: []Row{row("a", 4)}}}}, want: 4, last: Announce{},
		},
		"a stale answer changes nothing": {
			events: []Event{DeltaReceived{Delta{Revision: 4}}, DeltaReceived{Delta{Revision: 3}}}, want: 4,
		},
		"a delta with a gap asks for all rows": {
			events: []Event{DeltaReceived{Delta{Revision: 4}}, DeltaReceived{Delta{After: 6, Revision: 8}}}, want: 4, last: Reload{},
		},
		"a removed tombstone asks for all rows": {
			events: []Event{DeltaReceived{Delta{Revision: 4}}, DeltaReceived{Delta{After: 4, Revision: 8, Floor: 6}}}, want: 4, last: Reload{},
		},
		"a higher revision of a peer is fetched": {
			events: []Event{DeltaReceived{Delta{Revision: 4}}, RevisionHeard{"b", 6}}, want: 4, last: Fetch{Host: "b", After: 4},
		},
		"a peer that failed is replaced by the next": {
			events: []Event{RevisionHeard{"b", 6}, RevisionHeard{"c", 5}, FetchFailed{"b"}}, last: Fetch{Host: "c"},
		},
		"no second fetch while one is under way": {
			events: []Event{RevisionHeard{"b", 6}, RevisionHeard{"c", 7}}, last: nil,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := NewMachine(Config{FetchTimeout: fetchTimeout})
			var actions []Action
			for _, e := range test.events {
				actions = m.Step(time.Unix(0, 0), e)
			}
			is.Equal(m.Set().Revision, test.want)
			if test.last == nil {
				is.Equal(len(actions), 0)
			} else {
				is.Equal(actions[len(actions)-1], test.last)
			}
		})
	}
}
