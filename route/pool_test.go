package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/admission"
	"github.com/catkingap/catkingap/ejection"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/retry"
)

// newPool returns a pool of one host with servers of one slot each.
func newPool(servers int) *Pool[int] {
	half := func() float64 { return 0.5 }
	p := NewPool[int](Config{
		Queue:     admission.Config{Jitter: half},
		Retry:     retry.Config{Share: 0.1, Burst: 2, MinBackoff: tick, MaxBackoff: time.Second, Jitter: half},
		Ejection:  ejection.Config{MaxShare: 0.5, Failures: 3, MinProbe: time.Second, MaxProbe: time.Minute},
		Self:      Peer{Name: "host", DataCentre: "dc"},
		BusyPause: tick,
	})
	p.SetShares(1000, nil)
	var list []Server
	for i := range servers {
		list = append(list, Server{Name: ident.Server(fmt.Sprint("server-", i)), DataCentre: "dc", Slots: 1})
	}
	p.SetServers(list)
	return p
}

func (p *Pool[Item]) push(e admission.Entry[Item]) {
	e.Team = "a"
	p.queue.Push(start, &e)
}

func request(idempotent bool) admission.Entry[int] {
	return admission.Entry[int]{Flow: admission.Flow{Service: "call"}, Idempotent: idempotent, Hedge: true}
}

func TestWhatFollowsAnEnd(t *testing.T) {
	tests := map[string]struct {
		entry admission.Entry[int]
		end   End
		next  Next
	}{
		"answered":                    {request(false), End{Result: Answered, Took: time.Second}, Finish},
		"refused":                     {request(false), End{Result: Refused}, Queued},
		"unreachable":                 {request(false), End{Result: Unreachable}, Queued},
		"lost, not idempotent":        {request(false), End{Result: Lost}, Finish},
		"failed, not idempotent":      {request(false), End{Result: Failed}, Finish},
		"lost, idempotent":            {request(true), End{Result: Lost}, Queued},
		"failed, idempotent":          {request(true), End{Result: Failed}, Queued},
		"withdrawn":                   {request(true), End{Result: Withdrawn}, Finish},
		"refused after its deadline":  {admission.Entry[int]{Deadline: start}, End{Result: Refused}, Finish},
		"task of a job that was lost": {admission.Entry[int]{}, End{Result: Lost}, Finish},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPool(2)
			p.push(test.entry)
			b, ok := p.Bind(start)
			is.True(ok)
			is.Equal(p.Ended(start, b, test.end), test.next)
			later := start.Add(time.Second)
			_, again := p.Bind(later)
			is.Equal(again, test.next == Queued)
		})
	}
}

// TestRequestThatCrashesServersIsNotSentOn loses each server that gets a request, with a
// retry budget that is never spent.
func TestRequestThatCrashesServersIsNotSentOn(t *testing.T) {
	is := is.New(t)
	p := newPool(20)
	p.retryPolicies["a"] = retry.NewPolicy(retry.Config{Burst: 1000, MinBackoff: tick, MaxBackoff: time.Second, Jitter: func() float64 { return 0.5 }})
	p.push(request(true))
	lost := 0
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(100 * time.Millisecond) {
		b, ok := p.Bind(now)
		if !ok {
			continue
		}
		lost++
		if p.Ended(now, b, End{Result: Lost}) == Finish {
			break
		}
	}
	is.Equal(lost, 2)
}

func TestRefusingServerIsPaused(t *testing.T) {
	is := is.New(t)
	p := newPool(2)
	p.push(request(false))
	b, _ := p.Bind(start)
	p.Ended(start, b, End{Result: Refused})
	next, ok := p.Bind(start)
	is.True(ok)
	is.True(next.Server.Name != b.Server.Name)
	is.Equal(p.WakeTime(start), start.Add(tick))
}

func TestHedge(t *testing.T) {
	is := is.New(t)
	p := newPool(3)
	p.slowRunTime.Add(time.Second)
	p.push(request(true))
	first, _ := p.Bind(start)
	is.Equal(p.HedgeAfter(first.Entry), time.Second)
	second, ok := p.Hedge(start, first)
	is.True(ok)
	is.True(second.Server.Name != first.Server.Name)
	_, third := p.Hedge(start, first)
	is.True(!third) // There is never more than one second copy.
	is.Equal(p.Ended(start, second, End{Result: Answered, Took: time.Second}), Finish)
	is.Equal(p.Ended(start, first, End{Result: Lost}), Ignore)
	is.Equal(p.running, 0)
	is.Equal(len(p.copies)+len(p.answered), 0)

	p.push(request(true))
	first, _ = p.Bind(start)
	second, ok = p.Hedge(start, first)
	is.True(ok)
	is.Equal(p.Ended(start, first, End{Result: Failed}), Ignore) // The other copy may still answer.
	is.Equal(p.Ended(start, second, End{Result: Answered, Took: time.Second}), Finish)
	is.Equal(len(p.copies)+len(p.answered), 0)

	p.push(request(true))
	first, _ = p.Bind(start)
	_, ok = p.Hedge(start, first)
	is.True(!ok) // The budget of two retries is spent.

	p.push(request(false))
	b, _ := p.Bind(start)
	is.Equal(p.HedgeAfter(b.Entry), time.Duration(0)) // Only idempotent work is hedged.
}

func TestLeavingServerGetsNoWork(t *testing.T) {
	is := is.New(t)
	p := newPool(2)
	p.MarkLeaving("server-0")
	// The membership list does not yet show the server as leaving.
	p.SetServers([]Server{{Name: "server-0", DataCentre: "dc", Slots: 1}, {Name: "server-1", DataCentre: "dc", Slots: 1}})
	for range 2 {
		p.push(request(false))
	}
	b, ok := p.Bind(start)
	is.True(ok)
	is.Equal(b.Server.Name, ident.Server("server-1"))
	_, ok = p.Bind(start)
	is.True(!ok)
}

func TestFailingServerIsEjected(t *testing.T) {
	is := is.New(t)
	p := newPool(4)
	starts := 0
	for range 40 {
		p.push(request(false))
		b, ok := p.Bind(start)
		is.True(ok)
		if b.Server.Name == "server-0" {
			starts++
			p.Ended(start, b, End{Result: Failed, Took: time.Millisecond})
		} else {
			p.Ended(start, b, End{Result: Answered, Took: time.Second})
		}
	}
	is.Equal(starts, 3)
	is.Equal(p.Changes(), []ServerChange{{"server-0", ejection.Ejected}})
	is.Equal(p.Changes(), nil)
}

// TestServerThatIsBackGetsWork marks a server as leaving that the membership
// list already shows as leaving. It must get work as soon as the list shows it
// as back, without waiting for the mark to expire.
func TestServerThatIsBackGetsWork(t *testing.T) {
	is := is.New(t)
	p := newPool(1)
	server := Server{Name: "server-0", DataCentre: "dc", Slots: 1, Leaving: true}
	p.SetServers([]Server{server})
	p.MarkLeaving(server.Name)
	server.Leaving = false
	p.SetServers([]Server{server})
	p.push(request(false))
	_, ok := p.Bind(start)
	is.True(ok)
}

// TestServersThatLoseWorkDrawNoMore guards against servers that attract work
// because their slots are always free: two of three servers lose every task.
// Ejection is limited to one of them.
func TestServersThatLoseWorkDrawNoMore(t *testing.T) {
	tests := map[string]time.Duration{"at once": tick / 10, "after the timeout": 2 * time.Second}
	for name, took := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPool(3)
			now, lost := start, 0
			for range 200 {
				p.push(request(false))
				b, ok := p.Bind(now)
				for ; !ok; b, ok = p.Bind(now) {
					now = now.Add(tick)
				}
				end := End{Result: Answered, Took: 5 * tick}
				if b.Server.Name != "server-2" {
					end = End{Result: Lost, Took: took}
					lost++
				}
				now = now.Add(end.Took)
				p.Ended(now, b, end)
			}
			is.True(lost <= 40)
		})
	}
}
