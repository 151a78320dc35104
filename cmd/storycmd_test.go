package cmd

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const (
	entryLog = `  1.0 entry-1 {"fields":{"host":"entry-1","job":"aa11","result":"completed"},"level":"info","timestamp":"2026-12-04T10:00:03Z","message":"job answered"}
{"fields":{"host":"entry-1","job":"bb22","result":"refused"},"level":"info","timestamp":"2026-12-04T10:00:02Z","message":"job answered"}
not a log line
{"fields":{"host":"entry-1","peer":"entry-2"},"level":"warn","timestamp":"2026-12-04T09:00:00Z","message":"host is silent"}
`
	ownerLog = `{"fields":{"host":"entry-2","order":"start","task":"aa11.0.0.1","verdict":"unanswered"},"level":"warn","timestamp":"2026-12-04T10:00:01Z","message":"order not accepted"}
{"fields":{"host":"entry-2","order":"start","task":"bb22.0.0.1","verdict":"unanswered"},"level":"warn","timestamp":"2026-12-04T10:00:01Z","message":"order not accepted"}
{"fields":{"host":"entry-2","dataCentre":"coast-a"},"level":"warn","timestamp":"2026-12-04T10:00:02Z","message":"ownership lost"}
{"fields":{"host":"entry-2","cause":"crashed","tasks":["bb22.0.0.1","aa11.0.0.1"],"worker":"w1"},"level":"warn","timestamp":"2026-12-04T10:00:07Z","message":"worker lost with its runs"}
{"fields":{"host":"entry-2","dataCentre":"coast-a"},"level":"info","timestamp":"2026-12-04T10:00:08Z","message":"owner changed"}
`
)

func TestStory(t *testing.T) {
	is := is.New(t)
	files := []string{writeFile(t, "entry.log", entryLog), writeFile(t, "owner.log", ownerLog)}
	r := runCommand("", append([]string{"story", "aa11"}, files...)...)
	is.Equal(r.code, ExitDone)
	lines := strings.Split(strings.TrimSpace(r.stdout), "\n")
	is.Equal(len(lines), 5)
	for i, word := range []string{"order not accepted", "ownership lost", "job answered", "worker lost with its runs", "owner changed"} {
		is.True(strings.Contains(lines[i], word))
	}
	is.Equal(runCommand("", append([]string{"story", "cc33"}, files...)...).code, ExitFailed)
	is.Equal(runCommand("", "story", "aa11", "no-such.log").code, ExitUsage)
}

const callsLog = `{"fields":{"call":7,"host":"entry-1","job":"aa11","result":"completed","tookMs":300},"level":"info","timestamp":"2026-12-04T10:00:03.4Z","message":"job answered"}
{"fields":{"call":8,"host":"entry-1","job":"bb22","result":"refused","tookMs":2},"level":"info","timestamp":"2026-12-04T10:00:05Z","message":"job answered"}
{"fields":{"call":7,"peer":"entry-1","job":"aa11","objectiveMs":156,"waitedMs":2,"runs":["0.0#1 w1 90+200 done"]},"level":"info","timestamp":"2026-12-04T10:00:03Z","message":"job dispatched"}
`

func TestLosses(t *testing.T) {
	is := is.New(t)
	r := runCommand("", "losses", "--window", "1s", writeFile(t, "entry.log", callsLog))
	is.Equal(r.code, ExitDone)
	is.Equal(strings.Split(strings.TrimSpace(r.stdout), "\n"), []string{
		"10:00:03     1 calls: 1 ran longer than estimated",
		"10:00:04     1 calls: 1 refused at once",
		"all          2 calls: 1 ran longer than estimated, 1 refused at once",
	})
	is.Equal(runCommand("", "losses", "no-such.log").code, ExitUsage)
	is.Equal(runCommand("", "losses", "--window", "0s", "no-such.log").code, ExitUsage)
}
