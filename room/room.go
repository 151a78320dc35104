// Package room finds workers with free room for a task: by pool and label, by
// how fast they are, and by how little room would be left. It is pure.
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
	// similarPace is the ratio of run times below which two workers count as
	// equally fast.
	similarPace = 1.15
	// MaxPace bounds the logarithm of the run time over the estimate, either
	// way.
	MaxPace = 2.5
	// classes is the number of classes of workers that are equally fast.
	classes = 1 + 2*18
)

// Class numbers the classes of workers from the fastest to the slowest.
type Class int

// ClassOf returns the class of a pace, which is the logarithm of the run time
// over the estimate.
func ClassOf(pace float64) Class {
	middle := classes / 2
	c := middle + int(math.Floor(pace/math.Log(similarPace)))
	return Class(min(max(c, 0), classes-1))
}

// Fastest returns the run time over the estimate that no worker of the class
// falls below.
func (c Class) Fastest() float64 { return fastest[c] }

var fastest = func() [classes]float64 {
	var f [classes]float64
	for c := 1; c < classes; c++ {
		f[c] = math.Pow(similarPace, float64(c-classes/2))
	}
	return f
}()

// Worker is what an Index knows of one worker. Item is what it stands for.
type Worker[T any] struct {
	Item   T
	ID     worker.ID
	Pool   ident.Pool
	Labels []string
	Free   work.Size
	// Pace is the logarithm of the run time over the estimate.
	Pace float64

	class Class
}

// Index finds workers by their free room.
type Index[T any] struct {
	lists map[key]*List[T]
	paces map[ident.Pool]*index.Sorted[*Worker[T]]
}

// key names the workers of a pool that have a label. All have the empty one.
type key struct {
	pool  ident.Pool
	label string
}

// NewIndex returns an index without workers.
func NewIndex[T any]() *Index[T] {
	return &Index[T]{lists: map[key]*List[T]{}, paces: map[ident.Pool]*index.Sorted[*Worker[T]]{}}
}

// Add takes a worker in. It must not be changed until it is removed.
func (x *Index[T]) Add(w *Worker[T]) {
	w.class = ClassOf(w.Pace)
	x.list(w.Pool, "").insert(w)
	for _, l := range w.Labels {
		x.list(w.Pool, l).insert(w)
	}
	paces := x.paces[w.Pool]
	if paces == nil {
		s := index.NewSorted(byPace[T])
		paces = &s
		x.paces[w.Pool] = paces
	}
	paces.Insert(w)
}

// Remove takes a worker out.
func (x *Index[T]) Remove(w *Worker[T]) {
	x.list(w.Pool, "").remove(w)
	for _, l := range w.Labels {
		x.list(w.Pool, l).remove(w)
	}
	x.paces[w.Pool].Remove(w)
}

// Pace returns the pace of the fastest worker of a pool, or that of the estimates if
// there is none: workers may not have answered a new owner yet.
func (x *Index[T]) Pace(p ident.Pool) float64 {
	if s := x.paces[p]; s != nil && s.Len() > 0 {
		return s.Items()[0].Pace
	}
	return 0
}

// List returns the workers of a pool that have a label. All have the empty one.
// It is nil if there never was one.
func (x *Index[T]) List(p ident.Pool, label string) *List[T] { return x.lists[key{p, label}] }

func (x *Index[T]) list(p ident.Pool, label string) *List[T] {
	k := key{p, label}
	l := x.lists[k]
	if l == nil {
		l = &List[T]{}
		for c := range l.classes {
			l.classes[c] = index.NewSorted(byRoom[T])
		}
		x.lists[k] = l
	}
	return l
}

// List holds workers by class, and those of a class by their free cores.
type List[T any] struct {
	classes [classes]index.Sorted[*Worker[T]]
}

func (l *List[T]) insert(w *Worker[T]) { l.classes[w.class].Insert(w) }

func (l *List[T]) remove(w *Worker[T]) { l.classes[w.class].Remove(w) }

// Largest returns the most cores that are free on one worker.
func (l *List[T]) Largest() int {
	if l == nil {
		return 0
	}
	largest := 0
	for c := range l.classes {
		largest = max(largest, l.largest(Class(c)))
	}
	return largest
}

func (l *List[T]) largest(c Class) int {
	if items := l.classes[c].Items(); len(items) > 0 {
		return items[len(items)-1].Free.Cores
	}
	return 0
}

// Count returns for how many tasks of a size there is room, which is not counted
// beyond enough.
func (l *List[T]) Count(s work.Size, enough int) int {
	count := 0
	for c := Class(0); l != nil && c < classes && count < enough; c++ {
		for _, w := range l.fitting(c, s.Cores) {
			if count += Fits(w.Free, s); count >= enough {
				break
			}
		}
	}
	return count
}

// manyTasks is more tasks than one worker runs: tasks of no size have that much
// room.
const manyTasks = 1000

// Fits returns for how many tasks of a size there is free room.
func Fits(free, s work.Size) int {
	count := manyTasks
	for _, d := range [...][2]int{{free.Cores, s.Cores}, {free.Memory, s.Memory}, {free.Graphics, s.Graphics}} {
		if d[1] > 0 {
			count = min(count, d[0]/d[1])
		}
	}
	return max(0, count)
}

// fitting returns the workers of a class with enough free cores, those with the
// least first.
func (l *List[T]) fitting(c Class, cores int) []*Worker[T] {
	if l.largest(c) < cores {
		return nil
	}
	items := l.classes[c].Items()
	i, _ := slices.BinarySearchFunc(items, cores, func(w *Worker[T], cores int) int { return cmp.Compare(w.Free.Cores, cores) })
	return items[i:]
}

// Search offers the workers with room for a task, class by class and those with
// the least room of a class first, until one is taken. Slowest tells to begin
// with the slowest class. Classes for which within returns false are passed
// over.
func (l *List[T]) Search(s work.Size, slowest bool, within func(Class) bool, take func(T) bool) (T, bool) {
	var none T
	if l == nil {
		return none, false
	}
	for i := range classes {
		c := Class(i)
		if slowest {
			c = Class(classes - 1 - i)
		}
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

func byRoom[T any](a, b *Worker[T]) int {
	if c := cmp.Compare(a.Free.Cores, b.Free.Cores); c != 0 {
		return c
	}
	return strings.Compare(string(a.ID), string(b.ID))
}

func byPace[T any](a, b *Worker[T]) int {
	if c := cmp.Compare(a.Pace, b.Pace); c != 0 {
		return c
	}
	return strings.Compare(string(a.ID), string(b.ID))
}
