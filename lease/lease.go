// Package lease decides which runs of entry hosts are lost and who takes over
// their jobs. It is pure. Safety does not depend on it: two hosts that take
// over the same job meet at the conditional write of its row.
package lease

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/job"
)

// Heartbeat is the row that each entry host writes at short intervals.
type Heartbeat struct {
	job.Holder
	// Counter grows with each write of the same boot.
	Counter    uint64           `json:"counter"`
	Address    string           `json:"address"`
	DataCentre ident.DataCentre `json:"dataCentre"`
	// Revision is the revision at which the row was last written.
	Revision ident.Revision `json:"-"`
}

// Config builds a Monitor.
type Config struct {
	Self job.Holder
	// Bound is the time without an advance of its counter after which a run is
	// probed.
	Bound time.Duration
	// MaxGap is the longest pause between two reads of the table that counts
	// as an unbroken observation.
	MaxGap time.Duration
	// Forget is the time for which a lost run is remembered.
	Forget time.Duration
}

// Lost is a run that has ended.
type Lost struct {
	job.Holder
	Since time.Time
	// Heartbeat is the last row of the run. Its revision is zero if the row
	// was replaced by another run.
	Heartbeat Heartbeat
}

// Observation is what one read of all heartbeats showed.
type Observation struct {
	// Appeared holds the runs that were not known before.
	Appeared []Heartbeat
	// Suspects holds the runs that must be probed.
	Suspects []Heartbeat
}

// Monitor watches the heartbeats of all entry hosts.
type Monitor struct {
	config   Config
	seen     map[ident.Host]*record
	lost     map[job.Holder]Lost
	orphans  map[job.Holder]bool
	lastRead time.Time
}

// record is what is known of one host.
type record struct {
	Heartbeat
	// silent is the time without an advance while this observer's own access
	// to the table worked without a break.
	silent time.Duration
	lost   bool
}

// NewMonitor returns a monitor that has seen nothing yet.
func NewMonitor(c Config) *Monitor {
	return &Monitor{
		config: c, seen: map[ident.Host]*record{}, lost: map[job.Holder]Lost{}, orphans: map[job.Holder]bool{},
	}
}

// Observe takes a successful read of all heartbeats.
func (m *Monitor) Observe(now time.Time, beats []Heartbeat) Observation {
	gap := now.Sub(m.lastRead)
	unbroken := !m.lastRead.IsZero() && gap <= m.config.MaxGap
	m.lastRead = now
	present := make(map[ident.Host]bool, len(beats))
	var seen Observation
	for _, b := range beats {
		present[b.Host] = true
		o := m.seen[b.Host]
		switch {
		case o == nil:
			m.seen[b.Host] = &record{Heartbeat: b}
			seen.Appeared = append(seen.Appeared, b)
			continue
		case o.Boot != b.Boot:
			m.lose(now, o, 0)
			m.seen[b.Host] = &record{Heartbeat: b}
			seen.Appeared = append(seen.Appeared, b)
			continue
		case o.Counter != b.Counter || !unbroken:
			o.lost = o.lost && o.Counter == b.Counter
			o.Heartbeat, o.silent = b, 0
			continue
		}
		o.silent += gap
		if o.silent >= m.config.Bound && !o.lost && b.Host != m.config.Self.Host {
			seen.Suspects = append(seen.Suspects, b)
		}
	}
	for host, o := range m.seen {
		if !present[host] {
			m.lose(now, o, 0)
			delete(m.seen, host)
		}
	}
	m.forget(now)
	return seen
}

// Interrupted tells that an access to the table failed: silence until now
// proves nothing, for the others had the same trouble perhaps.
func (m *Monitor) Interrupted() {
	m.lastRead = time.Time{}
	for _, o := range m.seen {
		o.silent = 0
	}
}

// Probed takes the result of a probe. Boot is empty if there was no answer.
func (m *Monitor) Probed(now time.Time, run job.Holder, boot string) {
	o := m.seen[run.Host]
	if o == nil || o.Boot != run.Boot || o.silent < m.config.Bound {
		return
	}
	if boot == run.Boot {
		o.silent = 0
		return
	}
	m.lose(now, o, o.Revision)
}

func (m *Monitor) lose(now time.Time, o *record, r ident.Revision) {
	o.lost = true
	if _, known := m.lost[o.Holder]; known || o.Holder == m.config.Self {
		return
	}
	beat := o.Heartbeat
	beat.Revision = r
	m.lost[o.Holder] = Lost{Holder: o.Holder, Since: now, Heartbeat: beat}
}

func (m *Monitor) forget(now time.Time) {
	for run, l := range m.lost {
		o := m.seen[run.Host]
		back := o != nil && o.Boot == run.Boot && !o.lost
		if back || now.Sub(l.Since) > m.config.Forget {
			delete(m.lost, run)
		}
	}
}

// Orphaned takes all runs that hold jobs. A run whose host now shows another
// run, or none, twice in a row is lost.
func (m *Monitor) Orphaned(now time.Time, holders []job.Holder) {
	next := map[job.Holder]bool{}
	for _, h := range holders {
		o := m.seen[h.Host]
		if h == m.config.Self || (o != nil && o.Boot == h.Boot && !o.lost) {
			continue
		}
		if m.orphans[h] {
			m.lose(now, &record{Heartbeat: Heartbeat{Holder: h}}, 0)
		}
		next[h] = true
	}
	m.orphans = next
}

// Lost returns the lost runs in order of their names.
func (m *Monitor) Lost() []Lost {
	all := make([]Lost, 0, len(m.lost))
	for _, l := range m.lost {
		all = append(all, l)
	}
	slices.SortFunc(all, func(a, b Lost) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Boot, b.Boot))
	})
	return all
}

// IsGone returns true if a run is lost, or if its host shows another run.
func (m *Monitor) IsGone(run job.Holder) bool {
	o := m.seen[run.Host]
	if o == nil {
		return !m.lastRead.IsZero()
	}
	return o.Boot != run.Boot || o.lost
}

// Address returns the address of a host, or nothing if it was never seen.
func (m *Monitor) Address(h ident.Host) string {
	if o := m.seen[h]; o != nil {
		return o.Heartbeat.Address
	}
	return ""
}

// Live returns the last heartbeats of all other hosts that are not lost or
// about to be.
func (m *Monitor) Live() []Heartbeat {
	var live []Heartbeat
	for _, o := range m.seen {
		if o.Host != m.config.Self.Host && !o.lost && o.silent < m.config.Bound {
			live = append(live, o.Heartbeat)
		}
	}
	slices.SortFunc(live, func(a, b Heartbeat) int { return cmp.Compare(a.Host, b.Host) })
	return live
}

// weight returns the weight of a host for a key in rendezvous hashing.
func weight(h ident.Host, key string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(h))
	hash.Write([]byte{0})
	hash.Write([]byte(key))
	// The finalizer of splitmix64 spreads the last bytes over all bits.
	x := hash.Sum64()
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// Rank returns how many of the live hosts come before self for a key.
func Rank(self ident.Host, live []Heartbeat, key string) int {
	rank := 0
	own := weight(self, key)
	for _, b := range live {
		if w := weight(b.Host, key); b.Host != self && (w > own || (w == own && b.Host < self)) {
			rank++
		}
	}
	return rank
}

// ChooseMirror returns the run that mirrors a job: one of the same data centre
// if there is one, else any. It is zero if there is no other host.
func ChooseMirror(local ident.DataCentre, live []Heartbeat, key string) job.Holder {
	var best Heartbeat
	for _, b := range live {
		near, bestNear := b.DataCentre == local, best.DataCentre == local
		switch {
		case best.Host == "", near && !bestNear:
			best = b
		case near == bestNear && weight(b.Host, key) > weight(best.Host, key):
			best = b
		}
	}
	return best.Holder
}
