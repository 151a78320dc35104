package peer

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/catkingap/catkingap/decoding"
	"github.com/catkingap/catkingap/intake"
	"github.com/catkingap/catkingap/network"
)

// Kind names a type of message.
type Kind string

// Statistics counts the traffic and the failures of all links of a process.
type Statistics struct {
	SentBytes     atomic.Int64
	ReceivedBytes atomic.Int64
	SentFrames    atomic.Int64
	// Silent counts the links that were closed because nothing was received in time.
	Silent atomic.Int64
	// Shed counts the accepted links that were closed because there were too many, or
	// because a frame or the answers to too many calls were outstanding.
	Shed atomic.Int64
	// Bad counts the links that were closed because of an invalid frame.
	Bad atomic.Int64
	// Panics counts the messages whose handler panicked.
	Panics atomic.Int64
}

// UnreachableError means that a call certainly did not reach the peer.
type UnreachableError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return "peer " + e.Address + " can not be reached: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// RemoteError is an error that the peer's handler returned.
type RemoteError struct {
	Reason string
}

// Error implements error.
func (e *RemoteError) Error() string { return e.Reason }

// errLinkClosed is the error of calls that wait for an answer on a closed link.
var errLinkClosed = errors.New("link closed")

// handler decodes a call of one kind and returns the function that answers it.
type handler func(body msgpack.RawMessage) (answer func(context.Context) (any, error), err error)

// Config configures Links.
type Config struct {
	Logger log.Interface
	// Network opens the links.
	Network network.Network
	// WriteTimeout bounds the time to write one frame.
	WriteTimeout time.Duration
	// SilenceTimeout is the time without a received byte after which a link with
	// open calls is pinged, and then the time after which it is closed if there is
	// still none. Zero disables both.
	SilenceTimeout time.Duration
}

const (
	// frameTimeout bounds the time to receive the rest of a frame that has begun. Its sender
	// has Config.WriteTimeout, of 1 or 2 s, to write it.
	frameTimeout = 10 * time.Second
	// maxOpenCalls bounds the received calls of one link that are not answered yet. A host
	// submits some hundred jobs a second, each of which waits for some seconds.
	maxOpenCalls = 20_000
)

// Links holds the links of a process to its peers and accepts links from them.
type Links struct {
	Statistics Statistics

	config   Config
	handlers map[Kind]handler
	casts    map[Kind]castHandler
	mutex    sync.Mutex
	dialed   map[string]*link
	open     map[*link]struct{}
	// accepted bounds the accepted links. It is nil if there is no bound.
	accepted *intake.Connections[net.Conn]
	// calls bounds the long calls that are decoded at the same time.
	calls  *decoding.Gate
	closed bool
	// stopWatch ends the loop that closes silent links. It is nil if there are no
	// links.
	stopWatch chan struct{}
}

// NewLinks returns links without handlers.
func NewLinks(c Config) *Links {
	return &Links{config: c, calls: decoding.NewGate(0), handlers: map[Kind]handler{}, casts: map[Kind]castHandler{}, dialed: map[string]*link{}, open: map[*link]struct{}{}}
}

// LimitAccepted bounds the accepted links. Three quarters of them may be links that have
// received a frame, which are never closed for others. Zero means no bound. It must not be
// called after Serve.
func (l *Links) LimitAccepted(n int) {
	l.accepted = intake.NewConnections[net.Conn](n)
}

// LimitCalls bounds the long calls that are decoded at the same time. It must not be called after
// Serve or Call.
func (l *Links) LimitCalls(g *decoding.Gate) { l.calls = g }

// Handle registers the handler for the calls of one kind. It must not be called
// after Serve or Call.
func Handle[Request, Response any](l *Links, k Kind, h func(context.Context, Request) (Response, error)) {
	l.handlers[k] = func(body msgpack.RawMessage) (func(context.Context) (any, error), error) {
		var request Request
		if err := msgpack.Unmarshal(body, &request); err != nil {
			return nil, errors.Wrapf(err, "%s", k)
		}
		return func(ctx context.Context) (any, error) { return h(ctx, request) }, nil
	}
}

// Call calls the peer at address and waits for its answer.
func Call[Request, Response any](ctx context.Context, l *Links, address string, k Kind, request Request) (Response, error) {
	var response Response
	body, err := msgpack.Marshal(request)
	if err != nil {
		return response, &UnreachableError{Address: address, Cause: err}
	}
	connection, err := l.dial(ctx, address)
	if err != nil {
		return response, &UnreachableError{Address: address, Cause: err}
	}
	answer, err := connection.call(ctx, k, body)
	if err != nil {
		return response, errors.Wrapf(err, "%s to %s", k, address)
	}
	if answer.Error != "" {
		return response, &RemoteError{Reason: answer.Error}
	}
	return response, errors.Wrapf(msgpack.Unmarshal(answer.Body, &response), "%s from %s", k, address)
}

// Serve accepts links until the listener is closed.
func (l *Links) Serve(listener net.Listener) error {
	for {
		connection, err := listener.Accept()
		if err != nil {
			return err
		}
		if l.admit(connection) {
			l.attach(connection, "")
		}
	}
}

// admit closes a connection if there are too many, which may be the new one. It returns
// false in that case.
func (l *Links) admit(c net.Conn) bool {
	if l.accepted == nil {
		return true
	}
	victim, found := l.accepted.Add(time.Now(), c)
	if found {
		l.Statistics.Shed.Add(1)
		victim.Close()
	}
	return !found || victim != c
}

// Close closes all links.
func (l *Links) Close() {
	l.mutex.Lock()
	l.closed = true
	open := make([]*link, 0, len(l.open))
	for k := range l.open {
		open = append(open, k)
	}
	l.mutex.Unlock()
	for _, k := range open {
		k.connection.Close()
	}
}

// dial returns the link to address and opens one if there is none.
func (l *Links) dial(ctx context.Context, address string) (*link, error) {
	l.mutex.Lock()
	k := l.dialed[address]
	l.mutex.Unlock()
	if k != nil {
		return k, nil
	}
	connection, err := l.config.Network.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return l.attach(connection, address), nil
}

// attach starts a link on an open connection. Another link to the same address
// that was opened meanwhile stays open, but new calls do not use it.
func (l *Links) attach(connection net.Conn, address string) *link {
	k := &link{silence: silence{timeout: l.config.SilenceTimeout}, links: l, connection: connection, address: address, calls: map[uint64]chan *frame{}, done: make(chan struct{})}
	k.lastReceived.Store(time.Now().UnixNano())
	l.mutex.Lock()
	l.open[k] = struct{}{}
	if address != "" {
		l.dialed[address] = k
	}
	closed := l.closed
	if l.config.SilenceTimeout > 0 && l.stopWatch == nil {
		l.stopWatch = make(chan struct{})
		go l.watch(l.stopWatch)
	}
	l.mutex.Unlock()
	if closed {
		connection.Close()
	}
	go k.read()
	return k
}

// detach removes a link that has ended.
func (l *Links) detach(k *link) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.open, k)
	if len(l.open) == 0 && l.stopWatch != nil {
		close(l.stopWatch)
		l.stopWatch = nil
	}
	if l.dialed[k.address] == k {
		delete(l.dialed, k.address)
	}
}

// link is one connection to a peer. Both sides may send calls on it.
type link struct {
	links      *Links
	connection net.Conn
	address    string
	done       chan struct{}
	// lastReceived is when the last byte was received, in nanoseconds since 1970.
	lastReceived atomic.Int64
	// openCalls is the number of received calls that are not answered yet.
	openCalls atomic.Int64
	// silence is used only by the loop that closes silent links.
	silence silence

	writeMutex sync.Mutex
	mutex      sync.Mutex
	// lastCall is the last number that was assigned to a call.
	lastCall uint64
	calls    map[uint64]chan *frame
}

func (k *link) call(ctx context.Context, kind Kind, body []byte) (*frame, error) {
	answers := make(chan *frame, 1)
	k.mutex.Lock()
	k.lastCall++
	id := k.lastCall
	k.calls[id] = answers
	k.mutex.Unlock()
	defer func() {
		k.mutex.Lock()
		delete(k.calls, id)
		k.mutex.Unlock()
	}()
	if err := k.write(&frame{Call: id, Kind: kind, Body: body}); err != nil {
		// The peer does not handle a frame that was written only in part.
		return nil, &UnreachableError{Address: k.address, Cause: err}
	}
	select {
	case answer := <-answers:
		return answer, nil
	case <-k.done:
		return nil, errLinkClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (k *link) write(f *frame) error {
	k.writeMutex.Lock()
	defer k.writeMutex.Unlock()
	if err := k.connection.SetWriteDeadline(time.Now().Add(k.links.config.WriteTimeout)); err != nil {
		return err
	}
	counted := &countingWriter{connection: k.connection, count: &k.links.Statistics.SentBytes}
	if err := writeFrame(counted, f); err != nil {
		if !errors.As(err, new(*FrameError)) {
			// A part of the frame may have been written.
			k.connection.Close()
		}
		return err
	}
	k.links.Statistics.SentFrames.Add(1)
	return nil
}

// read handles received frames until the connection ends.
func (k *link) read() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	reader := bufio.NewReader(&countingReader{connection: k.connection, count: &k.links.Statistics.ReceivedBytes, lastReceived: &k.lastReceived})
	for first := true; ; first = false {
		f, err := k.readFrame(reader)
		if err != nil {
			k.close(err)
			return
		}
		if first && k.address == "" && k.links.accepted != nil {
			k.links.accepted.Set(time.Now(), k.connection, intake.Serving)
		}
		if f.Answer {
			k.deliver(f)
			continue
		}
		if f.Call == 0 {
			if err := k.handleCast(f); err != nil {
				k.close(err)
				return
			}
			continue
		}
		if k.openCalls.Add(1) > maxOpenCalls {
			k.links.Statistics.Shed.Add(1)
			k.close(&FrameError{Reason: fmt.Sprintf("more than %d calls are open", maxOpenCalls)})
			return
		}
		// The link waits, so that its peer sends no more long calls.
		decoded, err := k.links.calls.Decode(ctx, intake.Bytes(len(f.Body)))
		if err != nil {
			k.close(err)
			return
		}
		go k.answer(ctx, f, decoded)
	}
}

// readFrame reads the next frame. It waits for its first byte without a bound, and for the
// rest up to frameTimeout.
func (k *link) readFrame(r *bufio.Reader) (*frame, error) {
	if !isBuffered(r) {
		if _, err := r.Peek(1); err != nil {
			return nil, err
		}
		if !isBuffered(r) {
			if err := k.connection.SetReadDeadline(time.Now().Add(frameTimeout)); err != nil {
				return nil, err
			}
			defer func() { _ = k.connection.SetReadDeadline(time.Time{}) }()
		}
	}
	return readFrame(r)
}

// deliver passes an answer to the call that waits for it.
func (k *link) deliver(f *frame) {
	k.mutex.Lock()
	answers := k.calls[f.Call]
	delete(k.calls, f.Call)
	k.mutex.Unlock()
	if answers != nil {
		answers <- f
	}
}

// answer runs the handler of a call and sends the answer. It calls decoded as soon as the
// call is decoded, and does not hold its text any longer.
func (k *link) answer(ctx context.Context, f *frame, decoded func()) {
	defer k.openCalls.Add(-1)
	answer := &frame{Call: f.Call, Answer: true, Kind: f.Kind}
	handle, err := k.decode(f)
	decoded()
	if err != nil {
		answer.Error = err.Error()
	} else if response, err := k.links.recoverPanic(answer.Kind, func() (any, error) { return handle(ctx) }); err != nil {
		answer.Error = err.Error()
	} else if answer.Body, err = msgpack.Marshal(response); err != nil {
		answer.Error = err.Error()
	}
	_ = k.write(answer)
}

// decode decodes a call and drops its text.
func (k *link) decode(f *frame) (handle func(context.Context) (any, error), err error) {
	h := k.links.handlers[f.Kind]
	if h == nil {
		return nil, errors.Newf("unknown kind %s", f.Kind)
	}
	_, err = k.links.recoverPanic(f.Kind, func() (any, error) {
		handle, err = h(f.Body)
		return nil, err
	})
	f.Body = nil
	return handle, err
}

// recoverPanic runs a handler and turns a panic into an error, so that only its
// message fails.
func (l *Links) recoverPanic(k Kind, handle func() (any, error)) (response any, err error) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		l.Statistics.Panics.Add(1)
		l.config.Logger.WithFields(log.Fields{
			"kind": string(k), "cause": fmt.Sprint(cause), "stack": string(debug.Stack()),
		}).Error("handler of a message panicked")
		err = errors.Newf("the handler of %s panicked", k)
	}()
	return handle()
}

// close ends the link and its waiting calls.
func (k *link) close(cause error) {
	k.links.detach(k)
	if k.links.accepted != nil {
		k.links.accepted.Remove(k.connection)
	}
	k.connection.Close()
	close(k.done)
	var bad *FrameError
	if errors.As(cause, &bad) {
		k.links.Statistics.Bad.Add(1)
		k.links.config.Logger.WithField("remote", k.connection.RemoteAddr().String()).WithError(cause).Warn("peer link closed")
	}
}

// countingReader counts the received bytes and notes when the last one arrived.
type countingReader struct {
	connection   net.Conn
	count        *atomic.Int64
	lastReceived *atomic.Int64
}

func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.connection.Read(p)
	r.count.Add(int64(n))
	if n > 0 {
		r.lastReceived.Store(time.Now().UnixNano())
	}
	return n, err
}

// countingWriter counts the sent bytes.
type countingWriter struct {
	connection net.Conn
	count      *atomic.Int64
}

func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.connection.Write(p)
	w.count.Add(int64(n))
	return n, err
}
