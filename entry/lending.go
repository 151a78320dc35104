package entry

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"go.uber.org/fx"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/peer"
	"github.com/catkingap/catkingap/route"
)

// kindSlots is the kind of messages that transfer slots between entry hosts.
const kindSlots = peer.Kind("slots")

const (
	// outboxCapacity bounds the messages that wait for one host. Further
	// messages are dropped; the heartbeats of package route repair the loss.
	outboxCapacity = 256
	// slotsTimeout bounds the time to send one message.
	slotsTimeout = time.Second
)

// SlotsMessage transfers slots of a pool between two entry hosts.
type SlotsMessage struct {
	From    ident.Host    `msgpack:"from"`
	Pool    ident.Pool    `msgpack:"pool"`
	Message route.Message `msgpack:"message"`
}

// Lending exchanges the messages that transfer slots between entry hosts.
// Messages to the same host are sent in order.
type Lending struct {
	identity   Identity
	dispatcher *Dispatcher
	directory  *Directory
	links      *peer.Links
	logger     log.Interface

	mutex    sync.Mutex
	outboxes map[ident.Host]chan SlotsMessage
	stopped  chan struct{}
}

func newLending(i Identity, d *Dispatcher, directory *Directory, l *peer.Links, logger log.Interface) *Lending {
	return &Lending{
		identity: i, dispatcher: d, directory: directory, links: l, logger: logger,
		outboxes: map[ident.Host]chan SlotsMessage{}, stopped: make(chan struct{}),
	}
}

// runLending starts the exchange of slots with other entry hosts.
func runLending(lc fx.Lifecycle, l *Lending) {
	l.dispatcher.sendSlots = l.send
	peer.HandleCast(l.links, kindSlots, l.receive)
	ctx, cancel := context.WithCancel(context.Background())
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go runPeriodically(ctx, exchangeInterval, func(context.Context) { l.dispatcher.exchange() })
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			close(l.stopped)
			return nil
		},
	})
}

// send queues messages for other hosts. It never blocks.
func (l *Lending) send(pool ident.Pool, messages []route.Outgoing) {
	for _, o := range messages {
		select {
		case l.outbox(o.To) <- SlotsMessage{From: l.identity.Host, Pool: pool, Message: o.Message}:
		default:
		}
	}
}

// outbox returns the queue of messages to a host. It creates the queue and its
// sender if needed.
func (l *Lending) outbox(to ident.Host) chan SlotsMessage {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	box := l.outboxes[to]
	if box == nil {
		box = make(chan SlotsMessage, outboxCapacity)
		l.outboxes[to] = box
		go l.deliver(to, box)
	}
	return box
}

// deliver sends the messages to one host in order.
func (l *Lending) deliver(to ident.Host, box <-chan SlotsMessage) {
	for {
		select {
		case m := <-box:
			err := l.cast(to, m)
			if err == nil {
				continue
			}
			l.logger.WithError(err).WithField("peer", string(to)).Debug("slots not sent")
			if errors.As(err, new(*peer.UnreachableError)) {
				l.dispatcher.peerLost(to)
			}
		case <-l.stopped:
			return
		}
	}
}

func (l *Lending) cast(to ident.Host, m SlotsMessage) error {
	member, ok := l.directory.Host(to)
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), slotsTimeout)
	defer cancel()
	return peer.Cast(ctx, l.links, member.Address, kindSlots, m)
}

func (l *Lending) receive(m SlotsMessage) {
	if q := l.dispatcher.findQueue(m.Pool); q != nil {
		q.receive(m.From, m.Message)
	}
}

// peerLost makes all pools treat a host that can not be reached as the owner of
// no slots.
func (d *Dispatcher) peerLost(host ident.Host) {
	for _, q := range *d.pools.Load() {
		q.mutex.Lock()
		q.pool.PeerLost(host)
		q.dispatch()
		q.mutex.Unlock()
	}
}

// exchange sends the slot messages of all pools.
func (d *Dispatcher) exchange() {
	for _, q := range *d.pools.Load() {
		q.mutex.Lock()
		q.exchange(time.Now())
		q.mutex.Unlock()
	}
}

// receive handles a message from another host.
func (q *poolQueue) receive(from ident.Host, m route.Message) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := time.Now()
	q.pool.Receive(now, from, m)
	q.dispatch()
	q.exchange(now)
}

// exchange sends the slot messages of the pool. The caller holds the mutex.
func (q *poolQueue) exchange(now time.Time) {
	if messages := q.pool.Exchange(now); len(messages) > 0 {
		q.dispatcher.sendSlots(q.name, messages)
	}
}
