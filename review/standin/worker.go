package main

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Bounds of the workers, as in the settings of a small deployment.
const (
	holdMax      = time.Second
	killGrace    = 50 * time.Millisecond
	heartbeat    = 1500 * time.Millisecond
	maxEndsShown = 500
	cancelBound  = 3 * time.Second // cancel_ms
)

// runState is one run on a worker. A run that is being stopped occupies its capacity until its end is listed.
type runState struct {
	attempt int
	cpu     int64
	began   time.Time
	end     *time.Timer
	stopped bool
}

// runEnd is a row of the list of ended runs.
type runEnd struct {
	number  int64
	task    string
	attempt int
	outcome string
}

// MarshalJSON encodes the row.
func (re runEnd) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{re.number, re.task, re.attempt, re.outcome, ""})
}

// worker serves the workers' interface, without preconditions: it starts whatever it is instructed to start.
type worker struct {
	be      *bed
	id      string
	zone    string
	service string
	address string

	mu         sync.Mutex
	server     *http.Server // nil: the process is down
	cpu        int64
	labels     []string
	born       time.Time
	fence      int64
	leaseEnds  int64 // on the worker's clock
	runs       map[string]*runState
	highest    map[string]int // highest attempt that was stopped or has ended, by task
	ends       []runEnd
	lastNumber int64
	ended      chan struct{} // closed and replaced when a run ends
	seq        int64
}

// start begins a lifetime of the worker with the given capacity. It listens before it registers.
func (wo *worker) start(cpu int64, labels []string) error {
	li, err := net.Listen("tcp", wo.address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", wo.serveStart)
	mux.HandleFunc("POST /v1/run-stop", wo.serveStop)
	mux.HandleFunc("POST /v1/hold", wo.serveHold)
	mux.HandleFunc("GET /healthz", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusOK) })
	wo.mu.Lock()
	wo.server = &http.Server{Handler: mux}
	wo.cpu, wo.labels, wo.born, wo.fence, wo.leaseEnds = cpu, labels, time.Now(), 0, 0
	wo.runs, wo.highest, wo.ends, wo.lastNumber, wo.seq = map[string]*runState{}, map[string]int{}, nil, 0, 0
	wo.ended = make(chan struct{})
	server, born := wo.server, wo.born
	wo.mu.Unlock()
	wo.be.record.log("worker %s starts with %d thousandths of a core, labels %v", wo.id, cpu, labels)
	go func() { _ = server.Serve(li) }() // returns when the server is closed
	go wo.beat(born)
	return nil
}

// crash ends the worker's process without notice.
func (wo *worker) crash() {
	wo.mu.Lock()
	server := wo.server
	wo.server = nil
	for task, ru := range wo.runs {
		ru.end.Stop()
		wo.be.runEnded(wo, task)
	}
	wo.runs = map[string]*runState{}
	wo.mu.Unlock()
	wo.be.record.log("worker %s crashes", wo.id)
	if server != nil {
		_ = server.Close()
	}
}

// beat registers this lifetime of the worker at once and then every heartbeat.
func (wo *worker) beat(born time.Time) {
	for {
		wo.mu.Lock()
		if wo.server == nil || !wo.born.Equal(born) {
			wo.mu.Unlock()
			return
		}
		wo.seq++
		entry := map[string]any{
			"service": wo.service, "address": wo.address, "zone": wo.zone, "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
			"capacity": map[string]int64{"cpu": wo.cpu, "mem_mb": 65536, "gpu": 0}, "labels": wo.labels, "clock_ms": wo.clock(), "seq": wo.seq,
			"born": wo.born.UnixMilli(),
		}
		wo.mu.Unlock()
		wo.be.store.put("servers", wo.id, entry)
		select {
		case <-time.After(heartbeat):
		case <-wo.be.done:
			return
		}
	}
}

// clock returns the worker's steady clock in milliseconds. The caller holds mu.
func (wo *worker) clock() int64 { return time.Since(wo.born).Milliseconds() + 1 }

// admit checks the intended lifetime and the fence. The caller holds mu.
func (wo *worker) admit(rw http.ResponseWriter, req *http.Request, fence int64) bool {
	switch {
	case wo.server == nil:
		return false
	case req.Header.Get("X-Target-Instance") != wo.id:
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return false
	case fence < wo.fence:
		wo.reject(rw, "fence")
		return false
	}
	wo.fence = fence
	return true
}

func (wo *worker) reject(rw http.ResponseWriter, reason string) {
	writeJSON(rw, http.StatusConflict, map[string]any{"clock_ms": wo.clock(), "born": wo.born.UnixMilli(), "reason": reason})
}

// extend extends the lease of everything that runs. The caller holds mu.
func (wo *worker) extend(expires int64) {
	wo.leaseEnds = max(wo.leaseEnds, min(expires, wo.clock()+holdMax.Milliseconds()))
	born, at := wo.born, wo.leaseEnds
	time.AfterFunc(time.Duration(at-wo.clock())*time.Millisecond, func() {
		wo.mu.Lock()
		defer wo.mu.Unlock()
		if !wo.born.Equal(born) || wo.leaseEnds > at {
			return
		}
		for task, ru := range wo.runs {
			wo.killLocked(task, ru, "lapsed")
		}
	})
}

// killLocked ends a run within killGrace. The caller holds mu.
func (wo *worker) killLocked(task string, ru *runState, outcome string) {
	if ru.stopped {
		return
	}
	ru.stopped = true
	born := wo.born
	time.AfterFunc(killGrace/2, func() {
		wo.mu.Lock()
		defer wo.mu.Unlock()
		if wo.born.Equal(born) && wo.runs[task] == ru {
			wo.endLocked(task, ru, outcome)
		}
	})
}

type startOrder struct {
	Task    string `json:"task"`
	Attempt int    `json:"attempt"`
	Spec    string `json:"spec"`
	Expires int64  `json:"expires_ms"`
	Fence   int64  `json:"fence"`
}

func (wo *worker) serveStart(rw http.ResponseWriter, req *http.Request) {
	var or startOrder
	if json.NewDecoder(req.Body).Decode(&or) != nil || or.Task == "" || or.Attempt < 1 {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	wo.mu.Lock()
	defer wo.mu.Unlock()
	if !wo.admit(rw, req, or.Fence) {
		return
	}
	if or.Expires <= wo.clock() {
		wo.reject(rw, "late")
		return
	}
	wo.extend(or.Expires)
	if ru := wo.runs[or.Task]; ru != nil && ru.attempt == or.Attempt {
		writeJSON(rw, http.StatusOK, map[string]any{"clock_ms": wo.clock(), "born": wo.born.UnixMilli()})
		return
	}
	if or.Attempt <= wo.highest[or.Task] {
		wo.reject(rw, "old")
		return
	}
	wo.startLocked(or)
	writeJSON(rw, http.StatusOK, map[string]any{"clock_ms": wo.clock(), "born": wo.born.UnixMilli()})
}

// startLocked starts a run and has the checks of the case look at it. The caller holds mu.
func (wo *worker) startLocked(or startOrder) {
	jo := wo.be.jobOf(or.Task)
	if jo == nil {
		wo.be.record.violate("UNASKED: worker %s starts %s, which no client sent", wo.id, or.Task)
		return
	}
	ru := &runState{attempt: or.Attempt, cpu: jo.cpu, began: time.Now()}
	wo.runs[or.Task] = ru
	used := int64(0)
	for _, other := range wo.runs {
		used += other.cpu
	}
	wo.be.record.log("worker %s starts %s attempt %d fence %d: %d of %d used", wo.id, or.Task, or.Attempt, or.Fence, used, wo.cpu)
	if used > wo.cpu {
		wo.be.record.violate("LIMIT: the start of %s attempt %d brings worker %s to %d of %d thousandths of a core",
			or.Task, or.Attempt, wo.id, used, wo.cpu)
	}
	wo.be.checkTwice(wo, or)
	jo.mu.Lock()
	if late := time.Since(jo.cancelAcked); !jo.cancelAcked.IsZero() && late > cancelBound {
		wo.be.record.violate("UNASKED: worker %s is told to start %s %.1f s after the cancelling of its job was acknowledged",
			wo.id, or.Task, late.Seconds())
	}
	jo.mu.Unlock()
	if jo.antiAffinity > 0 {
		step := or.Task[:strings.LastIndexByte(or.Task, '.')]
		n := 0
		for task := range wo.runs {
			if strings.HasPrefix(task, step+".") {
				n++
			}
		}
		if n > jo.antiAffinity {
			wo.be.record.violate("ROUTE: the start of %s attempt %d is number %d of its step on worker %s, anti_affinity %d",
				or.Task, or.Attempt, n, wo.id, jo.antiAffinity)
		}
	}
	if jo.constraint != "" && !slices.Contains(wo.labels, jo.constraint) {
		wo.be.record.violate("ROUTE: the start of %s attempt %d on worker %s with labels %v, constraints %s",
			or.Task, or.Attempt, wo.id, wo.labels, jo.constraint)
	}
	born := wo.born
	runTime := time.Duration(float64(jo.runTime) * (0.98 + 0.04*rand.Float64()))
	ru.end = time.AfterFunc(runTime, func() {
		wo.mu.Lock()
		defer wo.mu.Unlock()
		if wo.born.Equal(born) && wo.runs[or.Task] == ru && !ru.stopped {
			wo.endLocked(or.Task, ru, "done")
		}
	})
}

// endLocked lists a run as ended. The caller holds mu.
func (wo *worker) endLocked(task string, ru *runState, outcome string) {
	ru.end.Stop()
	delete(wo.runs, task)
	wo.highest[task] = max(wo.highest[task], ru.attempt)
	wo.lastNumber++
	wo.ends = append(wo.ends, runEnd{wo.lastNumber, task, ru.attempt, outcome})
	wo.be.record.log("worker %s ends %s attempt %d: %s", wo.id, task, ru.attempt, outcome)
	wo.be.record.count(wo.be.record.runs, outcome)
	wo.be.runEnded(wo, task)
	close(wo.ended)
	wo.ended = make(chan struct{})
}

func (wo *worker) serveStop(rw http.ResponseWriter, req *http.Request) {
	var or startOrder
	if json.NewDecoder(req.Body).Decode(&or) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	wo.mu.Lock()
	defer wo.mu.Unlock()
	if !wo.admit(rw, req, or.Fence) {
		return
	}
	wo.highest[or.Task] = max(wo.highest[or.Task], or.Attempt)
	if ru := wo.runs[or.Task]; ru != nil && ru.attempt <= or.Attempt {
		wo.killLocked(or.Task, ru, "stopped")
	}
	writeJSON(rw, http.StatusOK, map[string]any{"clock_ms": wo.clock(), "born": wo.born.UnixMilli()})
}

func (wo *worker) serveHold(rw http.ResponseWriter, req *http.Request) {
	var or struct {
		Expires int64 `json:"expires_ms"`
		Fence   int64 `json:"fence"`
		Seen    int64 `json:"last_seen"`
		Wait    int64 `json:"wait_ms"`
	}
	if json.NewDecoder(req.Body).Decode(&or) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	until := time.Now().Add(time.Duration(min(or.Wait, 2000)) * time.Millisecond)
	wo.mu.Lock()
	defer wo.mu.Unlock()
	if !wo.admit(rw, req, or.Fence) {
		return
	}
	if or.Expires > 0 {
		wo.extend(or.Expires)
	}
	wo.ends = slices.DeleteFunc(wo.ends, func(en runEnd) bool { return en.number <= or.Seen })
	born := wo.born
	for len(wo.ends) == 0 && time.Now().Before(until) {
		ended := wo.ended
		wo.mu.Unlock()
		select {
		case <-ended:
		case <-time.After(time.Until(until)):
		case <-req.Context().Done():
		}
		wo.mu.Lock()
		if wo.server == nil || !wo.born.Equal(born) || req.Context().Err() != nil {
			return
		}
	}
	active := [][]any{}
	for task, ru := range wo.runs {
		active = append(active, []any{task, ru.attempt, "", 100, 0})
	}
	writeJSON(rw, http.StatusOK, map[string]any{
		"clock_ms": wo.clock(), "born": wo.born.UnixMilli(), "active": active,
		"finished": append([]runEnd{}, wo.ends[:min(len(wo.ends), maxEndsShown)]...),
	})
}
