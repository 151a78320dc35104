package sharing

import (
	"cmp"
	"slices"
	"time"

	"github.com/catkingap/catkingap/work"
)

// periodLength is the resolution of expected waits. It is small against the
// objective of 156 ms of the shortest jobs.
const periodLength = 20 * time.Millisecond

// period is a short span of time in which jobs of one priority must start.
type period struct {
	priority work.Priority
	number   int64
}

func periodOf(p work.Priority, latestStart time.Time) period {
	return period{priority: p, number: latestStart.UnixNano() / int64(periodLength)}
}

func (p period) compare(o period) int {
	return cmp.Or(cmp.Compare(p.priority, o.priority), cmp.Compare(p.number, o.number))
}

// backlog counts the cores that waiting tasks need, by the period in which their jobs
// must start.
type backlog struct {
	total   int
	entries []backlogEntry
}

type backlogEntry struct {
	period period
	cores  int
}

// add changes the number of cores that tasks of a period need.
func (b *backlog) add(p period, change int) {
	if change == 0 {
		return
	}
	b.total += change
	i, found := slices.BinarySearchFunc(b.entries, p, func(e backlogEntry, p period) int { return e.period.compare(p) })
	if !found {
		b.entries = slices.Insert(b.entries, i, backlogEntry{period: p, cores: change})
		return
	}
	if b.entries[i].cores += change; b.entries[i].cores == 0 {
		b.entries = slices.Delete(b.entries, i, i+1)
	}
}

// ahead returns the approximate number of cores that tasks need which come before those of
// a period.
func (b *backlog) ahead(p period) int {
	cores := 0
	for _, e := range b.entries {
		if e.period.compare(p) >= 0 {
			break
		}
		cores += e.cores
	}
	return cores
}
