package policy

import (
	"fmt"
	"math"
	"time"

	"github.com/catkingap/catkingap/admission"
	"github.com/catkingap/catkingap/ident"
)

// scenario is a load with injected faults.
type scenario struct {
	speeds speeds
	// plan adds items and faults to a world whose hosts have started.
	plan func(*world)
	// from is the time from which arriving items are measured.
	from   time.Duration
	bounds bounds
}

// bounds are upper bounds of the figures of a scenario. Zero means no bound.
type bounds struct {
	p50, p99 float64
	// p99Ratio bounds the p99 of the response time over the ideal, divided by
	// the same p99 of the omniscient queue.
	p99Ratio float64
	messages float64
	// allDone requires that no item is refused, lost or cancelled.
	allDone bool
}

// faultAt is when the faults of the scenarios begin.
const faultAt = 10 * time.Second

// warmUp is the time after which the hosts have learned their shares and the
// servers' speeds.
const warmUp = 20 * time.Second

func steadyLoad(load float64) func(*world) {
	return func(w *world) { w.addRequests("a", load, 0, warmUp+defaultDuration) }
}

// addJobs adds jobs of one team at random times. Their declared run times are
// wrong by up to the given factor.
func (w *world) addJobs(team ident.Team, load float64, tasks int, estimateError float64, end time.Duration) {
	n := 0
	for at := time.Duration(0); at < end; {
		at += time.Duration(w.random.ExpFloat64() * float64(tasks) / (load * fullLoadStartsPerSecond) * float64(time.Second))
		n++
		w.addJob(team, fmt.Sprintf("job-%d", n), at, tasks, estimateError)
	}
}

func (w *world) addJob(team ident.Team, key string, at time.Duration, tasks int, estimateError float64) {
	for range tasks {
		i := &item{team: team, job: ident.Job{Team: team, Key: ident.JobKey(key)}, arrived: at, work: w.drawWork()}
		i.declared = time.Duration(float64(i.work) * math.Pow(estimateError, 2*w.random.Float64()-1))
		w.items = append(w.items, i)
	}
}

// scenarios holds the loads and faults of issue 5.
var scenarios = map[string]scenario{
	"01 steady 50%":             {plan: steadyLoad(0.5), from: warmUp, bounds: bounds{p50: 1.05, p99: 2, messages: 1.02, allDone: true}},
	"00 cold start, steady 70%": {plan: steadyLoad(0.7), bounds: bounds{p50: 1.05, p99: 2, messages: 1.02, allDone: true}},
	"02 steady 70%":             {plan: steadyLoad(0.7), from: warmUp, bounds: bounds{p50: 1.05, p99: 2, messages: 1.02, allDone: true}},
	"03 steady 90%":             {plan: steadyLoad(0.9), from: warmUp, bounds: bounds{p50: 1.05, p99: 2, messages: 1.02}},
	"04 speeds spread 4x, 70%": {
		speeds: mixedSpeeds, plan: steadyLoad(0.7), from: warmUp, bounds: bounds{p50: 1.05, p99Ratio: 2, messages: 1.02},
	},
	"05 burst of 10 s of work": {
		plan: func(w *world) {
			w.addRequests("a", 0.3, 0, defaultDuration)
			for n := range 7 {
				w.addJob("b", fmt.Sprint("burst-", n), faultAt, 1242, 1)
			}
		},
		bounds: bounds{p99Ratio: 2, messages: 1.02},
	},
	"06 3x overload for a minute": {
		plan: func(w *world) {
			w.addRequests("a", 0.7, 0, faultAt)
			w.addRequests("a", 3, faultAt, faultAt+time.Minute)
			w.addRequests("a", 0.7, faultAt+time.Minute, faultAt+70*time.Second)
		},
		bounds: bounds{messages: 1.02},
	},
	"07 an entry host dies": {
		plan: func(w *world) {
			w.addRequests("a", 0.7, 0, defaultDuration)
			w.after(faultAt, func() { w.hosts[5].die() })
		},
		bounds: bounds{p50: 1.05, p99: 2, messages: 1.1},
	},
	"08 a fifth fail all": {
		plan: func(w *world) {
			w.addRequests("a", 0.7, 0, defaultDuration)
			w.after(faultAt, func() {
				for i := range serverCount / 5 {
					w.servers[5*i].failing = true
				}
			})
		},
		bounds: bounds{messages: 1.1},
	},
	"09 one server slows 10x": {
		plan: func(w *world) {
			w.addRequests("a", 0.7, 0, defaultDuration)
			w.after(faultAt, func() { w.servers[7].speed /= 10 })
		},
		bounds: bounds{p50: 1.05, messages: 1.1},
	},
	"10 a fifth leave": {
		plan: func(w *world) {
			w.addRequests("a", 0.7, 0, defaultDuration)
			w.after(faultAt, func() {
				for i := range serverCount / 5 {
					w.servers[5*i+1].leaving = true
				}
			})
			w.after(faultAt+membershipLag, w.updateServers)
		},
		bounds: bounds{messages: 1.1},
	},
	"11 declared run times wrong by 10x": {
		plan: func(w *world) { w.addJobs("a", 0.7, 100, 10, warmUp+defaultDuration) }, from: warmUp,
		bounds: bounds{p99Ratio: 2, messages: 1.02},
	},
	"12 a wave cancels half": {
		plan: func(w *world) {
			w.addRequests("a", 0.5, 0, defaultDuration)
			for n := range 20 {
				w.addJob("b", fmt.Sprint("wave-", n), faultAt, 400, 1)
			}
			w.after(faultAt+time.Second, func() {
				for n := range 10 {
					w.cancel(ident.Job{Team: "b", Key: ident.JobKey(fmt.Sprint("wave-", 2*n))})
				}
			})
		},
		bounds: bounds{messages: 1.1},
	},
	"13 one team at 10x its quota": {
		plan: func(w *world) {
			w.setShares(map[ident.Team]admission.Share{"b": {Rate: 0.3 * fullLoadStartsPerSecond / hostCount}})
			w.addRequests("a", 0.5, 0, defaultDuration)
			w.addRequests("b", 3, 0, defaultDuration)
		},
		bounds: bounds{messages: 1.02},
	},
	"15 a data centre is cut off": {
		plan: func(w *world) {
			w.addRequests("a", 0.6, 0, defaultDuration)
			w.after(faultAt, func() { w.cutCentre = 2 })
			w.after(2*faultAt, func() { w.cutCentre = -1 })
		},
		bounds: bounds{messages: 1.1},
	},
	"14 one team at 10x, no quota": {
		plan: func(w *world) {
			w.addRequests("a", 0.4, 0, defaultDuration)
			w.addRequests("b", 4, 0, defaultDuration)
		},
		bounds: bounds{messages: 1.02},
	},
}

// updateServers passes the membership list to the hosts.
func (w *world) updateServers() {
	for _, h := range w.hosts {
		if h.pool != nil {
			h.pool.SetServers(w.routeServers())
		}
	}
}

func (w *world) setShares(s map[ident.Team]admission.Share) {
	for _, h := range w.hosts {
		if h.pool != nil {
			h.pool.SetShares(queueLimit, s)
		}
	}
}

// die stops a host, which loses all its items. The other hosts detect it after
// detectTime.
func (h *fakeHost) die() {
	h.dead = true
	h.world.after(detectTime, func() {
		for _, o := range h.world.hosts {
			if !o.dead && o.pool != nil {
				o.pool.SetPeers(h.world.peersOf(o))
			}
		}
	})
}

// cancel cancels a job: its items that have not started are dropped at all hosts.
func (w *world) cancel(j ident.Job) {
	for _, i := range w.items {
		if i.job == j && !i.done && i.starts == 0 {
			i.cancelled = true
		}
	}
	for _, h := range w.hosts {
		if h.pool != nil {
			h.pool.Drop(j.Team, admission.Flow{Job: j})
		}
	}
}
