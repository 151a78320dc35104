package integration

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"
)

// crowdFaults holds the kinds of faults that come beside crowds, in series and overlapping.
var crowdFaults = []string{"crowd", "crowd", "crowd", "pause", "wake", "kill", "term", "links", "leave", "centre", "table", "store", "workers"}

// crowdSeeds are the seeds that CI runs.
var crowdSeeds = []uint64{1, 2, 3}

// rigMemory is the memory of a host in MiB, MemoryMb of rigSettings.
const rigMemory = 219

// TestOverloadSoak is TestSoak with crowds of hostile clients among the faults. No process may
// take more than the memory of its settings. With the flags of the soak it runs other seeds.
func TestOverloadSoak(t *testing.T) {
	if os.Getenv(overloadVariable) == "" {
		t.Skip(overloadVariable + " is not set")
	}
	seeds := crowdSeeds
	if *soakSeeds > 0 {
		seeds = nil
		for i := range *soakSeeds {
			seeds = append(seeds, *soakFirst+uint64(i))
		}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			r := soak(t, seed, crowdFaults)
			for _, h := range r.hosts {
				peak := peakMemory(h.pid())
				t.Logf("%s: at most %d MiB resident", h.name, peak>>20)
				if peak > rigMemory<<20 {
					t.Errorf("%s had %d MiB resident, at most %d are allowed", h.name, peak>>20, rigMemory)
				}
			}
		})
	}
}

// crowdHost lets a crowd of clients attack a host for a time, with jobs of many steps or of small
// tasks.
func (r *rig) crowdHost(x *rand.Rand) {
	actions := []string{
		"whole bodies", "whole bodies", "bodies in pieces", "bodies short of their end", "small chunks short of the end",
		"large chunks short of the end", "unread answers",
	}
	h, action, took := r.pickHost(x), actions[x.IntN(len(actions))], randomTime(x, 500, 3000)
	fields := []string{"", bestEffort}[x.IntN(2)]
	body := []string{manySteps(fields), smallTasks(fields)}[x.IntN(2)]
	prefix := x.Uint32()
	t := &crowdTarget{
		address: fmt.Sprintf("%s:%d", h.ip, frontPort), host: rigCaller, answers: "/nowhere",
		submission: func(number int) (string, []byte) {
			id := fmt.Sprintf("%08x%08x", prefix, number)
			r.kinds.Store(id, jobKind{runTime: smallTaskTime, cores: smallTaskCores})
			return rigPrefix + id, []byte(body)
		},
	}
	defer r.recordFault([]*rigHost{h}, "crowd with %s of %d bytes at", action, len(body))()
	d := startCrowd(t, action)
	time.Sleep(took)
	d.stop()
}
