package main

import (
	"cmp"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Tables of the store that the operator and the workers write.
const (
	operatorTable = "op"
	workerTable   = "servers"
)

// row is a row of the store as it is sent.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowID struct{ table, part, key string }

func (ro *row) id() rowID { return rowID{ro.Table, ro.Part, ro.Key} }

// Limits of the store, by the users' pages.
const (
	maxPageRows = 500
	maxFeedWait = 30 * time.Second
)

// store is the platform's table service. All rows share one version counter.
type store struct {
	started time.Time
	mu      sync.Mutex
	version int64
	rows    map[rowID]row // removed rows stay, marked as deleted
	changed chan struct{} // closed at the next change
	trouble storeTrouble
}

// storeTrouble is an impairment of the store for its callers.
type storeTrouble string

const (
	storeSound  storeTrouble = ""
	storeBusy   storeTrouble = "busy"   // 503
	storeSilent storeTrouble = "silent" // no answer
	storeSlow   storeTrouble = "slow"
)

func (st *store) setTrouble(tr storeTrouble) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.trouble = tr
}

func newStore() *store {
	return &store{started: time.Now(), rows: map[rowID]row{}, changed: make(chan struct{})}
}

// handler returns the store's HTTP API.
func (st *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/rows-get", st.get)
	mux.HandleFunc("GET /v1/rows-feed", st.feed)
	mux.HandleFunc("POST /v1/rows-tx", st.commit)
	return http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		st.mu.Lock()
		tr := st.trouble
		st.mu.Unlock()
		switch tr {
		case storeBusy:
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		case storeSilent:
			_, _ = io.Copy(io.Discard, req.Body)
			<-req.Context().Done()
			return
		case storeSlow:
			time.Sleep(240 * time.Millisecond)
		default:
		}
		mux.ServeHTTP(rw, req)
	})
}

// note counts a transaction. The caller holds mu.
func (st *store) note() {
	st.version++
	close(st.changed)
	st.changed = make(chan struct{})
}

// put writes a row as the operator and the workers do. The returned time is that of the acknowledgement.
func (st *store) put(table, key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // cannot fail: only strings and numbers
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.note()
	ro := row{Table: table, Key: key, Value: data, Version: st.version}
	st.rows[ro.id()] = ro
	return time.Now()
}

// drop removes a row after some time.
func (st *store) drop(table, key string, after time.Duration) {
	time.AfterFunc(after, func() {
		st.mu.Lock()
		defer st.mu.Unlock()
		st.note()
		ro := row{Table: table, Key: key, Version: st.version, Deleted: true}
		st.rows[ro.id()] = ro
	})
}

func (st *store) reply(rw http.ResponseWriter, status int, body map[string]any) {
	body["now_ms"] = time.Since(st.started).Milliseconds()
	writeJSON(rw, status, body)
}

func (st *store) get(rw http.ResponseWriter, req *http.Request) {
	qu := req.URL.Query()
	limit := maxPageRows
	if n, err := strconv.Atoi(qu.Get("limit")); err == nil {
		limit = min(limit, n)
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	list := []row{}
	for _, ro := range st.rows {
		if !ro.Deleted && ro.Table == qu.Get("table") && ro.Part == qu.Get("part") && ro.Key >= qu.Get("source") &&
			(qu.Get("to") == "" || ro.Key < qu.Get("to")) {
			list = append(list, ro)
		}
	}
	slices.SortFunc(list, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	more := len(list) > limit
	if more {
		list = list[:limit]
	}
	st.reply(rw, http.StatusOK, map[string]any{"rows": list, "has_more": more, "ver": st.version})
}

func (st *store) feed(rw http.ResponseWriter, req *http.Request) {
	qu := req.URL.Query()
	after, err := strconv.ParseInt(qu.Get("depends_on"), 10, 64)
	if err != nil {
		st.reply(rw, http.StatusBadRequest, map[string]any{})
		return
	}
	wait := time.Duration(0)
	if ms, err := strconv.ParseInt(qu.Get("wait_ms"), 10, 64); err == nil {
		wait = min(time.Duration(ms)*time.Millisecond, maxFeedWait)
	}
	timeout := time.After(wait)
	for waiting := true; ; {
		st.mu.Lock()
		list, version, changed := []row{}, st.version, st.changed
		for _, ro := range st.rows {
			if ro.Table == qu.Get("table") && ro.Version > after {
				list = append(list, ro)
			}
		}
		st.mu.Unlock()
		if len(list) > 0 || !waiting {
			slices.SortFunc(list, func(a, b row) int { return cmp.Compare(a.Version, b.Version) })
			st.reply(rw, http.StatusOK, map[string]any{"rows": list, "ver": version})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-req.Context().Done():
			return
		}
	}
}

// transaction is the body of rows-tx.
type transaction struct {
	Checks  []row `json:"expected_rev"`
	Writes  []row `json:"write"`
	Removes []row `json:"remove"`
}

func (st *store) commit(rw http.ResponseWriter, req *http.Request) {
	var tx transaction
	if err := json.NewDecoder(req.Body).Decode(&tx); err != nil {
		st.reply(rw, http.StatusBadRequest, map[string]any{})
		return
	}
	for _, ro := range slices.Concat(tx.Writes, tx.Removes) {
		if ro.Table == operatorTable || ro.Table == workerTable {
			st.reply(rw, http.StatusForbidden, map[string]any{})
			return
		}
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	conflicts := []row{}
	for _, ch := range tx.Checks {
		ro := st.rows[ch.id()]
		if ro.Deleted {
			ro = row{}
		}
		if ro.Version != ch.Version {
			ro.Table, ro.Part, ro.Key = ch.Table, ch.Part, ch.Key
			conflicts = append(conflicts, ro)
		}
	}
	if len(conflicts) > 0 {
		st.reply(rw, http.StatusPreconditionFailed, map[string]any{"rows": conflicts, "ver": st.version})
		return
	}
	st.note()
	for _, wr := range tx.Writes {
		st.rows[wr.id()] = row{Table: wr.Table, Part: wr.Part, Key: wr.Key, Value: wr.Value, Version: st.version}
	}
	for _, re := range tx.Removes {
		st.rows[re.id()] = row{Table: re.Table, Part: re.Part, Key: re.Key, Version: st.version, Deleted: true}
	}
	st.reply(rw, http.StatusOK, map[string]any{"ver": st.version})
}

func writeJSON(rw http.ResponseWriter, status int, body any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body) // fails only if the caller has disconnected
}
