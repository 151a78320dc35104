package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/outcome"
	"github.com/catkingap/catkingap/peer"
	"github.com/catkingap/catkingap/storage"
	"github.com/catkingap/catkingap/timeline"
)

const (
	kindTimelineFetch = peer.Kind("timelineFetch")
	// timelineTimeout bounds the wait for one host's events.
	timelineTimeout = 2 * time.Second
	// timelineEvents bounds the events in one answer of a host.
	timelineEvents = 20_000
	// timelineMargin widens the time span requested from a host, because its
	// clock offset is known only after it has answered.
	timelineMargin = time.Second
)

// TimelineFetch requests events from the ring of a host.
type TimelineFetch struct {
	Filter timeline.Filter `msgpack:"filter"`
	// Now is when the request was sent, on the requesting host's clock.
	Now time.Time `msgpack:"now"`
}

// TimelineEvents answers a TimelineFetch.
type TimelineEvents struct {
	// Now is when the answer was sent, on the answering host's clock.
	Now         time.Time        `msgpack:"now"`
	Overwritten uint64           `msgpack:"overwritten"`
	Omitted     int              `msgpack:"omitted"`
	Events      []timeline.Event `msgpack:"events"`
}

// Timelines collects the events of all entry hosts.
type Timelines struct {
	identity  Identity
	ring      *timeline.Ring
	directory *Directory
	links     *peer.Links
}

func newTimelines(i Identity, r *timeline.Ring, d *Directory, l *peer.Links) *Timelines {
	return &Timelines{identity: i, ring: r, directory: d, links: l}
}

func (t *Timelines) register(l *peer.Links) {
	peer.Handle(l, kindTimelineFetch, t.answer)
}

// answer returns the events of this host to another host.
func (t *Timelines) answer(_ context.Context, f TimelineFetch) (TimelineEvents, error) {
	now := time.Now()
	events := t.ring.Events(f.Filter.Shift(now.Sub(f.Now), timelineMargin))
	omitted := max(0, len(events)-timelineEvents)
	return TimelineEvents{Now: now, Overwritten: t.ring.Overwritten(), Omitted: omitted, Events: events[omitted:]}, nil
}

// Collect merges the events of this host and of all other entry hosts of the
// membership list. Sources that do not answer in time carry an error.
func (t *Timelines) Collect(ctx context.Context, f timeline.Filter) timeline.View {
	ctx, cancel := context.WithTimeout(ctx, timelineTimeout)
	defer cancel()
	var mutex sync.Mutex
	var waiting sync.WaitGroup
	sources := []timeline.Source{}
	add := func(s timeline.Source) {
		mutex.Lock()
		defer mutex.Unlock()
		sources = append(sources, s)
	}
	if f.Host == "" || f.Host == t.identity.Host {
		add(t.localEvents(f))
	}
	for _, m := range t.directory.Hosts() {
		name := ident.Host(m.ID)
		if name == t.identity.Host || (f.Host != "" && f.Host != name) {
			continue
		}
		waiting.Go(func() { add(t.fetch(ctx, m, f)) })
	}
	waiting.Wait()
	return timeline.Merge(sources)
}

// localEvents returns the events of this host.
func (t *Timelines) localEvents(f timeline.Filter) timeline.Source {
	return timeline.Source{
		Host: t.identity.Host, DataCentre: t.identity.DataCentre,
		Overwritten: t.ring.Overwritten(), Events: t.ring.Events(f),
	}
}

// fetch returns the events of another host and estimates its clock offset.
func (t *Timelines) fetch(ctx context.Context, m storage.Member, f timeline.Filter) timeline.Source {
	source := timeline.Source{Host: ident.Host(m.ID), DataCentre: m.DataCentre}
	sent := time.Now()
	answer, err := peer.Call[TimelineFetch, TimelineEvents](ctx, t.links, m.Address, kindTimelineFetch, TimelineFetch{Filter: f, Now: sent})
	if err != nil {
		source.Error = err.Error()
		return source
	}
	source.Offset, source.Uncertainty = timeline.EstimateClock(sent, answer.Now, time.Now())
	source.Overwritten, source.Omitted = answer.Overwritten, answer.Omitted
	for _, e := range answer.Events {
		if f.Within(e.Wall.Add(-source.Offset)) {
			source.Events = append(source.Events, e)
		}
	}
	return source
}

// routeTimeline adds the routes for the timeline.
func (a *API) routeTimeline(r *gin.Engine) {
	r.GET("/v1/timeline", a.timeline)
	r.GET("/v1/timeline/local", a.localTimeline)
}

// timeline responds with the merged timeline of all reachable hosts.
func (a *API) timeline(c *gin.Context) {
	f, failure := timelineFilter(c)
	if failure != nil {
		refuse(c, failure)
		return
	}
	c.JSON(http.StatusOK, a.timelines.Collect(c.Request.Context(), f))
}

// localTimeline responds with the events of this host only.
func (a *API) localTimeline(c *gin.Context) {
	f, failure := timelineFilter(c)
	if failure != nil {
		refuse(c, failure)
		return
	}
	c.JSON(http.StatusOK, append([]timeline.Event{}, a.timelines.ring.Events(f)...))
}

// timelineFilter parses the filter in the query of a request.
func timelineFilter(c *gin.Context) (timeline.Filter, *outcome.Error) {
	f := timeline.Filter{
		Host:    ident.Host(c.Query("host")),
		Team:    ident.Team(c.Query("team")),
		Job:     ident.JobKey(c.Query("job")),
		Service: ident.Service(c.Query("service")),
	}
	spans := map[string]*time.Time{"since": &f.Since, "until": &f.Until}
	for name, into := range spans {
		text := c.Query(name)
		if text == "" {
			continue
		}
		wall, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			return f, outcome.New(outcome.NotRun, outcome.Invalid, "%s: %q is not a time as in 2026-12-04T05:00:00Z", name, text)
		}
		*into = wall
	}
	return f, nil
}
