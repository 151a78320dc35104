package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/peer"
	"github.com/catkingap/catkingap/probe"
	"github.com/catkingap/catkingap/resource"
	"github.com/catkingap/catkingap/settings"
	"github.com/catkingap/catkingap/storage"
	"github.com/catkingap/catkingap/timeline"
)

// Times and limits of peer probing.
const (
	probeInterval    = time.Second
	probeTimeout     = 500 * time.Millisecond
	probeFanout      = 2
	probeIndirect    = 2
	probeUpdates     = 4
	probeRepeats     = 8
	probeSuspectTime = 5 * time.Second
	probeForgetTime  = time.Minute
	announceFanout   = 4
)

const (
	kindPeerProbe    = peer.Kind("peerProbe")
	kindPeerProbeVia = peer.Kind("peerProbeVia")
)

// ProbeVia asks a host to probe another.
type ProbeVia struct {
	Address string        `msgpack:"address"`
	Message probe.Message `msgpack:"message"`
}

// Prober probes the other entry hosts.
type Prober struct {
	store         *resource.Store
	dispatcher    *Dispatcher
	links         *peer.Links
	ring          *timeline.Ring
	revisionHeard func(ident.Host, ident.Revision)

	mutex   sync.Mutex
	machine *probe.Machine
}

func newProber(s settings.Settings, l Listeners, store *resource.Store, d *Dispatcher, links *peer.Links, ring *timeline.Ring) *Prober {
	self := probe.Peer{Host: s.Host, Address: l.Peer.Addr().String(), API: l.API.Addr().String(), DataCentre: s.DataCentre}
	return &Prober{
		store: store, dispatcher: d, links: links, ring: ring,
		revisionHeard: func(ident.Host, ident.Revision) {},
		machine:       newProbeMachine(time.Now(), self, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
	}
}

func newProbeMachine(now time.Time, self probe.Peer, random *rand.Rand) *probe.Machine {
	return probe.NewMachine(now, probe.Config{
		Self: self, Fanout: probeFanout, Indirect: probeIndirect,
		MaxUpdates: probeUpdates, UpdateRepeats: probeRepeats,
		SuspectTime: probeSuspectTime, ForgetTime: probeForgetTime,
		Random: random,
	})
}

// onRevision sets the function that is called with the revisions that other
// hosts report. It must be called before register.
func (p *Prober) onRevision(f func(ident.Host, ident.Revision)) {
	p.revisionHeard = f
}

func (p *Prober) register(l *peer.Links) {
	peer.Handle(l, kindPeerProbe, func(_ context.Context, m probe.Message) (probe.Message, error) {
		p.receive(m)
		return p.message(), nil
	})
	peer.Handle(l, kindPeerProbeVia, func(ctx context.Context, v ProbeVia) (probe.Message, error) {
		return peer.Call[probe.Message, probe.Message](ctx, p.links, v.Address, kindPeerProbe, v.Message)
	})
}

// Views returns the state of each other entry host as this host sees it.
func (p *Prober) Views() []probe.View {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.machine.Views()
}

func (p *Prober) view(h ident.Host) (probe.View, bool) {
	for _, v := range p.Views() {
		if v.Host == h {
			return v, true
		}
	}
	return probe.View{}, false
}

// updateMembers passes the entry hosts of the membership list to the machine.
func (p *Prober) updateMembers(members []storage.Member) {
	var peers []probe.Peer
	for _, m := range members {
		if m.Role == storage.EntryHost {
			peers = append(peers, probe.Peer{Host: ident.Host(m.ID), Address: m.Address, API: m.API, DataCentre: m.DataCentre})
		}
	}
	p.post(probe.Listed{Peers: peers})
}

// tick sends the probes of one interval.
func (p *Prober) tick(context.Context) {
	p.post(probe.Ticked{})
}

// announce probes some hosts immediately, so that they learn of a new revision.
func (p *Prober) announce() {
	p.mutex.Lock()
	peers := p.machine.RandomAlive(announceFanout, "")
	p.mutex.Unlock()
	for _, to := range peers {
		go p.probe(to)
	}
}

func (p *Prober) message() probe.Message {
	revision, load := p.store.Snapshot().Revision, 0
	for _, waiting := range p.dispatcher.queueLengths() {
		load += waiting
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.machine.Message(revision, load)
}

func (p *Prober) receive(m probe.Message) {
	p.post(probe.Received{Message: m})
	p.revisionHeard(m.From.Host, m.Revision)
}

// post passes an event to the machine and executes the resulting actions.
func (p *Prober) post(e probe.Event) {
	now := time.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, a := range p.machine.Step(now, e) {
		switch a := a.(type) {
		case probe.Probe:
			go p.probe(a.Peer)
		case probe.Relay:
			go p.probeVia(a)
		case probe.Changed:
			kind := timeline.HostSeen
			if a.View.State != probe.Alive {
				kind = timeline.HostLost
			}
			p.ring.Add(now, timeline.Event{Kind: kind, Detail: string(a.View.Host) + " " + string(a.View.State)})
		}
	}
}

func (p *Prober) probe(to probe.Peer) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	answer, err := peer.Call[probe.Message, probe.Message](ctx, p.links, to.Address, kindPeerProbe, p.message())
	if err != nil {
		p.post(probe.Failed{Host: to.Host})
		return
	}
	p.receive(answer)
}

func (p *Prober) probeVia(a probe.Relay) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*probeTimeout)
	defer cancel()
	answers := make(chan *probe.Message, len(a.Via))
	request := ProbeVia{Address: a.Peer.Address, Message: p.message()}
	for _, via := range a.Via {
		go func() {
			answer, err := peer.Call[ProbeVia, probe.Message](ctx, p.links, via.Address, kindPeerProbeVia, request)
			if err != nil {
				answers <- nil
				return
			}
			answers <- &answer
		}()
	}
	for range a.Via {
		if answer := <-answers; answer != nil {
			p.receive(*answer)
			return
		}
	}
	p.post(probe.RelayFailed{Host: a.Peer.Host})
}
