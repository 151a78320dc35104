package entry

import (
	"context"
	"sync"
	"time"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/job"
	"github.com/catkingap/catkingap/peer"
	"github.com/catkingap/catkingap/timeline"
)

const (
	kindMirrorAsk  = peer.Kind("mirrorAsk")
	kindMirrorKeep = peer.Kind("mirrorKeep")
)

// MirrorKeep asks an incarnation to store the outcome of a row and to record it.
type MirrorKeep struct {
	// Request links the events of both hosts in the timeline.
	Request   ident.Request  `msgpack:"request"`
	Mirror    job.Holder     `msgpack:"mirror"`
	Row       job.Row        `msgpack:"row"`
	Condition ident.Revision `msgpack:"condition"`
}

// MirrorKept answers a MirrorKeep.
type MirrorKept struct {
	Kept bool `msgpack:"kept"`
}

// MirrorAsk asks an incarnation for the outcome of an epoch of a job.
type MirrorAsk struct {
	// Request links the events of both hosts in the timeline.
	Request ident.Request `msgpack:"request"`
	Mirror  job.Holder    `msgpack:"mirror"`
	Job     ident.Job     `msgpack:"job"`
	Epoch   ident.Epoch   `msgpack:"epoch"`
}

// MirrorAnswer answers a MirrorAsk. Outcome is nil if the incarnation has none
// and will never accept one.
type MirrorAnswer struct {
	Outcome *job.Outcome `msgpack:"outcome"`
}

// mirror stores outcomes for other hosts and calls the mirrors of this host.
type mirror struct {
	jobs     *Jobs
	requests *ident.Sequence

	mutex sync.Mutex
	state *job.Mirror
}

func newMirror(j *Jobs) *mirror {
	return &mirror{jobs: j, requests: ident.NewSequence(), state: job.NewMirror()}
}

// addEvent adds an event of a call between a holder and its mirror to the
// timeline.
func (m *mirror) addEvent(k timeline.Kind, r ident.Request, j ident.Job, e ident.Epoch, detail string) {
	m.jobs.ring.Add(time.Now(), timeline.Event{Kind: k, Request: r, Team: j.Team, Job: j.Key, Epoch: e, Detail: detail})
}

// handleKeep stores an outcome and starts to record it. If the request is for
// another incarnation of this host, it refuses: this one will never have the
// outcome.
func (m *mirror) handleKeep(_ context.Context, k MirrorKeep) (MirrorKept, error) {
	m.addEvent(timeline.CallReceived, k.Request, k.Row.Job, k.Row.Epoch, string(kindMirrorKeep))
	if k.Mirror != m.jobs.identity.Holder {
		return MirrorKept{}, nil
	}
	m.mutex.Lock()
	before := m.state.Len()
	kept := m.state.Keep(k.Row)
	added := m.state.Len() > before
	m.mutex.Unlock()
	if added {
		go m.record(k)
	}
	return MirrorKept{Kept: kept}, nil
}

// record records an outcome on behalf of the holder and then forgets it.
func (m *mirror) record(k MirrorKeep) {
	machine := job.NewRecorder(m.jobs.machineConfig(nil), k.Row, k.Condition)
	r := m.jobs.newRunningJob(k.Row.Job, nil, k.Row.Digest, time.Time{}, machine)
	r.loop()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.state.Forget(k.Row.Job, k.Row.Epoch)
}

// handleAsk returns the outcome of a lost holder or fences its epoch. If the
// request is for another incarnation of this host, there is no outcome: that
// incarnation is gone.
func (m *mirror) handleAsk(_ context.Context, a MirrorAsk) (MirrorAnswer, error) {
	m.addEvent(timeline.CallReceived, a.Request, a.Job, a.Epoch, string(kindMirrorAsk))
	if a.Mirror != m.jobs.identity.Holder {
		return MirrorAnswer{}, nil
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return MirrorAnswer{Outcome: m.state.FetchOrFence(a.Job, a.Epoch)}, nil
}

// keep executes a KeepMirror action.
func (m *mirror) keep(a job.KeepMirror) job.Event {
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	request := MirrorKeep{Request: m.requests.Next(), Mirror: a.Row.Mirror, Row: a.Row, Condition: a.Condition}
	m.addEvent(timeline.CallSent, request.Request, a.Row.Job, a.Row.Epoch, string(kindMirrorKeep))
	answer, err := call[MirrorKeep, MirrorKept](ctx, m.jobs, a.Row.Mirror, kindMirrorKeep, request)
	if err != nil {
		return job.MirrorUnreachable{}
	}
	m.addEvent(timeline.CallReturned, request.Request, a.Row.Job, a.Row.Epoch, string(kindMirrorKeep))
	return job.MirrorKept{Kept: answer.Kept}
}

// ask executes an AskMirror action. A mirror that does not answer counts as gone
// only if its host is not in the membership list and the heartbeats do not show
// the incarnation as alive.
func (m *mirror) ask(a job.AskMirror) job.Event {
	time.Sleep(a.After)
	request := MirrorAsk{Request: m.requests.Next(), Mirror: a.Row.Mirror, Job: a.Row.Job, Epoch: a.Row.Epoch}
	m.addEvent(timeline.CallSent, request.Request, a.Row.Job, a.Row.Epoch, string(kindMirrorAsk))
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	if a.Row.Mirror == m.jobs.identity.Holder {
		answer, _ := m.handleAsk(ctx, request)
		return job.MirrorAnswered{Outcome: answer.Outcome}
	}
	answer, err := call[MirrorAsk, MirrorAnswer](ctx, m.jobs, a.Row.Mirror, kindMirrorAsk, request)
	if err == nil {
		m.addEvent(timeline.CallReturned, request.Request, a.Row.Job, a.Row.Epoch, string(kindMirrorAsk))
		return job.MirrorAnswered{Outcome: answer.Outcome}
	}
	_, listed := m.jobs.directory.Host(a.Row.Mirror.Host)
	if !listed && m.jobs.watcher.isGone(a.Row.Mirror) {
		return job.MirrorAnswered{}
	}
	return job.MirrorUnreachable{}
}
