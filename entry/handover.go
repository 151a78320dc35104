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
	// offerTimeout bounds the time in which another host must say that it
	// takes requests.
	offerTimeout = 500 * time.Millisecond
	// handoverMargin is taken off the time of a request that is handed over,
	// so that the other host's answer comes before its deadline here.
	handoverMargin = 5 * time.Millisecond
)

// HandoverOffer asks another host whether it takes requests.
type HandoverOffer struct {
	From ident.Host `msgpack:"from"`
}

// HandoverAccepted answers a HandoverOffer.
type HandoverAccepted struct {
	Accepted bool `msgpack:"accepted"`
}

// HandedOver answers a Call that was handed over.
type HandedOver struct {
	Answer  []byte         `msgpack:"answer"`
	Failure *outcome.Error `msgpack:"failure"`
}

// Handover gives requests that were not sent to other entry hosts while this
// one shuts down, and takes theirs.
type Handover struct {
	identity  Identity
	directory *Directory
	links     *peer.Links
	// begun ends when requests are to be handed over.
	begun context.Context
	begin context.CancelFunc
	count atomic.Int64
	turn  atomic.Int64

	asked  sync.Once
	takers []storage.Member
}

func newHandover(i Identity, d *Directory, l *peer.Links) *Handover {
	begun, begin := context.WithCancel(context.Background())
	return &Handover{identity: i, directory: d, links: l, begun: begun, begin: begin}
}

// Count returns the number of requests that other hosts took.
func (h *Handover) Count() int64 { return h.count.Load() }

// register registers the requests that other hosts hand over.
func (h *Handover) register(s *Services) {
	peer.Handle(h.links, kindHandoverOffer, func(context.Context, HandoverOffer) (HandoverAccepted, error) {
		return HandoverAccepted{Accepted: h.begun.Err() == nil}, nil
	})
	peer.Handle(h.links, kindHandover, func(ctx context.Context, c Call) (HandedOver, error) {
		if h.begun.Err() != nil {
			return HandedOver{Failure: outcome.New(outcome.NotRun, outcome.Shutdown, "the entry host shuts down").After(shutdownRetry)}, nil
		}
		answer, failure := s.Do(ctx, c)
		return HandedOver{Answer: answer, Failure: failure}, nil
	})
}

// pass hands a request over. It returns false if it is to run here. Tries
// learns whether a host may have run it.
func (h *Handover) pass(ctx context.Context, c Call, tries *claim) (result, bool) {
	for _, m := range h.hosts() {
		deadline, _ := ctx.Deadline()
		c.Timeout = time.Until(deadline) - handoverMargin
		if c.Timeout <= 0 {
			return result{failure: ended(ctx, false)}, true
		}
		answer, err := peer.Call[Call, HandedOver](ctx, h.links, m.Address, kindHandover, c)
		r, taken := judgeHandover(ctx, c, answer, err)
		if taken {
			h.count.Add(1)
			return r, true
		}
		if err != nil && !isUnreachable(err) {
			tries.markRan()
		}
	}
	return result{}, false
}

// judgeHandover returns the result of a request that another host may have
// taken, or false if it provably did not run there or may run again.
func judgeHandover(ctx context.Context, c Call, answer HandedOver, err error) (result, bool) {
	if err == nil {
		refused := answer.Failure != nil && answer.Failure.Kind == outcome.NotRun
		return result{answer: answer.Answer, failure: answer.Failure}, !refused || ctx.Err() != nil
	}
	if ctx.Err() != nil {
		return result{failure: ended(ctx, !isUnreachable(err))}, true
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

// hosts returns the hosts that take requests, those of the own data centre
// first, each request beginning with another one.
func (h *Handover) hosts() []storage.Member {
	h.asked.Do(h.ask)
	var near, far []storage.Member
	for _, m := range h.takers {
		if m.DataCentre == h.identity.DataCentre {
			near = append(near, m)
		} else {
			far = append(far, m)
		}
	}
	turn := int(h.turn.Add(1))
	return append(rotate(near, turn), rotate(far, turn)...)
}

// ask asks each other host once whether it takes requests. A request that went
// to a host that is gone but still listed would end unknown.
func (h *Handover) ask() {
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
			h.takers = append(h.takers, m)
		})
	}
	group.Wait()
}

// rotate returns list beginning with the element number turn, counted round.
func rotate[T any](list []T, turn int) []T {
	if len(list) == 0 {
		return nil
	}
	turn %= len(list)
	return append(append(make([]T, 0, len(list)), list[turn:]...), list[:turn]...)
}
