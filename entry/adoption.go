package entry

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"go.uber.org/fx"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/job"
	"github.com/catkingap/catkingap/lease"
	"github.com/catkingap/catkingap/peer"
	"github.com/catkingap/catkingap/storage"
	"github.com/catkingap/catkingap/timeline"
)

const (
	kindProbe = peer.Kind("probe")
	// hostKeyPrefix is the prefix of the keys of heartbeat rows.
	hostKeyPrefix = "host/"

	heartbeatInterval = time.Second
	// startupTime is the time after the start in which a host polls the
	// heartbeats at the shorter startupInterval, to find mirrors for its first
	// jobs.
	startupTime     = 2 * time.Second
	startupInterval = 100 * time.Millisecond
	// heartbeatTimeout is the silence after which an incarnation is probed.
	heartbeatTimeout = 3 * time.Second
	// maxHeartbeatGap is the longest pause between reads that counts as an
	// uninterrupted observation.
	maxHeartbeatGap = 2 * time.Second
	// forgetLostAfter is the time for which the jobs of a lost incarnation are
	// searched.
	forgetLostAfter = 30 * time.Second
	// adoptionStagger is the additional time that each lower-ranked survivor
	// waits before it takes over a job.
	adoptionStagger = 2 * time.Second
	// sweepInterval is the pause between searches for jobs of incarnations
	// that no host has seen alive.
	sweepInterval    = 5 * time.Second
	adoptionPageSize = 200
)

// Probe asks an entry host for its incarnation.
type Probe struct{}

// ProbeAnswer answers a Probe.
type ProbeAnswer struct {
	Boot string `msgpack:"boot"`
}

func (j *Jobs) handleProbe(context.Context, Probe) (ProbeAnswer, error) {
	return ProbeAnswer{Boot: j.identity.Boot}, nil
}

// hostWatcher writes the heartbeat of this host, watches the heartbeats of
// other hosts and takes over the jobs of lost hosts.
type hostWatcher struct {
	jobs *Jobs
	// peerAddress is the address of this host's peer links.
	peerAddress string

	mutex     sync.Mutex
	monitor   *lease.Monitor
	counter   uint64
	lastSweep time.Time
	// lastPoll is when the heartbeats were last read.
	lastPoll time.Time
}

func newHostWatcher(j *Jobs) *hostWatcher {
	return &hostWatcher{jobs: j, monitor: lease.NewMonitor(lease.Config{
		Self: j.identity.Holder, SilenceTimeout: heartbeatTimeout, MaxGap: maxHeartbeatGap, ForgetAfter: forgetLostAfter,
	})}
}

// runHostWatcher starts the host watcher.
func runHostWatcher(lc fx.Lifecycle, j *Jobs, l Listeners) {
	j.watcher.peerAddress = l.Peer.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go runPeriodically(ctx, heartbeatInterval, j.watcher.writeHeartbeat)
			go func() {
				for began := time.Now(); time.Since(began) < startupTime && ctx.Err() == nil; pause(ctx, startupInterval) {
					j.watcher.poll(ctx)
				}
				runPeriodically(ctx, heartbeatInterval, j.watcher.poll)
			}()
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			return nil
		},
	})
}

// mirrorOf returns the incarnation that mirrors a job of this host.
func (w *hostWatcher) mirrorOf(id ident.Job) job.Holder {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return lease.ChooseMirror(w.jobs.identity.DataCentre, w.monitor.Live(), id.String())
}

func (w *hostWatcher) isGone(h job.Holder) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.monitor.IsGone(h)
}

// address returns the address in the heartbeat of a host.
func (w *hostWatcher) address(h ident.Host) string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.monitor.Address(h)
}

// writeHeartbeat writes the heartbeat of this host.
func (w *hostWatcher) writeHeartbeat(ctx context.Context) {
	w.mutex.Lock()
	w.counter++
	b := lease.Heartbeat{
		Holder: w.jobs.identity.Holder, Counter: w.counter, Address: w.peerAddress, DataCentre: w.jobs.identity.DataCentre,
	}
	w.mutex.Unlock()
	value, err := json.Marshal(b)
	if err != nil {
		w.jobs.logger.WithError(err).Error("heartbeat not encoded")
		return
	}
	_, err = w.jobs.batcher.Commit(ctx, storage.Write{Puts: []storage.Put{{Key: hostKeyPrefix + string(b.Host), Value: value}}})
	if err != nil {
		w.recordFailure()
	}
}

func (w *hostWatcher) recordFailure() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.monitor.ReadFailed()
}

// poll reads all heartbeats, probes silent incarnations and takes over jobs.
func (w *hostWatcher) poll(ctx context.Context) {
	holders, swept := w.findHolders(ctx)
	rows, _, err := w.jobs.table.List(ctx, hostKeyPrefix, "", 0)
	if err != nil {
		w.recordFailure()
		return
	}
	heartbeats := make([]lease.Heartbeat, 0, len(rows))
	for _, r := range rows {
		var b lease.Heartbeat
		if json.Unmarshal(r.Value, &b) == nil {
			b.Revision = r.Revision
			heartbeats = append(heartbeats, b)
		}
	}
	w.mutex.Lock()
	interrupted := !w.lastPoll.IsZero() && time.Since(w.lastPoll) > heartbeatTimeout
	w.lastPoll = time.Now()
	seen := w.monitor.Observe(time.Now(), heartbeats)
	if swept {
		w.monitor.ObserveHolders(time.Now(), holders)
	}
	w.mutex.Unlock()
	for _, b := range seen.Appeared {
		w.jobs.ring.Add(time.Now(), timeline.Event{Kind: timeline.HostSeen, Detail: string(b.Host)})
	}
	if interrupted {
		go w.jobs.recheckHeldJobs(ctx)
	}
	w.probe(ctx, seen.Suspects)
	w.mutex.Lock()
	lost, live := w.monitor.Lost(), w.monitor.Live()
	w.mutex.Unlock()
	w.jobs.batcher.SetRate(tableWritesPerSecond / float64(1+len(live)))
	for _, l := range lost {
		w.adoptShare(ctx, l, live)
	}
}

// recheckHeldJobs reads the rows of all held jobs after this host was paused
// or without the table for so long that others may have taken over its jobs.
func (j *Jobs) recheckHeldJobs(ctx context.Context) {
	j.mutex.Lock()
	held := make([]*runningJob, 0, len(j.held))
	for _, r := range j.held {
		held = append(held, r)
	}
	j.mutex.Unlock()
	for _, r := range held {
		if row, revision, err := j.read(ctx, r.id); err == nil && row != nil {
			r.post(job.RowObserved{Row: row, Revision: revision})
		}
	}
}

// probe asks silent incarnations directly whether they are alive.
func (w *hostWatcher) probe(ctx context.Context, suspects []lease.Heartbeat) {
	var probes sync.WaitGroup
	for _, s := range suspects {
		probes.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, peerTimeout)
			defer cancel()
			answer, err := call[Probe, ProbeAnswer](ctx, w.jobs, s.Holder, kindProbe, Probe{})
			if err != nil {
				answer.Boot = ""
				w.jobs.ring.Add(time.Now(), timeline.Event{Kind: timeline.HostLost, Detail: string(s.Host)})
			}
			w.mutex.Lock()
			defer w.mutex.Unlock()
			w.monitor.HandleProbe(time.Now(), s.Holder, answer.Boot)
		})
	}
	probes.Wait()
}

// findHolders returns the incarnations that hold jobs. It returns false if no
// sweep is due, if another host is responsible for it, or if the table can not
// be read.
func (w *hostWatcher) findHolders(ctx context.Context) ([]job.Holder, bool) {
	w.mutex.Lock()
	live := w.monitor.Live()
	due := time.Since(w.lastSweep) >= sweepInterval
	w.mutex.Unlock()
	if !due || lease.Rank(w.jobs.identity.Host, live, heldKeyPrefix) > 0 {
		return nil, false
	}
	seen := map[job.Holder]bool{}
	after := ""
	for {
		rows, _, err := w.jobs.table.List(ctx, heldKeyPrefix, after, adoptionPageSize)
		if err != nil {
			return nil, false
		}
		for _, r := range rows {
			if parts := strings.SplitN(r.Key, "/", 4); len(parts) == 4 {
				seen[job.Holder{Host: ident.Host(parts[1]), Boot: parts[2]}] = true
			}
		}
		if len(rows) < adoptionPageSize {
			break
		}
		after = rows[len(rows)-1].Key
	}
	w.mutex.Lock()
	w.lastSweep = time.Now()
	w.mutex.Unlock()
	holders := make([]job.Holder, 0, len(seen))
	for h := range seen {
		holders = append(holders, h)
	}
	return holders, true
}

// adoptShare takes over this host's share of the jobs of a lost incarnation,
// and the shares of other hosts that have not taken them over in time.
func (w *hostWatcher) adoptShare(ctx context.Context, l lease.Lost, live []lease.Heartbeat) {
	rows, _, err := w.jobs.table.List(ctx, heldPrefix(l.Holder), "", adoptionPageSize)
	if err != nil {
		return
	}
	if len(rows) == 0 {
		w.removeHeartbeat(ctx, l)
		return
	}
	waited := time.Since(l.Since)
	for _, r := range rows {
		var id ident.Job
		if json.Unmarshal(r.Value, &id) != nil {
			continue
		}
		if rank := lease.Rank(w.jobs.identity.Host, live, id.String()); waited >= time.Duration(rank)*adoptionStagger {
			w.adoptJob(ctx, l.Holder, id)
		}
	}
}

// adoptJob takes over one job of a lost incarnation.
func (w *hostWatcher) adoptJob(ctx context.Context, lost job.Holder, id ident.Job) {
	row, revision, err := w.jobs.read(ctx, id)
	if err != nil {
		return
	}
	if row == nil || row.State.Ended() || row.Holder != lost {
		w.removeIndex(ctx, lost, id, revision)
		return
	}
	var s *job.Submission
	if row.State == job.Accepted {
		if s, err = w.jobs.loadPayload(ctx, row); err != nil {
			return
		}
	}
	w.jobs.adopt(s, *row, revision)
}

// removeIndex deletes an index row that its job no longer needs.
func (w *hostWatcher) removeIndex(ctx context.Context, lost job.Holder, id ident.Job, revision ident.Revision) {
	_, _ = w.jobs.batcher.Commit(ctx, storage.Write{
		Conditions: []storage.Condition{{Key: jobKeyPrefix + id.String(), Revision: revision}},
		Deletes:    []string{heldPrefix(lost) + id.String()},
	})
}

// removeHeartbeat deletes the heartbeat row of a lost incarnation without jobs.
func (w *hostWatcher) removeHeartbeat(ctx context.Context, l lease.Lost) {
	if l.Heartbeat.Revision == 0 || time.Since(l.Since) < forgetLostAfter/2 {
		return
	}
	key := hostKeyPrefix + string(l.Host)
	_, _ = w.jobs.batcher.Commit(ctx, storage.Write{
		Conditions: []storage.Condition{{Key: key, Revision: l.Heartbeat.Revision}},
		Deletes:    []string{key},
	})
}
