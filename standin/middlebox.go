package standin

import (
	"net"
	"sync"
	"time"
)

// Middlebox is a stand-in for a device between the two ends of a connection that
// tracks the connection, such as a firewall. It forwards connections to an address
// until it forgets them. Forgotten connections stay open but drop all data, while
// new ones work.
type Middlebox struct {
	listener net.Listener
	upstream string

	mutex sync.Mutex
	// epoch counts the calls of Forget.
	epoch int
}

const middleboxDialTimeout = time.Second

// NewMiddlebox returns a middlebox that forwards to upstream.
func NewMiddlebox(upstream string) (*Middlebox, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m := &Middlebox{listener: listener, upstream: upstream}
	go m.serve()
	return m, nil
}

// Address returns the address that it listens on.
func (m *Middlebox) Address() string { return m.listener.Addr().String() }

// Close stops accepting connections.
func (m *Middlebox) Close() error { return m.listener.Close() }

// Forget drops the tracking of all open connections for good.
func (m *Middlebox) Forget() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.epoch++
}

func (m *Middlebox) currentEpoch() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.epoch
}

func (m *Middlebox) serve() {
	for {
		near, err := m.listener.Accept()
		if err != nil {
			return
		}
		go m.forward(near)
	}
}

func (m *Middlebox) forward(near net.Conn) {
	epoch := m.currentEpoch()
	far, err := net.DialTimeout("tcp", m.upstream, middleboxDialTimeout)
	if err != nil {
		near.Close()
		return
	}
	go m.copyOneWay(near, far, epoch)
	m.copyOneWay(far, near, epoch)
}

// copyOneWay copies one direction of a connection until it ends. Data that arrives
// after the connection was forgotten is dropped, and its end is not passed on.
func (m *Middlebox) copyOneWay(from, to net.Conn, epoch int) {
	data := make([]byte, 4096)
	for {
		n, err := from.Read(data)
		if m.currentEpoch() != epoch {
			if err != nil {
				from.Close()
				return
			}
			continue
		}
		if n > 0 {
			if _, failed := to.Write(data[:n]); failed != nil {
				err = failed
			}
		}
		if err != nil {
			to.Close()
			from.Close()
			return
		}
	}
}
