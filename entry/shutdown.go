package entry

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/gin-gonic/gin"
	"go.uber.org/fx"

	"github.com/catkingap/catkingap/drain"
	"github.com/catkingap/catkingap/outcome"
	"github.com/catkingap/catkingap/settings"
	"github.com/catkingap/catkingap/timeline"
)

const (
	// shutdownTick is the pause between looks at what is still open.
	shutdownTick = 10 * time.Millisecond
	// cutAnswerTime bounds the time in which cut requests are answered.
	cutAnswerTime = time.Second
	// closeTime bounds the time to close the last connections.
	closeTime = time.Second
)

// Shutdown ends the daemon gracefully. It knows the open requests.
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
	// jobs is true while jobs of this host have not ended.
	jobs   atomic.Bool
	forced atomic.Bool
	// base is the context of all requests. It is cancelled with errCut when
	// the shutdown runs out of time.
	base context.Context
	cut  context.CancelCauseFunc
}

func newShutdown(s settings.Settings, r *timeline.Ring, l log.Interface, h *Handover) *Shutdown {
	base, cut := context.WithCancelCause(context.Background())
	return &Shutdown{settings: s, ring: r, logger: l, handover: h, base: base, cut: cut}
}

// Force ends a shutdown under way at once: open requests are answered with
// what is known of them.
func (s *Shutdown) Force() { s.forced.Store(true) }

// run executes the steps of a shutdown. It returns an *outcome.Error if open
// requests were cut.
func (s *Shutdown) run(server *http.Server, l Listeners, jobs *Jobs) error {
	now := time.Now()
	s.ring.Add(now, timeline.Event{Kind: timeline.ShutdownBegun})
	machine := drain.NewShutdown(now, drain.ShutdownConfig{
		UnreadyTime: time.Duration(s.settings.UnreadyTime),
		Timeout:     time.Duration(s.settings.ShutdownTimeout),
		AnswerTime:  cutAnswerTime,
	})
	ticker := time.NewTicker(shutdownTick)
	defer ticker.Stop()
	for {
		switch step := machine.Next(time.Now(), s.openWork(), s.forced.Load()); step {
		case "":
			<-ticker.C
		case drain.Exit:
			s.note(step)
			s.close(server)
			return s.result(machine)
		default:
			s.note(step)
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

func (s *Shutdown) note(step drain.Step) {
	s.logger.WithFields(log.Fields{"step": string(step), "open": s.openWork(), "handedOver": s.handover.Count()}).Info("shutdown")
}

// openWork returns the number of requests and jobs that have not ended.
func (s *Shutdown) openWork() int {
	open := int(s.open.Load())
	if s.jobs.Load() {
		open++
	}
	return open
}

// watchJobs notes when the last job has ended.
func (s *Shutdown) watchJobs(jobs *Jobs) {
	s.jobs.Store(true)
	go func() {
		if jobs.wait(s.base) == nil {
			s.jobs.Store(false)
		}
	}()
}

// close closes the connections, which carry no more requests.
func (s *Shutdown) close(server *http.Server) {
	s.cut(errCut)
	ctx, cancel := context.WithTimeout(context.Background(), closeTime)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		server.Close()
	}
}

func (s *Shutdown) result(machine *drain.Shutdown) error {
	if !machine.WasCut() {
		return nil
	}
	return outcome.New(outcome.Unknown, outcome.Shutdown, "the shutdown ran out of time and cut open requests")
}

// stage is the stage of the API that counts open work, and asks callers of a
// host that shuts down to open new connections.
func (s *Shutdown) stage(c *gin.Context) {
	c.Writer = &closingWriter{ResponseWriter: c.Writer, unready: &s.unready}
	if c.FullPath() != pathJobs && c.FullPath() != pathCall {
		ctx, cancel := context.WithCancel(c.Request.Context())
		defer cancel()
		// Watches end when the host stops accepting.
		defer context.AfterFunc(s.handover.begun, cancel)()
		c.Request = c.Request.WithContext(ctx)
		c.Next()
		return
	}
	s.open.Add(1)
	defer s.open.Add(-1)
	c.Next()
}

// refusal returns why no submission is taken any more, or nil.
func (s *Shutdown) refusal() *outcome.Error {
	if s.handover.begun.Err() == nil {
		return nil
	}
	return outcome.New(outcome.NotRun, outcome.Shutdown, "the entry host shuts down").After(shutdownRetry)
}

// closingWriter writes answers with "Connection: close" while the host shuts
// down. A server that closed idle connections instead would cut requests that
// are on their way.
type closingWriter struct {
	gin.ResponseWriter
	unready *atomic.Bool
}

func (w *closingWriter) prepare() {
	if w.unready.Load() && !w.Written() {
		w.Header().Set("Connection", "close")
	}
}

// Write implements http.ResponseWriter.
func (w *closingWriter) Write(data []byte) (int, error) {
	w.prepare()
	return w.ResponseWriter.Write(data)
}

// WriteString implements gin.ResponseWriter.
func (w *closingWriter) WriteString(text string) (int, error) {
	w.prepare()
	return w.ResponseWriter.WriteString(text)
}

// WriteHeaderNow implements gin.ResponseWriter.
func (w *closingWriter) WriteHeaderNow() {
	w.prepare()
	w.ResponseWriter.WriteHeaderNow()
}

// Flush implements http.Flusher.
func (w *closingWriter) Flush() {
	w.prepare()
	w.ResponseWriter.Flush()
}

// runAPI serves callers and operators, and shuts down gracefully.
func runAPI(life fx.Lifecycle, l Listeners, api *API, jobs *Jobs, shutdown *Shutdown) {
	shutdown.handover.register(api.services)
	server := &http.Server{
		Handler:           api.Handler(),
		ReadHeaderTimeout: headerReadTimeout,
		BaseContext:       func(net.Listener) context.Context { return shutdown.base },
	}
	life.Append(fx.Hook{
		OnStart: func(context.Context) error {
			shutdown.ring.Add(time.Now(), timeline.Event{Kind: timeline.Started})
			shutdown.logger.WithFields(log.Fields{"api": l.API.Addr().String(), "peer": l.Peer.Addr().String()}).Info("listening")
			go func() { _ = server.Serve(l.API) }()
			return nil
		},
		OnStop: func(context.Context) error { return shutdown.run(server, l, jobs) },
	})
}
