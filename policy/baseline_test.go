package policy

import "time"

// plainHost is an entry host without the policy: it sends each item once, to a
// random server.
type plainHost struct {
	world  *world
	centre int
}

func (h *plainHost) submit(items ...*item) {
	for _, i := range items {
		h.send(i, h.world.random.IntN(len(h.world.servers)))
	}
}

// send sends an item to server s. A refused item is not sent again.
func (h *plainHost) send(i *item, s int) {
	w, f := h.world, h.world.servers[s]
	w.messages++
	latency := latencyBetween(h.centre, f.centre)
	w.after(latency, func() {
		if f.running >= f.slots || f.leaving {
			i.refused, i.ended = true, w.now+latency
			return
		}
		if f.failing {
			i.starts++
			return
		}
		f.running++
		i.starts++
		w.after(time.Duration(float64(i.work)/f.speed), func() {
			f.running--
			i.done, i.ended = true, w.now+latency
		})
	})
}

// startPlain makes all hosts run without the policy.
func (w *world) startPlain() {
	for _, h := range w.hosts {
		h.plain = &plainHost{world: w, centre: h.centre}
	}
}
