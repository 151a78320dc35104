package entry

import (
	"context"
	"sync"
	"time"

	"go.uber.org/fx"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/peer"
	"github.com/catkingap/catkingap/route"
)

const (
	kindSlots = peer.Kind("slots")
	// exchangeTick is the pause between two exchanges of slots of a pool.
	exchangeTick     = 20 * time.Millisecond
	askPause         = 5 * time.Millisecond
	wantTime         = 200 * time.Millisecond
	returnTime       = 250 * time.Millisecond
	fasterWait       = 8 * time.Millisecond
	slotsHeartbeat   = time.Second
	slotsPeerTimeout = 5 * time.Second
	slotsSendTimeout = time.Second
	// slotsBuffer bounds the messages that wait for one peer. More are lost;
	// the next heartbeat mends what they carried.
	slotsBuffer = 64
)

// SlotsMessage passes slots of one pool between two entry hosts.
type SlotsMessage struct {
	From    ident.Host    `msgpack:"from"`
	Pool    ident.Pool    `msgpack:"pool"`
	Message route.Message `msgpack:"message"`
}

// SlotsReceived answers a SlotsMessage.
type SlotsReceived struct{}

// loans sends slots messages to peers, to each in order.
type loans struct {
	links     *peer.Links
	directory *Directory
	self      ident.Host

	mutex sync.Mutex
	peers map[ident.Host]chan SlotsMessage
}

func newLoans(l *peer.Links, directory *Directory, self ident.Host) *loans {
	return &loans{links: l, directory: directory, self: self, peers: map[ident.Host]chan SlotsMessage{}}
}

// send queues a message and never blocks.
func (l *loans) send(pool ident.Pool, o route.Outgoing) {
	l.mutex.Lock()
	messages := l.peers[o.To]
	if messages == nil {
		messages = make(chan SlotsMessage, slotsBuffer)
		l.peers[o.To] = messages
		go l.deliver(o.To, messages)
	}
	l.mutex.Unlock()
	select {
	case messages <- SlotsMessage{From: l.self, Pool: pool, Message: o.Message}:
	default:
	}
}

// deliver sends the messages to one peer, one after the other, for as long as
// the process runs.
func (l *loans) deliver(to ident.Host, messages <-chan SlotsMessage) {
	for m := range messages {
		member, ok := l.directory.Host(to)
		if !ok {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), slotsSendTimeout)
		// A message that is lost is mended by the next heartbeat.
		_, _ = peer.Call[SlotsMessage, SlotsReceived](ctx, l.links, member.Address, kindSlots, m)
		cancel()
	}
}

// runLoans exchanges slots with the peers until the daemon stops.
func runLoans(life fx.Lifecycle, d *Dispatcher) {
	ctx, cancel := context.WithCancel(context.Background())
	life.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go every(ctx, exchangeTick, func(context.Context) { d.exchange() })
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			return nil
		},
	})
}

func (d *Dispatcher) exchange() {
	for _, q := range *d.pools.Load() {
		q.mutex.Lock()
		q.exchange(time.Now())
		q.mutex.Unlock()
	}
}

// receiveSlots takes a message of a peer.
func (d *Dispatcher) receiveSlots(_ context.Context, m SlotsMessage) (SlotsReceived, error) {
	if q := (*d.pools.Load())[m.Pool]; q != nil {
		q.mutex.Lock()
		defer q.mutex.Unlock()
		now := time.Now()
		q.pool.Receive(now, m.From, m.Message)
		q.pump()
		q.exchange(now)
	}
	return SlotsReceived{}, nil
}

// exchange sends what the policy has for the peers. The caller holds the
// mutex.
func (q *poolQueue) exchange(now time.Time) {
	for _, o := range q.pool.Exchange(now) {
		q.dispatcher.loans.send(q.name, o)
	}
}
