package policy

import "time"

// plainHost is an entry host without the policy: it chooses by what it alone
// knows.
type plainHost struct {
	world   *world
	centre  int
	running []int
	paused  []time.Duration
	queue   []*item
	// choose returns the index of a server, or -1 to wait.
	choose func(*plainHost) int
	// oneTry ends an item that was refused.
	oneTry bool
	// blindBudget is the number of tries on slots of others that may fail.
	blindBudget float64
	share       []int
}

const plainPause = 5 * time.Millisecond

func (h *plainHost) submit(items ...*item) {
	h.queue = append(h.queue, items...)
	h.pump()
}

func (h *plainHost) pump() {
	for len(h.queue) > 0 {
		s := h.choose(h)
		if s < 0 {
			return
		}
		first := h.queue[0]
		h.queue = h.queue[1:]
		h.send(first, s)
	}
}

func (h *plainHost) send(i *item, s int) {
	w, f := h.world, h.world.servers[s]
	w.messages++
	h.running[s]++
	away := distance(h.centre, f.centre)
	w.after(away, func() {
		if f.running >= f.slots || f.leaving {
			w.after(away, func() { h.refused(i, s) })
			return
		}
		f.running++
		i.starts++
		w.after(time.Duration(float64(i.work)/f.speed), func() {
			f.running--
			w.after(away, func() {
				i.done, i.ended = true, w.now
				h.running[s]--
				h.blindBudget += 0.02
				h.pump()
			})
		})
	})
}

func (h *plainHost) refused(i *item, s int) {
	h.running[s]--
	if h.oneTry {
		return
	}
	h.blindBudget--
	h.paused[s] = h.world.now + plainPause
	h.queue = append([]*item{i}, h.queue...)
	h.world.after(plainPause, h.pump)
}

func chooseRandom(h *plainHost) int { return h.world.random.IntN(len(h.world.servers)) }

// open returns true if the host may start work on a server.
func (h *plainHost) open(s, limit int) bool {
	return h.running[s] < limit && h.world.now >= h.paused[s]
}

func chooseOfTwo(h *plainHost) int {
	a, b := chooseRandom(h), chooseRandom(h)
	if h.running[b] < h.running[a] {
		a = b
	}
	if !h.open(a, serverSlots) {
		return -1
	}
	return a
}

func chooseLeast(h *plainHost) int {
	best, cost := -1, 0.0
	for s, f := range h.world.servers {
		// The speed is known here, as if it had been learned.
		c := (1 + float64(h.running[s])) / f.speed
		if h.open(s, serverSlots) && (best < 0 || c < cost) {
			best, cost = s, c
		}
	}
	return best
}

// chooseBlind takes the host's share of slots first and then tries others.
func chooseBlind(h *plainHost) int {
	best := -1
	for s, f := range h.world.servers {
		if h.open(s, h.share[s]) && (best < 0 || f.speed > h.world.servers[best].speed) {
			best = s
		}
	}
	if best < 0 && h.blindBudget >= 1 {
		if s := chooseRandom(h); h.open(s, serverSlots) {
			return s
		}
	}
	return best
}

// startPlain makes hosts without the policy.
func (w *world) startPlain(oneTry bool, choose func(*plainHost) int) {
	for i, h := range w.hosts {
		h.plain = &plainHost{
			world: w, centre: h.centre, running: make([]int, len(w.servers)), paused: make([]time.Duration, len(w.servers)),
			choose: choose, oneTry: oneTry, share: make([]int, len(w.servers)),
		}
		for s := range w.servers {
			for slot := range serverSlots {
				if (s+slot)%hostCount == i {
					h.plain.share[s]++
				}
			}
		}
	}
}
