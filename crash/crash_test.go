package crash_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/crash"
	"github.com/catkingap/catkingap/worker"
)

var begin = time.Unix(1_800_000_000, 0)

func loss(id worker.ID, p crash.Proof, alone bool) crash.Loss {
	return crash.Loss{Life: crash.Life{Worker: id, Incarnation: 1}, Proof: p, InTime: true, Alone: alone}
}

func lapse(id worker.ID) crash.Loss {
	return crash.Loss{Life: crash.Life{Worker: id, Incarnation: 1}, Proof: crash.Crashed, Alone: true}
}

func unreached(id worker.ID) crash.Loss {
	return crash.Loss{Life: crash.Life{Worker: id, Incarnation: 1}, Proof: crash.Crashed, Unconfirmed: true, Alone: true}
}

func excused(id worker.ID) crash.Loss {
	l := loss(id, crash.Crashed, false)
	l.Excused = true
	return l
}

func TestStanding(t *testing.T) {
	tests := map[string]struct {
		history  crash.History
		standing crash.Standing
	}{
		"no loss":                                 {nil, crash.Clear},
		"silent worker":                           {crash.History{loss("a", crash.Presumed, false)}, crash.Suspect},
		"crash beside others":                     {crash.History{loss("a", crash.Crashed, false)}, crash.Suspect},
		"crash alone":                             {crash.History{loss("a", crash.Crashed, true)}, crash.Suspect},
		"two silent workers":                      {crash.History{loss("a", crash.Presumed, true), loss("b", crash.Presumed, true)}, crash.Held},
		"crash and silent worker":                 {crash.History{loss("a", crash.Crashed, true), loss("b", crash.Presumed, true)}, crash.Held},
		"two crashes beside others":               {crash.History{loss("a", crash.Crashed, false), loss("b", crash.Crashed, false)}, crash.Isolated},
		"crash beside others, then alone":         {crash.History{loss("a", crash.Crashed, false), loss("b", crash.Crashed, true)}, crash.Condemned},
		"two workers are gone":                    {crash.History{loss("a", crash.Gone, true), loss("b", crash.Gone, true)}, crash.Isolated},
		"three workers are gone":                  {crash.History{loss("a", crash.Gone, true), loss("b", crash.Gone, true), loss("c", crash.Gone, true)}, crash.Condemned},
		"two lapses on workers that crashed":      {crash.History{lapse("a"), lapse("b")}, crash.Isolated},
		"three lapses on workers that crashed":    {crash.History{lapse("a"), lapse("b"), lapse("c")}, crash.Isolated},
		"four lapses on workers that crashed":     {crash.History{lapse("a"), lapse("b"), lapse("c"), lapse("d")}, crash.Condemned},
		"a lapse and a crash alone":               {crash.History{lapse("a"), loss("b", crash.Crashed, true)}, crash.Isolated},
		"four starts that may not have reached":   {crash.History{unreached("a"), unreached("b"), unreached("c"), unreached("d")}, crash.Clear},
		"five starts that may not have reached":   {crash.History{unreached("a"), unreached("b"), unreached("c"), unreached("d"), unreached("e")}, crash.Condemned},
		"beside a queue that crashes":             {crash.History{excused("a")}, crash.Clear},
		"beside it twice":                         {crash.History{excused("a"), excused("b")}, crash.Isolated},
		"beside it often":                         {crash.History{excused("a"), excused("b"), excused("c"), excused("d")}, crash.Isolated},
		"beside it, and alone on a silent worker": {crash.History{excused("a"), loss("b", crash.Presumed, true)}, crash.Suspect},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(test.history.Standing(), test.standing)
		})
	}
}

// lose records the presumed loss of a worker that ran the given tasks.
func lose(k *crash.Tracker, l crash.Life, tasks ...string) {
	for _, task := range tasks {
		k.Add(begin, crash.TaskLosses{Task: task, Losses: crash.History{{Life: l, Run: 1, InTime: true, Alone: len(tasks) == 1}}})
	}
}

func TestTracker(t *testing.T) {
	first, second := crash.Life{Worker: "a", Incarnation: 1}, crash.Life{Worker: "b", Incarnation: 1}
	tests := map[string]struct {
		do       func(k *crash.Tracker)
		standing crash.Standing
	}{
		"worker answers again": {
			do:       func(k *crash.Tracker) { k.Withdraw(begin, first) },
			standing: crash.Clear,
		},
		"another incarnation answers": {
			do:       func(k *crash.Tracker) { k.Withdraw(begin, crash.Life{Worker: "a", Incarnation: 2}) },
			standing: crash.Suspect,
		},
		"the next incarnation lists the run": {
			do: func(k *crash.Tracker) {
				k.Confirm(begin, first, crash.Crashed)
				k.Refute(begin, "j.0.0.0", 1, crash.Life{Worker: "a", Incarnation: 2})
			},
			standing: crash.Clear,
		},
		"the next incarnation lists a later run": {
			do:       func(k *crash.Tracker) { k.Refute(begin, "j.0.0.0", 2, crash.Life{Worker: "a", Incarnation: 2}) },
			standing: crash.Suspect,
		},
		"lost alone, and both crashed": {
			do: func(k *crash.Tracker) {
				lose(k, second, "j.0.0.0")
				k.Confirm(begin, first, crash.Crashed)
				k.Confirm(begin, second, crash.Crashed)
			},
			standing: crash.Condemned,
		},
		"lost alone, and one answers again": {
			do: func(k *crash.Tracker) {
				lose(k, second, "j.0.0.0")
				k.Confirm(begin, second, crash.Crashed)
				k.Withdraw(begin, first)
			},
			standing: crash.Suspect,
		},
		"known from another owner": {
			do: func(k *crash.Tracker) {
				k.Add(begin, crash.TaskLosses{Task: "j.0.0.0", Losses: crash.History{loss("a", crash.Crashed, false), loss("c", crash.Crashed, true)}})
			},
			standing: crash.Condemned,
		},
		"done": {
			do:       func(k *crash.Tracker) { k.Forget("j.0.0.0") },
			standing: crash.Clear,
		},
		"long ago": {
			do: func(k *crash.Tracker) {
				k.Expire(begin.Add(2*crash.Retention), func(string) bool { return false })
			},
			standing: crash.Clear,
		},
		"long ago, of a job that is open": {
			do: func(k *crash.Tracker) {
				k.Expire(begin.Add(2*crash.Retention), func(string) bool { return true })
			},
			standing: crash.Suspect,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			k := crash.NewTracker()
			lose(k, first, "j.0.0.0", "other.0.0.0")
			is.Equal(len(k.TakeChanges()), 2)
			test.do(k)
			is.Equal(k.Losses("j.0.0.0").Standing(), test.standing)
		})
	}
}

// TestBoard passes losses from one host to another, which keeps them for the job.
func TestBoard(t *testing.T) {
	is := is.New(t)
	own, other := crash.NewBoard(), crash.NewBoard()
	x := crash.TaskLosses{Task: "j.0.0.0", Losses: crash.History{loss("a", crash.Presumed, false)}}
	y := crash.TaskLosses{Task: "j.0.0.1", Losses: x.Losses}
	own.PutOwn(begin, []crash.TaskLosses{x, y})
	is.Equal(len(own.OfJob("j")), 2)
	other.Put(begin, own.News(begin.Add(500*time.Millisecond)))
	is.Equal(len(other.OfJob("j")), 2)
	is.Equal(len(other.News(begin)), 0)
	own.PutOwn(begin.Add(time.Second), []crash.TaskLosses{{Task: "j.0.0.0"}})
	other.Put(begin.Add(time.Second), own.News(begin.Add(1500*time.Millisecond)))
	is.Equal(len(other.OfJob("j")[1].Losses), 0) // The worker has answered again.
	is.Equal(len(own.News(begin.Add(3*time.Second))), 0)
	for range 1000 {
		own.PutOwn(begin.Add(4*time.Second), []crash.TaskLosses{x})
	}
	is.True(len(own.News(begin.Add(4*time.Second))) <= 64)
	other.Put(begin.Add(2*crash.Retention), nil)
	is.Equal(len(other.OfJob("j")), 0)
}
