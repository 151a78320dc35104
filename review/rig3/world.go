package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// world is a small deployment: hosts as processes, the rest as stand-ins.
type world struct {
	rec     *record
	root    string
	folder  string
	temp    string
	network string
	zones   []string
	store   *store
	fleet   *fleet
	hosts   []*host
	trouble bool
}

// The route of the deployment.
const (
	service   = "groyne-logs"
	routeHost = "nony24.example"
	prefix    = "/lohu930/"
	attempts  = 3
)

// layout says what a world has.
type layout struct {
	hostsPerZone, runnersPerZone, perRack int
	capacity                              size
	memory                                int
	// first is the memory of the first host of each zone, if it differs.
	first int
}

// newWorld starts a deployment and waits until all its hosts are ready.
func newWorld(folder string, l layout) (*world, error) {
	root, err := filepath.Abs(filepath.Join(folder, "..", ".."))
	if err != nil {
		return nil, err
	}
	rec, err := newRecord(folder)
	if err != nil {
		return nil, err
	}
	w := &world{rec: rec, root: root, folder: folder, zones: []string{"za-coast-a", "za-coast-b", "za-coast-c"}, trouble: os.Getenv("TROUBLE") != "0"}
	if w.temp, err = os.MkdirTemp("", "rig3-"); err != nil {
		return nil, err
	}
	if w.network, err = freeNetwork(); err != nil {
		return nil, err
	}
	w.store = newStore(rec)
	listener, err := net.Listen("tcp", w.network+".250:8169")
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(listener, w.store.handler()) }()
	w.store.put("op", "config", configuration(1))
	if w.fleet, err = newFleet(rec, w.store, service, w.network, w.zones, l.runnersPerZone, l.perRack, l.capacity); err != nil {
		return w, err
	}
	for z, zone := range w.zones {
		for i := range l.hostsPerZone {
			w.hosts = append(w.hosts, &host{name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, ip: fmt.Sprintf("%s.%d", w.network, 1+z*l.hostsPerZone+i), memory: l.memory})
			if i == 0 && l.first > 0 {
				w.hosts[len(w.hosts)-1].memory = l.first
			}
		}
	}
	for _, h := range w.hosts {
		h.file, h.log = filepath.Join(w.temp, h.name+".toml"), filepath.Join(w.temp, h.name+".log")
		if err := os.WriteFile(h.file, []byte(settings(h, w.hosts, w.zones, w.network+".250:8169", h.memory)), 0o644); err != nil {
			return w, err
		}
		if err := h.start(w.root); err != nil {
			return w, err
		}
	}
	for _, h := range w.hosts {
		for end := time.Now().Add(20 * time.Second); !h.isReady(); time.Sleep(100 * time.Millisecond) {
			if time.Now().After(end) {
				return w, fmt.Errorf("%s is not ready", h.name)
			}
		}
	}
	// The first seconds, in which data centres get their owners, are over.
	time.Sleep(2 * time.Second)
	rec.say("%d hosts are ready, trouble %t", len(w.hosts), w.trouble)
	return w, nil
}

// configuration returns the operator's configuration.
func configuration(version int) map[string]any {
	return map[string]any{
		"Version": version,
		"Routes": []map[string]any{{
			"Name": "lohu930", "Host": routeHost, "Prefix": prefix, "TimeoutMs": 10000, "TargetLatencyMs": 60, "Priority": 1, "Service": service,
			"MaxAttempts": attempts, "Stretch": 1.6,
		}},
		"Services": []map[string]any{{"Name": service, "AdmissionCheck": true}},
		"Limits":   map[string]any{"MaxBodyBytes": 262144, "MaxHeaderBytes": 16384},
	}
}

// close ends all processes that the world started.
func (w *world) close() {
	if w == nil {
		return
	}
	for _, h := range w.hosts {
		if h.command != nil {
			h.signal(syscall.SIGCONT)
			h.signal(syscall.SIGKILL)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for _, h := range w.hosts {
		if h.done != nil {
			select {
			case <-h.done:
			case <-ctx.Done():
			}
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.temp)
	} else {
		fmt.Println("logs in", w.temp)
	}
}
