package cmd

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/client"
	"github.com/catkingap/catkingap/demo"
	"github.com/catkingap/catkingap/resource"
	"github.com/catkingap/catkingap/standin"
)

const (
	validResources = `kind: service
name: masks
spec: {pool: masks, timeoutMs: 500}
---
kind: pool
name: masks
labels: {team: workshop}
spec: {}
`
	changedResources = `kind: service
name: masks
spec: {pool: masks, timeoutMs: 900}
---
kind: pool
name: masks
labels: {team: workshop}
`
	invalidResources = `kind: pool
name: masks
spec: {queueTask: 7}
---
kind: crew
name: Masks
`
)

// TestResourceCommands runs the resource commands one after another on one host.
func TestResourceCommands(t *testing.T) {
	is := is.New(t)
	d, err := demo.Start(t.Context(), demo.Config{Progress: io.Discard, Log: io.Discard})
	is.NoErr(err)
	defer d.Stop()
	good, changed, bad := writeFile(t, "good.yaml", validResources), writeFile(t, "changed.yaml", changedResources), writeFile(t, "bad.yaml", invalidResources)
	list, err := d.Client(0).List(t.Context(), resource.KindPool, client.ListOptions{})
	is.NoErr(err)
	after := []string{"watch", "pool", "--count", "1", "--revision", fmt.Sprint(list.Revision)}
	steps := []commandTest{
		{args: []string{"apply", "-f", bad}, code: ExitUsage, stderr: []string{
			"bad.yaml: document 1", "pool masks: spec.queueTask: is not a known field", "document 2", "crew Masks", "name", "kind",
		}},
		{args: []string{"apply", "-f", "/no/such/file"}, code: ExitUsage, stderr: []string{"/no/such/file"}},
		{args: []string{"apply", "-f", "-"}, code: ExitUsage, stderr: []string{"no document"}},
		{stdin: "kind: pool\nnmae: x\n", args: []string{"apply", "-f", "-"}, code: ExitUsage, stderr: []string{"document 1", "nmae"}},
		{args: []string{"apply", "-f", good, "--dry-run"}, stdout: []string{"pool masks created (dry run)", "service masks created (dry run)"}},
		{args: []string{"get", "pool", "masks"}, code: ExitNotRun, stderr: []string{"pool masks", "notFound", "check the name"}},
		{args: []string{"apply", "-f", good}, stdout: []string{"pool masks created", "service masks created"}},
		{args: []string{"apply", "-f", good}, stdout: []string{"pool masks unchanged", "service masks unchanged"}},
		{args: []string{"apply", "-f", changed}, stdout: []string{"pool masks unchanged", "service masks changed"}},
		{args: after, stdout: []string{"put pool masks revision="}},
		{args: []string{"get", "pools", "-l", "team=workshop"}, stdout: []string{"KIND", "READY", "masks", "false", "NoServerServes", "team=workshop"}},
		{args: []string{"get", "pools", "-l", "team"}, code: ExitNotRun, stderr: []string{`label "team"`}},
		{args: []string{"get", "Service", "masks", "-o", "json"}, stdout: []string{`"timeoutMs": 900`, `"conditions"`}},
		{args: []string{"get", "service", "masks", "-o", "yaml"}, stdout: []string{"timeoutMs: 900"}},
		{args: []string{"get", "crew"}, code: ExitUsage, stderr: []string{`kind "crew" is not one of`}},
		{args: []string{"describe", "service", "masks"}, stdout: []string{"timeoutMs: 900", "seen by entry-1", "Available", "0 of 0 backend servers"}},
		{args: []string{"describe", "service", "none"}, code: ExitNotRun, stderr: []string{"service none"}},
		{args: []string{"delete", "pool", "masks"}, code: ExitNotRun, stderr: []string{"service masks uses the pool"}},
		{args: []string{"delete", "service", "masks", "--revision", "1"}, code: ExitNotRun, stderr: []string{"service masks", "conflict", "at revision", "read it again"}},
		{args: []string{"delete", "service", "masks"}, stdout: []string{"service masks deleted"}},
		{args: []string{"delete", "service", "masks"}, code: ExitNotRun, stderr: []string{"service masks", "notFound"}},
		{args: []string{"delete", "pool"}, code: ExitUsage, stderr: []string{"accepts 2 arg"}},
		{args: []string{"drain", "runner-1-1"}, stdout: []string{"backendServer runner-1-1 drains"}},
		{args: []string{"describe", "backendServer", "runner-1-1"}, stdout: []string{"drain: true", "Leaving", "true", "DrainDeclared"}},
		{args: []string{"drain", "--undo", "runner-1-1"}, stdout: []string{"runner-1-1 serves again"}},
		{args: []string{"drain", "runner-9"}, code: ExitNotRun, stderr: []string{"backendServer runner-9"}},
		{args: []string{"watch", "crew"}, code: ExitUsage, stderr: []string{`kind "crew"`}},
		{args: []string{"watch", "pool", "--revision", "-1"}, code: ExitNotRun, stderr: []string{"revision"}},
	}
	for _, s := range steps {
		t.Logf("catkingap %v", s.args)
		s.check(t, d.URL(0))
	}
}

// answerLossTime is how long the answers of the platform are lost.
const answerLossTime = 300 * time.Millisecond

// TestApplyWithLostAnswer checks that apply reports a created team, not a conflict,
// if the platform's answers to the write are lost for a while.
func TestApplyWithLostAnswer(t *testing.T) {
	is := is.New(t)
	d, err := demo.Start(t.Context(), demo.Config{Progress: io.Discard, Log: io.Discard})
	is.NoErr(err)
	defer d.Stop()
	d.Platform().Table.Faults.Set(standin.Faults{Mode: standin.LoseAnswer})
	time.AfterFunc(answerLossTime, func() { d.Platform().Table.Faults.Set(standin.Faults{}) })
	commandTest{
		stdin: "kind: team\nname: troupe\n", args: []string{"apply", "-f", "-"}, stdout: []string{"team troupe created"},
	}.check(t, d.URL(0))
}
