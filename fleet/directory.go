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
	"github.com/catkingap/catkingap/ownership"
	"github.com/catkingap/catkingap/storage"
	"github.com/catkingap/catkingap/worker"
)

// The group of the rows that hosts keep for each other, and the prefixes of
// their keys.
const (
	hostsGroup  = "catkingap"
	hostPrefix  = hostsGroup + "/host."
	ownerPrefix = hostsGroup + "/owner."
	// pulsePrefix is in a group of its own, which no host follows.
	pulsePrefix = "catkingapPulse/"
)

const (
	// directorySpacing is the time between two reads of the hosts and owners. Each
	// host that starts writes a row that all others read: 147 hosts that are replaced
	// one after the other made 1,000 reads a second. It leaves two reads before a host
	// that has started takes what nobody owns; owners are told by contacts as well.
	directorySpacing = 300 * time.Millisecond
	// storeTimeout bounds a call of the platform's table, beyond the time that
	// it is asked to wait.
	storeTimeout = time.Second
	// feedWait is how long the table waits for a change. A connection that has
	// gone silent is found after it and storeTimeout.
	feedWait = 2 * time.Second
	// storePause is the time between a call that failed and the next one.
	storePause = 200 * time.Millisecond
)

// Directory knows the hosts and the owners of the data centres.
type Directory struct {
	self   ownership.Host
	table  storage.Table
	feed   storage.Feed
	view   *storage.View
	logger log.Interface

	mutex sync.Mutex
	// read is true once the rows of hosts and owners have been read.
	read  bool
	hosts map[ident.Host]ownership.Host
	// revisions are those of the rows of hosts.
	revisions map[ident.Host]ident.Revision
	owners    map[ident.DataCentre]ownership.Owner
	// learned is when each owner became known.
	learned map[ident.DataCentre]time.Time
	// stored is the owners' rows as the table has them.
	stored map[ident.DataCentre]storage.Row
	onMove []func()
}

func newDirectory(self ownership.Host, t storage.Table, f storage.Feed, l log.Interface) *Directory {
	return &Directory{
		self: self, table: t, feed: f, view: storage.NewView(t, f, hostsGroup), logger: l,
		hosts:     map[ident.Host]ownership.Host{self.Name: self},
		revisions: map[ident.Host]ident.Revision{},
		owners:    map[ident.DataCentre]ownership.Owner{},
		learned:   map[ident.DataCentre]time.Time{},
		stored:    map[ident.DataCentre]storage.Row{},
	}
}

func runDirectory(life fx.Lifecycle, d *Directory) {
	background(life, d.register, d.follow)
}

// OnMove has f called after an ownership may have changed. It must be called
// before the start.
func (d *Directory) OnMove(f func()) { d.onMove = append(d.onMove, f) }

// register writes the row of this host.
func (d *Directory) register(ctx context.Context) {
	value, err := msgpack.Marshal(d.self)
	if err != nil {
		d.logger.WithError(err).Error("host row can not be written")
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
		if !pause(ctx, storePause) {
			return
		}
	}
}

// follow keeps the copy of the rows.
func (d *Directory) follow(ctx context.Context) {
	(&follower{view: d.view, logger: d.logger, name: "the table of hosts", spacing: directorySpacing}).run(ctx, d.take)
}

// take reads the rows of the view.
func (d *Directory) take() {
	d.mutex.Lock()
	d.read = true
	for key, r := range d.view.Rows() {
		if name, ok := strings.CutPrefix(key, hostPrefix); ok {
			var h ownership.Host
			if err := msgpack.Unmarshal(r.Value, &h); err != nil {
				d.logger.WithField("key", key).WithError(err).Error("host row can not be read")
			} else if h.Name == ident.Host(name) && h.Name != d.self.Name {
				d.hosts[h.Name] = h
				d.revisions[h.Name] = r.Revision
			}
			continue
		}
		name, ok := strings.CutPrefix(key, ownerPrefix)
		if !ok {
			continue
		}
		var o ownership.Owner
		if err := msgpack.Unmarshal(r.Value, &o); err != nil {
			d.logger.WithField("key", key).WithError(err).Error("owner row can not be read")
		}
		o.DataCentre, o.Token = ident.DataCentre(name), worker.Token(r.Revision)
		d.stored[o.DataCentre] = r
		d.learn(o)
	}
	d.mutex.Unlock()
	d.moved()
}

// learn takes in a claim of an ownership. The caller holds the mutex.
func (d *Directory) learn(o ownership.Owner) bool {
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

func (d *Directory) moved() {
	for _, f := range d.onMove {
		f()
	}
}

// Forget removes the row of a host that has been silent for long, so that those
// of hosts that were replaced do not add up. A host that returns registers
// again.
func (d *Directory) Forget(ctx context.Context, h ownership.Host) error {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	key := hostPrefix + string(h.Name)
	d.mutex.Lock()
	revision := d.revisions[h.Name]
	delete(d.hosts, h.Name)
	d.mutex.Unlock()
	_, err := d.table.Commit(call, []storage.Write{{
		Conditions: []storage.Condition{{Key: key, Revision: revision}}, Deletes: []string{key},
	}})
	return err
}

// Meet takes in a host, and what it claims to own.
func (d *Directory) Meet(h ownership.Host, owned []ownership.Owner) {
	changed := false
	d.mutex.Lock()
	if h.Name != d.self.Name {
		d.hosts[h.Name] = h
	}
	for _, o := range owned {
		changed = d.learn(o) || changed
	}
	d.mutex.Unlock()
	if changed {
		d.moved()
	}
}

// Read returns true once this process has read which hosts there are.
func (d *Directory) Read() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.read
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

// Learned returns when the owner of each data centre became known.
func (d *Directory) Learned() map[ident.DataCentre]time.Time {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return maps.Clone(d.learned)
}

// Pulse writes that the owner of a data centre is at work.
func (d *Directory) Pulse(ctx context.Context, o ownership.Owner, beat uint64) error {
	value, err := msgpack.Marshal(pulse{Token: o.Token, Beat: beat})
	if err != nil {
		return err
	}
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err = d.table.Commit(call, []storage.Write{{Puts: []storage.Put{{Key: pulsePrefix + string(o.DataCentre), Value: value}}}})
	return err
}

// pulse is the row by which an owner shows life.
type pulse struct {
	Token worker.Token `msgpack:"token"`
	Beat  uint64       `msgpack:"beat"`
}

// PulseRevision returns the revision of an owner's last sign of life.
func (d *Directory) PulseRevision(ctx context.Context, c ident.DataCentre) (ident.Revision, error) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	row, _, err := d.table.Get(call, pulsePrefix+string(c))
	if err != nil || row == nil {
		return 0, err
	}
	return row.Revision, nil
}

// Claim writes that this host owns a data centre, unless another host has
// written so first. The answer may be lost after the write took effect; the
// view then tells.
func (d *Directory) Claim(ctx context.Context, centre ident.DataCentre) error {
	key := ownerPrefix + string(centre)
	o := ownership.Owner{DataCentre: centre, Host: d.self.Name, Boot: d.self.Boot, Address: d.self.Address}
	value, err := msgpack.Marshal(o)
	if err != nil {
		return err
	}
	d.mutex.Lock()
	revision := d.stored[centre].Revision
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
	if row.Revision > d.stored[centre].Revision {
		d.stored[centre] = row
	}
	d.learn(o)
	d.mutex.Unlock()
	d.moved()
	return nil
}
