package main

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"
)

const (
	// rowBytes is RowBytes of the settings: the longest value of a row, in base64.
	rowBytes     = 65536
	maxEntries   = 100
	maxCallBytes = 1_000_000
	maxListRows  = 500
	maxNameBytes = 200
	readsPerS    = 2000
	writesPerS   = 800
	answerTime   = 4 * time.Millisecond
)

// row is a row of the store on the wire.
type row struct {
	Table   string
	Part    string `json:"part"`
	Key     string
	Value   []byte `json:",omitempty"`
	Ver     int64
	Removed bool `json:",omitempty"`
}

type rowKey struct{ table, part, key string }

// store is a stand-in for the platform's metadata store.
type store struct {
	mutex sync.Mutex
	part  sync.Mutex
	rows  map[rowKey]row
	// keys holds the keys of each part of a table in order.
	keys    map[rowKey][]string
	history []row
	// readsPerS and writesPerS bound the calls of all nodes, as the settings say.
	reads, writes rate
	version       int64
	changed       chan struct{}
	began         time.Time
	rec           *record
	// calls and rejected count the calls, and those that were answered with 400.
	calls, rejected int
	// intercept may answer a call instead. It returns true if it did.
	intercept func(w http.ResponseWriter, r *http.Request) bool
}

// rate allows a number of calls a second.
type rate struct {
	perS    float64
	left    float64
	last    time.Time
	refused int
}

func (x *rate) take(now time.Time) bool {
	x.left = min(x.perS, x.left+x.perS*now.Sub(x.last).Seconds())
	x.last = now
	if x.left < 1 {
		x.refused++
		return false
	}
	x.left--
	return true
}

func newStore(rec *record) *store {
	return &store{reads: rate{perS: readsPerS}, writes: rate{perS: writesPerS}, rows: map[rowKey]row{}, keys: map[rowKey][]string{}, changed: make(chan struct{}), began: time.Now(), rec: rec}
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.wrap(s.tx))
	mux.HandleFunc("GET /rows-get", s.wrap(s.get))
	mux.HandleFunc("GET /rows-feed", s.wrap(s.feed))
	mux.HandleFunc("GET /rows-parts", s.wrap(s.parts))
	return mux
}

func (s *store) wrap(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mutex.Lock()
		s.calls++
		f := s.intercept
		limit := &s.reads
		if r.Method == http.MethodPost {
			limit = &s.writes
		}
		allowed := limit.take(time.Now())
		s.mutex.Unlock()
		if !allowed {
			reply(w, http.StatusTooManyRequests, struct{}{})
			return
		}
		if f != nil && f(w, r) {
			return
		}
		h(w, r)
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) answer(rows []row, more bool) map[string]any {
	if rows == nil {
		rows = []row{}
	}
	return map[string]any{"rows": rows, "HasMore": more, "Ver": s.version, "NowMs": time.Since(s.began).Milliseconds()}
}

// put writes a row as the operator and the runners do, and returns its version.
func (s *store) put(table, key string, v any) int64 {
	data, _ := json.Marshal(v)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version++
	s.apply(row{Table: table, Key: key, Value: data, Ver: s.version})
	return s.version
}

func (s *store) remove(table, key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, ok := s.rows[rowKey{table, "", key}]; ok {
		s.version++
		s.apply(row{Table: table, Key: key, Ver: s.version, Removed: true})
	}
}

func (s *store) apply(r row) {
	k, part := rowKey{r.Table, r.Part, r.Key}, rowKey{r.Table, r.Part, ""}
	at, known := slices.BinarySearch(s.keys[part], r.Key)
	switch {
	case r.Removed:
		delete(s.rows, k)
		if known {
			s.keys[part] = slices.Delete(s.keys[part], at, at+1)
		}
	case !known:
		s.keys[part] = slices.Insert(s.keys[part], at, r.Key)
	}
	if !r.Removed {
		s.rows[k] = r
	}
	s.history = append(s.history, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) reject(w http.ResponseWriter, why string) {
	s.mutex.Lock()
	s.rejected++
	n := s.rejected
	s.mutex.Unlock()
	if n <= 20 {
		s.rec.line("store    400 %s", why)
	}
	reply(w, http.StatusBadRequest, map[string]string{"Error": why})
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var x struct{ ExpectedRevision, Writes, Remove []row }
	if err := json.NewDecoder(r.Body).Decode(&x); err != nil {
		s.reject(w, "body: "+err.Error())
		return
	}
	size := 0
	for _, p := range x.Writes {
		n := base64.StdEncoding.EncodedLen(len(p.Value))
		size += n
		if p.Table == "op" || p.Table == "servers" {
			reply(w, http.StatusForbidden, struct{}{})
			return
		}
		if n > rowBytes {
			s.reject(w, "the value of "+p.Table+"/"+p.Key+" has "+strconv.Itoa(n)+" bytes in base64, RowBytes is "+strconv.Itoa(rowBytes))
			return
		}
		if p.Table == "" || p.Key == "" || len(p.Table) > maxNameBytes || len(p.Key) > maxNameBytes {
			s.reject(w, "a table or key is missing or too long")
			return
		}
	}
	if size > maxCallBytes || len(x.ExpectedRevision)+len(x.Writes)+len(x.Remove) > maxEntries {
		s.reject(w, "the call is too large")
		return
	}
	// All rows are in one part, which handles one transaction after another.
	s.part.Lock()
	time.Sleep(answerTime)
	defer s.part.Unlock()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	holds := true
	var current []row
	for _, c := range x.ExpectedRevision {
		have, ok := s.rows[rowKey{c.Table, c.Part, c.Key}]
		holds = holds && have.Ver == c.Ver
		if ok {
			current = append(current, have)
		}
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, s.answer(current, false))
		return
	}
	s.version++
	for _, p := range x.Writes {
		p.Ver = s.version
		s.apply(p)
	}
	for _, d := range x.Remove {
		s.apply(row{Table: d.Table, Part: d.Part, Key: d.Key, Ver: s.version, Removed: true})
	}
	reply(w, http.StatusOK, s.answer(nil, false))
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("Limit"))
	if err != nil || limit <= 0 || limit > maxListRows {
		limit = maxListRows
	}
	time.Sleep(answerTime)
	s.mutex.Lock()
	part := rowKey{q.Get("Table"), q.Get("part"), ""}
	keys := s.keys[part]
	at, _ := slices.BinarySearch(keys, q.Get("From"))
	var rows []row
	size, more := 0, false
	for _, key := range keys[at:] {
		if q.Has("Target") && key >= q.Get("Target") {
			break
		}
		x := s.rows[rowKey{part.table, part.part, key}]
		size += base64.StdEncoding.EncodedLen(len(x.Value))
		if len(rows) == limit || len(rows) > 0 && size > maxCallBytes {
			more = true
			break
		}
		rows = append(rows, x)
	}
	a := s.answer(rows, more)
	s.mutex.Unlock()
	reply(w, http.StatusOK, a)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("After"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("WaitMs"))
	end := time.After(time.Duration(min(ms, 30000)) * time.Millisecond)
	for {
		s.mutex.Lock()
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Ver > after })
		var rows []row
		ver := s.version
		for _, x := range s.history[first:] {
			if x.Table != q.Get("Table") {
				continue
			}
			if len(rows) >= maxListRows && x.Ver != rows[len(rows)-1].Ver {
				ver = rows[len(rows)-1].Ver
				break
			}
			rows = append(rows, x)
		}
		changed := s.changed
		if len(rows) > 0 {
			a := s.answer(rows, false)
			a["Ver"] = ver
			s.mutex.Unlock()
			time.Sleep(answerTime)
			reply(w, http.StatusOK, a)
			return
		}
		s.mutex.Unlock()
		select {
		case <-changed:
		case <-end:
			s.mutex.Lock()
			a := s.answer(nil, false)
			s.mutex.Unlock()
			reply(w, http.StatusOK, a)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) parts(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, map[string]any{"parts": []string{""}})
}
