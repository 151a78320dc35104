package integration

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/client"
	"github.com/catkingap/catkingap/demo"
	"github.com/catkingap/catkingap/entry"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/repairlog"
)

func TestWholePath(t *testing.T) {
	k := newCluster(t, clusterConfig{hosts: 3, backends: 3, slots: 64})
	file, err := os.Open(filepath.Join("..", "samples", "repair-logs.jsonl"))
	k.is.NoErr(err)
	defer file.Close()
	payloads, err := client.ReadPayloads(file)
	k.is.NoErr(err)
	k.is.True(len(payloads) >= 500)
	s := demo.Submission("tide", repairlog.Generate(1, len(payloads)))
	for i, p := range payloads {
		s.Tasks[i].Payload = p
	}
	answer, err := k.submit(k.hosts[0], s)
	k.is.NoErr(err)
	k.checkComplete(s, answer)

	again, err := k.submit(k.hosts[1], s)
	k.is.NoErr(err)
	k.is.Equal(again, answer)
	k.checkComplete(s, again)
}

func TestServiceRequest(t *testing.T) {
	k := newCluster(t, clusterConfig{hosts: 1, backends: 1, slots: 1})
	payload := newSubmission("call", 2, 1, 0).Tasks[0].Payload
	answer, err := k.hosts[0].client.Call(t.Context(), entry.ServiceRequest{Team: teamName, Service: serviceName, Body: payload})
	k.is.NoErr(err)
	k.is.NoErr(repairlog.Check(payload, answer))
}

func TestDemoFailsOnCrossedAnswer(t *testing.T) {
	is := is.New(t)
	p := start(t, "demo", "--cross")
	<-p.exited
	is.Equal(p.command.ProcessState.ExitCode(), 1)
}

func TestSampleFileIsGenerated(t *testing.T) {
	is := is.New(t)
	file, err := os.Open(filepath.Join("..", "samples", "repair-logs.jsonl"))
	is.NoErr(err)
	defer file.Close()
	payloads, err := client.ReadPayloads(file)
	is.NoErr(err)
	logs := repairlog.Generate(20261204, len(payloads))
	for i, s := range demo.Submission(ident.JobKey("x"), logs).Tasks {
		is.Equal(string(s.Payload), string(payloads[i]))
	}
}
