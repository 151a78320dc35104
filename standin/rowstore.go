package standin

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// RowStoreConfig configures a RowStore.
type RowStoreConfig struct {
	// WriteTime is the time that a transaction takes.
	WriteTime time.Duration
	// RowBytes is the largest value of a row, in base64. Zero means that neither rows nor
	// transactions are bounded.
	RowBytes int
}

// RowStore is a stand-in for the metadata store of the users' platform. It has rows
// in tables, conditional transactions and a feed of changes.
type RowStore struct {
	Faults Switch

	config RowStoreConfig
	mutex  sync.Mutex
	rows   map[rowKey]StoredRow
	// history holds the changes in order, except those up to version forgotten.
	history   []StoredRow
	forgotten int64
	version   int64
	changed   chan struct{}
}

type rowKey struct{ table, part, key string }

// StoredRow is a row of a RowStore on the wire.
type StoredRow struct {
	Table   string
	Part    string `json:"part"`
	Key     string
	Value   []byte `json:",omitempty"`
	Ver     int64
	Removed bool `json:",omitempty"`
}

// NewRowStore returns an empty store.
func NewRowStore(c RowStoreConfig) *RowStore {
	return &RowStore{config: c, rows: map[rowKey]StoredRow{}, changed: make(chan struct{})}
}

// Handler returns the HTTP handler of the store.
func (s *RowStore) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.Faults.applyFaults(s.serveTx))
	mux.HandleFunc("GET /rows-get", s.Faults.applyFaults(s.serveGet))
	mux.HandleFunc("GET /rows-feed", s.Faults.applyFaults(s.serveFeed))
	return mux
}

// Put writes a row as the operator and the workers do.
func (s *RowStore) Put(table, key string, value any) {
	// The values that tests put can always be encoded.
	data, _ := json.Marshal(value)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version++
	s.apply(StoredRow{Table: table, Key: key, Value: data, Ver: s.version})
}

// Remove deletes a row, as a leaving worker does.
func (s *RowStore) Remove(table, key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version++
	s.apply(StoredRow{Table: table, Key: key, Ver: s.version, Removed: true})
}

// The table of the operator's rows, and the prefix of the keys of requests to evacuate.
const (
	operatorTable    = "op"
	evacuationPrefix = "evacuate/"
)

// Evacuate writes the row by which the operator requests the evacuation of a data centre.
func (s *RowStore) Evacuate(zone string) { s.Put(operatorTable, evacuationPrefix+zone, struct{}{}) }

// EndEvacuation deletes that row.
func (s *RowStore) EndEvacuation(zone string) { s.Remove(operatorTable, evacuationPrefix+zone) }

// History returns the changes that were not forgotten.
func (s *RowStore) History() []StoredRow {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Clone(s.history)
}

// Forget drops the history of changes.
func (s *RowStore) Forget() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.history, s.forgotten = nil, s.version
	s.notify()
}

// apply applies one change. The caller holds the mutex.
func (s *RowStore) apply(r StoredRow) {
	k := rowKey{r.Table, r.Part, r.Key}
	if r.Removed {
		delete(s.rows, k)
	} else {
		s.rows[k] = r
	}
	s.history = append(s.history, r)
	s.notify()
}

// notify wakes the feeds that wait for a change. The caller holds the mutex.
func (s *RowStore) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// txRequest is a conditional transaction on the wire.
type txRequest struct {
	ExpectedRevision, Writes, Remove []StoredRow
}

// rowsAnswer is the answer to a read or a transaction on the wire.
type rowsAnswer struct {
	Rows    []StoredRow `json:"rows"`
	HasMore bool
	Ver     int64
}

func (s *RowStore) serveTx(w http.ResponseWriter, r *http.Request, _ Faults) {
	var x txRequest
	if err := json.NewDecoder(r.Body).Decode(&x); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, p := range x.Writes {
		if p.Table == "" || p.Key == "" || len(p.Value) == 0 {
			http.Error(w, "a table, key or value is missing", http.StatusBadRequest)
			return
		}
	}
	if s.isTooLarge(x) {
		http.Error(w, "a row or the call is too large", http.StatusBadRequest)
		return
	}
	time.Sleep(s.config.WriteTime)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var current []StoredRow
	holds := true
	for _, c := range x.ExpectedRevision {
		row, ok := s.rows[rowKey{c.Table, c.Part, c.Key}]
		holds = holds && row.Ver == c.Ver
		if ok {
			current = append(current, row)
		}
	}
	if !holds {
		w.WriteHeader(http.StatusPreconditionFailed)
		writeJSON(w, rowsAnswer{Rows: current, Ver: s.version})
		return
	}
	s.version++
	for _, p := range x.Writes {
		p.Ver = s.version
		s.apply(p)
	}
	for _, d := range x.Remove {
		d.Ver, d.Removed, d.Value = s.version, true, nil
		s.apply(d)
	}
	writeJSON(w, rowsAnswer{Ver: s.version})
}

const (
	// maxItems and maxCallBytes bound the entries and the bytes of one transaction.
	maxItems     = 100
	maxCallBytes = 1_000_000
)

// isTooLarge returns true if a transaction is beyond the bounds of the store.
func (s *RowStore) isTooLarge(x txRequest) bool {
	if s.config.RowBytes == 0 {
		return false
	}
	size, large := 0, len(x.ExpectedRevision)+len(x.Writes)+len(x.Remove) > maxItems
	for _, p := range x.Writes {
		encoded := base64.StdEncoding.EncodedLen(len(p.Value))
		large = large || encoded > s.config.RowBytes
		size += encoded
	}
	return large || size > maxCallBytes
}

func (s *RowStore) serveGet(w http.ResponseWriter, r *http.Request, _ Faults) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("Limit"))
	if err != nil {
		limit = maxRows
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var rows []StoredRow
	for k, row := range s.rows {
		if k.table == q.Get("Table") && k.part == q.Get("part") && k.key >= q.Get("From") {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b StoredRow) int { return strings.Compare(a.Key, b.Key) })
	more := len(rows) > limit
	writeJSON(w, rowsAnswer{Rows: rows[:min(limit, len(rows))], HasMore: more, Ver: s.version})
}

// maxRows is the maximum number of rows in one answer.
const maxRows = 500

func (s *RowStore) serveFeed(w http.ResponseWriter, r *http.Request, _ Faults) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("After"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("WaitMs"), 10, 64)
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mutex.Lock()
		if after < s.forgotten {
			s.mutex.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		a := rowsAnswer{Ver: s.version}
		for _, c := range s.history {
			if c.Ver <= after || c.Table != q.Get("Table") {
				continue
			}
			if a.Rows = append(a.Rows, c); len(a.Rows) == maxRows {
				a.Ver = c.Ver
				break
			}
		}
		changed := s.changed
		s.mutex.Unlock()
		if len(a.Rows) > 0 {
			writeJSON(w, a)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(w, a)
			return
		case <-r.Context().Done():
			return
		}
	}
}
