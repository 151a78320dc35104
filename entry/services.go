package entry

import (
	"context"
	"time"

	"github.com/catkingap/catkingap/backend"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/outcome"
	"github.com/catkingap/catkingap/resource"
)

const (
	// defaultTimeout bounds a request whose caller and service give no
	// timeout.
	defaultTimeout = 30 * time.Second
	// maxTimeout bounds the timeout that a caller may ask for.
	maxTimeout = 10 * time.Minute
	// deadlineRetryDelay and shutdownRetryDelay are the times after which a
	// caller may retry.
	deadlineRetryDelay = time.Second
	shutdownRetryDelay = time.Second
)

// ServiceRequest is one request to a service.
type ServiceRequest struct {
	Team       ident.Team    `msgpack:"team"`
	Service    ident.Service `msgpack:"service"`
	Idempotent bool          `msgpack:"idempotent"`
	Timeout    time.Duration `msgpack:"timeout"`
	Body       []byte        `msgpack:"body"`
}

// Services handles requests to services.
type Services struct {
	store      *resource.Store
	dispatcher *Dispatcher
	handover   *Handover
}

func newServices(s *resource.Store, d *Dispatcher, h *Handover) *Services {
	return &Services{store: s, dispatcher: d, handover: h}
}

// Do sends a request and waits for the whole answer. A request that is not
// idempotent is sent on a connection at most once. When ctx ends, the request
// ends at once: as not run if it was not sent, else as unknown.
func (s *Services) Do(ctx context.Context, c ServiceRequest) ([]byte, *outcome.Error) {
	spec, ok := s.store.Snapshot().Services[c.Service]
	if !ok {
		return nil, outcome.New(outcome.NotRun, outcome.NotFound, "there is no service %s", c.Service)
	}
	ctx, cancel := context.WithTimeout(ctx, timeoutOf(c, spec))
	defer cancel()
	if s.handover.begun.Err() != nil {
		return s.handOver(ctx, c, spec)
	}
	q := s.submit(ctx, c, spec, false)
	select {
	case r := <-q.done:
		return r.answer, r.failure
	case <-ctx.Done():
	case <-s.handover.begun.Done():
		if q.work.withdraw() {
			answer, failure := s.handOver(ctx, c, spec)
			return answer, q.work.correctKind(failure)
		}
	}
	return s.wait(ctx, q)
}

// handOver hands a request that was not sent over to another entry host. If none
// accepts it, it runs here.
func (s *Services) handOver(ctx context.Context, c ServiceRequest, spec resource.ServiceSpec) ([]byte, *outcome.Error) {
	var attempt claim
	r, taken := s.handover.forward(ctx, c, &attempt)
	if !taken {
		r.answer, r.failure = s.wait(ctx, s.submit(ctx, c, spec, true))
	}
	return r.answer, attempt.correctKind(r.failure)
}

// timeoutOf returns the timeout of a request.
func timeoutOf(c ServiceRequest, spec resource.ServiceSpec) time.Duration {
	if c.Timeout > 0 {
		return c.Timeout
	}
	if spec.TimeoutMS > 0 {
		return time.Duration(spec.TimeoutMS) * time.Millisecond
	}
	return defaultTimeout
}

// submitted is a request that is queued or being sent.
type submitted struct {
	work *Work
	done chan result
}

// result is how a request ended.
type result struct {
	answer  []byte
	failure *outcome.Error
}

// submit queues a request. If the dispatcher rejects it, the refusal is the
// result. The parameter admitted is true if the request was queued before.
func (s *Services) submit(ctx context.Context, c ServiceRequest, spec resource.ServiceSpec, admitted bool) *submitted {
	q := &submitted{done: make(chan result, 1)}
	q.work = &Work{
		Context:    ctx,
		Team:       c.Team,
		Pool:       spec.Pool,
		Service:    c.Service,
		Idempotent: c.Idempotent,
		Hedge:      spec.Hedge,
		Admitted:   admitted,
		Body:       c.Body,
		Done:       func(r backend.Reply, e *outcome.Error) { q.done <- result{r.Body, e} },
	}
	if refusal := s.dispatcher.Submit(q.work); refusal != nil {
		q.done <- result{nil, refusal}
	}
	return q
}

// wait waits for the result of a request or the end of ctx.
func (s *Services) wait(ctx context.Context, q *submitted) ([]byte, *outcome.Error) {
	select {
	case r := <-q.done:
		return r.answer, r.failure
	case <-ctx.Done():
	}
	if q.work.withdraw() {
		return nil, q.work.correctKind(outcomeOfContext(ctx, false))
	}
	select {
	case r := <-q.done:
		return r.answer, r.failure
	default:
		return nil, outcomeOfContext(ctx, true)
	}
}
