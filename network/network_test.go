package network

import (
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestKeepAlive checks the kernel's keep-alive options of a dialed socket.
func TestKeepAlive(t *testing.T) {
	is := is.New(t)
	listener, err := Real{}.Listen("127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	c, err := Real{DialTimeout: time.Second}.DialContext(t.Context(), "tcp", listener.Addr().String())
	is.NoErr(err)
	defer c.Close()
	raw, err := c.(*net.TCPConn).SyscallConn()
	is.NoErr(err)
	options := map[string]struct{ level, option, want int }{
		"on":       {syscall.SOL_SOCKET, syscall.SO_KEEPALIVE, 1},
		"idle":     {syscall.IPPROTO_TCP, syscall.TCP_KEEPIDLE, 3},
		"interval": {syscall.IPPROTO_TCP, syscall.TCP_KEEPINTVL, 1},
		"count":    {syscall.IPPROTO_TCP, syscall.TCP_KEEPCNT, 3},
	}
	for name, tt := range options {
		var got int
		var failed error
		is.NoErr(raw.Control(func(fd uintptr) { got, failed = syscall.GetsockoptInt(int(fd), tt.level, tt.option) }))
		is.NoErr(failed)
		if got != tt.want {
			t.Errorf("%s: %d instead of %d", name, got, tt.want)
		}
	}
}

// TestDialWithoutAccept guards against goroutines that a dial leaves running if nobody
// accepts its connection and it times out or the listener is closed.
func TestDialWithoutAccept(t *testing.T) {
	for name, end := range map[string]func(l net.Listener){
		"the dial gives up":      func(net.Listener) {},
		"the listener is closed": func(l net.Listener) { l.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				m := NewMemory(MemoryConfig{
					Delay: func(string, string) time.Duration { return 0 }, DialTimeout: time.Second,
				})
				l, err := m.Site("b").Listen("b:1")
				is.NoErr(err)
				time.AfterFunc(100*time.Millisecond, func() { end(l) })
				_, err = m.Site("a").DialContext(t.Context(), "tcp", "b:1")
				is.True(err != nil)
			})
		})
	}
}

// TestMemoryFaults sends one byte through each fault of the in-memory network.
func TestMemoryFaults(t *testing.T) {
	const delay = time.Millisecond
	all := func(string, string) bool { return true }
	tests := map[string]struct {
		// before and after are called before and after the byte is written.
		before, after func(m *Memory)
		arrives       time.Duration
		lost, refused bool
	}{
		"none": {arrives: delay},
		"slow": {
			before:  func(m *Memory) { m.Slow(func(string, string) time.Duration { return time.Second }) },
			after:   func(m *Memory) { m.Slow(nil) },
			arrives: delay + time.Second,
		},
		"dropped": {
			before: func(m *Memory) { m.Drop(func(_, _ string, data []byte) bool { return data[0] == 1 }) },
			lost:   true,
		},
		"reset on its way": {after: func(m *Memory) { m.Reset(all) }, lost: true},
		"dials refused":    {before: func(m *Memory) { m.Refuse(all) }, arrives: delay, refused: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				m := NewMemory(MemoryConfig{Delay: func(string, string) time.Duration { return delay }, DialTimeout: time.Second})
				l, err := m.Site("b").Listen("b:1")
				is.NoErr(err)
				accepted := make(chan net.Conn, 1)
				go func() {
					if c, err := l.Accept(); err == nil {
						accepted <- c
					}
				}()
				near, err := m.Site("a").DialContext(t.Context(), "tcp", "b:1")
				is.NoErr(err)
				far := <-accepted
				is.NoErr(far.SetReadDeadline(time.Now().Add(time.Minute)))
				if tt.before != nil {
					tt.before(m)
				}
				begun := time.Now()
				_, err = near.Write([]byte{1})
				is.NoErr(err)
				if tt.after != nil {
					tt.after(m)
				}
				_, err = far.Read(make([]byte, 1))
				is.Equal(err != nil, tt.lost)
				if !tt.lost {
					is.Equal(time.Since(begun), tt.arrives)
				}
				// Nobody accepts the second connection.
				begun = time.Now()
				_, err = m.Site("a").DialContext(t.Context(), "tcp", "b:1")
				is.True(err != nil)
				is.Equal(time.Since(begun) == 0, tt.refused)
				near.Close()
				far.Close()
				time.Sleep(2 * delay)
			})
		})
	}
}
