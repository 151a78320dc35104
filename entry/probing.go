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

// The times and bounds of peer probing.
const (
	probeInterval    = time.Second
	probeTimeout     = 500 * time.Millisecond
	probeFanout      = 2
	probeIndirect    = 2
	probeUpdates     = 4
	probeRepeats     = 8
	probeSuspectTime = 5 * time.Second
	probeForgetTime  = time.Minute
	spreadFanout     = 4
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

// Prober drives the probing of other entry hosts.
type Prober struct {
	store      *resource.Store
	dispatcher *Dispatcher
	links      *peer.Links
	ring       *timeline.Ring
	heard      func(ident.Host, ident.Revision)

	mutex   sync.Mutex
	machine *probe.Machine
}

func newProber(s settings.Settings, l Listeners, store *resource.Store, d *Dispatcher, links *peer.Links, ring *timeline.Ring) *Prober {
	self := probe.Peer{Host: s.Host, Address: l.Peer.Addr().String(), API: l.API.Addr().String(), DataCentre: s.DataCentre}
	return &Prober{
		store: store, dispatcher: d, links: links, ring: ring,
		heard:   func(ident.Host, ident.Revision) {},
		machine: newProbeMachine(time.Now(), self, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
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

// onRevision makes f take the revisions that other hosts have in force. It
// must be called before register.
func (p *Prober) onRevision(f func(ident.Host, ident.Revision)) {
	p.heard = f
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

// Views returns what this host holds of each other entry host.
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

// list takes the entry hosts of the platform's list.
func (p *Prober) list(members []storage.Member) {
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

// spread probes some hosts at once, so that they hear of a new revision.
func (p *Prober) spread() {
	p.mutex.Lock()
	peers := p.machine.Random(spreadFanout, "")
	p.mutex.Unlock()
	for _, to := range peers {
		go p.probe(to)
	}
}

func (p *Prober) message() probe.Message {
	revision, load := p.store.Snapshot().Revision, 0
	for _, waiting := range p.dispatcher.waiting() {
		load += waiting
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.machine.Message(revision, load)
}

func (p *Prober) receive(m probe.Message) {
	p.post(probe.Received{Message: m})
	p.heard(m.From.Host, m.Revision)
}

// post hands an event to the machine and executes what it asks for.
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
	p.post(probe.ViaFailed{Host: a.Peer.Host})
}
