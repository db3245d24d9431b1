package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of the store, as in the settings of a small deployment.
const (
	storeAnswerTime = 4 * time.Millisecond
	storeTxTime     = 6 * time.Millisecond
)

// row is a row of the store as sent to clients.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowName struct{ Table, Part, Key string }

// store serves the table interface of the platform's metadata store. Its responses are linearizable.
type store struct {
	mu      sync.Mutex
	began   time.Time
	version int64
	rows    map[rowName]row // dropped rows are kept, marked as deleted
	changed chan struct{}   // closed and replaced at each change
}

func newStore() *store {
	return &store{began: time.Now(), rows: map[rowName]row{}, changed: make(chan struct{})}
}

// put writes a row as the operator and the workers do.
func (st *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // the callers pass values that can be encoded
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.version++
	st.rows[rowName{table, "", key}] = row{Table: table, Key: key, Value: data, Version: st.version}
	st.notifyLocked()
}

func (st *store) notifyLocked() {
	close(st.changed)
	st.changed = make(chan struct{})
}

// ServeHTTP serves one call.
func (st *store) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	switch req.URL.Path {
	case "/v1/rows-tx":
		time.Sleep(storeTxTime)
		st.serveTx(rw, req)
	case "/v1/rows-get":
		time.Sleep(storeAnswerTime)
		st.serveGet(rw, req)
	case "/v1/rows-feed":
		time.Sleep(storeAnswerTime)
		st.serveFeed(rw, req)
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

func (st *store) serveTx(rw http.ResponseWriter, req *http.Request) {
	var tx struct {
		Checks  []row `json:"expected_rev"`
		Writes  []row `json:"write"`
		Removes []row `json:"remove"`
	}
	if json.NewDecoder(req.Body).Decode(&tx) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	var conflicts []row
	for _, ch := range tx.Checks {
		current := st.rows[rowName{ch.Table, ch.Part, ch.Key}]
		if current.Deleted {
			current = row{}
		}
		if current.Version != ch.Version {
			conflicts = append(conflicts, current)
		}
	}
	if len(conflicts) > 0 {
		st.reply(rw, http.StatusPreconditionFailed, conflicts, false)
		return
	}
	for _, list := range [][]row{tx.Writes, tx.Removes} {
		for _, ro := range list {
			if ro.Table == "op" || ro.Table == "servers" {
				rw.WriteHeader(http.StatusForbidden)
				return
			}
		}
	}
	st.version++
	for _, ro := range tx.Writes {
		ro.Version = st.version
		st.rows[rowName{ro.Table, ro.Part, ro.Key}] = ro
	}
	for _, ro := range tx.Removes {
		st.rows[rowName{ro.Table, ro.Part, ro.Key}] = row{Table: ro.Table, Part: ro.Part, Key: ro.Key, Version: st.version, Deleted: true}
	}
	st.notifyLocked()
	st.reply(rw, http.StatusOK, nil, false)
}

func (st *store) serveGet(rw http.ResponseWriter, req *http.Request) {
	qu := req.URL.Query()
	limit, err := strconv.Atoi(qu.Get("limit"))
	if err != nil || limit <= 0 || limit > 500 {
		limit = 500
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	var list []row
	for name, ro := range st.rows {
		if name.Table == qu.Get("table") && name.Part == qu.Get("part") && !ro.Deleted && name.Key >= qu.Get("source") &&
			(qu.Get("to") == "" || name.Key < qu.Get("to")) {
			list = append(list, ro)
		}
	}
	slices.SortFunc(list, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	more := len(list) > limit
	st.reply(rw, http.StatusOK, list[:min(len(list), limit)], more)
}

func (st *store) serveFeed(rw http.ResponseWriter, req *http.Request) {
	qu := req.URL.Query()
	after, _ := strconv.ParseInt(qu.Get("depends_on"), 10, 64)
	wait, _ := strconv.Atoi(qu.Get("wait_ms"))
	until := time.Now().Add(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for {
		st.mu.Lock()
		var list []row
		for name, ro := range st.rows {
			if name.Table == qu.Get("table") && ro.Version > after {
				list = append(list, ro)
			}
		}
		if len(list) > 0 || !time.Now().Before(until) {
			slices.SortFunc(list, func(a, b row) int { return int(a.Version - b.Version) })
			st.reply(rw, http.StatusOK, list, false)
			st.mu.Unlock()
			return
		}
		changed := st.changed
		st.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(until)):
		case <-req.Context().Done():
			return
		}
	}
}

// reply sends rows and the newest version. The caller holds mu.
func (st *store) reply(rw http.ResponseWriter, status int, rows []row, more bool) {
	writeJSON(rw, status, map[string]any{
		"rows": append([]row{}, rows...), "has_more": more, "ver": st.version, "now_ms": time.Since(st.began).Milliseconds(),
	})
}

func writeJSON(rw http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		rw.WriteHeader(http.StatusInternalServerError)
		return
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.Header().Set("Content-Length", strconv.Itoa(len(data)))
	rw.WriteHeader(status)
	_, _ = rw.Write(data) // fails only if the client has disconnected
}
