package entry

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/job"
	"github.com/catkingap/catkingap/outcome"
	"github.com/catkingap/catkingap/peer"
	"github.com/catkingap/catkingap/settings"
	"github.com/catkingap/catkingap/storage"
)

// oneRowTable is a table that returns one row, no row or an error.
type oneRowTable struct {
	storage.Table
	row *storage.Row
	err error
}

// Get implements storage.Table.
func (t oneRowTable) Get(context.Context, string) (*storage.Row, ident.Revision, error) {
	return t.row, 1, t.err
}

// TestLostCancelIsNotNotFound cancels a job that another host holds. Without an
// answer from that host or from the table, the response must not claim that the
// job does not exist.
func TestLostCancelIsNotNotFound(t *testing.T) {
	value, err := json.Marshal(job.Row{Job: ident.Job{Team: "kusweg", Key: "j"}, Holder: job.Holder{Host: "entry-2", Boot: "2"}, State: job.Started})
	if err != nil {
		t.Fatal(err)
	}
	held := &storage.Row{Key: "job/kusweg/j", Value: value, Revision: 1}
	tests := map[string]struct {
		table  oneRowTable
		answer func(holder *peer.Links) JobCancelled
		status int
		kind   outcome.Kind
		code   outcome.Code
	}{
		"held":               {table: oneRowTable{row: held}, answer: func(*peer.Links) JobCancelled { return JobCancelled{Held: true} }, status: http.StatusAccepted},
		"not held":           {table: oneRowTable{row: held}, answer: func(*peer.Links) JobCancelled { return JobCancelled{} }, status: http.StatusNotFound, kind: outcome.NotRun, code: outcome.NotFound},
		"no row":             {status: http.StatusNotFound, kind: outcome.NotRun, code: outcome.NotFound},
		"table away":         {table: oneRowTable{err: errors.New("away")}, status: http.StatusServiceUnavailable, kind: outcome.NotRun, code: outcome.StoreDown},
		"holder not reached": {table: oneRowTable{row: held}, status: http.StatusServiceUnavailable, kind: outcome.NotRun, code: outcome.Unreachable},
		"answer lost": {
			table:  oneRowTable{row: held},
			answer: func(holder *peer.Links) JobCancelled { holder.Close(); return JobCancelled{Held: true} },
			status: http.StatusGatewayTimeout, kind: outcome.Unknown, code: outcome.LinkLost,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				memory, logger := newNetwork(), &log.Logger{Handler: discard.New()}
				if tt.answer != nil {
					holder := newLinks(logger, memory.Site("entry-2"))
					peer.Handle(holder, kindJobCancel, func(context.Context, JobCancel) (JobCancelled, error) { return tt.answer(holder), nil })
					listener, err := memory.Site("entry-2").Listen("entry-2:1")
					is.NoErr(err)
					defer listener.Close()
					defer holder.Close()
					go func() { _ = holder.Serve(listener) }()
				}
				services, directory := testServices(t, &fakeSender{}), newDirectory()
				directory.update([]storage.Member{{ID: "entry-2", Role: storage.EntryHost, Address: "entry-2:1"}})
				links := newLinks(logger, memory.Site("entry-1"))
				defer links.Close()
				jobs := newJobs(testIdentity(), nil, tt.table, nil, services.store, services.dispatcher, directory, links, nil, logger)
				s := settings.Default()
				shutdown := newShutdown(s, nil, nil, services.handover)
				handler := newAPI(s, services.store, jobs, services, nil, newMetrics(), newRequestLog(logger), nil, shutdown).Handler()
				recorder := httptest.NewRecorder()
				handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodDelete, "/v1/jobs/kusweg/j", nil))
				is.Equal(recorder.Code, tt.status)
				if tt.kind != "" {
					var answer ErrorAnswer
					is.NoErr(json.Unmarshal(recorder.Body.Bytes(), &answer))
					is.Equal(answer.Error.Kind, tt.kind)
					is.Equal(answer.Error.Code, tt.code)
				}
			})
		})
	}
}
