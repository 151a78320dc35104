package main

import (
	"bytes"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// withProxies is set in the environment to put a proxy before each host's links and between
// each host and the store, for the soak only.
const withProxies = "RIG_PROXIES"

// proxy forwards connections to an address. While it is cut it drops what it gets, without
// closing a connection.
type proxy struct {
	world  *world
	target string
	// owner is the host that the proxy belongs to, whose name is found in its messages.
	owner string

	mutex sync.Mutex
	cut   bool
}

// newProxy starts a proxy at an address.
func newProxy(w *world, address, target, owner string) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{world: w, target: target, owner: owner}
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			go p.forward(near)
		}
	}()
	return p, nil
}

func (p *proxy) setCut(cut bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.cut = cut
}

func (p *proxy) isCut() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.cut
}

// flow is one connection through a proxy.
type flow struct {
	proxy *proxy
	mutex sync.Mutex
	// from is the host that opened the connection, once it is known, and doomed is true once
	// bytes of the connection were dropped.
	from   string
	doomed bool
}

// passes returns true if bytes of the flow are forwarded.
func (f *flow) passes() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.proxy.isCut() || (f.from != "" && f.proxy.world.isCut(f.from, f.proxy.owner)) {
		f.doomed = true
	}
	return !f.doomed
}

func (f *flow) identify(data []byte) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.from != "" {
		return
	}
	for _, h := range f.proxy.world.hosts {
		if h.name != f.proxy.owner && bytes.Contains(data, []byte(h.name)) {
			f.from = h.name
			return
		}
	}
}

func (p *proxy) forward(near net.Conn) {
	defer near.Close()
	if p.isCut() {
		// The opening packet gets no answer until the client gives up.
		_, _ = io.Copy(io.Discard, near)
		return
	}
	far, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		return
	}
	defer far.Close()
	f := &flow{proxy: p}
	go func() {
		f.copy(near, far, false)
		for p.isCut() {
			// The end of the connection does not pass either.
			time.Sleep(10 * time.Millisecond)
		}
		near.Close()
	}()
	f.copy(far, near, true)
}

func (f *flow) copy(to io.Writer, from io.Reader, identify bool) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if identify {
			f.identify(buffer[:n])
		}
		if !f.passes() {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// cutHosts cuts hosts off from the store and from all hosts that are not among them.
func (w *world) cutHosts(hosts []*host, cut bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.group = map[string]bool{}
	for _, h := range hosts {
		w.group[h.name] = cut
		h.storeProxy.setCut(cut)
		w.record.printf("host %s: cut off %t", h.name, cut)
	}
}

// isCut returns true if two hosts are cut off from each other.
func (w *world) isCut(a, b string) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.group[a] != w.group[b]
}

func proxied() bool { return os.Getenv(withProxies) != "" }
