package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Bounds of the workers, as in a small deployment.
const (
	heartbeat      = 1500 * time.Millisecond
	maxLease       = time.Second
	stopGrace      = 20 * time.Millisecond // below kill_grace_ms, 50 ms
	maxPollWait    = 2 * time.Second
	maxListedEnds  = 500
	workerTick     = 5 * time.Millisecond
	workerCores    = 32000 // thousandths
	workerMemoryMB = 65536
)

// worker is a sound worker: it starts whatever it is told to start, keeps leases and fences, and lists what has ended.
type worker struct {
	id, zone, service, address string

	server  *http.Server
	re      *record
	st      *store
	runTime func(task string) time.Duration

	mu          sync.Mutex
	born        time.Time
	down        bool // the process has crashed
	labels      []string
	cores       int // thousandths
	calls       map[net.Conn]bool
	fence       int64
	leaseEnd    int64 // of everything that runs, by clock
	runs        map[runKey]*workerRun
	highestEnd  map[string]int // highest attempt that was stopped or has ended, by task
	ends        []workerEnd    // not acknowledged
	lastEnd     int64
	endHappened chan struct{}
	starts      []startSeen
	seq         int64
}

type runKey struct {
	task    string
	attempt int
}

type workerRun struct {
	spec    string
	how     string // outcome; empty: the run goes on
	doneAt  time.Time
	killAt  time.Time // zero: the run is not being ended
	killHow string
	began   time.Time
	ended   time.Time
}

type workerEnd struct {
	number int64
	runKey
	how string
}

// MarshalJSON encodes the end as a row of a reply.
func (we workerEnd) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{we.number, we.task, we.attempt, we.how, ""})
}

// startSeen is a run that a worker has begun.
type startSeen struct {
	runKey
	worker *worker
	at     time.Time
	run    *workerRun
	beside []runKey // all runs on the worker, this one included
	labels []string // of the worker at that time
	cores  int
}

// workerCall is the body of all calls to a worker.
type workerCall struct {
	Task     string `json:"task"`
	Attempt  int    `json:"attempt"`
	Spec     string `json:"spec"`
	Expires  int64  `json:"expires_ms"`
	Fence    int64  `json:"fence"`
	LastSeen int64  `json:"last_seen"`
	Wait     int64  `json:"wait_ms"`
}

func newWorker(re *record, st *store, id, zone, service string, runTime func(task string) time.Duration) *worker {
	return &worker{
		id: id, zone: zone, service: service, re: re, st: st, runTime: runTime, born: time.Now(), labels: []string{"a", "r1"}, cores: workerCores,
		runs: map[runKey]*workerRun{}, highestEnd: map[string]int{}, endHappened: make(chan struct{}),
	}
}

func (wo *worker) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusOK) })
	mux.HandleFunc("POST /v1/run-start", wo.serve(wo.start))
	mux.HandleFunc("POST /v1/run-stop", wo.serve(wo.stop))
	mux.HandleFunc("POST /v1/hold", wo.serve(wo.hold))
	return mux
}

// loop ends runs and writes the registration until stop is closed.
func (wo *worker) loop(stop <-chan struct{}) {
	ticker := time.NewTicker(workerTick)
	defer ticker.Stop()
	var registered time.Time
	for {
		wo.mu.Lock()
		wo.endDueRuns()
		if time.Since(registered) >= heartbeat && !wo.down {
			registered = time.Now()
			wo.register()
		}
		wo.mu.Unlock()
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
	}
}

// register writes the entry. The caller holds mu.
func (wo *worker) register() {
	wo.seq++
	wo.st.put(workerTable, wo.id, map[string]any{
		"service": wo.service, "address": wo.address, "zone": wo.zone, "version": "v1", "slots": 8, "state": "ready", "seq": wo.seq,
		"born": wo.born.UnixMilli(), "labels": wo.labels, "capacity": map[string]int{"cpu": wo.cores, "mem_mb": workerMemoryMB},
	})
}

func (wo *worker) clock() int64 { return 1000 + time.Since(wo.born).Milliseconds() }

// endDueRuns ends the runs that are over. The caller holds mu.
func (wo *worker) endDueRuns() {
	now := time.Now()
	for key, ru := range wo.runs {
		if ru.killAt.IsZero() && wo.clock() >= wo.leaseEnd && now.Before(ru.doneAt) {
			ru.killAt, ru.killHow = now.Add(stopGrace), "lapsed"
		}
		switch {
		case !ru.killAt.IsZero() && !now.Before(ru.killAt):
			wo.end(key, ru, ru.killHow)
		case ru.killAt.IsZero() && !now.Before(ru.doneAt):
			wo.end(key, ru, "done")
		}
	}
}

// end lists a run as ended. The caller holds mu.
func (wo *worker) end(key runKey, ru *workerRun, how string) {
	ru.ended, ru.how = time.Now(), how
	delete(wo.runs, key)
	wo.highestEnd[key.task] = max(wo.highestEnd[key.task], key.attempt)
	wo.lastEnd++
	wo.ends = append(wo.ends, workerEnd{wo.lastEnd, key, how})
	close(wo.endHappened)
	wo.endHappened = make(chan struct{})
	wo.re.add("worker %s: run %s attempt %d has ended: %s", wo.id, key.task, key.attempt, how)
}

// serve decodes a call, and rejects it if it is for another worker or has a lower fence than an earlier one.
func (wo *worker) serve(handle func(rw http.ResponseWriter, req *http.Request, ca *workerCall)) http.HandlerFunc {
	return func(rw http.ResponseWriter, req *http.Request) {
		var ca workerCall
		if err := json.NewDecoder(req.Body).Decode(&ca); err != nil {
			writeJSON(rw, http.StatusBadRequest, map[string]any{"clock_ms": wo.clock()})
			return
		}
		if target := req.Header.Get("X-Target-Instance"); target != "" && target != wo.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		wo.mu.Lock()
		defer wo.mu.Unlock()
		if wo.down {
			panic(http.ErrAbortHandler)
		}
		wo.endDueRuns()
		if wo.admits(rw, &ca) {
			handle(rw, req, &ca)
		}
	}
}

func (wo *worker) admits(rw http.ResponseWriter, ca *workerCall) bool {
	if ca.Fence < wo.fence {
		wo.reject(rw, "fence")
		return false
	}
	wo.fence = ca.Fence
	return true
}

func (wo *worker) reject(rw http.ResponseWriter, reason string) {
	writeJSON(rw, http.StatusConflict, map[string]any{"clock_ms": wo.clock(), "reason": reason})
}

func (wo *worker) accept(rw http.ResponseWriter) {
	writeJSON(rw, http.StatusOK, map[string]any{"clock_ms": wo.clock()})
}

// extend extends the lease of everything that runs. The caller holds mu.
func (wo *worker) extend(expires int64) {
	wo.leaseEnd = max(wo.leaseEnd, min(expires, wo.clock()+maxLease.Milliseconds()))
}

// start begins a run. The caller holds mu.
func (wo *worker) start(rw http.ResponseWriter, _ *http.Request, ca *workerCall) {
	if ca.Expires <= wo.clock() {
		wo.reject(rw, "late")
		return
	}
	wo.extend(ca.Expires)
	key := runKey{ca.Task, ca.Attempt}
	switch {
	case wo.runs[key] != nil:
	case ca.Attempt <= wo.highestEnd[ca.Task]:
		wo.reject(rw, "old")
		return
	default:
		now := time.Now()
		ru := &workerRun{spec: ca.Spec, doneAt: now.Add(wo.runTime(ca.Task)), began: now}
		wo.runs[key] = ru
		wo.starts = append(wo.starts, startSeen{runKey: key, worker: wo, at: now, run: ru, beside: slices.Collect(maps.Keys(wo.runs)), labels: wo.labels, cores: wo.cores})
		wo.re.add("worker %s: run %s attempt %d has begun, fence %d", wo.id, ca.Task, ca.Attempt, ca.Fence)
	}
	wo.accept(rw)
}

// stop ends a run, or has its start rejected if that comes later. The caller holds mu.
func (wo *worker) stop(rw http.ResponseWriter, _ *http.Request, ca *workerCall) {
	for key, ru := range wo.runs {
		if key.task == ca.Task && key.attempt <= ca.Attempt && ru.killAt.IsZero() {
			ru.killAt, ru.killHow = time.Now().Add(stopGrace), "stopped"
			wo.re.add("worker %s: run %s attempt %d is stopped by fence %d", wo.id, key.task, key.attempt, ca.Fence)
		}
	}
	wo.highestEnd[ca.Task] = max(wo.highestEnd[ca.Task], ca.Attempt)
	wo.accept(rw)
}

// hold extends the lease and lists the runs, after a wait for an end if the call asks for that. The caller holds mu.
func (wo *worker) hold(rw http.ResponseWriter, req *http.Request, ca *workerCall) {
	wo.extend(ca.Expires)
	wo.ends = slices.DeleteFunc(wo.ends, func(en workerEnd) bool { return en.number <= ca.LastSeen })
	born := wo.born
	timeout := time.After(min(time.Duration(ca.Wait)*time.Millisecond, maxPollWait))
	for waiting := ca.Wait > 0; waiting && len(wo.ends) == 0; {
		changed := wo.endHappened
		wo.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-req.Context().Done():
			waiting = false
		}
		wo.mu.Lock()
		wo.endDueRuns()
	}
	if wo.down || !wo.born.Equal(born) {
		panic(http.ErrAbortHandler) // the process that got the call has ended
	}
	if !wo.admits(rw, ca) { // another owner has called meanwhile
		return
	}
	active := [][]any{}
	for key := range wo.runs {
		active = append(active, []any{key.task, key.attempt, "", 0, 0})
	}
	ends := append([]workerEnd{}, wo.ends[:min(len(wo.ends), maxListedEnds)]...)
	writeJSON(rw, http.StatusOK, map[string]any{
		"clock_ms": wo.clock(), "born": wo.born.UnixMilli(), "active": active, "finished": ends,
	})
}

// startsOf returns the runs of a job that this worker has begun.
func (wo *worker) startsOf(job string) []startSeen {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	var list []startSeen
	for _, ss := range wo.starts {
		if strings.HasPrefix(ss.task, job+".") {
			list = append(list, ss)
		}
	}
	return list
}

// crash ends the process: its runs and channels are gone.
func (wo *worker) crash() {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	wo.endDueRuns()
	now := time.Now()
	for _, ru := range wo.runs {
		ru.ended, ru.how = now, "crashed"
	}
	wo.down, wo.fence, wo.leaseEnd, wo.ends, wo.lastEnd, wo.seq = true, 0, 0, nil, 0, 0
	clear(wo.runs)
	clear(wo.highestEnd)
	for co := range wo.calls {
		_ = co.Close()
	}
	wo.re.add("worker %s: crashed", wo.id)
}

// restart begins a new process, which may be of another kind.
func (wo *worker) restart(labels []string, cores int) {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	wo.down, wo.born, wo.labels, wo.cores = false, time.Now(), labels, cores
	wo.register()
	wo.re.add("worker %s: started again, labels %v, %d thousandths of a core", wo.id, labels, cores)
}

// noteConn is the ConnState hook of the worker's server.
func (wo *worker) noteConn(co net.Conn, state http.ConnState) {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	switch state {
	case http.StateNew:
		if wo.calls == nil {
			wo.calls = map[net.Conn]bool{}
		}
		wo.calls[co] = true
		if wo.down {
			_ = co.Close()
		}
	case http.StateClosed, http.StateHijacked:
		delete(wo.calls, co)
	default:
	}
}
