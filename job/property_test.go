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
	// minEvents is the least number of random events that the test must run.
	minEvents = 100_000
	// drainSteps bounds the steps in which all jobs must end after the faults.
	drainSteps = 3000
)

// The faults of a message. Smaller values deliver it. faultLate loses a mirror's
// answer, faultRefused makes a read empty and faultAnswerLost makes it stale.
const (
	faultRefused    = 6
	faultLate       = 7
	faultFailed     = 8
	faultAnswerLost = 9
)

var modelKeys = []string{"tide", "school"}

// setRapidFlags sets the seed and the number of checks unless the command line does.
func setRapidFlags(t *testing.T, checks int) {
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

// TestJobProperties runs the machines of several hosts through random sequences
// of events, with crashes, pauses, lost answers and late writes at any step.
func TestJobProperties(t *testing.T) {
	setRapidFlags(t, modelChecks)
	events := 0
	seen := map[situation]int{}
	rapid.Check(t, func(r *rapid.T) {
		w := newWorld(modelHosts)
		steps := rapid.IntRange(20, 260).Draw(r, "steps")
		for range steps {
			w.randomStep(r)
			events++
			failOnViolation(r, w)
		}
		w.drain()
		w.checkEnd()
		failOnViolation(r, w)
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

// failOnViolation fails the check with the list of events if an invariant is broken.
func failOnViolation(r *rapid.T, w *world) {
	if len(w.violations) > 0 {
		r.Fatalf("%s\nevents, seed %s:\n%s", strings.Join(w.violations, "\n"), modelSeed, strings.Join(w.log, "\n"))
	}
}

// randomStep runs one random event.
func (w *world) randomStep(r *rapid.T) {
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
			w.logf("submit %s at %s", key, h.run.Boot)
			w.submit(h, key, modelTasks, rapid.Bool().Draw(r, "ready"))
		}
	case choice < 87:
		w.randomAdoption(r, h, id)
	case choice < 90:
		if h.alive {
			w.logf("crash %s", h.run.Boot)
			w.crash(h)
		} else {
			w.boot(h)
			w.logf("boot %s", h.run.Boot)
		}
	case choice < 94:
		h.paused = !h.paused
		w.logf("paused=%v %s", h.paused, h.run.Boot)
	case choice < 97:
		w.randomEvent(r, h, id)
	default:
		w.tableDown = !w.tableDown
		w.logf("table away=%v", w.tableDown)
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
	w.logf("%s adopts %s %s epoch %d", h.run.Boot, id.Key, v.row.State, v.row.Epoch)
	w.adopt(h, v, rapid.IntRange(0, 4).Draw(r, "payload") > 0, rapid.Bool().Draw(r, "ready"))
}

// randomEvent passes an external event to a machine of h.
func (w *world) randomEvent(r *rapid.T, h *modelHost, id ident.Job) {
	k := h.machines[id]
	if k == nil || h.paused {
		return
	}
	event := rapid.SampledFrom([]Event{DeadlinePassed{}, CancelRequested{}, RowObserved{}, CapacityFree{}, CapacityFree{}, CapacityFree{}}).Draw(r, "outside")
	if _, noticed := event.(RowObserved); noticed && len(w.history[id]) > 0 {
		v := w.history[id][rapid.IntRange(0, len(w.history[id])-1).Draw(r, "noticed")]
		event = RowObserved{Row: v.row, Revision: v.revision}
	}
	if _, isCapacity := event.(CapacityFree); isCapacity && k.machine.Phase() != Waiting {
		return
	}
	w.logf("%T to %s for %s", event, h.run.Boot, id.Key)
	w.step(k, event)
}

func (w *world) randomStart(r *rapid.T) {
	ready := filter(w.queued, func(t *modelTask) bool { return t.owner.alive() && !t.owner.host.paused })
	if len(ready) == 0 {
		return
	}
	t := ready[rapid.IntRange(0, len(ready)-1).Draw(r, "task")]
	w.queued = filter(w.queued, func(x *modelTask) bool { return x != t })
	w.logf("%s starts %s", t.owner.run.Boot, t.task)
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
	w.running = filter(w.running, func(x *modelTask) bool { return x != t })
	event := TaskEnded{Index: t.task.Index, Answer: modelAnswer(t.task)}
	if rapid.IntRange(0, 9).Draw(r, "fails") == 0 {
		event = TaskEnded{Index: t.task.Index, Error: outcome.New(outcome.Unknown, outcome.LinkLost, "cut")}
	}
	w.logf("%s ended on %s: %v", t.task, t.owner.run.Boot, event.Error)
	w.step(t.owner, event)
}

// randomMessage delivers, loses or delays one pending message.
func (w *world) randomMessage(r *rapid.T) {
	due := filter(w.pending, func(m *message) bool { return !m.due.After(w.now) })
	if len(due) == 0 {
		return
	}
	m := due[rapid.IntRange(0, len(due)-1).Draw(r, "message")]
	fault := rapid.IntRange(0, 9).Draw(r, "fate")
	if w.tableDown {
		switch m.action.(type) {
		case Write:
			fault = rapid.SampledFrom([]int{faultRefused, faultRefused, faultLate}).Draw(r, "outage")
		case Read:
			fault = faultLate
		}
	}
	w.deliver(m, fault)
}

func (w *world) remove(m *message) {
	w.pending = filter(w.pending, func(x *message) bool { return x != m })
}

// deliver delivers one message, or has it meet a fault.
func (w *world) deliver(m *message, fault int) {
	if !m.from.alive() {
		w.deliverOrphan(m)
		return
	}
	if m.from.host.paused {
		if a, ok := m.action.(Write); ok && !m.lost && !w.tableDown {
			// The write takes effect while its sender is paused.
			m.lost = true
			w.logf("write %s %s of %s, sender paused: %v", a.Row.Key, a.Row.State, m.from.run.Boot, w.apply(a).Applied)
			w.remove(m)
			w.pending = append(w.pending, &message{from: m.from, action: lostAnswer{}, due: w.now})
		}
		return
	}
	switch a := m.action.(type) {
	case Write:
		w.deliverWrite(m, a, fault)
	case lostAnswer:
		w.remove(m)
		w.step(m.from, WriteUncertain{})
	case Read:
		w.deliverRead(m, fault)
	case SetTimer:
		w.remove(m)
		w.step(m.from, TimerFired{})
	case AwaitCapacity:
		w.remove(m)
	case KeepMirror:
		w.deliverKeep(m, a, fault)
	case AskMirror:
		w.deliverAsk(m, a, fault)
	}
}

// lostAnswer replaces a write that took effect without an answer.
type lostAnswer struct{}

func (lostAnswer) action() {}

// deliverOrphan handles a message of a run that has ended: its writes may still
// arrive.
func (w *world) deliverOrphan(m *message) {
	switch a := m.action.(type) {
	case Write:
		if w.tableDown {
			return
		}
		w.logf("late write %s %s of %s: %v", a.Row.Key, a.Row.State, m.from.run.Boot, w.apply(a).Applied)
	case KeepMirror:
		w.keepAtMirror(a)
	}
	w.remove(m)
}

func (w *world) deliverWrite(m *message, a Write, fault int) {
	if m.lost && w.tableDown {
		return
	}
	if m.lost {
		// The sender no longer waits for the answer, and the write arrives late.
		w.remove(m)
		w.logf("late write %s %s of %s: %v", a.Row.Key, a.Row.State, m.from.run.Boot, w.apply(a).Applied)
		return
	}
	switch fault {
	case faultRefused:
		w.remove(m)
		w.logf("write %s %s of %s refused", a.Row.Key, a.Row.State, m.from.run.Boot)
		w.step(m.from, WriteUncertain{NotSent: true})
	case faultLate, faultFailed:
		m.lost = true
		w.logf("write %s %s of %s is late", a.Row.Key, a.Row.State, m.from.run.Boot)
		w.step(m.from, WriteUncertain{})
	case faultAnswerLost:
		w.remove(m)
		w.logf("write %s %s of %s, answer lost: %v", a.Row.Key, a.Row.State, m.from.run.Boot, w.apply(a).Applied)
		w.step(m.from, WriteUncertain{})
	default:
		w.remove(m)
		written := w.apply(a)
		w.logf("write %s %s of %s: %v", a.Row.Key, a.Row.State, m.from.run.Boot, written.Applied)
		w.step(m.from, written)
	}
}

func (w *world) deliverRead(m *message, fault int) {
	w.remove(m)
	id := m.from.machine.row.Job
	v := w.table[id]
	switch {
	case fault == faultLate || fault == faultFailed:
		w.step(m.from, ReadFailed{})
		return
	case fault == faultAnswerLost && len(w.history[id]) > 1:
		v = w.history[id][len(w.history[id])-2]
		w.logf("stale read by %s", m.from.run.Boot)
	case fault == faultRefused:
		v = version{}
		w.logf("empty read by %s", m.from.run.Boot)
	}
	w.step(m.from, ReadBack{Row: v.row, Revision: v.revision})
}

func (w *world) deliverKeep(m *message, a KeepMirror, fault int) {
	w.remove(m)
	if fault >= faultFailed {
		w.step(m.from, MirrorUnreachable{})
		return
	}
	kept, reached := w.keepAtMirror(a)
	w.logf("%s keeps %s of %s: %v", a.Row.Mirror.Boot, a.Row.Key, m.from.run.Boot, kept.Kept)
	if !reached || fault == faultLate {
		w.step(m.from, MirrorUnreachable{})
		return
	}
	w.step(m.from, kept)
}

func (w *world) deliverAsk(m *message, a AskMirror, fault int) {
	w.remove(m)
	h := w.find(a.Row.Mirror)
	switch {
	case h == nil:
		w.logf("%s learns that %s is gone", m.from.run.Boot, a.Row.Mirror.Boot)
		w.step(m.from, MirrorAnswered{})
	case h.paused || fault >= faultFailed:
		w.step(m.from, MirrorUnreachable{})
	default:
		kept := h.mirror.FetchOrFence(a.Row.Job, a.Row.Epoch)
		if kept != nil {
			w.seen[mirrorDecided]++
		}
		w.logf("%s asks %s for %s: %v", m.from.run.Boot, a.Row.Mirror.Boot, a.Row.Key, kept != nil)
		if fault == faultLate {
			w.step(m.from, MirrorUnreachable{})
			return
		}
		w.step(m.from, MirrorAnswered{Outcome: kept})
	}
}

// drain ends all faults and runs until all jobs have ended.
func (w *world) drain() {
	w.logf("drain")
	w.tableDown = false
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
	w.reportViolation("not settled after %d steps", drainSteps)
}

// settle runs one step of drain and returns false if nothing is left to do.
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
				w.step(k, CapacityFree{})
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
