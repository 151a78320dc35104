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
	// keyHosts starts the heartbeat rows.
	keyHosts = "host/"

	heartbeatInterval = time.Second
	// startTime is the time after the start in which a host looks for the
	// others at the shorter startInterval, to find mirrors for its first jobs.
	startTime     = 2 * time.Second
	startInterval = 100 * time.Millisecond
	// heartbeatBound is the silence after which a run is probed.
	heartbeatBound = 3 * time.Second
	// heartbeatGap is the longest pause between reads that counts as an
	// unbroken observation.
	heartbeatGap = 2 * time.Second
	// lostMemory is the time for which the jobs of a lost run are looked for.
	lostMemory = 30 * time.Second
	// followerDelay is the time by which each further survivor waits longer
	// before it takes over a job.
	followerDelay = 2 * time.Second
	// sweepInterval is the pause between looks for jobs of runs that nobody
	// has seen alive.
	sweepInterval = 5 * time.Second
	adoptPage     = 200
)

// Probe asks an entry host for its run.
type Probe struct{}

// ProbeAnswer answers a Probe.
type ProbeAnswer struct {
	Boot string `msgpack:"boot"`
}

func (j *Jobs) answerProbe(context.Context, Probe) (ProbeAnswer, error) {
	return ProbeAnswer{Boot: j.identity.Boot}, nil
}

// watch writes the heartbeat of this host, watches those of the others and
// takes over the jobs of lost ones.
type watch struct {
	jobs *Jobs
	// own is the address of this host's peer links.
	own string

	mutex   sync.Mutex
	monitor *lease.Monitor
	counter uint64
	swept   time.Time
	// looked is when the heartbeats were last read.
	looked time.Time
}

func newWatch(j *Jobs) *watch {
	return &watch{jobs: j, monitor: lease.NewMonitor(lease.Config{
		Self: j.identity.Holder, Bound: heartbeatBound, MaxGap: heartbeatGap, Forget: lostMemory,
	})}
}

// runWatch starts the watch.
func runWatch(life fx.Lifecycle, j *Jobs, l Listeners) {
	j.watch.own = l.Peer.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	life.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go every(ctx, heartbeatInterval, j.watch.beat)
			go func() {
				for began := time.Now(); time.Since(began) < startTime && ctx.Err() == nil; pause(ctx, startInterval) {
					j.watch.look(ctx)
				}
				every(ctx, heartbeatInterval, j.watch.look)
			}()
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			return nil
		},
	})
}

// mirrorOf returns the run that mirrors a job of this host.
func (w *watch) mirrorOf(id ident.Job) job.Holder {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return lease.ChooseMirror(w.jobs.identity.DataCentre, w.monitor.Live(), id.String())
}

func (w *watch) isGone(h job.Holder) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.monitor.IsGone(h)
}

// address returns the address in the heartbeat of a host.
func (w *watch) address(h ident.Host) string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.monitor.Address(h)
}

// beat writes the heartbeat.
func (w *watch) beat(ctx context.Context) {
	w.mutex.Lock()
	w.counter++
	b := lease.Heartbeat{
		Holder: w.jobs.identity.Holder, Counter: w.counter, Address: w.own, DataCentre: w.jobs.identity.DataCentre,
	}
	w.mutex.Unlock()
	value, err := json.Marshal(b)
	if err != nil {
		w.jobs.logger.WithError(err).Error("heartbeat not encoded")
		return
	}
	_, err = w.jobs.batcher.Commit(ctx, storage.Write{Puts: []storage.Put{{Key: keyHosts + string(b.Host), Value: value}}})
	if err != nil {
		w.interrupted()
	}
}

func (w *watch) interrupted() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.monitor.Interrupted()
}

// look reads all heartbeats, probes silent runs and takes over jobs.
func (w *watch) look(ctx context.Context) {
	holders, swept := w.sweep(ctx)
	rows, _, err := w.jobs.table.List(ctx, keyHosts, "", 0)
	if err != nil {
		w.interrupted()
		return
	}
	beats := make([]lease.Heartbeat, 0, len(rows))
	for _, r := range rows {
		var b lease.Heartbeat
		if json.Unmarshal(r.Value, &b) == nil {
			b.Revision = r.Revision
			beats = append(beats, b)
		}
	}
	w.mutex.Lock()
	away := !w.looked.IsZero() && time.Since(w.looked) > heartbeatBound
	w.looked = time.Now()
	seen := w.monitor.Observe(time.Now(), beats)
	if swept {
		w.monitor.Orphaned(time.Now(), holders)
	}
	w.mutex.Unlock()
	for _, b := range seen.Appeared {
		w.jobs.ring.Add(time.Now(), timeline.Event{Kind: timeline.HostSeen, Detail: string(b.Host)})
	}
	if away {
		go w.jobs.review(ctx)
	}
	w.probe(ctx, seen.Suspects)
	w.mutex.Lock()
	lost, live := w.monitor.Lost(), w.monitor.Live()
	w.mutex.Unlock()
	w.jobs.batcher.SetRate(tableWrites / float64(1+len(live)))
	for _, l := range lost {
		w.adopt(ctx, l, live)
	}
}

// review looks at the rows of all held jobs after this host was paused or away
// from the table for so long that others may have taken its jobs over.
func (j *Jobs) review(ctx context.Context) {
	j.mutex.Lock()
	held := make([]*running, 0, len(j.held))
	for _, r := range j.held {
		held = append(held, r)
	}
	j.mutex.Unlock()
	for _, r := range held {
		if row, revision, err := j.read(ctx, r.id); err == nil && row != nil {
			r.post(job.Noticed{Row: row, Revision: revision})
		}
	}
}

// probe asks silent runs directly whether they live.
func (w *watch) probe(ctx context.Context, suspects []lease.Heartbeat) {
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
			w.monitor.Probed(time.Now(), s.Holder, answer.Boot)
		})
	}
	probes.Wait()
}

// sweep returns the runs that hold jobs, now and then and on one host at a
// time.
func (w *watch) sweep(ctx context.Context) ([]job.Holder, bool) {
	w.mutex.Lock()
	live := w.monitor.Live()
	due := time.Since(w.swept) >= sweepInterval
	w.mutex.Unlock()
	if !due || lease.Rank(w.jobs.identity.Host, live, keyHeld) > 0 {
		return nil, false
	}
	seen := map[job.Holder]bool{}
	after := ""
	for {
		rows, _, err := w.jobs.table.List(ctx, keyHeld, after, adoptPage)
		if err != nil {
			return nil, false
		}
		for _, r := range rows {
			if parts := strings.SplitN(r.Key, "/", 4); len(parts) == 4 {
				seen[job.Holder{Host: ident.Host(parts[1]), Boot: parts[2]}] = true
			}
		}
		if len(rows) < adoptPage {
			break
		}
		after = rows[len(rows)-1].Key
	}
	w.mutex.Lock()
	w.swept = time.Now()
	w.mutex.Unlock()
	holders := make([]job.Holder, 0, len(seen))
	for h := range seen {
		holders = append(holders, h)
	}
	return holders, true
}

// adopt takes over the jobs of a lost run that are this host's share, and the
// shares of others that have not done so in time.
func (w *watch) adopt(ctx context.Context, l lease.Lost, live []lease.Heartbeat) {
	rows, _, err := w.jobs.table.List(ctx, heldPrefix(l.Holder), "", adoptPage)
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
		if rank := lease.Rank(w.jobs.identity.Host, live, id.String()); waited >= time.Duration(rank)*followerDelay {
			w.adoptJob(ctx, l.Holder, id)
		}
	}
}

// adoptJob takes over one job of a lost run.
func (w *watch) adoptJob(ctx context.Context, lost job.Holder, id ident.Job) {
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

// removeIndex deletes an index row that its job has left behind.
func (w *watch) removeIndex(ctx context.Context, lost job.Holder, id ident.Job, revision ident.Revision) {
	_, _ = w.jobs.batcher.Commit(ctx, storage.Write{
		Conditions: []storage.Condition{{Key: keyJobs + id.String(), Revision: revision}},
		Deletes:    []string{heldPrefix(lost) + id.String()},
	})
}

// removeHeartbeat deletes the row of a lost run without jobs.
func (w *watch) removeHeartbeat(ctx context.Context, l lease.Lost) {
	if l.Heartbeat.Revision == 0 || time.Since(l.Since) < lostMemory/2 {
		return
	}
	key := keyHosts + string(l.Host)
	_, _ = w.jobs.batcher.Commit(ctx, storage.Write{
		Conditions: []storage.Condition{{Key: key, Revision: l.Heartbeat.Revision}},
		Deletes:    []string{key},
	})
}
