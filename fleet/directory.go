package fleet

import (
	"context"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/fx"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/ledger"
	"github.com/catkingap/catkingap/ownership"
	"github.com/catkingap/catkingap/storage"
	"github.com/catkingap/catkingap/worker"
)

// The group of the rows by which hosts find each other, and the prefixes of their
// keys.
const (
	hostsGroup  = "catkingap"
	hostPrefix  = hostsGroup + "/host."
	ownerPrefix = hostsGroup + "/owner."
	// heartbeatPrefix is in a group of its own, which no host follows.
	heartbeatPrefix = "catkingapPulse/"
)

const (
	// directorySpacing is the time between two reads of the hosts and owners. Each
	// host that starts writes a row that all others read: replacing 147 hosts one after
	// the other caused 1,000 reads a second. The spacing leaves two reads before a host
	// that has started claims what nobody owns. Owners are also learned from contacts.
	directorySpacing = 300 * time.Millisecond
	// storeTimeout bounds a call of the platform's table, in addition to the time that
	// the call asks it to wait.
	storeTimeout = time.Second
	// feedWait is how long the table waits for a change. A silent connection is
	// detected after feedWait plus storeTimeout.
	feedWait = 2 * time.Second
	// storeRetryPause is the time between a failed call of the table and the next one.
	storeRetryPause = 200 * time.Millisecond
)

// Directory holds the known hosts and the owner of each data centre.
type Directory struct {
	self   ownership.Host
	table  storage.Table
	feed   storage.Feed
	view   *storage.View
	logger log.Interface

	mutex sync.Mutex
	// loaded is true once the rows of hosts and owners have been read.
	loaded bool
	hosts  map[ident.Host]ownership.Host
	// hostRows holds what the table has of each other host.
	hostRows map[ident.Host]hostRow
	owners   map[ident.DataCentre]ownership.Owner
	// learned is when each owner became known.
	learned map[ident.DataCentre]time.Time
	// ownerRows holds the owners' rows as the table has them.
	ownerRows map[ident.DataCentre]storage.Row
	// inboxes holds the revision of each data centre's inbox of stored jobs.
	inboxes       map[ident.DataCentre]ident.Revision
	onOwnerChange []func()
}

// hostRow tells which process of a host has written the host's row.
type hostRow struct {
	boot     string
	revision ident.Revision
	// readAt is when this process first read the row at its revision.
	readAt time.Time
}

func newDirectory(self ownership.Host, t storage.Table, f storage.Feed, l log.Interface) *Directory {
	return &Directory{
		self: self, table: t, feed: f, view: storage.NewView(t, f, hostsGroup), logger: l,
		hosts:     map[ident.Host]ownership.Host{self.Name: self},
		hostRows:  map[ident.Host]hostRow{},
		owners:    map[ident.DataCentre]ownership.Owner{},
		learned:   map[ident.DataCentre]time.Time{},
		ownerRows: map[ident.DataCentre]storage.Row{},
		inboxes:   map[ident.DataCentre]ident.Revision{},
	}
}

func runDirectory(life fx.Lifecycle, d *Directory) {
	runLoops(life, d.register, d.follow)
}

// OnOwnerChange registers f to be called after an ownership may have changed. It must be
// called before the application starts.
func (d *Directory) OnOwnerChange(f func()) { d.onOwnerChange = append(d.onOwnerChange, f) }

// register writes the row of this host.
func (d *Directory) register(ctx context.Context) {
	value, err := msgpack.Marshal(d.self)
	if err != nil {
		d.logger.WithError(err).Error("host row cannot be written")
		return
	}
	put := storage.Write{Puts: []storage.Put{{Key: hostPrefix + string(d.self.Name), Value: value}}}
	for {
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		_, err := d.table.Commit(call, []storage.Write{put})
		cancel()
		if err == nil {
			d.logger.Info("host registered")
			return
		}
		d.logger.WithError(err).Warn("host not registered")
		if !sleep(ctx, storeRetryPause) {
			return
		}
	}
}

// follow keeps the directory up to date with the table.
func (d *Directory) follow(ctx context.Context) {
	(&follower{view: d.view, logger: d.logger, name: "the table of hosts", spacing: directorySpacing}).run(ctx, d.readRows)
}

// readRows takes over the rows of the view.
func (d *Directory) readRows() {
	d.mutex.Lock()
	d.loaded = true
	for key, r := range d.view.Rows() {
		if name, ok := strings.CutPrefix(key, hostPrefix); ok {
			var h ownership.Host
			if err := msgpack.Unmarshal(r.Value, &h); err != nil {
				d.logger.WithField("key", key).WithError(err).Error("host row cannot be read")
			} else if h.Name == ident.Host(name) && h.Name != d.self.Name {
				d.hosts[h.Name] = h
				if d.hostRows[h.Name].revision != r.Revision {
					d.hostRows[h.Name] = hostRow{boot: h.Boot, revision: r.Revision, readAt: time.Now()}
				}
			}
			continue
		}
		if name, ok := strings.CutPrefix(key, ledger.InboxPrefix); ok {
			d.inboxes[ident.DataCentre(name)] = r.Revision
			continue
		}
		name, ok := strings.CutPrefix(key, ownerPrefix)
		if !ok {
			continue
		}
		// The next claim also replaces a row that cannot be read.
		centre := ident.DataCentre(name)
		d.ownerRows[centre] = r
		var o ownership.Owner
		if err := msgpack.Unmarshal(r.Value, &o); err != nil {
			d.logger.WithField("key", key).WithError(err).Error("owner row cannot be read")
			continue
		}
		o.DataCentre, o.Token = centre, worker.Token(r.Revision)
		d.learnOwner(o)
	}
	d.mutex.Unlock()
	d.notifyOwnerChange()
}

// learnOwner records an owner if it is newer than the known one, and returns whether it
// was. The caller holds the mutex.
func (d *Directory) learnOwner(o ownership.Owner) bool {
	old, ok := d.owners[o.DataCentre]
	if ok && ownership.Newest(old, o) == old {
		return false
	}
	d.owners[o.DataCentre] = o
	d.learned[o.DataCentre] = time.Now()
	d.logger.WithFields(log.Fields{
		"dataCentre": string(o.DataCentre), "owner": string(o.Host), "token": int64(o.Token),
	}).Info("owner changed")
	return true
}

func (d *Directory) notifyOwnerChange() {
	for _, f := range d.onOwnerChange {
		f()
	}
}

// RemoveHost removes the row of a host that has been silent for long, so that rows of
// replaced hosts do not accumulate. A host that returns registers again.
func (d *Directory) RemoveHost(ctx context.Context, h ownership.Host) error {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	key := hostPrefix + string(h.Name)
	d.mutex.Lock()
	revision := d.hostRows[h.Name].revision
	delete(d.hosts, h.Name)
	d.mutex.Unlock()
	_, err := d.table.Commit(call, []storage.Write{{
		Conditions: []storage.Condition{{Key: key, Revision: revision}}, Deletes: []string{key},
	}})
	return err
}

// Observe records a host and the owners that it reports.
func (d *Directory) Observe(h ownership.Host, owned []ownership.Owner) {
	changed := false
	d.mutex.Lock()
	if h.Name != d.self.Name {
		d.hosts[h.Name] = h
	}
	for _, o := range owned {
		changed = d.learnOwner(o) || changed
	}
	d.mutex.Unlock()
	if changed {
		d.notifyOwnerChange()
	}
}

// IsLoaded returns true once this process has read the rows of hosts and owners.
func (d *Directory) IsLoaded() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.loaded
}

// Hosts returns all hosts, this one included.
func (d *Directory) Hosts() []ownership.Host {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	hosts := make([]ownership.Host, 0, len(d.hosts))
	for _, h := range d.hosts {
		hosts = append(hosts, h)
	}
	return hosts
}

// Owners returns the owner of each data centre.
func (d *Directory) Owners() map[ident.DataCentre]ownership.Owner {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return maps.Clone(d.owners)
}

// EndedOwners returns the data centres whose owner's process has ended, with the time at
// which this process learned of it. It has ended if its host has registered another
// process after it took the workers.
func (d *Directory) EndedOwners() map[ident.DataCentre]time.Time {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	ended := map[ident.DataCentre]time.Time{}
	for c, o := range d.owners {
		if r, ok := d.hostRows[o.Host]; ok && r.boot != o.Boot && worker.Token(r.revision) > o.Token {
			ended[c] = r.readAt
		}
	}
	return ended
}

// Learned returns when the owner of each data centre became known.
func (d *Directory) Learned() map[ident.DataCentre]time.Time {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return maps.Clone(d.learned)
}

// InboxRevision returns the revision of a data centre's inbox of stored jobs, or zero.
func (d *Directory) InboxRevision(c ident.DataCentre) ident.Revision {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.inboxes[c]
}

// WriteHeartbeat writes the heartbeat of an owner and returns its revision, below which no next
// owner has its token. It returns zero if another owner has replaced this one, and an
// *ownership.RowError if the row of the owner was written by others.
func (d *Directory) WriteHeartbeat(ctx context.Context, o ownership.Owner, beat uint64) (worker.Token, error) {
	value, err := msgpack.Marshal(heartbeat{Token: o.Token, Beat: beat})
	if err != nil {
		return 0, err
	}
	results, err := d.table.Commit(ctx, []storage.Write{{
		Conditions: []storage.Condition{{Key: ownerKey(o.DataCentre), Revision: ident.Revision(o.Token)}},
		Puts:       []storage.Put{{Key: heartbeatKey(o.DataCentre), Value: value}},
	}})
	if err != nil {
		return 0, err
	}
	if results[0].Applied {
		return worker.Token(results[0].Revision), nil
	}
	var next ownership.Owner
	if rows := results[0].Current; len(rows) == 0 || msgpack.Unmarshal(rows[0].Value, &next) != nil {
		return 0, &ownership.RowError{DataCentre: o.DataCentre}
	}
	return 0, nil
}

func ownerKey(c ident.DataCentre) string { return ownerPrefix + string(c) }

func heartbeatKey(c ident.DataCentre) string { return heartbeatPrefix + string(c) }

// heartbeat is the row by which an owner shows that it is alive.
type heartbeat struct {
	Token worker.Token `msgpack:"token"`
	Beat  uint64       `msgpack:"beat"`
}

// HeartbeatRevision returns the revision of the last heartbeat of a data centre's owner.
func (d *Directory) HeartbeatRevision(ctx context.Context, c ident.DataCentre) (ident.Revision, error) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	row, _, err := d.table.Get(call, heartbeatKey(c))
	if err != nil || row == nil {
		return 0, err
	}
	return row.Revision, nil
}

// Claim writes that this host owns a data centre, unless another host has done so
// first. If the answer is lost after the write took effect, the view delivers the
// result.
func (d *Directory) Claim(ctx context.Context, centre ident.DataCentre) error {
	key := ownerKey(centre)
	o := ownership.Owner{DataCentre: centre, Host: d.self.Name, Boot: d.self.Boot, Address: d.self.Address}
	value, err := msgpack.Marshal(o)
	if err != nil {
		return err
	}
	d.mutex.Lock()
	revision := d.ownerRows[centre].Revision
	d.mutex.Unlock()
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	results, err := d.table.Commit(call, []storage.Write{{
		Conditions: []storage.Condition{{Key: key, Revision: revision}},
		Puts:       []storage.Put{{Key: key, Value: value}},
	}})
	if err != nil {
		return err
	}
	r := results[0]
	row := storage.Row{Key: key, Value: value, Revision: r.Revision}
	if !r.Applied {
		if len(r.Current) == 0 {
			return nil
		}
		row = r.Current[0]
		o = ownership.Owner{}
		if err := msgpack.Unmarshal(row.Value, &o); err != nil {
			return err
		}
	}
	o.DataCentre, o.Token = centre, worker.Token(row.Revision)
	d.mutex.Lock()
	if row.Revision > d.ownerRows[centre].Revision {
		d.ownerRows[centre] = row
	}
	d.learnOwner(o)
	d.mutex.Unlock()
	d.notifyOwnerChange()
	return nil
}
