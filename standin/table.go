package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/catkingap/catkingap/storage"
)

// maxOperations is etcd's limit for the operations of one level of a transaction.
const maxOperations = 128

// TableConfig configures a Table.
type TableConfig struct {
	// WriteTime is the duration of a synced write.
	WriteTime time.Duration
	// WritesPerSecond is the maximum rate of transactions. Zero means no limit.
	WritesPerSecond float64
}

// Table is a stand-in for the platform's transactional table.
type Table struct {
	Faults Switch

	config TableConfig
	mutex  sync.Mutex
	// freeAt is when the table has finished all transactions received so far.
	freeAt   time.Time
	rows     map[string]storage.KeyValue
	stale    map[string]storage.KeyValue
	revision storage.Int64
	writes   atomic.Int64
	reads    atomic.Int64
}

// NewTable returns an empty table.
func NewTable(c TableConfig) *Table {
	return &Table{config: c, rows: map[string]storage.KeyValue{}, revision: 1}
}

// TableStatistics counts the transactions, reads and rows of a table.
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
	mux.HandleFunc("POST "+storage.PathTxn, t.Faults.applyFaults(t.serveTxn))
	mux.HandleFunc("POST "+storage.PathRange, t.Faults.applyFaults(t.serveRange))
	mux.HandleFunc("GET /table/statistics", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, t.Statistics()) })
	mux.HandleFunc("PUT /table"+PathFaults, func(w http.ResponseWriter, r *http.Request) {
		t.saveStale()
		t.Faults.ServeHTTP(w, r)
	})
}

// saveStale copies the current rows for the answers in mode Stale.
func (t *Table) saveStale() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.stale = make(map[string]storage.KeyValue, len(t.rows))
	for k, v := range t.rows {
		t.stale[k] = v
	}
}

func (t *Table) serveTxn(w http.ResponseWriter, r *http.Request, _ Faults) {
	var request storage.TxnRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := checkTransaction(request, map[string]bool{}); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.writes.Add(1)
	if !sleep(r.Context(), t.reserve(time.Now())) {
		return
	}
	t.mutex.Lock()
	t.revision++
	response := t.apply(request)
	t.mutex.Unlock()
	writeJSON(w, response)
}

func (t *Table) serveRange(w http.ResponseWriter, r *http.Request, f Faults) {
	var request storage.RangeRequest
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
	response := t.selectRows(rows, request)
	t.mutex.Unlock()
	writeJSON(w, response)
}

// reserve schedules a transaction that arrives now and returns its duration.
func (t *Table) reserve(now time.Time) time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.config.WritesPerSecond <= 0 {
		return t.config.WriteTime
	}
	if t.freeAt.Before(now) {
		t.freeAt = now
	}
	wait := t.freeAt.Sub(now)
	t.freeAt = t.freeAt.Add(time.Duration(float64(time.Second) / t.config.WritesPerSecond))
	return wait + t.config.WriteTime
}

// checkTransaction returns an error for transactions that etcd rejects: those with too
// many operations or with a key that is written twice. Written collects the keys.
func checkTransaction(request storage.TxnRequest, written map[string]bool) error {
	if max(len(request.Compare), len(request.Success), len(request.Failure)) > maxOperations {
		return errors.New("too many operations in txn request")
	}
	for _, o := range request.Success {
		var key []byte
		switch {
		case o.RequestTxn != nil:
			if err := checkTransaction(*o.RequestTxn, written); err != nil {
				return err
			}
			continue
		case o.RequestPut != nil:
			key = o.RequestPut.Key
		case o.RequestDeleteRange != nil:
			key = o.RequestDeleteRange.Key
		default:
			continue
		}
		if written[string(key)] {
			return errors.New("duplicate key given in txn request")
		}
		written[string(key)] = true
	}
	return nil
}

// apply executes a transaction. The caller holds the mutex.
func (t *Table) apply(request storage.TxnRequest) storage.TxnResponse {
	response := storage.TxnResponse{Header: storage.Header{Revision: t.revision}, Succeeded: true}
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
		response.Responses = append(response.Responses, t.applyOperation(o))
	}
	return response
}

// applyOperation executes one operation of a transaction. The caller holds the mutex.
func (t *Table) applyOperation(o storage.RequestOp) storage.ResponseOp {
	switch {
	case o.RequestTxn != nil:
		response := t.apply(*o.RequestTxn)
		return storage.ResponseOp{ResponseTxn: &response}
	case o.RequestPut != nil:
		key := string(o.RequestPut.Key)
		t.rows[key] = storage.KeyValue{Key: o.RequestPut.Key, Value: o.RequestPut.Value, ModRevision: t.revision}
		return storage.ResponseOp{ResponsePut: &struct{}{}}
	case o.RequestDeleteRange != nil:
		delete(t.rows, string(o.RequestDeleteRange.Key))
		return storage.ResponseOp{ResponseDeleteRange: &struct{}{}}
	default:
		response := t.selectRows(t.rows, *o.RequestRange)
		return storage.ResponseOp{ResponseRange: &response}
	}
}

// selectRows returns the rows that request selects. The caller holds the mutex.
func (t *Table) selectRows(rows map[string]storage.KeyValue, request storage.RangeRequest) storage.RangeResponse {
	response := storage.RangeResponse{Header: storage.Header{Revision: t.revision}}
	if len(request.RangeEnd) == 0 {
		if kv, ok := rows[string(request.Key)]; ok {
			response.KVs = append(response.KVs, kv)
		}
		return response
	}
	// A range end of one zero byte means an unbounded range.
	end := string(request.RangeEnd)
	for k, kv := range rows {
		if k >= string(request.Key) && (k < end || end == "\x00") && kv.ModRevision >= request.MinModRevision {
			response.KVs = append(response.KVs, kv)
		}
	}
	slices.SortFunc(response.KVs, func(a, b storage.KeyValue) int {
		return strings.Compare(string(a.Key), string(b.Key))
	})
	if limit := int(request.Limit); limit > 0 && len(response.KVs) > limit {
		response.KVs = response.KVs[:limit]
	}
	return response
}
