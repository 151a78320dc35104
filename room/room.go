// Package room finds workers with enough free capacity for a task: by pool and
// label, by speed, and by how little capacity would remain. It has no side effects.
package room

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/index"
	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

const (
	// similarSpeed is the ratio of run times below which two workers count as
	// equally fast.
	similarSpeed = 1.15
	// MaxLogSlowdown is the largest absolute value of LogSlowdown.
	MaxLogSlowdown = 2.5
	// classes is the number of speed classes.
	classes = 1 + 2*18
)

// SpeedClass is a class of workers of similar speed. Class 0 is the fastest.
type SpeedClass int

// ClassOf returns the class of a worker, given the logarithm of its slowdown.
func ClassOf(logSlowdown float64) SpeedClass {
	middle := classes / 2
	c := middle + int(math.Floor(logSlowdown/math.Log(similarSpeed)))
	return SpeedClass(min(max(c, 0), classes-1))
}

// LowestSlowdown returns the lower bound of the slowdown of the class's workers. The
// slowdown of a worker is the ratio of the run time of tasks to their estimate.
func (c SpeedClass) LowestSlowdown() float64 { return lowestSlowdowns[c] }

var lowestSlowdowns = func() [classes]float64 {
	var f [classes]float64
	for c := 1; c < classes; c++ {
		f[c] = math.Pow(similarSpeed, float64(c-classes/2))
	}
	return f
}()

// Worker is an entry of an Index. Item is the worker that it represents.
type Worker[T any] struct {
	Item   T
	ID     worker.ID
	Pool   ident.Pool
	Labels []string
	Free   work.Size
	// LogSlowdown is the logarithm of the slowdown, which is the ratio of the run time
	// of tasks to their estimate. A larger value means a slower worker.
	LogSlowdown float64

	class SpeedClass
}

// Index finds workers by their free capacity.
type Index[T any] struct {
	lists  map[key]*List[T]
	sorted map[ident.Pool]*index.Sorted[*Worker[T]]
}

// key selects the workers of a pool that have a label. All workers have the empty
// label.
type key struct {
	pool  ident.Pool
	label string
}

// NewIndex returns an index without workers.
func NewIndex[T any]() *Index[T] {
	return &Index[T]{lists: map[key]*List[T]{}, sorted: map[ident.Pool]*index.Sorted[*Worker[T]]{}}
}

// Add adds a worker, which must not be changed until it is removed.
func (x *Index[T]) Add(w *Worker[T]) {
	w.class = ClassOf(w.LogSlowdown)
	x.list(w.Pool, "").insert(w)
	for _, l := range w.Labels {
		x.list(w.Pool, l).insert(w)
	}
	speeds := x.sorted[w.Pool]
	if speeds == nil {
		s := index.NewSorted(bySlowdown[T])
		speeds = &s
		x.sorted[w.Pool] = speeds
	}
	speeds.Insert(w)
}

// Remove removes a worker.
func (x *Index[T]) Remove(w *Worker[T]) {
	x.list(w.Pool, "").remove(w)
	for _, l := range w.Labels {
		x.list(w.Pool, l).remove(w)
	}
	x.sorted[w.Pool].Remove(w)
}

// LowestLogSlowdown returns the LogSlowdown of the fastest worker of a pool. If there
// is none, it returns 0, as if tasks took as long as estimated: workers may not have
// answered a new owner yet.
func (x *Index[T]) LowestLogSlowdown(p ident.Pool) float64 {
	if s := x.sorted[p]; s != nil && s.Len() > 0 {
		return s.Items()[0].LogSlowdown
	}
	return 0
}

// List returns the workers of a pool that have a label. All workers have the empty
// label. It returns nil if there never was such a worker.
func (x *Index[T]) List(p ident.Pool, label string) *List[T] { return x.lists[key{p, label}] }

func (x *Index[T]) list(p ident.Pool, label string) *List[T] {
	k := key{p, label}
	l := x.lists[k]
	if l == nil {
		l = &List[T]{}
		for c := range l.classes {
			l.classes[c] = index.NewSorted(byFreeCores[T])
		}
		x.lists[k] = l
	}
	return l
}

// List holds workers by class, sorted by their free cores within a class.
type List[T any] struct {
	classes [classes]index.Sorted[*Worker[T]]
}

func (l *List[T]) insert(w *Worker[T]) { l.classes[w.class].Insert(w) }

func (l *List[T]) remove(w *Worker[T]) { l.classes[w.class].Remove(w) }

// Largest returns the largest number of free cores of a worker.
func (l *List[T]) Largest() int {
	if l == nil {
		return 0
	}
	largest := 0
	for c := range l.classes {
		largest = max(largest, l.largest(SpeedClass(c)))
	}
	return largest
}

func (l *List[T]) largest(c SpeedClass) int {
	if items := l.classes[c].Items(); len(items) > 0 {
		return items[len(items)-1].Free.Cores
	}
	return 0
}

// Count returns how many tasks of a size fit into the free capacity of the workers.
// It stops counting at enough.
func (l *List[T]) Count(s work.Size, enough int) int {
	count := 0
	for c := SpeedClass(0); l != nil && c < classes && count < enough; c++ {
		for _, w := range l.fitting(c, s.Cores) {
			if count += TaskCount(w.Free, s); count >= enough {
				break
			}
		}
	}
	return count
}

// unlimitedTasks is more tasks than one worker runs. It is the capacity for tasks
// without a size.
const unlimitedTasks = 1000

// TaskCount returns how many tasks of size s fit into the free resources of a worker.
func TaskCount(free, s work.Size) int {
	count := unlimitedTasks
	for _, d := range [...][2]int{{free.Cores, s.Cores}, {free.Memory, s.Memory}, {free.Graphics, s.Graphics}} {
		if d[1] > 0 {
			count = min(count, d[0]/d[1])
		}
	}
	return max(0, count)
}

// fitting returns the workers of a class with enough free cores, in ascending order
// of their free cores.
func (l *List[T]) fitting(c SpeedClass, cores int) []*Worker[T] {
	if l.largest(c) < cores {
		return nil
	}
	items := l.classes[c].Items()
	i, _ := slices.BinarySearchFunc(items, cores, func(w *Worker[T], cores int) int { return cmp.Compare(w.Free.Cores, cores) })
	return items[i:]
}

// Search calls take for the workers with enough free capacity for a task until it
// returns true, and returns that worker. It goes class by class, from the fastest one,
// and by ascending free cores within a class. It skips classes for which within returns
// false.
func (l *List[T]) Search(s work.Size, within func(SpeedClass) bool, take func(T) bool) (T, bool) {
	var none T
	if l == nil {
		return none, false
	}
	for c := range SpeedClass(classes) {
		if l.largest(c) < s.Cores || !within(c) {
			continue
		}
		for _, w := range l.fitting(c, s.Cores) {
			if s.Fits(w.Free) && take(w.Item) {
				return w.Item, true
			}
		}
	}
	return none, false
}

func byFreeCores[T any](a, b *Worker[T]) int {
	if c := cmp.Compare(a.Free.Cores, b.Free.Cores); c != 0 {
		return c
	}
	return strings.Compare(string(a.ID), string(b.ID))
}

func bySlowdown[T any](a, b *Worker[T]) int {
	if c := cmp.Compare(a.LogSlowdown, b.LogSlowdown); c != 0 {
		return c
	}
	return strings.Compare(string(a.ID), string(b.ID))
}
