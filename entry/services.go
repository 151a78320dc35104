package entry

import (
	"context"
	"time"

	"github.com/catkingap/catkingap/backend"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/outcome"
	"github.com/catkingap/catkingap/resource"
)

// defaultTimeout bounds a request whose caller and service give no timeout.
const defaultTimeout = 30 * time.Second

// Call is one request to a service.
type Call struct {
	Team       ident.Team
	Service    ident.Service
	Idempotent bool
	Timeout    time.Duration
	Body       []byte
}

// Services takes requests to services.
type Services struct {
	store      *resource.Store
	dispatcher *Dispatcher
}

func newServices(s *resource.Store, d *Dispatcher) *Services {
	return &Services{store: s, dispatcher: d}
}

// Do sends a request and waits for the whole answer. A request that is not
// idempotent is put on a connection at most once.
func (s *Services) Do(ctx context.Context, c Call) ([]byte, *outcome.Error) {
	spec, ok := s.store.Snapshot().Services[c.Service]
	if !ok {
		return nil, outcome.New(outcome.NotRun, outcome.NotFound, "there is no service %s", c.Service)
	}
	timeout := c.Timeout
	if timeout <= 0 {
		timeout = time.Duration(spec.TimeoutMS) * time.Millisecond
	}
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	type result struct {
		reply   backend.Reply
		failure *outcome.Error
	}
	done := make(chan result, 1)
	refusal := s.dispatcher.Submit(&Work{
		Context:    ctx,
		Team:       c.Team,
		Pool:       spec.Pool,
		Service:    c.Service,
		Idempotent: c.Idempotent,
		Hedge:      spec.Hedge,
		Body:       c.Body,
		Done:       func(r backend.Reply, e *outcome.Error) { done <- result{r, e} },
	})
	if refusal != nil {
		return nil, refusal
	}
	r := <-done
	return r.reply.Body, r.failure
}
