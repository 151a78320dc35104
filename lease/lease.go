// Package lease decides which incarnations of entry hosts are lost and who takes
// over their jobs. It has no side effects. Safety does not depend on it: if two
// hosts take over the same job, the conditional write of its row lets only one
// succeed.
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
	// Counter increases with each write of the same boot.
	Counter    uint64           `json:"counter"`
	Address    string           `json:"address"`
	DataCentre ident.DataCentre `json:"dataCentre"`
	// Revision is the revision at which the row was last written.
	Revision ident.Revision `json:"-"`
}

// Config builds a Monitor.
type Config struct {
	Self job.Holder
	// SilenceTimeout is the time for which the counter of an incarnation may stand
	// still before the incarnation is probed.
	SilenceTimeout time.Duration
	// MaxGap is the longest pause between two reads of the table that does not
	// interrupt the observation.
	MaxGap time.Duration
	// ForgetAfter is the time after which a lost incarnation is forgotten.
	ForgetAfter time.Duration
}

// Lost is an incarnation that has ended.
type Lost struct {
	job.Holder
	Since time.Time
	// Heartbeat is the last row of the incarnation. Its revision is zero if the
	// row was replaced by that of another incarnation.
	Heartbeat Heartbeat
}

// Observation is the result of one read of all heartbeats.
type Observation struct {
	// Appeared holds the incarnations that were not known before.
	Appeared []Heartbeat
	// Suspects holds the incarnations that must be probed.
	Suspects []Heartbeat
}

// Monitor watches the heartbeats of all entry hosts.
type Monitor struct {
	config   Config
	seen     map[ident.Host]*hostRecord
	lost     map[job.Holder]Lost
	orphans  map[job.Holder]bool
	lastRead time.Time
}

// hostRecord is what is known of one host.
type hostRecord struct {
	Heartbeat
	// silent is the time for which the counter stood still while this observer
	// could read the table without interruption.
	silent time.Duration
	lost   bool
}

// NewMonitor returns a monitor that knows no incarnations yet.
func NewMonitor(c Config) *Monitor {
	return &Monitor{
		config: c, seen: map[ident.Host]*hostRecord{}, lost: map[job.Holder]Lost{}, orphans: map[job.Holder]bool{},
	}
}

// Observe handles a successful read of all heartbeats.
func (m *Monitor) Observe(now time.Time, beats []Heartbeat) Observation {
	gap := now.Sub(m.lastRead)
	unbroken := !m.lastRead.IsZero() && gap <= m.config.MaxGap
	m.lastRead = now
	present := make(map[ident.Host]bool, len(beats))
	var result Observation
	for _, b := range beats {
		present[b.Host] = true
		o := m.seen[b.Host]
		switch {
		case o == nil:
			m.seen[b.Host] = &hostRecord{Heartbeat: b}
			result.Appeared = append(result.Appeared, b)
			continue
		case o.Boot != b.Boot:
			m.markLost(now, o, 0)
			m.seen[b.Host] = &hostRecord{Heartbeat: b}
			result.Appeared = append(result.Appeared, b)
			continue
		case o.Counter != b.Counter || !unbroken:
			o.lost = o.lost && o.Counter == b.Counter
			o.Heartbeat, o.silent = b, 0
			continue
		}
		o.silent += gap
		if o.silent >= m.config.SilenceTimeout && !o.lost && b.Host != m.config.Self.Host {
			result.Suspects = append(result.Suspects, b)
		}
	}
	for host, o := range m.seen {
		if !present[host] {
			m.markLost(now, o, 0)
			delete(m.seen, host)
		}
	}
	m.dropLost(now)
	return result
}

// ReadFailed handles a failed access to the table. It resets the silence of all
// hosts, since they may have failed to write for the same reason.
func (m *Monitor) ReadFailed() {
	m.lastRead = time.Time{}
	for _, o := range m.seen {
		o.silent = 0
	}
}

// HandleProbe handles the result of a probe of an incarnation, given by run. The
// boot is empty if there was no answer.
func (m *Monitor) HandleProbe(now time.Time, run job.Holder, boot string) {
	o := m.seen[run.Host]
	if o == nil || o.Boot != run.Boot || o.silent < m.config.SilenceTimeout {
		return
	}
	if boot == run.Boot {
		o.silent = 0
		return
	}
	m.markLost(now, o, o.Revision)
}

// markLost adds the incarnation of o to the lost ones, with revision r of its row.
func (m *Monitor) markLost(now time.Time, o *hostRecord, r ident.Revision) {
	o.lost = true
	if _, known := m.lost[o.Holder]; known || o.Holder == m.config.Self {
		return
	}
	beat := o.Heartbeat
	beat.Revision = r
	m.lost[o.Holder] = Lost{Holder: o.Holder, Since: now, Heartbeat: beat}
}

// dropLost removes lost incarnations that write heartbeats again or were lost too
// long ago.
func (m *Monitor) dropLost(now time.Time) {
	for run, l := range m.lost {
		o := m.seen[run.Host]
		returned := o != nil && o.Boot == run.Boot && !o.lost
		if returned || now.Sub(l.Since) > m.config.ForgetAfter {
			delete(m.lost, run)
		}
	}
}

// ObserveHolders takes all incarnations that hold jobs. An incarnation is lost if
// its host has another one, or none, in two successive calls.
func (m *Monitor) ObserveHolders(now time.Time, holders []job.Holder) {
	next := map[job.Holder]bool{}
	for _, h := range holders {
		o := m.seen[h.Host]
		if h == m.config.Self || (o != nil && o.Boot == h.Boot && !o.lost) {
			continue
		}
		if m.orphans[h] {
			m.markLost(now, &hostRecord{Heartbeat: Heartbeat{Holder: h}}, 0)
		}
		next[h] = true
	}
	m.orphans = next
}

// Lost returns the lost incarnations in order of their names.
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

// IsGone returns true if an incarnation, given by run, is lost, or if its host has
// another one.
func (m *Monitor) IsGone(run job.Holder) bool {
	o := m.seen[run.Host]
	if o == nil {
		return !m.lastRead.IsZero()
	}
	return o.Boot != run.Boot || o.lost
}

// Address returns the address of a host, or an empty string if it was never seen.
func (m *Monitor) Address(h ident.Host) string {
	if o := m.seen[h]; o != nil {
		return o.Heartbeat.Address
	}
	return ""
}

// Live returns the last heartbeats of all other hosts that are neither lost nor
// to be probed.
func (m *Monitor) Live() []Heartbeat {
	var live []Heartbeat
	for _, o := range m.seen {
		if o.Host != m.config.Self.Host && !o.lost && o.silent < m.config.SilenceTimeout {
			live = append(live, o.Heartbeat)
		}
	}
	slices.SortFunc(live, func(a, b Heartbeat) int { return cmp.Compare(a.Host, b.Host) })
	return live
}

// weight returns the weight of a host for a key by rendezvous hashing.
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

// Rank returns how many of the live hosts precede self for a key, by rendezvous
// hashing.
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

// ChooseMirror returns the incarnation that mirrors a job, preferably one of the
// same data centre. It is zero if there is no other host.
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
