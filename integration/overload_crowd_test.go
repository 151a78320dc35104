package integration

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// crowdSize is the number of hostile clients at once. It exceeds overloadDescriptors,
	// and its bodies exceed overloadMemory.
	crowdSize = 400
	// crowdConnections bounds the connections that one client opens, one after the other.
	crowdConnections = 3
	// crowdBodyBytes is the largest legal body, MaxBodyBytes of the users' settings.
	crowdBodyBytes = 262_144
	// crowdHeaderBytes is below the 1 MiB that net/http reads by default.
	crowdHeaderBytes = 900 << 10
	// crowdWriteTimeout bounds one write of a client to a server that does not read.
	crowdWriteTimeout = 5 * time.Second
	// crowdPieces is the number of pieces of a body that is sent piece by piece.
	crowdPieces = 16
	// crowdPause is the time between two pieces.
	crowdPause = 20 * time.Millisecond
	// unreadBatch is the number of requests that one write of an unread client holds, and
	// unreadWrites bounds these writes.
	unreadBatch  = 200
	unreadWrites = 100
)

// crowdTarget is the daemon that a crowd attacks.
type crowdTarget struct {
	address string
	// host is the Host header.
	host string
	// submission returns the path and the body of a legal job, of nearly crowdBodyBytes,
	// for the client with the number.
	submission func(number int) (path string, body []byte)
	// answers is a path that is answered at once.
	answers string
}

// crowdAction is what a client does on one connection before it waits for its end.
type crowdAction func(t *crowdTarget, c net.Conn, number int) error

// crowdActions holds the kinds of hostile clients.
var crowdActions = map[string]crowdAction{
	"whole bodies": func(t *crowdTarget, c net.Conn, number int) error {
		path, body := t.submission(number)
		return write(c, t.head(path, fmt.Sprintf("Content-Length: %d", len(body))), body)
	},
	"bodies in pieces": func(t *crowdTarget, c net.Conn, number int) error {
		path, body := t.submission(number)
		return writePieces(c, t.head(path, fmt.Sprintf("Content-Length: %d", len(body))), body)
	},
	"bodies short of their end": func(t *crowdTarget, c net.Conn, number int) error {
		path, _ := t.submission(number)
		return write(c, t.head(path, fmt.Sprintf("Content-Length: %d", crowdBodyBytes)), filler[:crowdBodyBytes-1])
	},
	"pieces short of the end": func(t *crowdTarget, c net.Conn, number int) error {
		path, _ := t.submission(number)
		return writePieces(c, t.head(path, fmt.Sprintf("Content-Length: %d", crowdBodyBytes)), filler[:crowdBodyBytes-1])
	},
	"small chunks short of the end": func(t *crowdTarget, c net.Conn, number int) error {
		path, _ := t.submission(number)
		return write(c, t.head(path, "Transfer-Encoding: chunked"), smallChunks())
	},
	"large chunks short of the end": func(t *crowdTarget, c net.Conn, number int) error {
		path, _ := t.submission(number)
		return write(c, t.head(path, "Transfer-Encoding: chunked"), fmt.Appendf(nil, "%x\r\n", crowdBodyBytes), filler[:crowdBodyBytes-1])
	},
	"headers that never end": func(t *crowdTarget, c net.Conn, _ int) error {
		return write(c, fmt.Appendf(nil, "GET / HTTP/1.1\r\nHost: %s\r\nX-Fill: ", t.host), filler[:crowdHeaderBytes])
	},
	"silent connections": func(*crowdTarget, net.Conn, int) error { return nil },
	"unread answers": func(t *crowdTarget, c net.Conn, _ int) error {
		// A small buffer makes the server wait for the client early.
		if err := c.(*net.TCPConn).SetReadBuffer(4096); err != nil {
			return err
		}
		batch := []byte(strings.Repeat(fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", t.answers, t.host), unreadBatch))
		for range unreadWrites {
			if err := write(c, batch); err != nil {
				// The server has stopped to read because its answers are not read.
				return nil
			}
		}
		return nil
	},
}

// filler is read only.
var filler = bytes.Repeat([]byte("a"), 1<<20)

// smallChunks returns a body of crowdBodyBytes in chunks of one byte, without its end.
var smallChunks = sync.OnceValue(func() []byte { return bytes.Repeat([]byte("1\r\na\r\n"), crowdBodyBytes-1) })

// head returns the header of a submission.
func (t *crowdTarget) head(path, framing string) []byte {
	return fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nX-Deadline-Ms: 10000\r\n%s\r\n\r\n", path, t.host, framing)
}

func write(c net.Conn, parts ...[]byte) error {
	for _, p := range parts {
		if err := c.SetWriteDeadline(time.Now().Add(crowdWriteTimeout)); err != nil {
			return err
		}
		if _, err := c.Write(p); err != nil {
			return err
		}
	}
	return nil
}

func writePieces(c net.Conn, head, body []byte) error {
	if err := write(c, head); err != nil {
		return err
	}
	size := (len(body) + crowdPieces - 1) / crowdPieces
	for len(body) > 0 {
		n := min(size, len(body))
		if err := write(c, body[:n]); err != nil {
			return err
		}
		body = body[n:]
		time.Sleep(crowdPause)
	}
	return nil
}

// crowd is a number of hostile clients.
type crowd struct {
	target  *crowdTarget
	stopped chan struct{}
	// sent ends when each client has sent what it has on its first connection.
	sent sync.WaitGroup
	all  sync.WaitGroup
}

// startCrowd starts crowdSize clients, distributed over the actions.
func startCrowd(t *crowdTarget, actions ...string) *crowd {
	d := &crowd{target: t, stopped: make(chan struct{})}
	d.sent.Add(crowdSize)
	for i := range crowdSize {
		d.all.Go(func() { d.run(i, actions[i%len(actions)]) })
	}
	return d
}

func (d *crowd) run(number int, action string) {
	first := sync.OnceFunc(d.sent.Done)
	defer first()
	for i := range crowdConnections {
		c, err := net.DialTimeout("tcp", d.target.address, crowdWriteTimeout)
		if err == nil {
			// A write that fails means that the server has closed the connection.
			_ = crowdActions[action](d.target, c, number+i*crowdSize)
			first()
			d.hold(c, action != "unread answers")
		}
		select {
		case <-d.stopped:
			return
		default:
		}
	}
}

// hold keeps a connection until the server closes it or the crowd stops.
func (d *crowd) hold(c net.Conn, reads bool) {
	ended := make(chan struct{})
	if reads {
		go func() {
			defer close(ended)
			_, _ = io.Copy(io.Discard, c)
		}()
	}
	select {
	case <-ended:
	case <-d.stopped:
	}
	_ = c.Close()
}

// stop closes all connections and waits for the clients.
func (d *crowd) stop() {
	close(d.stopped)
	d.all.Wait()
}
