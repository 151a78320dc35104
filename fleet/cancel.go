package fleet

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/catkingap/catkingap/dispatch"
	"github.com/catkingap/catkingap/ownership"
	"github.com/catkingap/catkingap/peer"
	"github.com/catkingap/catkingap/work"
)

// kindCancel is the call by which a host has the owners of another one end a job whose caller
// waits.
const kindCancel = peer.Kind("cancel")

// cancelTimeout bounds the call to one owner.
const cancelTimeout = 250 * time.Millisecond

// cancelRequest cancels a job that is not stored.
type cancelRequest struct {
	Job work.ID `msgpack:"job"`
}

// cancelReply tells whether an owner had the job.
type cancelReply struct {
	Known bool `msgpack:"known"`
}

// Cancel ends a job whose caller waits at all ownerships of this host. If it comes there later,
// it does not run. It returns true if one of them had the job.
func (o *Owners) Cancel(id work.ID) bool {
	known := false
	for _, x := range o.current() {
		x.handle(eventWithdraw, func(now time.Time, m *dispatch.Machine) {
			known = m.CancelWaiting(now, id) || known
		})
	}
	return known
}

// cancelWaiting ends a job whose caller waits at all owners that are heard. It returns an error
// if one of them did not answer.
func (s *Submitter) cancelWaiting(ctx context.Context, id work.ID) (bool, error) {
	known := s.owners.Cancel(id)
	asked := map[string]bool{}
	var failed error
	for _, o := range s.directory.Owners() {
		if o.Host == s.self.Name || asked[o.Address] || !s.isHeard(time.Now(), o) {
			continue
		}
		asked[o.Address] = true
		reply, err := s.cancelAt(ctx, o, id)
		known, failed = known || reply.Known, errors.CombineErrors(failed, err)
	}
	return known, failed
}

func (s *Submitter) cancelAt(ctx context.Context, o ownership.Owner, id work.ID) (cancelReply, error) {
	call, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	reply, err := peer.Call[cancelRequest, cancelReply](call, s.links, o.Address, kindCancel, cancelRequest{Job: id})
	return reply, errors.Wrapf(err, "cancel at the owner of %s", o.DataCentre)
}
