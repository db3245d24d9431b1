package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"lovagestack/platform"
)

// floodStore is a stand-in for the platform's store: rows in memory, without faults.
type floodStore struct {
	*httptest.Server
	mu      sync.Mutex
	version int64
	rows    map[string]*floodRow
}

type floodRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type floodRows struct {
	Rows    []floodRow `json:"rows"`
	Version int64      `json:"ver"`
}

func newFloodStore(t *testing.T) *floodStore {
	fs := &floodStore{rows: map[string]*floodRow{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/rows-get", fs.get)
	mux.HandleFunc("GET /v1/rows-feed", fs.feed)
	mux.HandleFunc("POST /v1/rows-tx", fs.commit)
	fs.Server = httptest.NewServer(mux)
	t.Cleanup(fs.CloseClientConnections)
	return fs
}

func (fs *floodStore) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // cannot fail: only maps of strings and numbers
	}
	fs.mu.Lock()
	defer fs.mu.Unlock()
	fs.version++
	fs.rows[table+"/"+key] = &floodRow{Table: table, Key: key, Value: data, Version: fs.version}
}

func (fs *floodStore) get(rw http.ResponseWriter, req *http.Request) {
	qu := req.URL.Query()
	fs.reply(rw, func(ro *floodRow) bool {
		return !ro.Deleted && ro.Table == qu.Get("table") && ro.Key >= qu.Get("source") && (qu.Get("to") == "" || ro.Key < qu.Get("to"))
	})
}

func (fs *floodStore) feed(rw http.ResponseWriter, req *http.Request) {
	qu := req.URL.Query()
	after, _ := strconv.ParseInt(qu.Get("depends_on"), 10, 64)
	wait, _ := strconv.Atoi(qu.Get("wait_ms"))
	isNewer := func(ro *floodRow) bool { return ro.Table == qu.Get("table") && ro.Version > after }
	for until := time.Now().Add(time.Duration(wait) * time.Millisecond); time.Now().Before(until) && req.Context().Err() == nil; {
		fs.mu.Lock()
		newer := false
		for _, ro := range fs.rows {
			newer = newer || isNewer(ro)
		}
		fs.mu.Unlock()
		if newer {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	fs.reply(rw, isNewer)
}

func (fs *floodStore) reply(rw http.ResponseWriter, include func(ro *floodRow) bool) {
	fs.mu.Lock()
	page := floodRows{Rows: []floodRow{}, Version: fs.version}
	for _, ro := range fs.rows {
		if include(ro) {
			page.Rows = append(page.Rows, *ro)
		}
	}
	fs.mu.Unlock()
	slices.SortFunc(page.Rows, func(a, b floodRow) int { return cmp.Compare(a.Key, b.Key) })
	replyJSON(rw, http.StatusOK, page)
}

func (fs *floodStore) commit(rw http.ResponseWriter, req *http.Request) {
	var tx struct {
		Checks  []floodRow `json:"expected_rev"`
		Writes  []floodRow `json:"write"`
		Removes []floodRow `json:"remove"`
	}
	if json.NewDecoder(req.Body).Decode(&tx) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	fs.mu.Lock()
	defer fs.mu.Unlock()
	var conflicts []floodRow
	for _, ch := range tx.Checks {
		current := floodRow{}
		if ro := fs.rows[ch.Table+"/"+ch.Key]; ro != nil && !ro.Deleted {
			current = *ro
		}
		if current.Version != ch.Version {
			conflicts = append(conflicts, current)
		}
	}
	if len(conflicts) > 0 {
		replyJSON(rw, http.StatusPreconditionFailed, floodRows{Rows: conflicts})
		return
	}
	fs.version++
	for _, wr := range tx.Writes {
		fs.rows[wr.Table+"/"+wr.Key] = &floodRow{Table: wr.Table, Key: wr.Key, Value: wr.Value, Version: fs.version}
	}
	for _, re := range tx.Removes {
		fs.rows[re.Table+"/"+re.Key] = &floodRow{Table: re.Table, Key: re.Key, Version: fs.version, Deleted: true}
	}
	replyJSON(rw, http.StatusOK, floodRows{Version: fs.version})
}

func replyJSON(rw http.ResponseWriter, status int, body any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body) // fails only if the client has disconnected
}

// floodWorker is a stand-in for a worker whose runs end at once. It notes the jobs of which it has started a task.
type floodWorker struct {
	*httptest.Server
	born   time.Time
	unused []byte // end of each reply to a poll: a field that is not used, made once because the race detector makes it slow

	mu      sync.Mutex
	started map[string]bool // by the job's ID
	runs    map[string]bool // by task and attempt
	ends    [][]any         // rows [number, task, attempt, outcome, saved]
	ended   chan struct{}   // closed when a run ends
}

func newFloodWorker(t testing.TB, replyBytes int) *floodWorker {
	fw := &floodWorker{
		born: time.Now(), started: map[string]bool{}, runs: map[string]bool{}, ended: make(chan struct{}),
	}
	if replyBytes > 0 {
		fw.unused = fmt.Appendf(nil, `,"unused":"%s"}`, strings.Repeat("x", replyBytes))
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", fw.start)
	mux.HandleFunc("POST /v1/run-stop", func(rw http.ResponseWriter, _ *http.Request) { replyJSON(rw, http.StatusOK, fw.reply()) })
	mux.HandleFunc("POST /v1/hold", fw.poll)
	fw.Server = httptest.NewServer(mux)
	t.Cleanup(fw.CloseClientConnections)
	return fw
}

func (fw *floodWorker) reply() map[string]any {
	return map[string]any{"clock_ms": 1000 + time.Since(fw.born).Milliseconds(), "born": fw.born.UnixMilli()}
}

func (fw *floodWorker) start(rw http.ResponseWriter, req *http.Request) {
	var run struct {
		Task    string `json:"task"`
		Attempt int    `json:"attempt"`
	}
	if json.NewDecoder(req.Body).Decode(&run) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	fw.mu.Lock()
	id, _, _ := strings.Cut(run.Task, ".")
	fw.started[id] = true
	if name := fmt.Sprintf("%s %d", run.Task, run.Attempt); !fw.runs[name] {
		fw.runs[name] = true
		fw.ends = append(fw.ends, []any{len(fw.ends) + 1, run.Task, run.Attempt, "done", ""})
		close(fw.ended)
		fw.ended = make(chan struct{})
	}
	fw.mu.Unlock()
	replyJSON(rw, http.StatusOK, fw.reply())
}

// poll replies with the ends after the last one that the instance has seen, and waits for one if there is none.
func (fw *floodWorker) poll(rw http.ResponseWriter, req *http.Request) {
	var poll struct {
		Seen int   `json:"last_seen"`
		Wait int64 `json:"wait_ms"`
	}
	if json.NewDecoder(req.Body).Decode(&poll) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(poll.Wait) * time.Millisecond)
	defer timer.Stop()
	fw.mu.Lock()
	if ended := fw.ended; len(fw.ends) <= poll.Seen {
		fw.mu.Unlock()
		select {
		case <-ended:
		case <-timer.C:
		case <-req.Context().Done():
		}
		fw.mu.Lock()
	}
	ends := slices.Clone(fw.ends[min(poll.Seen, len(fw.ends)):])
	fw.mu.Unlock()
	re := fw.reply()
	re["active"], re["finished"] = [][]any{}, append([][]any{}, ends[:min(len(ends), 500)]...)
	if len(fw.unused) == 0 {
		replyJSON(rw, http.StatusOK, re)
		return
	}
	data, err := json.Marshal(re)
	if err != nil {
		panic(err) // cannot fail: only strings and numbers
	}
	rw.Header().Set("Content-Type", "application/json")
	_, _ = rw.Write(data[:len(data)-1]) // fails only if the client has disconnected
	_, _ = rw.Write(fw.unused)
}

// hasStarted reports whether a task of the job was started.
func (fw *floodWorker) hasStarted(id string) bool {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	return fw.started[id]
}

// floodSystem is an instance as a process of its own, with stand-ins for the platform.
type floodSystem struct {
	*process
	store              *floodStore
	worker             *floodWorker
	frontend, metrics  string
	readiness          string
	memoryMB, maxFiles int
}

// floodConfiguration returns the configuration with one queue.
func floodConfiguration() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "q", "host": "q.example", "path_prefix": "/q/", "service": "s", "timeout_ms": 1500, "target_latency_ms": 60,
			"max_attempts": 3, "slack_factor": 1.6,
		}},
		"services": []any{map[string]any{"name": "s", "max_conns": 64}}, "limits": map[string]any{"max_body_bytes": 262144},
	}
}

// startFloodSystem starts an instance with the limits and waits until it runs jobs.
func startFloodSystem(t *testing.T, memoryMB, maxFiles int) *floodSystem {
	t.Helper()
	fs := &floodSystem{store: newFloodStore(t), worker: newFloodWorker(t, 0), memoryMB: memoryMB, maxFiles: maxFiles}
	fs.store.put("op", "config", floodConfiguration())
	fs.addWorker("w-1", fs.worker)
	fs.start(t, "a")
	return fs
}

// addInstance starts another instance of the system and waits until it runs jobs.
func (fs *floodSystem) addInstance(name string) *floodSystem {
	fs.t.Helper()
	other := &floodSystem{store: fs.store, worker: fs.worker, memoryMB: fs.memoryMB, maxFiles: fs.maxFiles}
	other.start(fs.t.(*testing.T), name)
	return other
}

func (fs *floodSystem) start(t *testing.T, name string) {
	t.Helper()
	addresses := freeAddresses(t, 4)
	fs.frontend, fs.readiness, fs.metrics = addresses[0], addresses[1], addresses[2]
	_, peerPort, err := net.SplitHostPort(addresses[3])
	must.NoError(t, err)
	_, metricsPort, err := net.SplitHostPort(fs.metrics)
	must.NoError(t, err)
	path := filepath.Join(t.TempDir(), "settings.toml")
	must.NoError(t, os.WriteFile(path, fmt.Appendf(nil, `node = %q
ip = "127.0.0.1"
zone = "east"
port_range = [%s, %s]
[zones]
east = "r"
[listen]
frontend = %q
readiness = %q
[limits]
memory_mb = %d
max_fds = %d
cpu_share = 1.0
[bounds]
hold_max_ms = 1000
kill_grace_ms = 50
grace_s = 2
retransmit_ms = 1300
[platform]
address = %q
`, name, peerPort, peerPort, fs.frontend, fs.readiness, fs.memoryMB, fs.maxFiles, fs.store.Listener.Addr()), 0o600))
	t.Setenv(platform.SettingsVariable, path)
	fs.process = startProcess(t, "serve "+name, "lovagestack", "serve", "--metrics-port", metricsPort)
	fs.requireAnswer("before the flood")
}

// addWorker registers a worker in the store.
func (fs *floodSystem) addWorker(id string, fw *floodWorker) {
	fs.store.put("servers", id, map[string]any{
		"service": "s", "address": fw.Listener.Addr().String(), "zone": "east", "version": "v1", "slots": 8, "state": "ready",
		"capacity": map[string]int64{"cpu": 512_000, "mem_mb": 1 << 20}, "labels": []string{"a", "r1"}, "born": fw.born.UnixMilli(), "seq": 1,
	})
}
