package policy

import (
	"container/heap"
	"slices"
	"time"

	"github.com/catkingap/catkingap/ident"
)

// drawWork returns a random run time: most are from 50 ms to 1 s, a few are several
// seconds. The mean is meanWork.
func (w *world) drawWork() time.Duration {
	if w.random.Float64() < 0.01 {
		return 2*time.Second + time.Duration(w.random.Float64()*float64(4*time.Second))
	}
	// The distribution is uniform: the square root of a uniform number would
	// favour long tasks.
	return 50*time.Millisecond + time.Duration(w.random.Float64()*float64(746*time.Millisecond))
}

// addRequests adds requests of a team at random times. Load 1 keeps all slots of
// the pool busy.
func (w *world) addRequests(team ident.Team, load float64, from, end time.Duration) {
	at := from
	for {
		at += time.Duration(w.random.ExpFloat64() / (load * fullLoadStartsPerSecond) * float64(time.Second))
		if at > end {
			return
		}
		w.items = append(w.items, &item{team: team, arrived: at, work: w.drawWork(), idempotent: len(w.items)%2 == 0})
	}
}

// submitItems submits each item to a host at its arrival time, the tasks of a job
// together.
func (w *world) submitItems() {
	slices.SortStableFunc(w.items, func(a, b *item) int { return int(a.arrived - b.arrived) })
	for i := 0; i < len(w.items); {
		first := w.items[i]
		n := i + 1
		for n < len(w.items) && first.job.Key != "" && w.items[n].job == first.job {
			n++
		}
		group := w.items[i:n]
		w.after(first.arrived, func() {
			host := w.pickHost()
			for _, g := range group {
				g.host = host
			}
			w.hosts[host].submit(group...)
		})
		i = n
	}
}

// omniscient returns the response time of each item with a single queue that has
// all information at once and starts the oldest item on the fastest free slot.
func omniscient(items []*item, servers []*fakeServer) []time.Duration {
	l := &loop{}
	running := make([]int, len(servers))
	responses := make([]time.Duration, len(items))
	var queue []int
	var pump func()
	pump = func() {
		for len(queue) > 0 {
			best := -1
			for s, f := range servers {
				if running[s] < f.slots && !f.failing && !f.leaving && (best < 0 || f.speed > servers[best].speed) {
					best = s
				}
			}
			if best < 0 {
				return
			}
			i := queue[0]
			queue = queue[1:]
			running[best]++
			took := 2*localLatency + time.Duration(float64(items[i].work)/servers[best].speed)
			l.after(took, func() {
				running[best]--
				responses[i] = l.now - items[i].arrived + 2*callerLatency
				pump()
			})
		}
	}
	for i, it := range items {
		heap.Push(&l.events, event{it.arrived, i - len(items), func() {
			queue = append(queue, i)
			pump()
		}})
	}
	l.run(time.Hour)
	return responses
}

// figures are the measurements of one run.
type figures struct {
	// p50 and p99 are quantiles of the response time divided by that of the
	// omniscient queue, ideal50 and ideal99 of the response time divided by the
	// ideal.
	p50, p99, ideal50, ideal99 float64
	// omniscient50 and omniscient99 are quantiles of the omniscient queue's
	// response time divided by the ideal.
	omniscient50, omniscient99 float64
	// messages to servers and control messages between hosts, per item done.
	messages, control float64
	// done, refused, lost and cancelled count the items.
	done, refused, lost, cancelled int
	// startedTwice counts the items that started more than once although they are
	// not idempotent.
	startedTwice int
}

func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// count adds an item to the counters.
func (f *figures) count(i *item) {
	if i.starts > 1 && !i.idempotent {
		f.startedTwice++
	}
	switch {
	case i.done:
		f.done++
	case i.cancelled:
		f.cancelled++
	case i.refused:
		f.refused++
	default:
		f.lost++
	}
}

// units groups the indices of the items that a caller waits for together: a
// request or all tasks of a job.
func (w *world) units(counted func(*item) bool) [][]int {
	var units [][]int
	jobs := map[ident.Job]int{}
	for i, it := range w.items {
		if !counted(it) {
			continue
		}
		if u, ok := jobs[it.job]; ok && it.job.Key != "" {
			units[u] = append(units[u], i)
			continue
		}
		jobs[it.job] = len(units)
		units = append(units, []int{i})
	}
	return units
}

// measure returns the figures of the items for which counted returns true.
func (w *world) measure(counted func(*item) bool) figures {
	best := omniscient(w.items, w.servers)
	var f figures
	var toBest, toIdeal, bestToIdeal []float64
	done := 0
	for _, it := range w.items {
		if it.done {
			done++
		}
	}
	for _, u := range w.units(counted) {
		first := w.items[u[0]]
		response, ideal, bestResponse := time.Duration(0), time.Duration(0), time.Duration(0)
		for _, i := range u {
			it := w.items[i]
			f.count(it)
			response = max(response, it.response())
			ideal = max(ideal, it.ideal())
			bestResponse = max(bestResponse, best[i])
			first.done = first.done && it.done
		}
		if first.done {
			toBest = append(toBest, float64(response)/float64(bestResponse))
			toIdeal = append(toIdeal, float64(response)/float64(ideal))
			bestToIdeal = append(bestToIdeal, float64(bestResponse)/float64(ideal))
		}
	}
	f.p50, f.p99 = quantile(toBest, 0.5), quantile(toBest, 0.99)
	f.ideal50, f.ideal99 = quantile(toIdeal, 0.5), quantile(toIdeal, 0.99)
	f.omniscient50, f.omniscient99 = quantile(bestToIdeal, 0.5), quantile(bestToIdeal, 0.99)
	f.messages = float64(w.messages) / float64(max(done, 1))
	f.control = float64(w.control) / float64(max(done, 1))
	return f
}
