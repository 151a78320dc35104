package intake_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/intake"
)

const (
	// smallestMemory and smallestDescriptors are those of the smallest machine.
	smallestMemory      = intake.Bytes(144 << 20)
	smallestDescriptors = intake.Descriptors(3075)
	budget              = smallestMemory / 4
	bodyBytes           = intake.Bytes(262_144)
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func ignore() {}

// TestLargestLegalRequests guards against a budget that is too small for callers inside the
// limits: one body of 4 MiB with 10,000 steps, and 45 bodies of 262,144 bytes with 1,300 steps
// at once, on the smallest machine.
func TestLargestLegalRequests(t *testing.T) {
	// A body is held twice while it is joined. A decoded step with 8 fields is charged 400 bytes.
	const copies, decodedStep = 2, 400
	for name, row := range map[string]struct {
		callers int
		size    intake.Bytes
		steps   intake.Bytes
	}{
		"largest without a setting": {callers: 1, size: 4 << 20, steps: 10_000},
		"largest by the settings":   {callers: 45, size: bodyBytes, steps: 1300},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := intake.NewBudget(smallestMemory, bodyBytes)
			for range row.callers {
				c := b.Open(start, func() { t.Error("a legal request was shed") })
				is.True(c.Grow(start, copies*row.size+decodedStep*row.steps))
				is.True(c.Finish())
				is.True(c.Grow(start, -row.size))
			}
		})
	}
}

// TestStalledBodiesMakeRoom guards against a crowd of stalled bodies that locks out
// others: they are shed, the ones that have held most for longest first.
func TestStalledBodiesMakeRoom(t *testing.T) {
	is := is.New(t)
	b := intake.NewBudget(smallestMemory, bodyBytes)
	var shed []int
	claims := map[int]*intake.Claim{}
	for i := range int(budget / bodyBytes) {
		claims[i] = b.Open(start.Add(time.Duration(i)*time.Millisecond), func() { shed = append(shed, i) })
		// Those that do not fit are refused before any is shed only if they are the worst.
		if !claims[i].Grow(start.Add(time.Second), bodyBytes) {
			claims[i].Release()
		}
	}
	shed = nil
	now := start.Add(time.Minute)
	c := b.Open(now, func() { t.Error("the new request was shed") })
	is.True(c.Grow(now, bodyBytes+1))
	is.True(len(shed) <= 2)
	is.True(c.Finish())
	for _, i := range shed {
		is.True(claims[i].WasShed())
		is.True(!claims[i].Grow(now, 1)) // A shed request must not grow.
		is.True(!claims[i].Finish())
	}
	for _, x := range claims {
		x.Release()
		x.Release() // A second release must not give back twice.
	}
	is.Equal(b.Used(), bodyBytes+1)
	c.Release()
	is.Equal(b.Used(), intake.Bytes(0))
}

// TestLargeRequestsLeaveRoomForSmall guards against a few large jobs that wait legally and lock
// out the small ones.
func TestLargeRequestsLeaveRoomForSmall(t *testing.T) {
	is := is.New(t)
	b := intake.NewBudget(smallestMemory, bodyBytes)
	large := 0
	for ; ; large++ {
		c := b.Open(start, ignore)
		if !c.Grow(start, 2<<20) {
			c.Release()
			break
		}
		is.True(c.Finish())
	}
	is.Equal(large, 13)
	small := b.Open(start, ignore)
	is.True(small.Grow(start, 4<<10))
	is.True(small.Finish())
}

// TestShedRequestsThatDoNotEnd guards against memory without bound if shed requests do not
// give back what they hold.
func TestShedRequestsThatDoNotEnd(t *testing.T) {
	is := is.New(t)
	b := intake.NewBudget(smallestMemory, bodyBytes)
	for i := range 2000 {
		b.Open(start.Add(time.Duration(i)*time.Second), ignore).Grow(start.Add(time.Duration(i+1)*time.Second), bodyBytes)
	}
	is.True(b.Used() <= budget+budget/4)
}

// TestConnectionsAtTheLimit checks which connection is closed for a new one.
func TestConnectionsAtTheLimit(t *testing.T) {
	type open struct {
		name  string
		phase intake.Phase
		since time.Duration
	}
	for name, row := range map[string]struct {
		open   []open
		victim string
	}{
		"room": {open: []open{{"a", intake.Receiving, 0}, {"b", intake.Idle, 0}}},
		"oldest that receives": {
			open: []open{{"a", intake.Idle, 0}, {"b", intake.Receiving, time.Second}, {"c", intake.Receiving, 0}, {"d", intake.Serving, 0}}, victim: "c",
		},
		"longest idle": {
			open: []open{{"a", intake.Idle, time.Second}, {"b", intake.Idle, 0}, {"c", intake.Serving, 0}, {"d", intake.Serving, 0}}, victim: "b",
		},
		"just idle": {
			open:   []open{{"a", intake.Idle, 9500 * time.Millisecond}, {"b", intake.Idle, 9500 * time.Millisecond}, {"c", intake.Serving, 0}, {"d", intake.Serving, 0}},
			victim: "new",
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := intake.NewConnections[string](4)
			for _, o := range row.open {
				_, found := s.Add(start.Add(o.since), o.name)
				is.True(!found)
				is.True(s.Set(start.Add(o.since), o.name, o.phase))
			}
			victim, found := s.Add(start.Add(10*time.Second), "new")
			is.Equal(found, row.victim != "")
			is.Equal(victim, row.victim)
			is.True(s.Open() <= 4)
		})
	}
}

// TestServingLeavesConnections guards against requests that wait for their answers on all
// connections, so that nobody else is answered.
func TestServingLeavesConnections(t *testing.T) {
	is := is.New(t)
	s := intake.NewConnections[int](8)
	for i := range 8 {
		s.Add(start, i)
		is.Equal(s.Set(start, i, intake.Serving), i < 6)
	}
	s.Remove(0)
	is.True(s.Set(start, 7, intake.Serving))
	is.True(!s.Set(start, 0, intake.Serving)) // Removed connections must not count.
}

// TestAllotment checks that ordinary callers never meet the limit of connections, and that
// the accepted connections leave half of the descriptors to those that the host opens.
func TestAllotment(t *testing.T) {
	is := is.New(t)
	a := intake.Allot(smallestDescriptors, smallestMemory)
	is.Equal(a, intake.Allotment{Callers: 576, Peers: 359, Readiness: 32, Metrics: 32})
	is.True(a.Callers > 45)
	is.True(a.Callers+a.Peers+a.Readiness+a.Metrics <= int(smallestDescriptors)/2)
}

// TestJobsOfOtherHosts guards against an owner that large jobs through many hosts take past
// its memory, and against the refusal of usual jobs.
func TestJobsOfOtherHosts(t *testing.T) {
	is := is.New(t)
	b := intake.NewJobBudget(smallestMemory)
	var releases []func()
	for {
		release, ok := b.Admit(start, 2<<20)
		if !ok {
			break
		}
		releases = append(releases, release)
	}
	is.Equal(len(releases), 6)
	_, ok := b.Admit(start, 4<<10)
	is.True(ok)
	releases[0]()
	_, ok = b.Admit(start, 2<<20)
	is.True(ok)
	_, ok = intake.NewJobBudget(0).Admit(start, 1<<40)
	is.True(ok)
}

// TestStoredJobsLeaveRoomForOthers guards against stored jobs, of which there are many, that take
// the whole budget.
func TestStoredJobsLeaveRoomForOthers(t *testing.T) {
	const weight = 16 << 10
	is := is.New(t)
	b := intake.NewJobBudget(smallestMemory)
	s := b.OpenStored(start)
	stored := 0
	for s.TryAdd(start, weight) {
		stored++
	}
	is.True(stored >= 800)
	release, ok := b.Admit(start, weight)
	is.True(ok)
	release()
	s.Set(weight)
	is.Equal(b.Used(), intake.Bytes(weight))
	is.True(s.TryAdd(start, weight))
	s.Set(1 << 30) // The jobs of an earlier owner are taken over whatever they take.
	is.True(!s.TryAdd(start, weight))
	s.Close()
	is.Equal(b.Used(), intake.Bytes(0))
	is.True(intake.NewJobBudget(0).OpenStored(start).TryAdd(start, 1<<40))
}

// TestLargeJobsAreOfferedOnlyWhereTheyFit checks to which ownerships a job may be offered.
func TestLargeJobsAreOfferedOnlyWhereTheyFit(t *testing.T) {
	const usual, large = 16 << 10, 5 << 20
	free := func(used intake.Bytes) intake.FreeMemory {
		b := intake.NewJobBudget(smallestMemory)
		b.OpenStored(start).Set(used)
		return b.Free()
	}
	for name, row := range map[string]struct {
		free   intake.FreeMemory
		weight intake.Bytes
		want   bool
	}{
		"large, in calm":             {free: free(0), weight: large, want: true},
		"large, little is left":      {free: free(12 << 20), weight: large},
		"large, nothing is left":     {free: free(20 << 20), weight: large},
		"usual, nothing is left":     {free: free(20 << 20), weight: usual, want: true},
		"large, no bound or unknown": {free: intake.NewJobBudget(0).Free(), weight: large, want: true},
	} {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(row.free.Fits(row.weight), row.want) })
	}
}
