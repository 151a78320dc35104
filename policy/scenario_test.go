package policy

import (
	"fmt"
	"math"
	"time"

	"github.com/catkingap/catkingap/admission"
	"github.com/catkingap/catkingap/ident"
)

// scenario is a load with faults.
type scenario struct {
	speeds speeds
	// plan adds arrivals and faults to a world whose hosts have started.
	plan func(*world)
	// from is the arrival of the first item that counts.
	from   time.Duration
	bounds bounds
}

// bounds are upper bounds of the figures of a scenario. Zero means none.
type bounds struct {
	p50, p99 float64
	// quantile99 bounds the p99 of the response over the ideal, divided by
	// that of the omniscient queue.
	quantile99 float64
	messages   float64
	notDone    int
}

// faultAt is when the faults of scenarios begin.
const faultAt = 10 * time.Second

// warm is when the hosts have learned their shares and the servers' speeds.
const warm = 20 * time.Second

func steady(load float64) func(*world) {
	return func(w *world) { w.arrive("a", load, 0, warm+defaultDuration) }
}

// jobs plans jobs of one team at a load. Their declared run times are wrong by
// up to the given factor.
func (w *world) jobs(team ident.Team, load float64, tasks int, wrong float64, end time.Duration) {
	n := 0
	for at := time.Duration(0); at < end; {
		at += time.Duration(w.random.ExpFloat64() * float64(tasks) / (load * fullStartsPerS) * float64(time.Second))
		n++
		w.job(team, fmt.Sprintf("job-%d", n), at, tasks, wrong)
	}
}

func (w *world) job(team ident.Team, key string, at time.Duration, tasks int, wrong float64) {
	for range tasks {
		i := &item{team: team, job: ident.Job{Team: team, Key: ident.JobKey(key)}, arrived: at, work: w.drawWork()}
		i.declared = time.Duration(float64(i.work) * math.Pow(wrong, 2*w.random.Float64()-1))
		w.items = append(w.items, i)
	}
}

// scenarios are the loads and faults of issue 5.
var scenarios = map[string]scenario{
	"01 steady 50%":             {plan: steady(0.5), from: warm, bounds: bounds{p50: 1.05, p99: 2, messages: 1.02}},
	"00 cold start, steady 70%": {plan: steady(0.7), bounds: bounds{p50: 1.05, p99: 2, messages: 1.02}},
	"02 steady 70%":             {plan: steady(0.7), from: warm, bounds: bounds{p50: 1.05, p99: 2, messages: 1.02}},
	"03 steady 90%":             {plan: steady(0.9), from: warm, bounds: bounds{p50: 1.05, p99: 2, messages: 1.02}},
	"04 speeds spread 4x, 70%": {
		speeds: spread, plan: steady(0.7), from: warm, bounds: bounds{p50: 1.05, quantile99: 2, messages: 1.02},
	},
	"05 burst of 10 s of work": {
		plan: func(w *world) {
			w.arrive("a", 0.3, 0, defaultDuration)
			for n := range 7 {
				w.job("b", fmt.Sprint("burst-", n), faultAt, 1242, 1)
			}
		},
		bounds: bounds{quantile99: 2, messages: 1.02},
	},
	"06 3x overload for a minute": {
		plan: func(w *world) {
			w.arrive("a", 0.7, 0, faultAt)
			w.arrive("a", 3, faultAt, faultAt+time.Minute)
			w.arrive("a", 0.7, faultAt+time.Minute, faultAt+70*time.Second)
		},
		bounds: bounds{messages: 1.02},
	},
	"07 an entry host dies": {
		plan: func(w *world) {
			w.arrive("a", 0.7, 0, defaultDuration)
			w.after(faultAt, func() { w.hosts[5].die() })
		},
		bounds: bounds{p50: 1.05, p99: 2, messages: 1.1},
	},
	"08 a fifth fail all": {
		plan: func(w *world) {
			w.arrive("a", 0.7, 0, defaultDuration)
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
			w.arrive("a", 0.7, 0, defaultDuration)
			w.after(faultAt, func() { w.servers[7].speed /= 10 })
		},
		bounds: bounds{p50: 1.05, messages: 1.1},
	},
	"10 a fifth leave": {
		plan: func(w *world) {
			w.arrive("a", 0.7, 0, defaultDuration)
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
		plan: func(w *world) { w.jobs("a", 0.7, 100, 10, warm+defaultDuration) }, from: warm,
		bounds: bounds{quantile99: 2, messages: 1.02},
	},
	"12 a wave cancels half": {
		plan: func(w *world) {
			w.arrive("a", 0.5, 0, defaultDuration)
			for n := range 20 {
				w.job("b", fmt.Sprint("wave-", n), faultAt, 400, 1)
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
			w.setShares(map[ident.Team]admission.Share{"b": {Rate: 0.3 * fullStartsPerS / hostCount}})
			w.arrive("a", 0.5, 0, defaultDuration)
			w.arrive("b", 3, 0, defaultDuration)
		},
		bounds: bounds{messages: 1.02},
	},
	"15 a data centre is cut off": {
		plan: func(w *world) {
			w.arrive("a", 0.6, 0, defaultDuration)
			w.after(faultAt, func() { w.cut = 2 })
			w.after(2*faultAt, func() { w.cut = -1 })
		},
		bounds: bounds{messages: 1.1},
	},
	"14 one team at 10x, no quota": {
		plan: func(w *world) {
			w.arrive("a", 0.4, 0, defaultDuration)
			w.arrive("b", 4, 0, defaultDuration)
		},
		bounds: bounds{messages: 1.02},
	},
}

// updateServers gives the hosts what the membership list says.
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

// die ends a host with all that it holds. The others learn it later.
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

// cancel drops a job at the host that holds it.
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
