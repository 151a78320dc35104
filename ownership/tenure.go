package ownership

import (
	"time"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/worker"
)

const (
	// DoubtTime is how long an owner continues stored jobs without a confirmation that it was
	// not replaced. It tolerates one lost heartbeat a second.
	DoubtTime = 1800 * time.Millisecond
	// goneTime is how long a host of the data centre must have been silent while the table
	// confirmed the owner for its answers not to be needed later: it would have claimed the
	// workers.
	goneTime = 10 * time.Second
)

// Answer is the last answer of an owner.
type Answer struct {
	Token worker.Token
	// Heard is when the message was sent that it answered.
	Heard time.Time
	// Unconfirmed is true if that owner did not know whether it was replaced.
	Unconfirmed bool
}

// Silence returns for how long any host that can take the stored jobs of a data centre of this
// host has not answered: its other hosts, and the owners of the other data centres. Hosts that
// were silent for goneTime before confirmedAt do not count.
func (v *View) Silence(now time.Time, d ident.DataCentre, confirmedAt time.Time, answers map[ident.DataCentre]Answer) time.Duration {
	oldest := now
	for _, h := range v.Hosts {
		heard := v.Contacts[h.Name].Heard
		if h.DataCentre == d && h.Name != v.Self.Name && heard.Before(oldest) && confirmedAt.Sub(heard) < goneTime {
			oldest = heard
		}
	}
	for other, o := range v.Owners {
		if other == d || v.Self.Owns(o) {
			continue
		}
		heard := time.Time{}
		if a := answers[other]; a.Token == o.Token && !a.Unconfirmed {
			heard = a.Heard
		}
		if heard.Before(oldest) {
			oldest = heard
		}
	}
	return now.Sub(oldest)
}

// Owns returns true if an owner is this process.
func (h Host) Owns(o Owner) bool { return o.Host == h.Name && o.Boot == h.Boot }
