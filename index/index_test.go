package index

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_800_000_000, 0)

// TestSorted inserts and removes random items and compares the list with a slice that
// is sorted after each change.
func TestSorted(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	s := NewSorted(cmp.Compare[int])
	var want []int
	for range 2000 {
		x := random.IntN(100)
		if i := slices.Index(want, x); i >= 0 {
			want = slices.Delete(want, i, i+1)
			is.True(s.Remove(x))
		} else {
			want = append(want, x)
			is.True(!s.Remove(x))
			s.Insert(x)
		}
		slices.Sort(want)
		is.True(slices.Equal(s.Items(), want))
		is.Equal(s.CountBefore(50), len(slices.DeleteFunc(slices.Clone(want), func(x int) bool { return x >= 50 })))
	}
}

// TestAlarms sets and clears random timers and compares the set with a map.
func TestAlarms(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(2, 1))
	a := NewTimers[int]()
	want := map[int]time.Time{}
	now := start
	for range 2000 {
		now = now.Add(time.Millisecond)
		x := random.IntN(50)
		if random.IntN(4) == 0 {
			a.Clear(x)
			delete(want, x)
		} else {
			at := now.Add(time.Duration(random.IntN(100)) * time.Millisecond)
			a.Set(x, at)
			want[x] = at
		}
		is.Equal(a.Len(), len(want))
		for {
			x, ok := a.PopDue(now)
			if !ok {
				break
			}
			is.True(!want[x].After(now))
			delete(want, x)
		}
		for _, at := range want {
			is.True(at.After(now))
		}
	}
}

// TestRecent checks that a key that is put twice expires by the second time.
func TestRecent(t *testing.T) {
	is := is.New(t)
	r := NewRecent[string, int](time.Second)
	r.Put(start, "a", 1)
	r.Put(start, "b", 2)
	r.Put(start.Add(time.Second), "a", 3)
	r.Expire(start.Add(time.Second))
	is.Equal(r.Len(), 2)
	r.Expire(start.Add(1500 * time.Millisecond))
	_, ok := r.Get("b")
	is.True(!ok)
	x, ok := r.Get("a")
	is.True(ok)
	is.Equal(x, 3)
	r.Expire(start.Add(3 * time.Second))
	is.Equal(r.Len(), 0)
}

// TestEntry checks that an entry is created once and returned afterwards.
func TestEntry(t *testing.T) {
	is := is.New(t)
	entries := map[string]*int{}
	*GetOrCreate(entries, "a") = 7
	is.Equal(*GetOrCreate(entries, "a"), 7)
	is.Equal(*GetOrCreate(entries, "b"), 0)
	is.Equal(len(entries), 2)
}
