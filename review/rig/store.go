package main

import (
	"encoding/json"
	"flag"
	"log"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The bounds of the platform's store, as the pages give them.
const (
	maxEntries   = 100
	maxTxBytes   = 1 << 20
	maxRowBytes  = 65536
	maxRowsGet   = 500
	maxTextBytes = 200
	txTime       = 4 * time.Millisecond
	// heartbeat is the interval in which runners write. Their entries are removed after
	// three of them.
	heartbeat = 1500 * time.Millisecond
)

type row struct {
	Table   string
	Part    string `json:"part"`
	Key     string
	Value   []byte `json:",omitempty"`
	Ver     int64
	Removed bool `json:",omitempty"`
}

type rowID struct{ table, part, key string }

// store is a stand-in for the platform's metadata store.
type store struct {
	mutex   sync.Mutex
	rows    map[rowID]row
	history []row
	version int64
	changed chan struct{}
	// tx is held by the transaction that is carried out: one after another.
	tx      sync.Mutex
	beats   map[rowID]time.Time
	started time.Time
	// tooLarge counts the transactions that were refused for their size.
	tooLarge int
}

func runStore(args []string) {
	f := flag.NewFlagSet("store", flag.ExitOnError)
	listen := f.String("listen", "", "address for the system")
	control := f.String("control", "", "address for the operator, the runners and the case")
	_ = f.Parse(args)
	s := &store{rows: map[rowID]row{}, changed: make(chan struct{}), beats: map[rowID]time.Time{}, started: time.Now()}
	system := http.NewServeMux()
	system.HandleFunc("POST /rows-tx", s.serveTx)
	system.HandleFunc("GET /rows-get", s.serveGet)
	system.HandleFunc("GET /rows-feed", s.serveFeed)
	operator := http.NewServeMux()
	operator.HandleFunc("POST /put", s.servePut)
	operator.HandleFunc("GET /stats", s.serveStats)
	go s.expire()
	go func() { log.Fatal(http.ListenAndServe(*control, operator)) }()
	log.Fatal(http.ListenAndServe(*listen, system))
}

func (s *store) now() int64 { return time.Since(s.started).Milliseconds() + 1 }

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) apply(r row) {
	id := rowID{r.Table, r.Part, r.Key}
	if r.Removed {
		delete(s.rows, id)
	} else {
		s.rows[id] = r
	}
	s.history = append(s.history, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

// servePut writes a row for the operator or a runner: {Table, Key, Value}, where Value is
// the JSON text of the row. An empty Value removes the row.
func (s *store) servePut(w http.ResponseWriter, r *http.Request) {
	var x struct {
		Table, Key string
		Value      json.RawMessage
	}
	if err := json.NewDecoder(r.Body).Decode(&x); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version++
	id := rowID{table: x.Table, key: x.Key}
	if x.Table == "servers" {
		s.beats[id] = time.Now()
	}
	s.apply(row{Table: x.Table, Key: x.Key, Value: x.Value, Ver: s.version, Removed: len(x.Value) == 0})
	writeJSON(w, http.StatusOK, map[string]int64{"Ver": s.version})
}

func (s *store) serveStats(w http.ResponseWriter, _ *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	writeJSON(w, http.StatusOK, map[string]int{"TooLarge": s.tooLarge})
}

// expire removes the entries of runners that have been silent for three heartbeats.
func (s *store) expire() {
	for range time.Tick(100 * time.Millisecond) {
		s.mutex.Lock()
		for id, at := range s.beats {
			if time.Since(at) < 3*heartbeat {
				continue
			}
			delete(s.beats, id)
			if _, ok := s.rows[id]; ok {
				s.version++
				s.apply(row{Table: id.table, Part: id.part, Key: id.key, Ver: s.version, Removed: true})
			}
		}
		s.mutex.Unlock()
	}
}

func (s *store) serveTx(w http.ResponseWriter, r *http.Request) {
	var x struct {
		ExpectedRevision, Writes, Remove []row
		Across                           bool
	}
	reader := http.MaxBytesReader(w, r.Body, 16<<20)
	if err := json.NewDecoder(reader).Decode(&x); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	size, wrong, forbidden := 0, false, false
	for _, p := range x.Writes {
		size += len(p.Value) + len(p.Key)
		wrong = wrong || p.Table == "" || len(p.Table) > maxTextBytes || len(p.Key) > maxTextBytes || len(p.Value) > maxRowBytes
		forbidden = forbidden || p.Table == "op" || p.Table == "servers"
	}
	if forbidden {
		http.Error(w, "the table may not be written", http.StatusForbidden)
		return
	}
	if wrong || len(x.ExpectedRevision)+len(x.Writes)+len(x.Remove) > maxEntries || size > maxTxBytes {
		s.mutex.Lock()
		s.tooLarge++
		s.mutex.Unlock()
		http.Error(w, "a row or the call is too large", http.StatusBadRequest)
		return
	}
	s.tx.Lock()
	time.Sleep(txTime)
	s.tx.Unlock()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current := []row{}
	holds := true
	for _, c := range x.ExpectedRevision {
		have, ok := s.rows[rowID{c.Table, c.Part, c.Key}]
		holds = holds && have.Ver == c.Ver
		if ok {
			current = append(current, have)
		}
	}
	if !holds {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "Ver": s.version, "NowMs": s.now()})
		return
	}
	s.version++
	for _, p := range x.Writes {
		p.Ver = s.version
		s.apply(p)
	}
	for _, d := range x.Remove {
		if _, ok := s.rows[rowID{d.Table, d.Part, d.Key}]; ok {
			s.apply(row{Table: d.Table, Part: d.Part, Key: d.Key, Ver: s.version, Removed: true})
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"Ver": s.version, "NowMs": s.now()})
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := maxRowsGet
	if n, err := strconv.Atoi(q.Get("Limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	rows := []row{}
	for id, x := range s.rows {
		if id.table == q.Get("Table") && id.part == q.Get("part") && id.key >= q.Get("From") && (q.Get("Target") == "" || id.key < q.Get("Target")) {
			rows = append(rows, x)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	count, size := 0, 0
	for count < len(rows) && count < limit && size < maxTxBytes {
		size += len(rows[count].Value)
		count++
	}
	writeJSON(w, http.StatusOK, map[string]any{"rows": rows[:count], "HasMore": count < len(rows), "Ver": s.version, "NowMs": s.now()})
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("After"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("WaitMs"), 10, 64)
	timeout := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for {
		s.mutex.Lock()
		found, version := []row{}, s.version
		first, _ := slices.BinarySearchFunc(s.history, after+1, func(x row, v int64) int {
			switch {
			case x.Ver < v:
				return -1
			case x.Ver > v:
				return 1
			}
			return 0
		})
		for _, x := range s.history[first:] {
			if x.Table != q.Get("Table") {
				continue
			}
			if len(found) >= maxRowsGet && x.Ver != found[len(found)-1].Ver {
				version = found[len(found)-1].Ver
				break
			}
			found = append(found, x)
		}
		changed, now := s.changed, s.now()
		s.mutex.Unlock()
		if len(found) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"rows": found, "Ver": version, "NowMs": now})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(w, http.StatusOK, map[string]any{"rows": found, "Ver": version, "NowMs": now})
			return
		case <-r.Context().Done():
			return
		}
	}
}
