package spill_test

import (
	"cmp"
	"container/heap"
	"maps"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/spill"
)

const (
	// dataCentres have slots for tasks each, and hosts each, which contact the owner of their
	// own data centre and those of the others in these intervals.
	dataCentres, slots, hostsEach = 3, 234, 15
	homeContact, farContact       = 150 * time.Millisecond, 300 * time.Millisecond
	// nearDelay and farDelay are the times that a message takes.
	nearDelay, farDelay = 200 * time.Microsecond, time.Millisecond
	tickInterval        = 25 * time.Millisecond
	worldTime           = 30 * time.Second
	usefulness          = 3
)

// kind is a kind of job. rate is that of all data centres a second.
type kind struct {
	name                 string
	rate, tasks, runTime float64
	priority             int
	value                float64
}

var kinds = []kind{
	{"short", 206, 8, 0.050, 0, 2.9}, {"medium", 600, 2, 0.167, 1, 1}, {"long", 37.5, 4, 0.75, 2, 16},
}

// demand returns the share of a data centre in the demand at a time.
type demand func(dc int, second float64) float64

func fixedDemand(dc int, _ float64) float64 { return [dataCentres]float64{41, 28, 29}[dc] / 98 }

func swinging(dc int, second float64) float64 {
	return (1 + 0.55*math.Sin(2*math.Pi*(second/15+float64(dc)/dataCentres))) / dataCentres
}

func even(int, float64) float64 { return 1.0 / dataCentres }

type event struct {
	at    time.Duration
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, k int) bool {
	return e[i].at < e[k].at || (e[i].at == e[k].at && e[i].order < e[k].order)
}
func (e events) Swap(i, k int) { e[i], e[k] = e[k], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// owner is an owner with a queue of jobs.
type owner struct {
	dc     int
	free   int
	queue  []*job
	queued int
	// meanRun is the mean run time of tasks.
	meanRun time.Duration
	// view is its host's view of the others.
	view *host
}

func (o *owner) freeTasks() int { return o.free - o.queued }

// job is a job on its way.
type job struct {
	kind                 *kind
	host                 *host
	runTime, objective   time.Duration
	runTimes             []time.Duration
	tasks, waiting, left int
	arrived, queuedAt    time.Duration
	begun, yielded       bool
	refused              bool
	tried                [dataCentres]bool
	remote               bool
}

// host is an entry host with its view of the owners.
type host struct {
	dc   int
	view *spill.View
}

// world simulates three owners and their hosts in virtual time.
type world struct {
	random *rand.Rand
	now    time.Duration
	events events
	order  int
	owners [dataCentres]*owner
	hosts  []*host
	demand demand
	load   float64

	jobs, inTime, late, refused int
	value, best                 float64
	// idle is the sum over time of the tasks that wait in one data centre while others have
	// free slots for them, in task-seconds, and waited the sum of the waits of jobs.
	idle   float64
	waited time.Duration
	// bounced counts the tries at owners of other data centres that could not start the job
	// at once although the host took them to be able to, and remote the jobs that ran in
	// another data centre.
	bounced, remote, returned int
	// contactFactor is how many times longer than usual the intervals between contacts are.
	contactFactor float64
}

func (w *world) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.events, event{w.now + d, w.order, do})
}

func (w *world) time() time.Time { return time.Unix(1_800_000_000, 0).Add(w.now) }

func name(dc int) ident.DataCentre { return ident.DataCentre('a' + rune(dc)) }

func newWorld(seed uint64, d demand, load float64) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 3)), demand: d, load: load}
	for dc := range w.owners {
		w.owners[dc] = &owner{dc: dc, free: slots, meanRun: 150 * time.Millisecond}
	}
	for i := range dataCentres * hostsEach {
		h := &host{dc: i % dataCentres, view: &spill.View{}}
		w.hosts = append(w.hosts, h)
		if o := w.owners[h.dc]; o.view == nil {
			o.view = h
		}
		for dc := range w.owners {
			interval, delay := farContact, farDelay
			if dc == h.dc {
				interval, delay = homeContact, nearDelay
			}
			w.after(time.Duration(w.random.Float64()*float64(interval)), func() { w.contact(h, dc, interval, delay) })
		}
	}
	for dc := range w.owners {
		w.after(time.Duration(dc)*time.Millisecond, func() { w.tick(w.owners[dc]) })
		for i := range kinds {
			w.submitRepeatedly(rand.New(rand.NewPCG(seed, uint64(100+10*dc+i))), dc, &kinds[i])
		}
	}
	return w
}

func (w *world) contact(h *host, dc int, interval, delay time.Duration) {
	sent := w.time()
	w.after(delay, func() {
		free := w.owners[dc].freeTasks()
		w.after(delay, func() { h.view.Report(sent, name(dc), free) })
	})
	w.after(time.Duration(float64(interval)*w.contactFactor), func() { w.contact(h, dc, interval, delay) })
}

func logNormal(random *rand.Rand, s float64) float64 {
	sigma := math.Sqrt(math.Log(1 + s*s))
	return min(4, math.Exp(random.NormFloat64()*sigma-sigma*sigma/2))
}

// submitRepeatedly submits jobs of a kind for ever. They do not depend on what becomes of
// others, so that two ways to place them are compared for the same jobs.
func (w *world) submitRepeatedly(random *rand.Rand, dc int, k *kind) {
	rate := k.rate * w.load * w.demand(dc, w.now.Seconds())
	w.after(time.Duration(random.ExpFloat64()/rate*float64(time.Second)), func() {
		j := &job{kind: k, host: w.hosts[dc+dataCentres*random.IntN(hostsEach)], arrived: w.now}
		j.runTime = time.Duration(logNormal(random, 0.4) * k.runTime * float64(time.Second))
		j.objective = time.Duration(1.92*float64(j.runTime)) + 60*time.Millisecond
		j.tasks = max(1, int(math.Round(logNormal(random, 0.4)*k.tasks)))
		for j.waiting < j.tasks {
			j.runTimes = append(j.runTimes, time.Duration(logNormal(random, 0.15)*float64(j.runTime)))
			j.waiting++
		}
		j.left = j.tasks
		w.jobs++
		w.best += k.value
		w.try(j)
		w.submitRepeatedly(random, dc, k)
	})
}

// try submits a job to the owner that its host picks.
func (w *world) try(j *job) {
	var owners []spill.Owner
	for dc := range w.owners {
		free, known := j.host.view.Free(w.time(), name(dc))
		if !known {
			free = j.tasks
		}
		owners = append(owners, spill.Owner{DataCentre: name(dc), Free: free, Home: dc == j.host.dc, Tried: j.tried[dc]})
	}
	picked, final, ok := spill.Pick(owners, j.tasks, j.refused)
	if !ok {
		w.end(j, false)
		return
	}
	dc := int(picked.DataCentre[0] - 'a')
	delay := nearDelay
	if dc != j.host.dc {
		delay = farDelay
	}
	w.after(delay, func() {
		o := w.owners[dc]
		atOnce := o.queued == 0 && o.free >= j.tasks
		if !atOnce && !final {
			if dc != j.host.dc {
				w.bounced++
			}
			w.answer(o, j, delay, func() { j.tried[dc] = true; w.try(j) })
			return
		}
		if wait := w.expectedWait(o, j); !atOnce && w.now+wait+j.runTime > j.arrived+usefulness*j.objective {
			w.answer(o, j, delay, func() { w.refuse(j, dc) })
			return
		}
		j.remote = dc != j.host.dc
		j.queuedAt = w.now
		o.queue, o.queued = append(o.queue, j), o.queued+j.waiting
		slices.SortStableFunc(o.queue, w.compare)
		w.start(o)
	})
}

func (w *world) answer(o *owner, j *job, delay time.Duration, do func()) {
	free, at := o.freeTasks(), w.time()
	w.after(delay, func() {
		j.host.view.Report(at, name(o.dc), free)
		do()
	})
}

func (w *world) refuse(j *job, dc int) {
	if j.tried[dc] = true; !j.refused {
		j.tried = [dataCentres]bool{}
		j.tried[dc] = true
	}
	j.refused = true
	w.try(j)
}

func (w *world) expectedWait(o *owner, j *job) time.Duration {
	ahead := j.tasks - o.free
	for _, x := range o.queue {
		if w.compare(x, j) < 0 {
			ahead += x.waiting
		}
	}
	return time.Duration(float64(ahead) / slots * float64(o.meanRun))
}

// class orders jobs: begun, on time, late.
func (w *world) class(j *job) int {
	switch {
	case j.begun:
		return 0
	case w.now+time.Duration(1.6*float64(j.runTime)) <= j.arrived+j.objective:
		return 1
	}
	return 2
}

func (w *world) compare(a, b *job) int {
	return cmp.Or(cmp.Compare(w.class(a), w.class(b)), cmp.Compare(a.kind.priority, b.kind.priority),
		cmp.Compare(a.arrived+a.objective-a.runTime, b.arrived+b.objective-b.runTime))
}

// start starts the tasks for which there are slots.
func (w *world) start(o *owner) {
	for len(o.queue) > 0 && o.free > 0 {
		j := o.queue[0]
		if !j.begun {
			w.waited += w.now - j.arrived
			if j.remote {
				w.remote++
			}
		}
		j.begun = true
		for ; j.waiting > 0 && o.free > 0; j.waiting-- {
			o.free--
			o.queued--
			took := j.runTimes[j.waiting-1]
			w.after(took, func() {
				o.free++
				o.meanRun += (took - o.meanRun) / 50
				if j.left--; j.left == 0 {
					w.end(j, true)
				}
				w.start(o)
			})
		}
		if j.waiting == 0 {
			o.queue = o.queue[1:]
		}
	}
}

func (w *world) end(j *job, done bool) {
	took := w.now - j.arrived
	switch {
	case !done:
		w.refused++
	case took <= j.objective:
		w.inTime++
		w.value += j.kind.value
	default:
		w.late++
		if took <= usefulness*j.objective {
			w.value += 0.2 * j.kind.value
		}
	}
}

// tick sorts the queue, refuses what is useless, and yields jobs to other owners.
func (w *world) tick(o *owner) {
	slices.SortStableFunc(o.queue, w.compare)
	o.queue = slices.DeleteFunc(o.queue, func(j *job) bool {
		useless := !j.begun && w.now+j.runTime > j.arrived+usefulness*j.objective
		if useless {
			o.queued -= j.waiting
			w.answer(o, j, nearDelay, func() { w.refuse(j, o.dc) })
		}
		return useless
	})
	free := 0
	for dc, x := range w.owners {
		if dc != o.dc {
			free += max(0, x.freeTasks())
		}
	}
	waiting := 0
	for _, j := range o.queue {
		if !j.begun {
			waiting += j.waiting
		}
	}
	w.idle += float64(min(free, waiting)) * tickInterval.Seconds()
	if len(o.queue) > 0 {
		for _, s := range o.view.view.Shares(w.time(), name(o.dc), open) {
			w.yield(o, s.Tasks)
		}
	}
	w.after(tickInterval, func() { w.tick(o) })
}

func (w *world) yield(o *owner, tasks int) {
	o.queue = slices.DeleteFunc(o.queue, func(j *job) bool {
		if j.begun || j.yielded || w.now-j.queuedAt < spill.YieldDelay || j.tasks > tasks {
			return false
		}
		tasks -= j.tasks
		o.queued -= j.waiting
		j.yielded = true
		w.returned++
		j.tried = [dataCentres]bool{}
		j.tried[o.dc] = true
		w.answer(o, j, nearDelay, func() { w.try(j) })
		return true
	})
}

func (w *world) run() {
	for len(w.events) > 0 && w.events[0].at < worldTime {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
}

var demands = map[string]demand{"even": even, "41 : 28 : 29": fixedDemand, "swinging": swinging}

// worlds adds up simulations of the same load with several seeds.
func worlds(d demand, load, contactFactor float64, seeds uint64) (sum world) {
	for seed := range seeds {
		w := newWorld(seed, d, load)
		w.contactFactor = contactFactor
		w.run()
		sum.jobs, sum.inTime, sum.late, sum.refused = sum.jobs+w.jobs, sum.inTime+w.inTime, sum.late+w.late, sum.refused+w.refused
		sum.value, sum.best, sum.idle, sum.waited = sum.value+w.value, sum.best+w.best, sum.idle+w.idle/float64(seeds), sum.waited+w.waited
		sum.bounced, sum.remote, sum.returned = sum.bounced+w.bounced, sum.remote+w.remote, sum.returned+w.returned
	}
	return sum
}

func (w *world) share(n int) float64 { return float64(n) / float64(w.jobs) }

// TestUnevenDemand checks that jobs hardly wait in one data centre while others have free slots,
// and that work stays at home while it can start there.
func TestUnevenDemand(t *testing.T) {
	tests := map[string]struct {
		demand demand
		load   float64
		// value is the least share of the value of all jobs, idle the largest number of tasks
		// that wait beside free slots, bounced the largest share of tries in vain at other
		// data centres, and remote the largest share of jobs that run in another one.
		value, idle, bounced, remote float64
	}{
		"even":                       {demand: even, load: 1, value: 0.98, bounced: 0.001, remote: 0.002},
		"even, 1.5 times":            {demand: even, load: 1.5, value: 0.98, idle: 0.5, bounced: 0.03, remote: 0.08},
		"41 : 28 : 29":               {demand: fixedDemand, load: 1, value: 0.98, bounced: 0.001, remote: 0.005},
		"41 : 28 : 29, 1.5 times":    {demand: fixedDemand, load: 1.5, value: 0.98, idle: 0.5, bounced: 0.03, remote: 0.11},
		"swinging":                   {demand: swinging, load: 1, value: 0.98, bounced: 0.001, remote: 0.02},
		"swinging, 1.5 times":        {demand: swinging, load: 1.5, value: 0.98, idle: 0.5, bounced: 0.03, remote: 0.15},
		"swinging, all slots in use": {demand: swinging, load: 1.75, value: 0.94, idle: 4, bounced: 0.06, remote: 0.55},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := worlds(test.demand, test.load, 1, 1)
			t.Logf("value %.4f, idle %.2f, bounced %.4f, remote %.4f", w.value/w.best, w.idle/worldTime.Seconds(), w.share(w.bounced), w.share(w.remote))
			is.True(w.value >= test.value*w.best)
			is.True(w.idle/worldTime.Seconds() <= test.idle)
			is.True(w.share(w.bounced) <= test.bounced)
			is.True(w.share(w.remote) <= test.remote)
		})
	}
}

// TestShowDemand shows the figures of docs/design/uneven.md, with contacts as they are and with
// contacts 30 times as often. It checks nothing, and is run on demand only:
// SHOW_DEMAND=1 go test ./spill -run ShowDemand -v.
func TestShowDemand(t *testing.T) {
	if os.Getenv("SHOW_DEMAND") == "" {
		t.Skip("shows figures only")
	}
	for _, name := range slices.Sorted(maps.Keys(demands)) {
		for _, load := range []float64{1, 1.5, 1.75, 2} {
			for _, contactFactor := range []float64{1, 1.0 / 30} {
				w := worlds(demands[name], load, contactFactor, 4)
				t.Logf("%s, %v times, contacts %.2f: value %.4f, in time %.3f, late %.3f, refused %.3f; mean wait %.1f ms; tasks waiting beside free slots %.1f; bounced %.4f returned %.4f remote %.3f",
					name, load, contactFactor, w.value/w.best, w.share(w.inTime), w.share(w.late), w.share(w.refused), w.waited.Seconds()/float64(w.jobs)*1000,
					w.idle/worldTime.Seconds(), w.share(w.bounced), w.share(w.returned), w.share(w.remote))
			}
		}
	}
}
