package entry

import (
	"io"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/gin-gonic/gin"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/outcome"
	"github.com/catkingap/catkingap/settings"
	"github.com/catkingap/catkingap/timeline"
)

// The gin context keys of values that handlers set for the middleware.
const (
	contextJob     = "job"
	contextOutcome = "outcome"
)

// newLogger returns a logger that writes JSON lines. Bodies, headers and queries
// of requests must never be logged.
func newLogger(w io.Writer, s settings.Settings) (log.Interface, error) {
	level, err := log.ParseLevel(s.LogLevel)
	if err != nil {
		return nil, err
	}
	logger := &log.Logger{Handler: json.New(w), Level: level}
	return logger.WithFields(log.Fields{"host": string(s.Host), "dataCentre": string(s.DataCentre)}), nil
}

// eventLevels are the levels at which events of the timeline are logged.
// Other events are not logged.
var eventLevels = map[timeline.Kind]log.Level{
	timeline.Adopted:         log.InfoLevel,
	timeline.Cancelled:       log.DebugLevel,
	timeline.Claimed:         log.DebugLevel,
	timeline.ConfigApplied:   log.InfoLevel,
	timeline.ConfigWritten:   log.InfoLevel,
	timeline.Drained:         log.InfoLevel,
	timeline.Ejected:         log.WarnLevel,
	timeline.HostLost:        log.WarnLevel,
	timeline.HostSeen:        log.InfoLevel,
	timeline.IntentWritten:   log.DebugLevel,
	timeline.LeaseLost:       log.WarnLevel,
	timeline.LinkLost:        log.WarnLevel,
	timeline.OutcomeRecorded: log.DebugLevel,
	timeline.Returned:        log.InfoLevel,
	timeline.ShutdownBegun:   log.InfoLevel,
	timeline.Started:         log.InfoLevel,
	timeline.StoreLost:       log.DebugLevel,
	timeline.StoreSeen:       log.InfoLevel,
}

// logEvents returns an observer of the timeline that logs events. It omits the
// details, because they may contain text from a backend server.
func logEvents(logger log.Interface, s settings.Settings) func(timeline.Event) {
	// newLogger has validated the level.
	least, _ := log.ParseLevel(s.LogLevel)
	return func(e timeline.Event) {
		level, ok := eventLevels[e.Kind]
		if ok && level >= least {
			logAt(logger.WithFields(eventFields(e)), level, "event")
		}
	}
}

// eventFields returns the non-zero fields of an event.
func eventFields(e timeline.Event) log.Fields {
	fields := log.Fields{"kind": string(e.Kind), "sequence": e.Sequence}
	texts := map[string]string{
		"job": string(e.Job), "request": string(e.Request), "server": string(e.Server),
		"service": string(e.Service), "team": string(e.Team),
	}
	for name, text := range texts {
		if text != "" {
			fields[name] = text
		}
	}
	if e.Epoch > 0 {
		fields["epoch"] = int64(e.Epoch)
	}
	if e.Revision > 0 {
		fields["revision"] = int64(e.Revision)
	}
	if e.Task != nil {
		fields["task"] = int(*e.Task)
	}
	return fields
}

// requestLog is middleware that logs each request with its outcome.
type requestLog struct {
	logger log.Interface
	ids    *ident.Sequence
}

func newRequestLog(l log.Interface) *requestLog {
	return &requestLog{logger: l, ids: ident.NewSequence()}
}

// log logs one request. Successful requests are logged at level debug, so that
// the log does not grow with the load.
func (r *requestLog) log(c *gin.Context) {
	start := time.Now()
	id := r.ids.Next()
	c.Next()
	fields := log.Fields{
		"bytesIn": c.Request.ContentLength, "bytesOut": c.Writer.Size(), "method": c.Request.Method,
		"milliseconds": time.Since(start).Milliseconds(), "request": string(id), "route": c.FullPath(), "status": c.Writer.Status(),
	}
	if name := c.Param("name"); name != "" {
		fields["name"] = name
	}
	if j, ok := c.Value(contextJob).(ident.Job); ok {
		fields["team"], fields["job"] = string(j.Team), string(j.Key)
	}
	e := outcomeOf(c)
	if e != nil {
		fields["outcome"], fields["code"] = string(e.Kind), string(e.Code)
	}
	logAt(r.logger.WithFields(fields), requestLevel(e), "request")
}

// requestLevel returns the level for a request that ended with e.
func requestLevel(e *outcome.Error) log.Level {
	switch {
	case e == nil:
		return log.DebugLevel
	case e.Code == outcome.Busy, e.Code == outcome.QueueFull, e.Code == outcome.QuotaExceeded:
		// Overload must not flood the log; the metrics count these requests.
		return log.DebugLevel
	case e.Kind == outcome.Unknown:
		return log.WarnLevel
	}
	return log.InfoLevel
}

func logAt(entry *log.Entry, level log.Level, message string) {
	switch level {
	case log.DebugLevel:
		entry.Debug(message)
	case log.WarnLevel:
		entry.Warn(message)
	default:
		entry.Info(message)
	}
}

// outcomeOf returns the error that a handler responded with, or nil.
func outcomeOf(c *gin.Context) *outcome.Error {
	e, _ := c.Value(contextOutcome).(*outcome.Error)
	return e
}
