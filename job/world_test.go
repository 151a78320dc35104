package job

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"time"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/outcome"
)

// world models several hosts, the table and all messages between them.
type world struct {
	now      time.Time
	hosts    []*modelHost
	table    map[ident.Job]version
	history  map[ident.Job][]version
	revision ident.Revision
	pending  []*message
	queued   []*modelTask
	running  []*modelTask
	starts   map[ident.Task]int
	claims   map[ident.Job]*Submission
	// attempts counts the submissions of a job except those that were refused
	// as not run.
	attempts map[ident.Job]int
	replies  []reply
	machines int
	// seen counts the situations that the runs covered.
	seen       map[situation]int
	log        []string
	violations []string
	// tableDown is true while the table can not be reached.
	tableDown bool
}

// situation is a case that a run of the model may cover.
type situation string

const (
	adoptedAccepted   situation = "accepted job adopted"
	adoptedStarted    situation = "started job decided"
	mirrorDecided     situation = "outcome came from a mirror"
	mirrorFenced      situation = "holder fenced at its mirror"
	mirrorRecorded    situation = "mirror recorded an outcome"
	repliedFromMirror situation = "callers told before the record"
	repliedUnknown    situation = "callers told unknown"
	repliedComplete   situation = "callers told complete"
	refusedNotRun     situation = "callers refused as not run"
	residualMismatch  situation = "holder and mirror lost within an outage"
)

// situations are those that the test must cover. The residual case is only
// counted.
var situations = []situation{
	adoptedAccepted, adoptedStarted, mirrorDecided, mirrorFenced, mirrorRecorded, repliedFromMirror, repliedUnknown,
	repliedComplete, refusedNotRun,
}

type version struct {
	row      *Row
	revision ident.Revision
}

type modelHost struct {
	run      Holder
	boots    int
	alive    bool
	paused   bool
	machines map[ident.Job]*modelMachine
	mirror   *Mirror
}

type modelMachine struct {
	host     *modelHost
	run      Holder
	machine  *Machine
	callers  []*Submission
	recorder bool
}

// alive returns true if the run of the machine still exists.
func (k *modelMachine) alive() bool { return k.host.alive && k.host.run == k.run }

type modelTask struct {
	task  ident.Task
	owner *modelMachine
}

// message is an action whose result is pending.
type message struct {
	from   *modelMachine
	action Action
	due    time.Time
	// lost is true for a write whose sender no longer waits for the answer.
	lost bool
}

// reply is an outcome that a caller got.
type reply struct {
	job      ident.Job
	outcome  Outcome
	recorded bool
	holder   *modelMachine
	mirror   Holder
}

func newWorld(hosts int) *world {
	w := &world{
		now: time.Unix(1_800_000_000, 0), table: map[ident.Job]version{}, history: map[ident.Job][]version{},
		starts: map[ident.Task]int{}, claims: map[ident.Job]*Submission{}, attempts: map[ident.Job]int{}, seen: map[situation]int{},
	}
	for i := range hosts {
		h := &modelHost{run: Holder{Host: ident.Host("entry-" + strconv.Itoa(i+1))}}
		w.hosts = append(w.hosts, h)
		w.boot(h)
	}
	return w
}

func (w *world) logf(format string, args ...any) {
	w.log = append(w.log, fmt.Sprintf(format, args...))
}

func (w *world) reportViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

func (w *world) boot(h *modelHost) {
	h.boots++
	h.run.Boot = string(h.run.Host) + "." + strconv.Itoa(h.boots)
	h.alive, h.paused = true, false
	h.machines, h.mirror = map[ident.Job]*modelMachine{}, NewMirror()
}

func (w *world) crash(h *modelHost) {
	h.alive = false
	h.machines = map[ident.Job]*modelMachine{}
	w.queued = filter(w.queued, func(t *modelTask) bool { return t.owner.alive() })
}

func filter[T any](all []T, f func(T) bool) []T {
	var kept []T
	for _, x := range all {
		if f(x) {
			kept = append(kept, x)
		}
	}
	return kept
}

func (w *world) config(h *modelHost, s *Submission, ready bool) Config {
	w.machines++
	c := Config{
		Self: h.run, OperationPrefix: strconv.Itoa(w.machines), Submission: s, HasCapacity: ready, ReadDelay: 100 * time.Millisecond,
		MirrorAfter: 300 * time.Millisecond, SettleTimeout: time.Second, StoreRetry: time.Second,
	}
	for _, other := range w.hosts {
		if other != h && other.alive {
			c.Mirror = other.run
			break
		}
	}
	if s != nil && !ready {
		c.Payload = s.Tasks
	}
	return c
}

func modelSubmission(key string, tasks int) *Submission {
	s := &Submission{Job: ident.Job{Team: "kusweg", Key: ident.JobKey(key)}, Pool: "groyne-log"}
	for i := range tasks {
		s.Tasks = append(s.Tasks, Task{Index: ident.TaskIndex(i), Payload: json.RawMessage(strconv.Itoa(i))})
	}
	return s
}

func modelAnswer(t ident.Task) []byte { return []byte(strconv.Quote(t.String())) }

// submit has a client submit a job to a host.
func (w *world) submit(h *modelHost, key string, tasks int, ready bool) {
	s := modelSubmission(key, tasks)
	s.Resubmission = w.attempts[s.Job] > 0
	w.attempts[s.Job]++
	w.claims[s.Job] = s
	if k := h.machines[s.Job]; k != nil {
		k.callers = append(k.callers, s)
		return
	}
	k := &modelMachine{host: h, run: h.run, machine: NewMachine(w.config(h, s, ready)), callers: []*Submission{s}}
	h.machines[s.Job] = k
	w.execute(k, k.machine.Start(w.now))
}

// adopt has a host take over a row that it read, possibly long ago.
func (w *world) adopt(h *modelHost, v version, payload, ready bool) {
	if v.row == nil || v.row.State.Ended() || h.machines[v.row.Job] != nil || v.row.Holder == h.run {
		return
	}
	var s *Submission
	if v.row.State == Accepted && payload {
		s = v.row.Submission(v.row.Payload)
	}
	k := &modelMachine{host: h, run: h.run, machine: Adopt(w.config(h, s, ready), *v.row, v.revision)}
	h.machines[v.row.Job] = k
	w.execute(k, k.machine.Start(w.now))
}

// step passes an event to a machine whose run is alive.
func (w *world) step(k *modelMachine, e Event) {
	if k.alive() {
		w.execute(k, k.machine.Step(w.now, e))
	}
}

func (w *world) execute(k *modelMachine, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case StartTasks:
			for _, t := range k.machine.config.Submission.Tasks {
				w.queued = append(w.queued, &modelTask{task: ident.Task{Job: k.machine.row.Job, Index: t.Index}, owner: k})
			}
		case CancelTasks:
			w.queued = filter(w.queued, func(t *modelTask) bool { return t.owner != k })
		case AnswerCallers:
			w.answerCallers(k, *failedOutcome(a.Error), false)
		case Reply:
			w.answerCallers(k, a.Outcome, a.Recorded)
			if k.recorder && a.Recorded {
				w.seen[mirrorRecorded]++
			}
		case Attach:
			// The callers wait for the row of the other holder.
			k.callers = nil
		case Write:
			w.pending = append(w.pending, &message{from: k, action: a, due: w.now.Add(a.After)})
		case Read:
			w.pending = append(w.pending, &message{from: k, action: a, due: w.now.Add(a.After)})
		case SetTimer:
			w.pending = append(w.pending, &message{from: k, action: a, due: w.now.Add(a.After)})
		case AskMirror:
			w.pending = append(w.pending, &message{from: k, action: a, due: w.now.Add(a.After)})
		default:
			w.pending = append(w.pending, &message{from: k, action: a, due: w.now})
		}
	}
	if p := k.machine.Phase(); !k.recorder && (p == Ended || p == Attached) && k.host.machines[k.machine.row.Job] == k {
		delete(k.host.machines, k.machine.row.Job)
	}
}

// answerCallers answers the callers of a machine as the entry host does.
func (w *world) answerCallers(k *modelMachine, o Outcome, recorded bool) {
	for _, s := range k.callers {
		answer := o
		if !recorded && o.Error != nil {
			answer.Error = s.Refusal(o.Error)
		}
		w.logf("  %s tells %s: %s %v recorded=%v", k.run.Boot, s.Key, answer.State, answer.Error, recorded)
		switch {
		case answer.Error != nil && answer.Error.Kind == outcome.NotRun && answer.Error.RetryAfter > 0 && !recorded:
			w.attempts[s.Job]--
			w.seen[refusedNotRun]++
			if s.Resubmission {
				w.reportViolation("%s was refused as not run though an earlier attempt may have run", s.Key)
			}
		case answer.Error != nil && answer.Error.Kind == outcome.Unknown && !recorded:
			w.seen[repliedUnknown]++
		default:
			if answer.State == Complete {
				w.seen[repliedComplete]++
			}
			if !recorded {
				w.seen[repliedFromMirror]++
			}
			w.replies = append(w.replies, reply{job: s.Job, outcome: answer, recorded: recorded, holder: k, mirror: k.machine.row.Mirror})
		}
	}
	k.callers = nil
}

// apply executes a write on the table.
func (w *world) apply(a Write) Written {
	current := w.table[a.Row.Job]
	if current.revision != a.Condition {
		return Written{Current: current.row, CurrentRevision: current.revision}
	}
	if current.row != nil && current.row.State.Ended() {
		w.reportViolation("the outcome of %s was written twice", a.Row.Job)
	}
	w.revision++
	row := a.Row
	w.checkOutcome(&row)
	switch {
	case a.Previous != (Holder{}) && !row.State.Ended():
		w.seen[adoptedAccepted]++
	case a.Previous != (Holder{}) && current.row.State == Started:
		w.seen[adoptedStarted]++
	}
	v := version{row: &row, revision: w.revision}
	w.table[row.Job] = v
	w.history[row.Job] = append(w.history[row.Job], v)
	return Written{Applied: true, Revision: w.revision}
}

func (w *world) checkOutcome(r *Row) {
	if !r.State.Ended() {
		return
	}
	if r.State == Failed {
		if r.Outcome.Error == nil || len(r.Outcome.Answers) > 0 {
			w.reportViolation("%s failed without an error or with answers", r.Job)
		}
		return
	}
	if len(r.Outcome.Answers) != r.Tasks {
		w.reportViolation("%s is complete with %d of %d answers", r.Job, len(r.Outcome.Answers), r.Tasks)
	}
	for i, a := range r.Outcome.Answers {
		task := ident.Task{Job: r.Job, Index: ident.TaskIndex(i)}
		if a.Index != task.Index || !bytes.Equal(a.Answer, modelAnswer(task)) || w.starts[task] != 1 {
			w.reportViolation("%s is complete with a wrong answer %d", r.Job, i)
		}
	}
}

// startTask starts a queued task on a backend server.
func (w *world) startTask(t *modelTask) {
	w.starts[t.task]++
	if w.starts[t.task] > 1 {
		w.reportViolation("task %s started %d times", t.task, w.starts[t.task])
	}
	if w.attempts[t.task.Job] == 0 {
		w.reportViolation("task %s started though each attempt was refused as not run", t.task)
	}
	w.running = append(w.running, t)
}

// keepAtMirror sends an outcome to its mirror.
func (w *world) keepAtMirror(a KeepMirror) (MirrorKept, bool) {
	h := w.find(a.Row.Mirror)
	if h == nil || h.paused {
		return MirrorKept{}, false
	}
	before := h.mirror.Len()
	kept := h.mirror.Keep(a.Row)
	if h.mirror.Len() > before {
		k := &modelMachine{host: h, run: h.run, machine: NewRecorder(w.config(h, nil, false), a.Row, a.Condition), recorder: true}
		w.execute(k, k.machine.Start(w.now))
	}
	if !kept {
		w.seen[mirrorFenced]++
	}
	return MirrorKept{Kept: kept}, true
}

// find returns the host of a run that is alive.
func (w *world) find(run Holder) *modelHost {
	for _, h := range w.hosts {
		if h.alive && h.run == run {
			return h
		}
	}
	return nil
}

// checkEnd checks what must hold once all jobs have ended.
func (w *world) checkEnd() {
	for id, v := range w.table {
		if !v.row.State.Ended() {
			w.reportViolation("%s never ended: %s", id, v.row.State)
			continue
		}
		if e := v.row.Outcome.Error; e != nil && e.Kind == outcome.NotRun {
			for task, count := range w.starts {
				if task.Job == id && count > 0 {
					w.reportViolation("%s is recorded as not run but %s started", id, task)
				}
			}
		}
	}
	for _, t := range w.replies {
		v := w.table[t.job]
		if v.row != nil && v.row.State.Ended() && reflect.DeepEqual(*v.row.Outcome, t.outcome) {
			continue
		}
		if !t.recorded && !t.holder.alive() && w.find(t.mirror) == nil {
			// The residual case: holder and mirror were lost before either
			// could record what the callers were told.
			w.seen[residualMismatch]++
			continue
		}
		w.reportViolation("callers of %s were told %v %v, the table has %+v", t.job, t.outcome.State, t.outcome.Error, v.row)
	}
}
