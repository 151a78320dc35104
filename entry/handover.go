package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/outcome"
	"github.com/catkingap/catkingap/peer"
	"github.com/catkingap/catkingap/storage"
)

const (
	kindHandover      = peer.Kind("handover")
	kindHandoverOffer = peer.Kind("handoverOffer")
	// offerTimeout bounds the time in which another host must answer that it
	// accepts requests.
	offerTimeout = 500 * time.Millisecond
	// handoverMargin is subtracted from the timeout of a request that is handed
	// over, so that the other host's answer arrives before the deadline here.
	handoverMargin = 5 * time.Millisecond
)

// HandoverOffer asks another host whether it accepts requests.
type HandoverOffer struct {
	From ident.Host `msgpack:"from"`
}

// HandoverAccepted answers a HandoverOffer.
type HandoverAccepted struct {
	Accepted bool `msgpack:"accepted"`
}

// HandoverAnswer answers a ServiceRequest that was handed over.
type HandoverAnswer struct {
	Answer  []byte         `msgpack:"answer"`
	Failure *outcome.Error `msgpack:"failure"`
}

// Handover hands requests that were not sent yet over to other entry hosts
// while this host shuts down, and accepts those of other hosts.
type Handover struct {
	identity  Identity
	directory *Directory
	links     *peer.Links
	// begun is cancelled by begin, when the handover of requests starts.
	begun    context.Context
	begin    context.CancelFunc
	count    atomic.Int64
	requests atomic.Int64

	offerOnce      sync.Once
	acceptingHosts []storage.Member
}

func newHandover(i Identity, d *Directory, l *peer.Links) *Handover {
	begun, begin := context.WithCancel(context.Background())
	return &Handover{identity: i, directory: d, links: l, begun: begun, begin: begin}
}

// Count returns the number of requests that other hosts accepted.
func (h *Handover) Count() int64 { return h.count.Load() }

// register registers the handlers for requests that other hosts hand over.
func (h *Handover) register(s *Services) {
	peer.Handle(h.links, kindHandoverOffer, func(context.Context, HandoverOffer) (HandoverAccepted, error) {
		return HandoverAccepted{Accepted: h.begun.Err() == nil}, nil
	})
	peer.Handle(h.links, kindHandover, func(ctx context.Context, c ServiceRequest) (HandoverAnswer, error) {
		if h.begun.Err() != nil {
			return HandoverAnswer{Failure: outcome.New(outcome.NotRun, outcome.Shutdown, "the entry host shuts down").WithRetryAfter(shutdownRetryDelay)}, nil
		}
		answer, failure := s.Do(ctx, c)
		return HandoverAnswer{Answer: answer, Failure: failure}, nil
	})
}

// forward hands a request over to another host. It returns false if the request
// must run here. It calls attempt.markRan if another host may have run the
// request.
func (h *Handover) forward(ctx context.Context, c ServiceRequest, attempt *claim) (result, bool) {
	for _, m := range h.targets() {
		deadline, _ := ctx.Deadline()
		c.Timeout = time.Until(deadline) - handoverMargin
		if c.Timeout <= 0 {
			return result{failure: outcomeOfContext(ctx, false)}, true
		}
		answer, err := peer.Call[ServiceRequest, HandoverAnswer](ctx, h.links, m.Address, kindHandover, c)
		r, taken := handoverResult(ctx, c, answer, err)
		if taken {
			h.count.Add(1)
			return r, true
		}
		if err != nil && !isUnreachable(err) {
			attempt.markRan()
		}
	}
	return result{}, false
}

// handoverResult returns the result of a request that another host may have
// accepted, or false if it provably did not run there or may run again.
func handoverResult(ctx context.Context, c ServiceRequest, answer HandoverAnswer, err error) (result, bool) {
	if err == nil {
		refused := answer.Failure != nil && answer.Failure.Kind == outcome.NotRun
		return result{answer: answer.Answer, failure: answer.Failure}, !refused || ctx.Err() != nil
	}
	if ctx.Err() != nil {
		return result{failure: outcomeOfContext(ctx, !isUnreachable(err))}, true
	}
	if isUnreachable(err) || c.Idempotent {
		return result{}, false
	}
	return result{failure: outcome.New(outcome.Unknown, outcome.LinkLost, "handed over: %v", err)}, true
}

func isUnreachable(err error) bool {
	var unreachable *peer.UnreachableError
	return errors.As(err, &unreachable)
}

// targets returns the hosts that accept requests, those of the own data centre
// first. The first host rotates from request to request.
func (h *Handover) targets() []storage.Member {
	h.offerOnce.Do(h.offer)
	var near, far []storage.Member
	for _, m := range h.acceptingHosts {
		if m.DataCentre == h.identity.DataCentre {
			near = append(near, m)
		} else {
			far = append(far, m)
		}
	}
	offset := int(h.requests.Add(1))
	return append(rotate(near, offset), rotate(far, offset)...)
}

// offer asks each other host whether it accepts requests. Without this check, a
// request to a host that is gone but still listed would end as unknown.
func (h *Handover) offer() {
	ctx, cancel := context.WithTimeout(context.Background(), offerTimeout)
	defer cancel()
	var group sync.WaitGroup
	var mutex sync.Mutex
	for _, m := range h.directory.Hosts() {
		if m.ID == string(h.identity.Host) || m.State == storage.Leaving {
			continue
		}
		group.Go(func() {
			answer, err := peer.Call[HandoverOffer, HandoverAccepted](ctx, h.links, m.Address, kindHandoverOffer, HandoverOffer{From: h.identity.Host})
			if err != nil || !answer.Accepted {
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			h.acceptingHosts = append(h.acceptingHosts, m)
		})
	}
	group.Wait()
}

// rotate returns a copy of list rotated to the left by offset, modulo its length.
func rotate[T any](list []T, offset int) []T {
	if len(list) == 0 {
		return nil
	}
	offset %= len(list)
	return append(append(make([]T, 0, len(list)), list[offset:]...), list[:offset]...)
}
