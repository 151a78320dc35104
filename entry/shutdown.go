package entry

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/gin-gonic/gin"
	"go.uber.org/fx"

	"github.com/catkingap/catkingap/drain"
	"github.com/catkingap/catkingap/httplimit"
	"github.com/catkingap/catkingap/intake"
	"github.com/catkingap/catkingap/outcome"
	"github.com/catkingap/catkingap/settings"
	"github.com/catkingap/catkingap/timeline"
)

const (
	// shutdownPollInterval is the pause between polls of the open work.
	shutdownPollInterval = 10 * time.Millisecond
	// cutAnswerTime bounds the time to answer requests that were cut.
	cutAnswerTime = time.Second
	// closeTime bounds the time to close the last connections.
	closeTime = time.Second
)

// Shutdown ends the daemon gracefully. It tracks the open requests.
type Shutdown struct {
	settings settings.Settings
	ring     *timeline.Ring
	logger   log.Interface
	handover *Handover

	// unready is true from the start of the shutdown.
	unready atomic.Bool
	// open is the number of requests to services and submissions of jobs
	// that have no answer yet.
	open atomic.Int64
	// jobsOpen is true while jobs of this host have not ended.
	jobsOpen atomic.Bool
	forced   atomic.Bool
	// base is the context of all requests. It is cancelled with errCut when
	// the shutdown runs out of time.
	base context.Context
	cut  context.CancelCauseFunc
}

func newShutdown(s settings.Settings, r *timeline.Ring, l log.Interface, h *Handover) *Shutdown {
	base, cut := context.WithCancelCause(context.Background())
	return &Shutdown{settings: s, ring: r, logger: l, handover: h, base: base, cut: cut}
}

// Force ends a running shutdown immediately: open requests are answered with
// their present state.
func (s *Shutdown) Force() { s.forced.Store(true) }

// run executes the steps of a shutdown. It returns an *outcome.Error if open
// requests were cut.
func (s *Shutdown) run(server *httplimit.Server, l Listeners, jobs *Jobs) error {
	now := time.Now()
	s.ring.Add(now, timeline.Event{Kind: timeline.ShutdownBegun})
	machine := drain.NewShutdown(now, drain.ShutdownConfig{
		UnreadyTime: time.Duration(s.settings.UnreadyTime),
		Timeout:     time.Duration(s.settings.ShutdownTimeout),
		AnswerTime:  cutAnswerTime,
	})
	ticker := time.NewTicker(shutdownPollInterval)
	defer ticker.Stop()
	for {
		switch step := machine.Next(time.Now(), s.openWork(), s.forced.Load()); step {
		case "":
			<-ticker.C
		case drain.Exit:
			s.logStep(step)
			s.close(server)
			return s.result(machine)
		default:
			s.logStep(step)
			s.execute(step, l, jobs)
		}
	}
}

func (s *Shutdown) execute(step drain.Step, l Listeners, jobs *Jobs) {
	switch step {
	case drain.BecomeUnready:
		s.unready.Store(true)
	case drain.HandOver:
		l.API.Close()
		s.handover.begin()
		s.watchJobs(jobs)
	case drain.Cut:
		s.cut(errCut)
	}
}

func (s *Shutdown) logStep(step drain.Step) {
	s.logger.WithFields(log.Fields{"step": string(step), "open": s.openWork(), "handedOver": s.handover.Count()}).Info("shutdown")
}

// openWork returns the number of requests and jobs that have not ended.
func (s *Shutdown) openWork() int {
	open := int(s.open.Load())
	if s.jobsOpen.Load() {
		open++
	}
	return open
}

// watchJobs clears jobsOpen when the last job has ended.
func (s *Shutdown) watchJobs(jobs *Jobs) {
	s.jobsOpen.Store(true)
	go func() {
		if jobs.wait(s.base) == nil {
			s.jobsOpen.Store(false)
		}
	}()
}

// close closes the connections once they carry no more requests.
func (s *Shutdown) close(server *httplimit.Server) {
	s.cut(errCut)
	ctx, cancel := context.WithTimeout(context.Background(), closeTime)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}

func (s *Shutdown) result(machine *drain.Shutdown) error {
	if !machine.WasCut() {
		return nil
	}
	return outcome.New(outcome.Unknown, outcome.Shutdown, "the shutdown ran out of time and cut open requests")
}

// middleware counts open work, and asks callers to open new connections while
// the host shuts down.
func (s *Shutdown) middleware(c *gin.Context) {
	c.Writer = httplimit.NewClosingWriter(c.Writer, s.unready.Load)
	if c.FullPath() != pathJobs && c.FullPath() != pathCall {
		ctx, cancel := context.WithCancel(c.Request.Context())
		defer cancel()
		// Watches end when the handover begins and the listener closes.
		defer context.AfterFunc(s.handover.begun, cancel)()
		c.Request = c.Request.WithContext(ctx)
		c.Next()
		return
	}
	s.open.Add(1)
	defer s.open.Add(-1)
	c.Next()
}

// refusal returns why no more submissions are accepted, or nil.
func (s *Shutdown) refusal() *outcome.Error {
	if s.handover.begun.Err() == nil {
		return nil
	}
	return outcome.New(outcome.NotRun, outcome.Shutdown, "the entry host shuts down").WithRetryAfter(shutdownRetryDelay)
}

// runAPI serves the API and shuts it down gracefully.
func runAPI(lc fx.Lifecycle, l Listeners, api *API, jobs *Jobs, shutdown *Shutdown) {
	shutdown.handover.register(api.services)
	memory := httplimit.SetMemory(intake.Bytes(api.settings.Limits.MemoryMB) << 20)
	server := httplimit.New(httplimit.Config{
		Handler: api.Handler(), Logger: shutdown.logger, HeaderTimeout: headerReadTimeout, BodyTimeout: bodyReadTimeout, IdleTimeout: callerIdleTimeout,
		Budget:      intake.NewBudget(memory, intake.Bytes(api.settings.Limits.BodyBytes)),
		Connections: allotment(api.settings).Callers,
		BaseContext: func(net.Listener) context.Context { return shutdown.base },
	})
	server.Publish(api.metrics.set)
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			shutdown.ring.Add(time.Now(), timeline.Event{Kind: timeline.Started})
			shutdown.logger.WithFields(log.Fields{"api": l.API.Addr().String(), "peer": l.Peer.Addr().String()}).Info("listening")
			go func() { _ = server.Serve(l.API) }()
			return nil
		},
		OnStop: func(context.Context) error { return shutdown.run(server, l, jobs) },
	})
}
