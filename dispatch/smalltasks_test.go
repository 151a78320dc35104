package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/dispatch"
	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

const (
	// smallTaskJobs is the number of jobs, of smallTasksPerJob tasks each, whose tasks would all
	// fit on one worker at once.
	smallTaskJobs    = 100
	smallTasksPerJob = 20
	// maxOpenPolls is how many polls of one worker may be open at once, and maxRowsPerSecond
	// how many rows it may list in a second: at a microsecond a row, 2 % of a core.
	maxOpenPolls     = 5
	maxRowsPerSecond = 20_000
	// maxListedRuns is the number of ends that workers list at a time, and so that of runs that
	// may be open there.
	maxListedRuns = 500
	// pollAnswerTime is how long a worker takes to answer a poll, in milliseconds.
	pollAnswerTime = 2
)

// smallTaskWorker simulates one worker, in steps of a millisecond.
type smallTaskWorker struct {
	m *dispatch.Machine
	// runTime is how long each run takes, in milliseconds.
	runTime int
	running map[string]smallRun
	ended   []worker.Ended
	number  worker.EndNumber
	polls   []openPoll
	// mostOpen is the largest number of open polls, mostRows that of runs and ends which the
	// worker had, and rows counts the rows that it has listed.
	mostOpen, mostRows, rows int
	runEnds                  []worker.RunEnd
	starts                   map[string]int
}

type smallRun struct {
	run   work.Run
	began int
}

type openPoll struct {
	worker.Poll
	sent, answered int
}

func newSmallTaskWorker(runTime int) *smallTaskWorker {
	return &smallTaskWorker{m: readyMachine("w1"), runTime: runTime, running: map[string]smallRun{}, starts: map[string]int{}}
}

// advance simulates one millisecond.
func (w *smallTaskWorker) advance(ms int) {
	for task, r := range w.running {
		if ms-r.began >= w.runTime {
			delete(w.running, task)
			w.number++
			w.ended = append(w.ended, worker.Ended{Number: w.number, Task: task, Run: r.run, Result: worker.Done})
		}
	}
	if ms%25 == 0 {
		w.m.Tick(at(ms))
	}
	open := w.polls
	w.polls = nil
	for _, p := range open {
		if ms < p.answered && (ms < p.sent+pollAnswerTime || len(w.ended) == 0) {
			w.polls = append(w.polls, p)
			continue
		}
		w.answer(ms, p)
	}
	w.carryOut(ms)
}

func (w *smallTaskWorker) clock(ms int) worker.Clock { return worker.Clock(1000 + ms) }

func (w *smallTaskWorker) answer(ms int, p openPoll) {
	w.ended = slices.DeleteFunc(w.ended, func(e worker.Ended) bool { return e.Number <= p.AcknowledgedEnds })
	report := &worker.Report{Incarnation: 1, Clock: w.clock(ms), Ended: slices.Clone(w.ended[:min(len(w.ended), maxListedRuns)])}
	for task, r := range w.running {
		report.Running = append(report.Running, worker.Running{Task: task, Run: r.run, Percent: 50})
	}
	w.mostRows = max(w.mostRows, len(w.running)+len(w.ended))
	w.rows += len(report.Running) + len(report.Ended)
	w.m.PollAnswered(at(ms), at(p.sent), p.Poll, report, worker.Accepted)
}

func (w *smallTaskWorker) carryOut(ms int) {
	for {
		a := w.m.TakeActions()
		w.runEnds = append(w.runEnds, a.RunEnds...)
		for _, p := range a.Polls {
			w.polls = append(w.polls, openPoll{Poll: p, sent: ms, answered: ms + pollAnswerTime + int(p.Wait.Milliseconds())})
		}
		w.mostOpen = max(w.mostOpen, len(w.polls))
		for _, s := range a.Starts {
			w.starts[s.Task.String()]++
			w.running[s.Task.String()] = smallRun{run: s.Run, began: ms}
			w.m.Started(at(ms), s, worker.Answer{Verdict: worker.Accepted, Clock: w.clock(ms)})
		}
		if len(a.Starts)+len(a.Stops) == 0 {
			return
		}
		for _, s := range a.Stops {
			delete(w.running, s.Task)
			w.m.Stopped(at(ms), s, worker.Answer{Verdict: worker.Accepted, Clock: w.clock(ms)})
		}
	}
}

// smallTaskJob returns a job whose tasks take a thousandth of a core each.
func smallTaskJob(number int) work.Job {
	return work.Job{
		ID: work.ID(fmt.Sprintf("%016x", number)), Pool: pool, Attempts: 2, Stretch: 1000, Target: time.Hour,
		Steps: []work.Step{{Count: smallTasksPerJob, Size: work.Size{Cores: 1}, Estimate: 50 * time.Millisecond}},
	}
}

// TestPollsOfAWorkerWithManyRunsAreBounded lets one worker run hundreds of tasks that take far
// longer than estimated, so that each of them is checked again and again.
func TestPollsOfAWorkerWithManyRunsAreBounded(t *testing.T) {
	const seconds = 2
	is := is.New(t)
	w := newSmallTaskWorker(1000 * (seconds + 1))
	for i := range smallTaskJobs {
		w.m.Submit(at(2), dispatch.Submission{Host: hostA, Call: uint64(i), Remaining: time.Hour, Final: true, Job: smallTaskJob(i)})
	}
	for ms := 2; ms < 1000*seconds; ms++ {
		w.advance(ms)
	}
	t.Logf("at most %d open polls; %d rows listed", w.mostOpen, w.rows)
	is.True(w.mostOpen <= maxOpenPolls)
	is.True(w.rows <= seconds*maxRowsPerSecond)
}

// TestUnstoredEndsHoldStartsBack lets the tasks of stored jobs end while nothing is stored: the
// worker lists all these ends again with each answer.
func TestUnstoredEndsHoldStartsBack(t *testing.T) {
	const seconds = 3
	is := is.New(t)
	w := newSmallTaskWorker(50)
	for i := range smallTaskJobs {
		w.m.AddStored(at(2), smallTaskJob(i), work.Progress{}, false)
	}
	for ms := 2; ms < 1000*seconds; ms++ {
		w.advance(ms)
	}
	t.Logf("at most %d runs and ends; %d open polls; %d rows listed", w.mostRows, w.mostOpen, w.rows)
	is.True(w.mostRows <= maxListedRuns)
	is.True(w.mostOpen <= maxOpenPolls)
	is.True(w.rows <= seconds*maxRowsPerSecond)

	// Once the table stores again, each task runs, and once.
	for ms := 1000 * seconds; ms < 60_000 && len(w.starts) < smallTaskJobs*smallTasksPerJob; ms++ {
		for _, e := range w.runEnds {
			w.m.EndStored(at(ms), e.End)
		}
		w.runEnds = nil
		w.advance(ms)
	}
	is.Equal(len(w.starts), smallTaskJobs*smallTasksPerJob)
	for task, starts := range w.starts {
		if starts != 1 {
			t.Errorf("%s started %d times", task, starts)
		}
	}
}

// TestStartsThatAreNotAnsweredAreBounded submits more small tasks than may be started at once. All
// workers have room for them.
func TestStartsThatAreNotAnsweredAreBounded(t *testing.T) {
	const workers, jobs, maxOpenStarts = 40, 5, 512
	is := is.New(t)
	var ids []worker.ID
	for i := range workers {
		ids = append(ids, worker.ID(fmt.Sprintf("w%d", i)))
	}
	m := readyMachine(ids...)
	for i := range jobs {
		j := smallTaskJob(i)
		j.Steps[0].Count = 1300
		m.Submit(at(2), dispatch.Submission{Host: hostA, Call: uint64(i), Remaining: time.Hour, Final: true, Job: j})
	}
	starts, most, ms := 0, 0, 2
	for open := m.TakeActions().Starts; len(open) > 0; ms++ {
		starts, most = starts+1, max(most, len(open))
		m.Started(at(ms/100), open[0], worker.Answer{Verdict: worker.Accepted, Clock: worker.Clock(1000 + ms/100)})
		open = append(open[1:], m.TakeActions().Starts...)
	}
	t.Logf("%d starts, at most %d not answered", starts, most)
	is.True(most <= maxOpenStarts)
	is.Equal(starts, jobs*1300)
}
