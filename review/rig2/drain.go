package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["drain"] = playDrain }

// lossSlack is LossSlackMs of the settings.
const lossSlack = 200 * time.Millisecond

// playDrain stops and starts the hosts in turn by SIGTERM, while clients hand in jobs over
// connections that they keep open. It is an exploration, no case.
func playDrain(w *world, trouble bool) ([]string, error) {
	w.configure(1)
	for i := range 4 * len(zones) {
		w.addRunner(runnerConfig{id: fmt.Sprintf("i-%04x", 0x9000+i), zone: zones[i/4], number: i, labels: []string{"a"}, cores: runnerCores})
	}
	if err := w.addHosts(2); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	end := time.Now().Add(70 * time.Second)
	var mutex sync.Mutex
	var found []string
	answers := map[string]int{}
	misses := map[*host]int{}
	go func() {
		for time.Now().Before(end) {
			for _, h := range w.hosts {
				ready := h.isReady()
				mutex.Lock()
				misses[h]++
				if ready {
					misses[h] = 0
				}
				mutex.Unlock()
			}
			time.Sleep(time.Second)
		}
	}()
	pick := func() *host {
		mutex.Lock()
		defer mutex.Unlock()
		for {
			if h := w.hosts[rand.IntN(len(w.hosts))]; misses[h] < 2 {
				return h
			}
		}
	}
	var wait sync.WaitGroup
	for range 24 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for time.Now().Before(end) {
				h := pick()
				c := http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{}}
				for n := range 40 {
					j := jobSpec{id: newID(), tasks: 1 + rand.IntN(3), ms: 20 + rand.IntN(1500), cores: 2000, bestEffort: true}
					sent := time.Now()
					status, err := post(&c, h, j)
					took := time.Since(sent)
					mutex.Lock()
					answers[fmt.Sprint(status)]++
					ran := len(w.runs.ofJob(j.id)) > 0
					if err != nil && !errors.Is(err, syscall.ECONNREFUSED) && (ran || took > lossSlack) {
						found = append(found, fmt.Sprintf("LOST: job %s at %s, request %d of its connection: %v after %s, begun %t", j.id, h.name, n, err, took, ran))
					}
					mutex.Unlock()
					if err != nil || time.Now().After(end) {
						break
					}
				}
				c.CloseIdleConnections()
			}
		}()
	}
	for trouble && time.Now().Before(end.Add(-9*time.Second)) {
		for _, h := range w.hosts {
			if time.Now().After(end.Add(-9 * time.Second)) {
				break
			}
			w.record.printf("host %s: SIGTERM", h.name)
			_ = h.process.Process.Signal(syscall.SIGTERM)
			<-h.ended
			w.record.printf("host %s: has ended", h.name)
			time.Sleep(300 * time.Millisecond)
			_ = h.start()
			time.Sleep(3 * time.Second)
		}
	}
	wait.Wait()
	w.record.printf("answers: %v", answers)
	return append(found, w.runs.overlaps()...), nil
}

// post hands a job in over a connection that is kept open.
func post(c *http.Client, h *host, j jobSpec) (int, error) {
	step := map[string]any{"Count": j.tasks, "Cpu": j.cores, "MemMb": 64, "EstimatedMs": j.ms}
	data, _ := json.Marshal(map[string]any{"Spec": fmt.Sprintf("%d %d", j.ms, j.cores), "Steps": []any{step}, "BestEffort": true})
	request, err := http.NewRequest(http.MethodPost, "http://"+h.front+routePrefix+j.id, bytes.NewReader(data))
	if err != nil {
		return 0, err
	}
	request.Host, request.GetBody = routeHost, nil
	request.Header.Set("X-Deadline-Ms", "5000")
	response, err := c.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode == http.StatusOK && !strings.Contains(string(text), "State") {
		err = errors.New("the answer is not whole")
	}
	return response.StatusCode, err
}
