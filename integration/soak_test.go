package integration

import (
	"cmp"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/catkingap/catkingap/standin"
)

// The flags of the soak, for runs by hand:
//
//	go test ./integration -run TestSoak -timeout 2h -args -soak.seeds 50 -soak.first 100
var (
	soakSeeds = flag.Int("soak.seeds", 0, "number of seeds of the soak, instead of those that have failed before")
	soakFirst = flag.Uint64("soak.first", 1, "first seed of the soak")
	soakTime  = flag.Duration("soak.time", 8*time.Second, "time of faults and load of one seed")
	soakRate  = flag.Float64("soak.rate", 0, "jobs a second, instead of the 20 to 30 of each seed")
	soakOnly  = flag.String("soak.only", "", "comma-separated kinds of faults, instead of the mix of each seed")
	soakKeep  = flag.Bool("soak.keep", false, "keep the folders of runs that passed")
)

// soakFailed holds the seeds that have failed, by their kinds of faults. With
// each of them tasks ran twice at once before owners acted on keepalives only.
var soakFailed = map[string]uint64{
	"all kinds of faults":           6,
	"hosts wake late":               4,
	"links are reset":               2,
	"links are reset, other series": 5,
}

const (
	// soakQuietTime is the time of load without faults before and after them.
	// It is also the time after the load in which nothing may start any more.
	soakQuietTime = time.Second
	// faultSlack is how long before and after a fault a host may leave callers
	// without an answer.
	faultSlack = time.Second
)

// TestSoak runs real processes under load through series of faults. No task may
// run twice at the same time, no task of a rejected job may start, and each
// host without a fault must answer its callers.
func TestSoak(t *testing.T) {
	if *soakSeeds == 0 {
		for name, seed := range soakFailed {
			t.Run(name, func(t *testing.T) { soak(t, seed, faultMixes[seed%uint64(len(faultMixes))]) })
		}
	}
	for i := range *soakSeeds {
		seed := *soakFirst + uint64(i)
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { soak(t, seed, faultMixes[seed%uint64(len(faultMixes))]) })
	}
}

// soak runs one seed with the given kinds of faults, and returns the rig, whose processes still
// run.
func soak(t *testing.T, seed uint64, kinds []string) *rig {
	r := newRig(t)
	go r.probeHosts(t.Context())
	if *soakOnly != "" {
		kinds = strings.Split(*soakOnly, ",")
	}
	random := rand.New(rand.NewPCG(seed, 2))
	rate := cmp.Or(*soakRate, 20+10*random.Float64())
	done := make(chan struct{})
	go func() {
		defer close(done)
		time.Sleep(soakQuietTime)
		r.injectFaults(rand.New(rand.NewPCG(seed, 1)), kinds, *soakTime)
	}()
	r.runLoad(random, rate, *soakTime+2*soakQuietTime)
	<-done
	time.Sleep(soakQuietTime)
	r.report(seed)
	return r
}

// report logs the totals and every violation.
func (r *rig) report(seed uint64) {
	starts, ended, _ := r.recorder.Summary()
	results := map[int]int{}
	for _, x := range r.attempts {
		results[x.Status]++
	}
	r.t.Logf("seed %d: %d tries by status %v, %d starts, %d done, %d faults", seed, len(r.attempts), results, starts, ended, len(r.faults))
	described := map[string]bool{}
	for _, o := range r.recorder.Overlaps(time.Now()) {
		id, _, _ := strings.Cut(o.First.Task, ".")
		r.t.Errorf("ran twice at once: %s", o.Text(r.began))
		if !described[id] {
			r.t.Log("attempts of its job:" + r.describeAttempts(id))
		}
		described[id] = true
	}
	r.t.Logf("seed %d: %d jobs with tasks that ran twice at once", seed, len(described))
	for _, text := range append(r.refusedButStarted(r.recorder.Runs()), r.unanswered()...) {
		r.t.Error(text)
	}
	if !r.t.Failed() {
		return
	}
	for _, f := range r.faults {
		r.t.Logf("fault %.3f to %.3f: %s", f.From.Seconds(), f.Until.Seconds(), f.Text)
	}
	r.t.Logf("seed %d; logs are in %s", seed, r.folder)
}

// describeAttempts lists the attempts of a job.
func (r *rig) describeAttempts(id string) string {
	var text strings.Builder
	for _, x := range r.attempts {
		if x.Job == id {
			fmt.Fprintf(&text, "\n\tsent to %s from %.3f to %.3f: %d %s", x.Host, x.From, x.Until, x.Status, x.Error)
		}
	}
	return text.String()
}

// refusedButStarted returns a text for each task that started although all
// attempts of its job were rejected.
func (r *rig) refusedButStarted(runs map[string][]standin.Run) []string {
	rejected := map[string]bool{}
	for _, x := range r.attempts {
		no := x.Status == http.StatusServiceUnavailable || x.Status == http.StatusTooManyRequests || x.Status == http.StatusNotFound
		if all, ok := rejected[x.Job]; !ok || all {
			rejected[x.Job] = no
		}
	}
	var texts []string
	for task, all := range runs {
		if id, _, _ := strings.Cut(task, "."); rejected[id] {
			texts = append(texts, fmt.Sprintf("a job that was refused ran: %+v%s", all, r.describeAttempts(id)))
		}
	}
	return texts
}

// unanswered returns the attempts without an answer at hosts that had no fault
// meanwhile.
func (r *rig) unanswered() []string {
	var texts []string
	for _, x := range r.attempts {
		left := x.Host == "" || (x.Status == 0 && !x.Patient && strings.Contains(x.Error, "deadline exceeded"))
		if x.Status != 0 || left || slices.ContainsFunc(r.faults, func(f faultRecord) bool { return f.excuses(x) }) {
			continue
		}
		texts = append(texts, fmt.Sprintf("no answer: %+v", x))
	}
	return texts
}

// excuses reports whether the fault affected the host of an attempt meanwhile.
func (f faultRecord) excuses(x attempt) bool {
	touched := slices.ContainsFunc(f.Hosts, func(h *rigHost) bool { return h.name == x.Host })
	return touched && f.From-faultSlack < seconds(x.Until) && f.Until+faultSlack > seconds(x.From)
}

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
