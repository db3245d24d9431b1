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

// store stands in for the platform's metadata store. It keeps everything and orders all transactions.
type store struct {
	began time.Time

	mu      sync.Mutex
	version int64
	rows    map[rowName]row
	changes []row // in the order of their versions
	changed chan struct{}
}

type rowName struct{ Table, Part, Key string }

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (ro row) name() rowName { return rowName{ro.Table, ro.Part, ro.Key} }

func newStore() *store {
	return &store{began: time.Now(), version: 1, rows: map[rowName]row{}, changed: make(chan struct{})}
}

// put writes a row as the operator or a worker does.
func (st *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // the values are structs and maps of this program
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.version++
	st.apply(row{Table: table, Key: key, Value: data, Version: st.version})
	st.wake()
}

// apply sets or removes a row. The caller holds mu.
func (st *store) apply(ro row) {
	if ro.Deleted {
		delete(st.rows, ro.name())
	} else {
		st.rows[ro.name()] = ro
	}
	st.changes = append(st.changes, ro)
}

func (st *store) wake() {
	close(st.changed)
	st.changed = make(chan struct{})
}

type transaction struct {
	Checks  []row `json:"expected_rev"`
	Writes  []row `json:"write"`
	Removes []row `json:"remove"`
}

type rowsReply struct {
	Rows    []row `json:"rows"`
	More    bool  `json:"has_more"`
	Version int64 `json:"ver"`
	Now     int64 `json:"now_ms"`
}

// transactionTime is how long a transaction takes.
const transactionTime = 6 * time.Millisecond

// readTime is how long a read takes.
const readTime = 4 * time.Millisecond

// maxRows is the largest number of rows in a reply.
const maxRows = 500

// ServeHTTP implements http.Handler.
func (st *store) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	switch req.URL.Path {
	case "/v1/rows-tx":
		time.Sleep(transactionTime)
		st.serveTransaction(rw, req)
	case "/v1/rows-get":
		time.Sleep(readTime)
		st.serveGet(rw, query.Get("table"), query.Get("part"), query.Get("source"), query.Get("to"), query.Get("limit"))
	case "/v1/rows-feed":
		time.Sleep(readTime)
		st.serveFeed(rw, req, query.Get("table"), query.Get("depends_on"), query.Get("wait_ms"))
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

func (st *store) serveTransaction(rw http.ResponseWriter, req *http.Request) {
	var tx transaction
	if err := json.NewDecoder(req.Body).Decode(&tx); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	status, reply := http.StatusOK, rowsReply{Rows: []row{}}
	for _, ch := range tx.Checks {
		present := st.rows[ch.name()]
		if present.Version != ch.Version {
			status = http.StatusPreconditionFailed
		}
		if present.Version > 0 {
			reply.Rows = append(reply.Rows, present)
		}
	}
	if status == http.StatusOK {
		reply.Rows = []row{}
		st.version++
		for _, ro := range tx.Writes {
			ro.Version, ro.Deleted = st.version, false
			st.apply(ro)
		}
		for _, ro := range tx.Removes {
			ro.Version, ro.Deleted = st.version, true
			st.apply(ro)
		}
		st.wake()
	}
	reply.Version, reply.Now = st.version, time.Since(st.began).Milliseconds()
	writeJSON(rw, status, reply)
}

func (st *store) serveGet(rw http.ResponseWriter, table, part, from, to, limit string) {
	most := maxRows
	if n, err := strconv.Atoi(limit); err == nil && n > 0 {
		most = min(n, maxRows)
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	reply := rowsReply{Rows: []row{}, Version: st.version, Now: time.Since(st.began).Milliseconds()}
	for name, ro := range st.rows {
		if name.Table == table && name.Part == part && name.Key >= from && (to == "" || name.Key < to) {
			reply.Rows = append(reply.Rows, ro)
		}
	}
	slices.SortFunc(reply.Rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	if len(reply.Rows) > most {
		reply.Rows, reply.More = reply.Rows[:most], true
	}
	writeJSON(rw, http.StatusOK, reply)
}

func (st *store) serveFeed(rw http.ResponseWriter, req *http.Request, table, after, wait string) {
	version, err := strconv.ParseInt(after, 10, 64)
	millis, waitErr := strconv.Atoi(wait)
	if err != nil || waitErr != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(millis) * time.Millisecond)
	for {
		st.mu.Lock()
		reply := rowsReply{Rows: []row{}, Version: st.version, Now: time.Since(st.began).Milliseconds()}
		first, _ := slices.BinarySearchFunc(st.changes, version+1, func(ro row, at int64) int { return int(ro.Version - at) })
		for _, ro := range st.changes[first:] {
			if ro.Table == table {
				reply.Rows = append(reply.Rows, ro)
			}
		}
		changed := st.changed
		st.mu.Unlock()
		if len(reply.Rows) > 0 {
			writeJSON(rw, http.StatusOK, reply)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(rw, http.StatusOK, reply)
			return
		case <-req.Context().Done():
			return
		}
	}
}

func writeJSON(rw http.ResponseWriter, status int, body any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}
