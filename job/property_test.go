package job

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/outcome"
)

const (
	modelHosts  = 3
	modelTasks  = 2
	modelChecks = 6000
	modelSeed   = "20261204"
	// minEvents is the number of random events that the property must see.
	minEvents = 100_000
	// drainSteps bounds the steps in which all must settle after the faults.
	drainSteps = 3000
)

// The fates of a message beside its success. A mirror's answer is lost at
// fateLate, and a read is empty at fateRefused and stale at fateAnswerLost.
const (
	fateRefused    = 6
	fateLate       = 7
	fateFailed     = 8
	fateAnswerLost = 9
)

var modelKeys = []string{"tide", "school"}

// fixRapid sets the seed and the number of checks unless the command line does.
func fixRapid(t *testing.T, checks int) {
	t.Helper()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": modelSeed, "rapid.checks": fmt.Sprint(checks), "rapid.nofailfile": "true"} {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
}

// TestJobProperties runs the machines of several hosts through random orders
// of events, with crashes, pauses, lost answers and late writes at every step.
func TestJobProperties(t *testing.T) {
	fixRapid(t, modelChecks)
	events := 0
	seen := map[situation]int{}
	rapid.Check(t, func(r *rapid.T) {
		w := newWorld(modelHosts)
		steps := rapid.IntRange(20, 260).Draw(r, "steps")
		for range steps {
			w.random(r)
			events++
			report(r, w)
		}
		w.drain()
		w.checkEnd()
		report(r, w)
		for s, count := range w.seen {
			seen[s] += count
		}
	})
	t.Logf("%d events, %v", events, seen)
	for _, s := range situations {
		if !t.Failed() && seen[s] == 0 {
			t.Errorf("no run went through: %s", s)
		}
	}
	if !t.Failed() && events < minEvents {
		t.Errorf("only %d events, want %d", events, minEvents)
	}
}

// report fails the check with the list of events if an invariant is broken.
func report(r *rapid.T, w *world) {
	if len(w.broken) > 0 {
		r.Fatalf("%s\nevents, seed %s:\n%s", strings.Join(w.broken, "\n"), modelSeed, strings.Join(w.log, "\n"))
	}
}

// random lets one random event happen.
func (w *world) random(r *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(0, 200).Draw(r, "ms")) * time.Millisecond)
	h := w.hosts[rapid.IntRange(0, modelHosts-1).Draw(r, "host")]
	key := rapid.SampledFrom(modelKeys).Draw(r, "key")
	id := ident.Job{Team: "kusweg", Key: ident.JobKey(key)}
	choice := rapid.IntRange(0, 99).Draw(r, "event")
	switch {
	case choice < 45:
		w.randomMessage(r)
	case choice < 57:
		w.randomStart(r)
	case choice < 69:
		w.randomEnd(r)
	case choice < 78:
		if h.alive && !h.paused {
			w.note("submit %s at %s", key, h.run.Boot)
			w.submit(h, key, modelTasks, rapid.Bool().Draw(r, "ready"))
		}
	case choice < 87:
		w.randomAdoption(r, h, id)
	case choice < 90:
		if h.alive {
			w.note("crash %s", h.run.Boot)
			w.crash(h)
		} else {
			w.boot(h)
			w.note("boot %s", h.run.Boot)
		}
	case choice < 94:
		h.paused = !h.paused
		w.note("paused=%v %s", h.paused, h.run.Boot)
	case choice < 97:
		w.randomEvent(r, h, id)
	default:
		w.away = !w.away
		w.note("table away=%v", w.away)
	}
}

func (w *world) randomAdoption(r *rapid.T, h *modelHost, id ident.Job) {
	versions := w.history[id]
	if !h.alive || h.paused || len(versions) == 0 {
		return
	}
	v := versions[len(versions)-1]
	if rapid.IntRange(0, 3).Draw(r, "stale") == 0 {
		v = versions[rapid.IntRange(0, len(versions)-1).Draw(r, "version")]
	}
	w.note("%s adopts %s %s epoch %d", h.run.Boot, id.Key, v.row.State, v.row.Epoch)
	w.adopt(h, v, rapid.IntRange(0, 4).Draw(r, "payload") > 0, rapid.Bool().Draw(r, "ready"))
}

// randomEvent brings an event from outside to a machine of h.
func (w *world) randomEvent(r *rapid.T, h *modelHost, id ident.Job) {
	k := h.machines[id]
	if k == nil || h.paused {
		return
	}
	event := rapid.SampledFrom([]Event{Expired{}, CancelRequested{}, Noticed{}, RoomMade{}, RoomMade{}, RoomMade{}}).Draw(r, "outside")
	if _, noticed := event.(Noticed); noticed && len(w.history[id]) > 0 {
		v := w.history[id][rapid.IntRange(0, len(w.history[id])-1).Draw(r, "noticed")]
		event = Noticed{Row: v.row, Revision: v.revision}
	}
	if _, room := event.(RoomMade); room && k.machine.Phase() != Waiting {
		return
	}
	w.note("%T to %s for %s", event, h.run.Boot, id.Key)
	w.step(k, event)
}

func (w *world) randomStart(r *rapid.T) {
	ready := keep(w.queued, func(t *modelTask) bool { return t.owner.alive() && !t.owner.host.paused })
	if len(ready) == 0 {
		return
	}
	t := ready[rapid.IntRange(0, len(ready)-1).Draw(r, "task")]
	w.queued = keep(w.queued, func(x *modelTask) bool { return x != t })
	w.note("%s starts %s", t.owner.run.Boot, t.task)
	w.startTask(t)
}

func (w *world) randomEnd(r *rapid.T) {
	if len(w.running) == 0 {
		return
	}
	t := w.running[rapid.IntRange(0, len(w.running)-1).Draw(r, "running")]
	if t.owner.host.paused {
		return
	}
	w.running = keep(w.running, func(x *modelTask) bool { return x != t })
	event := TaskEnded{Index: t.task.Index, Answer: modelAnswer(t.task)}
	if rapid.IntRange(0, 9).Draw(r, "fails") == 0 {
		event = TaskEnded{Index: t.task.Index, Error: outcome.New(outcome.Unknown, outcome.LinkLost, "cut")}
	}
	w.note("%s ended on %s: %v", t.task, t.owner.run.Boot, event.Error)
	w.step(t.owner, event)
}

// randomMessage lets one open message arrive, get lost or be late.
func (w *world) randomMessage(r *rapid.T) {
	due := keep(w.pending, func(m *message) bool { return !m.due.After(w.now) })
	if len(due) == 0 {
		return
	}
	m := due[rapid.IntRange(0, len(due)-1).Draw(r, "message")]
	fate := rapid.IntRange(0, 9).Draw(r, "fate")
	if w.away {
		switch m.action.(type) {
		case Write:
			fate = rapid.SampledFrom([]int{fateRefused, fateRefused, fateLate}).Draw(r, "outage")
		case Read:
			fate = fateLate
		}
	}
	w.deliver(m, fate)
}

func (w *world) remove(m *message) {
	w.pending = keep(w.pending, func(x *message) bool { return x != m })
}

// deliver ends one message.
func (w *world) deliver(m *message, fate int) {
	if !m.from.alive() {
		w.deliverOrphan(m)
		return
	}
	if m.from.host.paused {
		if a, ok := m.action.(Write); ok && !m.lost && !w.away {
			// The write takes effect while its sender is paused.
			m.lost = true
			w.note("write %s %s of %s, sender paused: %v", a.Row.Key, a.Row.State, m.from.run.Boot, w.apply(a).Applied)
			w.remove(m)
			w.pending = append(w.pending, &message{from: m.from, action: lostAnswer{}, due: w.now})
		}
		return
	}
	switch a := m.action.(type) {
	case Write:
		w.deliverWrite(m, a, fate)
	case lostAnswer:
		w.remove(m)
		w.step(m.from, WriteUnsure{})
	case Read:
		w.deliverRead(m, fate)
	case Wake:
		w.remove(m)
		w.step(m.from, Woken{})
	case AwaitRoom:
		w.remove(m)
	case KeepMirror:
		w.deliverKeep(m, a, fate)
	case AskMirror:
		w.deliverAsk(m, a, fate)
	}
}

// lostAnswer stands for a write that took effect without an answer.
type lostAnswer struct{}

func (lostAnswer) action() {}

// deliverOrphan ends a message of a run that is gone: writes may still arrive.
func (w *world) deliverOrphan(m *message) {
	switch a := m.action.(type) {
	case Write:
		if w.away {
			return
		}
		w.note("late write %s %s of %s: %v", a.Row.Key, a.Row.State, m.from.run.Boot, w.apply(a).Applied)
	case KeepMirror:
		w.keepAtMirror(a)
	}
	w.remove(m)
}

func (w *world) deliverWrite(m *message, a Write, fate int) {
	if m.lost && w.away {
		return
	}
	if m.lost {
		// The sender has given the answer up; the write arrives late.
		w.remove(m)
		w.note("late write %s %s of %s: %v", a.Row.Key, a.Row.State, m.from.run.Boot, w.apply(a).Applied)
		return
	}
	switch fate {
	case fateRefused:
		w.remove(m)
		w.note("write %s %s of %s refused", a.Row.Key, a.Row.State, m.from.run.Boot)
		w.step(m.from, WriteUnsure{NotSent: true})
	case fateLate, fateFailed:
		m.lost = true
		w.note("write %s %s of %s is late", a.Row.Key, a.Row.State, m.from.run.Boot)
		w.step(m.from, WriteUnsure{})
	case fateAnswerLost:
		w.remove(m)
		w.note("write %s %s of %s, answer lost: %v", a.Row.Key, a.Row.State, m.from.run.Boot, w.apply(a).Applied)
		w.step(m.from, WriteUnsure{})
	default:
		w.remove(m)
		written := w.apply(a)
		w.note("write %s %s of %s: %v", a.Row.Key, a.Row.State, m.from.run.Boot, written.Applied)
		w.step(m.from, written)
	}
}

func (w *world) deliverRead(m *message, fate int) {
	w.remove(m)
	id := m.from.machine.row.Job
	v := w.table[id]
	switch {
	case fate == fateLate || fate == fateFailed:
		w.step(m.from, ReadFailed{})
		return
	case fate == fateAnswerLost && len(w.history[id]) > 1:
		v = w.history[id][len(w.history[id])-2]
		w.note("stale read by %s", m.from.run.Boot)
	case fate == fateRefused:
		v = version{}
		w.note("empty read by %s", m.from.run.Boot)
	}
	w.step(m.from, ReadBack{Row: v.row, Revision: v.revision})
}

func (w *world) deliverKeep(m *message, a KeepMirror, fate int) {
	w.remove(m)
	if fate >= fateFailed {
		w.step(m.from, MirrorUnreachable{})
		return
	}
	kept, reached := w.keepAtMirror(a)
	w.note("%s keeps %s of %s: %v", a.Row.Mirror.Boot, a.Row.Key, m.from.run.Boot, kept.Kept)
	if !reached || fate == fateLate {
		w.step(m.from, MirrorUnreachable{})
		return
	}
	w.step(m.from, kept)
}

func (w *world) deliverAsk(m *message, a AskMirror, fate int) {
	w.remove(m)
	h := w.find(a.Row.Mirror)
	switch {
	case h == nil:
		w.note("%s learns that %s is gone", m.from.run.Boot, a.Row.Mirror.Boot)
		w.step(m.from, MirrorAnswered{})
	case h.paused || fate >= fateFailed:
		w.step(m.from, MirrorUnreachable{})
	default:
		kept := h.mirror.Ask(a.Row.Job, a.Row.Epoch)
		if kept != nil {
			w.seen[mirrorDecided]++
		}
		w.note("%s asks %s for %s: %v", m.from.run.Boot, a.Row.Mirror.Boot, a.Row.Key, kept != nil)
		if fate == fateLate {
			w.step(m.from, MirrorUnreachable{})
			return
		}
		w.step(m.from, MirrorAnswered{Outcome: kept})
	}
}

// drain ends all faults and lets everything settle.
func (w *world) drain() {
	w.note("drain")
	w.away = false
	for _, h := range w.hosts {
		h.paused = false
		if !h.alive {
			w.boot(h)
		}
	}
	for range drainSteps {
		w.now = w.now.Add(100 * time.Millisecond)
		if !w.settle() {
			return
		}
	}
	w.breaks("not settled after %d steps", drainSteps)
}

// settle does one step of drain and returns false if nothing is left to do.
func (w *world) settle() bool {
	for _, m := range w.pending {
		if !m.due.After(w.now) {
			w.deliver(m, 0)
			return true
		}
	}
	if len(w.queued) > 0 {
		t := w.queued[0]
		w.queued = w.queued[1:]
		w.startTask(t)
		return true
	}
	if len(w.running) > 0 {
		t := w.running[0]
		w.running = w.running[1:]
		w.step(t.owner, TaskEnded{Index: t.task.Index, Answer: modelAnswer(t.task)})
		return true
	}
	for _, h := range w.hosts {
		for _, k := range h.machines {
			if k.machine.Phase() == Waiting {
				w.step(k, RoomMade{})
				return true
			}
		}
	}
	for _, key := range modelKeys {
		v := w.table[ident.Job{Team: "kusweg", Key: ident.JobKey(key)}]
		if v.row != nil && !v.row.State.Ended() && w.find(v.row.Holder) == nil {
			for _, h := range w.hosts {
				if h.machines[v.row.Job] == nil {
					w.adopt(h, v, true, true)
					return true
				}
			}
		}
	}
	return len(w.pending) > 0
}
