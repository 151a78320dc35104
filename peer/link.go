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

	"github.com/catkingap/catkingap/network"
)

// Kind names a type of message.
type Kind string

// Statistics counts the traffic of all links of a process.
type Statistics struct {
	SentBytes     atomic.Int64
	ReceivedBytes atomic.Int64
	SentFrames    atomic.Int64
	// Silent counts links that were closed because they showed no life.
	Silent atomic.Int64
	// Bad counts links that were closed because of a frame that can not be
	// read.
	Bad atomic.Int64
	// Panics counts messages whose handler panicked.
	Panics atomic.Int64
}

// UnreachableError means that a call provably did not reach the peer.
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

// RemoteError is an error that the handler of the peer returned.
type RemoteError struct {
	Reason string
}

// Error implements error.
func (e *RemoteError) Error() string { return e.Reason }

// errLinkClosed ends the calls that wait on a closed link.
var errLinkClosed = errors.New("link closed")

// Handler answers the calls of one kind.
type handler func(ctx context.Context, body msgpack.RawMessage) (any, error)

// Config builds Links.
type Config struct {
	Logger log.Interface
	// Network opens the links.
	Network network.Network
	// WriteTimeout bounds the time to write one frame.
	WriteTimeout time.Duration
	// SilenceTimeout is the time without a byte after which a link with open
	// calls is pinged, and after as much again is closed. Zero means never.
	SilenceTimeout time.Duration
}

// Links holds the links of a process to its peers and serves theirs.
type Links struct {
	Statistics Statistics

	config   Config
	handlers map[Kind]handler
	casts    map[Kind]castHandler
	mutex    sync.Mutex
	dialed   map[string]*link
	open     map[*link]struct{}
	closed   bool
	// watched ends the loop that looks for silent links. It is nil without links.
	watched chan struct{}
}

// NewLinks returns links without handlers.
func NewLinks(c Config) *Links {
	return &Links{config: c, handlers: map[Kind]handler{}, casts: map[Kind]castHandler{}, dialed: map[string]*link{}, open: map[*link]struct{}{}}
}

// Handle registers the handler of calls of one kind. It must not be called
// after Serve or Call.
func Handle[Request, Response any](l *Links, k Kind, h func(context.Context, Request) (Response, error)) {
	l.handlers[k] = func(ctx context.Context, body msgpack.RawMessage) (any, error) {
		var request Request
		if err := msgpack.Unmarshal(body, &request); err != nil {
			return nil, errors.Wrapf(err, "%s", k)
		}
		return h(ctx, request)
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
		l.attach(connection, "")
	}
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

// attach starts a link on an open connection. If another link to the same
// address was opened meanwhile, it stays open but is used no more.
func (l *Links) attach(connection net.Conn, address string) *link {
	k := &link{silence: silence{timeout: l.config.SilenceTimeout}, links: l, connection: connection, address: address, calls: map[uint64]chan *frame{}, done: make(chan struct{})}
	k.heard.Store(time.Now().UnixNano())
	l.mutex.Lock()
	l.open[k] = struct{}{}
	if address != "" {
		l.dialed[address] = k
	}
	closed := l.closed
	if l.config.SilenceTimeout > 0 && l.watched == nil {
		l.watched = make(chan struct{})
		go l.watch(l.watched)
	}
	l.mutex.Unlock()
	if closed {
		connection.Close()
	}
	go k.read()
	return k
}

func (l *Links) detach(k *link) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.open, k)
	if len(l.open) == 0 && l.watched != nil {
		close(l.watched)
		l.watched = nil
	}
	if l.dialed[k.address] == k {
		delete(l.dialed, k.address)
	}
}

// link is one connection to a peer. Both sides may call on it.
type link struct {
	links      *Links
	connection net.Conn
	address    string
	done       chan struct{}
	// heard is when the last byte was received, in nanoseconds since 1970.
	heard atomic.Int64
	// silence is used by the loop that looks for silent links.
	silence silence

	writing sync.Mutex
	mutex   sync.Mutex
	next    uint64
	calls   map[uint64]chan *frame
}

func (k *link) call(ctx context.Context, kind Kind, body []byte) (*frame, error) {
	answers := make(chan *frame, 1)
	k.mutex.Lock()
	k.next++
	id := k.next
	k.calls[id] = answers
	k.mutex.Unlock()
	defer func() {
		k.mutex.Lock()
		delete(k.calls, id)
		k.mutex.Unlock()
	}()
	if err := k.write(&frame{Call: id, Kind: kind, Body: body}); err != nil {
		// A frame that was not written whole is not answered.
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
	k.writing.Lock()
	defer k.writing.Unlock()
	if err := k.connection.SetWriteDeadline(time.Now().Add(k.links.config.WriteTimeout)); err != nil {
		return err
	}
	counted := &countingWriter{connection: k.connection, count: &k.links.Statistics.SentBytes}
	if err := writeFrame(counted, f); err != nil {
		if !errors.As(err, new(*FrameError)) {
			// A part of the frame may be on the link.
			k.connection.Close()
		}
		return err
	}
	k.links.Statistics.SentFrames.Add(1)
	return nil
}

// read handles frames until the connection ends.
func (k *link) read() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	reader := bufio.NewReader(&countingReader{connection: k.connection, count: &k.links.Statistics.ReceivedBytes, heard: &k.heard})
	for {
		f, err := readFrame(reader)
		if err != nil {
			k.close(err)
			return
		}
		if f.Answer {
			k.deliver(f)
			continue
		}
		if f.Call == 0 {
			if err := k.take(f); err != nil {
				k.close(err)
				return
			}
			continue
		}
		go k.answer(ctx, f)
	}
}

func (k *link) deliver(f *frame) {
	k.mutex.Lock()
	answers := k.calls[f.Call]
	delete(k.calls, f.Call)
	k.mutex.Unlock()
	if answers != nil {
		answers <- f
	}
}

func (k *link) answer(ctx context.Context, f *frame) {
	answer := &frame{Call: f.Call, Answer: true, Kind: f.Kind}
	h := k.links.handlers[f.Kind]
	if h == nil {
		answer.Error = "unknown kind " + string(f.Kind)
	} else if response, err := k.links.guarded(f.Kind, func() (any, error) { return h(ctx, f.Body) }); err != nil {
		answer.Error = err.Error()
	} else if answer.Body, err = msgpack.Marshal(response); err != nil {
		answer.Error = err.Error()
	}
	_ = k.write(answer)
}

// guarded runs a handler. One that panics fails its message only.
func (l *Links) guarded(k Kind, handle func() (any, error)) (response any, err error) {
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

func (k *link) close(cause error) {
	k.links.detach(k)
	k.connection.Close()
	close(k.done)
	var bad *FrameError
	if errors.As(cause, &bad) {
		k.links.Statistics.Bad.Add(1)
		k.links.config.Logger.WithField("remote", k.connection.RemoteAddr().String()).WithError(cause).Warn("peer link closed")
	}
}

type countingReader struct {
	connection net.Conn
	count      *atomic.Int64
	heard      *atomic.Int64
}

func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.connection.Read(p)
	r.count.Add(int64(n))
	if n > 0 {
		r.heard.Store(time.Now().UnixNano())
	}
	return n, err
}

type countingWriter struct {
	connection net.Conn
	count      *atomic.Int64
}

func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.connection.Write(p)
	w.count.Add(int64(n))
	return n, err
}
