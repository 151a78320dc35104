package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/catkingap/catkingap/platform"
)

// Table is a stand-in for the platform's transactional table.
type Table struct {
	Faults Switch
	// WriteTime is the time that a synced write takes.
	WriteTime time.Duration

	mutex    sync.Mutex
	rows     map[string]platform.KeyValue
	stale    map[string]platform.KeyValue
	revision platform.Int64
	writes   atomic.Int64
	reads    atomic.Int64
}

// NewTable returns an empty table.
func NewTable(writeTime time.Duration) *Table {
	return &Table{WriteTime: writeTime, rows: map[string]platform.KeyValue{}, revision: 1}
}

// TableStatistics counts what the table has done.
type TableStatistics struct {
	Writes int64 `json:"writes"`
	Reads  int64 `json:"reads"`
	Rows   int   `json:"rows"`
}

// Statistics returns the counts since the start.
func (t *Table) Statistics() TableStatistics {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return TableStatistics{Writes: t.writes.Load(), Reads: t.reads.Load(), Rows: len(t.rows)}
}

// Register adds the table's paths to mux.
func (t *Table) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST "+platform.PathTxn, t.Faults.guard(t.serveTxn))
	mux.HandleFunc("POST "+platform.PathRange, t.Faults.guard(t.serveRange))
	mux.HandleFunc("GET /table/statistics", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, t.Statistics()) })
	mux.HandleFunc("PUT /table"+PathFaults, func(w http.ResponseWriter, r *http.Request) {
		t.keepStale()
		t.Faults.ServeHTTP(w, r)
	})
}

// keepStale remembers the present rows for stale answers.
func (t *Table) keepStale() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.stale = make(map[string]platform.KeyValue, len(t.rows))
	for k, v := range t.rows {
		t.stale[k] = v
	}
}

func (t *Table) serveTxn(w http.ResponseWriter, r *http.Request, _ Faults) {
	var request platform.TxnRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.writes.Add(1)
	if !sleep(r.Context(), t.WriteTime) {
		return
	}
	t.mutex.Lock()
	t.revision++
	response := t.apply(request)
	t.mutex.Unlock()
	writeJSON(w, response)
}

func (t *Table) serveRange(w http.ResponseWriter, r *http.Request, f Faults) {
	var request platform.RangeRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.reads.Add(1)
	t.mutex.Lock()
	rows := t.rows
	if f.Mode == Stale {
		rows = t.stale
	}
	response := t.find(rows, request)
	t.mutex.Unlock()
	writeJSON(w, response)
}

// apply executes a transaction. The caller holds the mutex.
func (t *Table) apply(request platform.TxnRequest) platform.TxnResponse {
	response := platform.TxnResponse{Header: platform.Header{Revision: t.revision}, Succeeded: true}
	for _, c := range request.Compare {
		if t.rows[string(c.Key)].ModRevision != c.ModRevision {
			response.Succeeded = false
		}
	}
	operations := request.Success
	if !response.Succeeded {
		operations = request.Failure
	}
	for _, o := range operations {
		response.Responses = append(response.Responses, t.operate(o))
	}
	return response
}

// operate executes one operation of a transaction. The caller holds the mutex.
func (t *Table) operate(o platform.RequestOp) platform.ResponseOp {
	switch {
	case o.RequestTxn != nil:
		response := t.apply(*o.RequestTxn)
		return platform.ResponseOp{ResponseTxn: &response}
	case o.RequestPut != nil:
		key := string(o.RequestPut.Key)
		t.rows[key] = platform.KeyValue{Key: o.RequestPut.Key, Value: o.RequestPut.Value, ModRevision: t.revision}
		return platform.ResponseOp{ResponsePut: &struct{}{}}
	case o.RequestDeleteRange != nil:
		delete(t.rows, string(o.RequestDeleteRange.Key))
		return platform.ResponseOp{ResponseDeleteRange: &struct{}{}}
	default:
		response := t.find(t.rows, *o.RequestRange)
		return platform.ResponseOp{ResponseRange: &response}
	}
}

// find returns the rows that request asks for. The caller holds the mutex.
func (t *Table) find(rows map[string]platform.KeyValue, request platform.RangeRequest) platform.RangeResponse {
	response := platform.RangeResponse{Header: platform.Header{Revision: t.revision}}
	if len(request.RangeEnd) == 0 {
		if kv, ok := rows[string(request.Key)]; ok {
			response.KVs = append(response.KVs, kv)
		}
		return response
	}
	for k, kv := range rows {
		if k >= string(request.Key) && k < string(request.RangeEnd) && kv.ModRevision >= request.MinModRevision {
			response.KVs = append(response.KVs, kv)
		}
	}
	slices.SortFunc(response.KVs, func(a, b platform.KeyValue) int {
		return strings.Compare(string(a.Key), string(b.Key))
	})
	if limit := int(request.Limit); limit > 0 && len(response.KVs) > limit {
		response.KVs = response.KVs[:limit]
	}
	return response
}
