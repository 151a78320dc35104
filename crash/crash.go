// Package crash keeps account of the workers that were lost under tasks. It decides
// whether a task may start again, and where: a task that crashes its workers must not
// reach one after another, and a task that only ran beside it must not be given up. It
// has no side effects.
package crash

import (
	"cmp"
	"slices"

	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

// Proof tells what is known about a worker that was lost.
type Proof int

// What can be known about a worker that was lost, from the weakest to the strongest.
const (
	// Presumed means that the worker is silent. It may be paused or cut off.
	Presumed Proof = iota
	// Gone means that the worker is no longer listed, without having answered again.
	Gone
	// Crashed means that another process has taken the place of the worker.
	Crashed
)

// Life identifies one incarnation of a worker.
type Life struct {
	Worker      worker.ID          `msgpack:"worker"`
	Incarnation worker.Incarnation `msgpack:"incarnation"`
}

// Loss is the loss of a worker under a task.
type Loss struct {
	Life  Life  `msgpack:"life"`
	Proof Proof `msgpack:"proof"`
	// Run is the run of the task that the worker was lost under.
	Run work.Run `msgpack:"run,omitempty"`
	// InTime is true if the worker is known to have crashed soon after it last answered.
	// Otherwise its runs may have ended before that.
	InTime bool `msgpack:"inTime,omitempty"`
	// Unconfirmed is true if the worker had not answered the start. It may not have reached
	// it.
	Unconfirmed bool `msgpack:"unconfirmed,omitempty"`
	// Alone is true if the worker ran no other task.
	Alone bool `msgpack:"alone,omitempty"`
	// Excused is true if a task of a queue that is known for crashes ran beside it.
	Excused bool `msgpack:"excused,omitempty"`
}

// History holds the losses under one task, in the order in which they became known.
type History []Loss

// Standing tells whether a task may start, and where.
type Standing int

// The standings of tasks.
const (
	// Clear means that the task may start on any worker.
	Clear Standing = iota
	// Suspect means that the task is better started on a worker that runs nothing else,
	// and never beside another suspect.
	Suspect
	// Isolated means that the task may start only on a worker that runs nothing else.
	Isolated
	// Held means that the task may not start before it is known what became of the
	// workers that were lost under it.
	Held
	// Condemned means that the task crashes its workers and is given up.
	Condemned
)

const (
	// maxCrashes is the number of workers that have crashed under a task when it is
	// given up, provided that it was alone on one of them.
	maxCrashes = 2
	// maxLosses is the number of workers that were lost in time and for good under a task
	// when it is given up in any case. maxLapses is the number of all that were lost for good
	// under its runs, and maxStarts that of all with starts that may not have reached them.
	maxLosses = 3
	maxLapses = 4
	maxStarts = 5
	// maxExcused is the number of excused losses from which a task is suspected all the
	// same.
	maxExcused = 2
)

// Standing returns the standing of a task with this history.
func (h History) Standing() Standing {
	blamed, excused, unconfirmed, final, inTime, crashed, alone := 0, 0, 0, 0, 0, 0, false
	for _, l := range h {
		switch {
		case l.Excused:
			excused++
			continue
		case l.Unconfirmed:
			if l.Proof != Presumed {
				unconfirmed++
			}
			continue
		}
		blamed++
		if l.Proof == Presumed {
			continue
		}
		final++
		if !l.InTime {
			continue
		}
		inTime++
		if l.Proof == Crashed {
			crashed++
			alone = alone || l.Alone
		}
	}
	switch {
	case crashed >= maxCrashes && alone, inTime >= maxLosses, final >= maxLapses, final+unconfirmed >= maxStarts:
		return Condemned
	case blamed >= maxCrashes && final < blamed:
		return Held
	case blamed >= maxCrashes, excused >= maxExcused:
		return Isolated
	case blamed > 0:
		return Suspect
	}
	return Clear
}

// Workers returns the workers that were lost.
func (h History) Workers() []worker.ID {
	ids := make([]worker.ID, 0, len(h))
	for _, l := range h {
		ids = append(ids, l.Life.Worker)
	}
	return ids
}

// merge returns the losses of both histories. Of each worker it keeps what is known for
// more certain.
func (h History) merge(x History) History {
	merged := slices.Clone(h)
	for _, l := range x {
		i := slices.IndexFunc(merged, func(m Loss) bool { return m.Life == l.Life })
		if i < 0 {
			merged = append(merged, l)
			continue
		}
		merged[i].Proof = max(merged[i].Proof, l.Proof)
		merged[i].Run = max(merged[i].Run, l.Run)
		merged[i].InTime = merged[i].InTime || l.InTime
		merged[i].Unconfirmed = merged[i].Unconfirmed && l.Unconfirmed
		merged[i].Alone = merged[i].Alone || l.Alone
		merged[i].Excused = merged[i].Excused && l.Excused
	}
	return merged
}

// Refutation tells that a loss is disproved: a later incarnation of the worker has listed the run.
type Refutation struct {
	Life Life     `msgpack:"life"`
	Run  work.Run `msgpack:"run"`
}

// without returns the losses that are not disproved.
func (h History) without(refuted []Refutation) History {
	return slices.DeleteFunc(slices.Clone(h), func(l Loss) bool {
		return slices.Contains(refuted, Refutation{Life: l.Life, Run: l.Run})
	})
}

// TaskLosses are the losses under one task.
type TaskLosses struct {
	Task   string  `msgpack:"task"`
	Losses History `msgpack:"losses"`
	// Refuted holds the losses that are disproved, for those who still know them.
	Refuted []Refutation `msgpack:"refuted,omitempty"`
}

// unite returns the elements of both lists.
func unite(a, b []Refutation) []Refutation {
	all := slices.Clone(a)
	for _, x := range b {
		if !slices.Contains(all, x) {
			all = append(all, x)
		}
	}
	return all
}

// sortTasks sorts losses by task.
func sortTasks(all []TaskLosses) {
	slices.SortFunc(all, func(a, b TaskLosses) int { return cmp.Compare(a.Task, b.Task) })
}
