package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/lag"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/ownership"
)

// TestContactsDoNotGrowWithTheFleet checks that the number of contacts that a host makes
// per second stays bounded as the number of hosts in five data centres grows.
func TestContactsDoNotGrowWithTheFleet(t *testing.T) {
	const centres, bound = 5, 60.0 // per second; at most 27 with candidates and 24 with owners of other data centres
	now := time.Now()
	rates := map[int]float64{}
	for _, each := range []int{3, 10, 30, 100, 1000} {
		is := is.New(t)
		d := &Directory{hosts: map[ident.Host]ownership.Host{}, owners: map[ident.DataCentre]ownership.Owner{}}
		for i := range centres {
			centre := ident.DataCentre(fmt.Sprint("coast-", i))
			for k := range each {
				h := ownership.Host{Name: ident.Host(fmt.Sprint(centre, ".", k)), DataCentre: centre, Address: fmt.Sprint(centre, ":", k), Cores: float64(k % 3)}
				d.hosts[h.Name] = h
			}
			d.owners[centre] = ownership.Owner{DataCentre: centre, Host: "owner", Address: fmt.Sprint(centre, ":", 2)}
		}
		c := &Contacts{self: d.hosts["coast-0.0"], directory: d, contacts: map[ident.Host]ownership.Contact{}, runningSince: now}
		c.hasLiveCalls = func(d ident.DataCentre) bool { return d == "coast-1" }
		for _, interval := range c.targets(now) {
			rates[each] += float64(time.Second) / float64(interval)
		}
		t.Logf("%d hosts: %.1f contacts a second", centres*each, rates[each])
		is.True(rates[each] <= bound)
	}
}

// TestTurns simulates contacts with a host that answers, falls silent and answers again.
func TestTurns(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	s := &contactSchedule{}
	contacts := func(seconds int, answers bool) int {
		count := 0
		for range int(time.Duration(seconds) * time.Second / contactInterval) {
			now = now.Add(contactInterval)
			if s.tryBegin(now, contactInterval) {
				count++
				s.end(answers)
			}
		}
		return count
	}
	is.Equal(contacts(3, true), 20)
	is.True(contacts(30, false) <= 30)
	is.True(contacts(3, true) >= 9) // The first answer ends the backoff.
	is.True(s.tryBegin(now.Add(contactInterval), contactInterval))
	is.True(!s.tryBegin(now.Add(2*contactInterval), contactInterval)) // One contact at a time.
}

// TestPatienceOfAnOwnerThatIsBehind checks that the timeout of an order grows with the
// owner's lag, within bounds.
func TestPatienceOfAnOwnerThatIsBehind(t *testing.T) {
	is := is.New(t)
	w := &Owner{ctx: t.Context()}
	left := func() time.Duration {
		ctx, cancel := w.orderContext(orderTimeout)
		defer cancel()
		deadline, ok := ctx.Deadline()
		is.True(ok)
		return time.Until(deadline)
	}
	is.True(left() <= orderTimeout)
	now := time.Now()
	fields, behind := w.noteLag(now, 50*time.Millisecond)
	is.True(behind)
	is.Equal(fields["delayMs"], int64(50))
	is.True(left() > 200*time.Millisecond)
	_, behind = w.noteLag(now.Add(tickInterval), 50*time.Millisecond)
	is.True(!behind) // One line a second.
	w.noteLag(now, time.Minute)
	is.True(left() <= orderTimeout+lag.MaxAllowance)
	for range 100 {
		w.noteLag(now, 0)
	}
	is.True(left() <= orderTimeout+time.Millisecond)
}
