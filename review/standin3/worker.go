package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxLease  = time.Second           // hold_max_ms
	stopTime  = 20 * time.Millisecond // within kill_grace_ms
	leaseTick = 5 * time.Millisecond
	maxWait   = 2 * time.Second
)

// worker stands in for a worker. It runs whatever it is told to start, under a lease, and guards no capacity. The text "work=MS" in
// the spec tells how long a task works.
type worker struct {
	id, address, zone string
	re                *recorder
	born              int64
	began             time.Time

	mu       sync.Mutex
	fence    int64
	leaseEnd int64 // on the worker's clock, milliseconds
	active   map[string]*activeRun
	ended    []endedRun
	lastEnd  int64
	barred   map[string]int // highest attempt of a task that was stopped or has ended here
	changed  chan struct{}
}

type activeRun struct {
	attempt int
	endAt   int64 // when its work is done
	stopAt  int64 // when its stop takes effect; 0: it is not being stopped
}

type endedRun struct {
	number  int64
	task    string
	attempt int
	how     string
}

// start is a start that a worker has carried out.
type start struct {
	Task    string
	Attempt int
	Worker  string
	At      time.Time
}

// starts collects the starts of all workers.
type starts struct {
	mu   sync.Mutex
	list []start
}

func (ss *starts) add(st start) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	ss.list = append(ss.list, st)
}

// of returns the starts of a job's tasks.
func (ss *starts) of(job string) []start {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	var list []start
	for _, st := range ss.list {
		if strings.HasPrefix(st.Task, job+".") {
			list = append(list, st)
		}
	}
	return list
}

func newWorker(id, address, zone string, re *recorder) *worker {
	now := time.Now()
	return &worker{
		id: id, address: address, zone: zone, re: re, born: now.UnixMilli(), began: now,
		active: map[string]*activeRun{}, barred: map[string]int{}, changed: make(chan struct{}),
	}
}

func (wo *worker) clock() int64 { return time.Since(wo.began).Milliseconds() + 1000 }

// loop ends runs whose work is done, whose stop takes effect or whose lease has expired, until done is closed.
func (wo *worker) loop(done <-chan struct{}) {
	ticker := time.NewTicker(leaseTick)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		wo.mu.Lock()
		now := wo.clock()
		for task, ru := range wo.active {
			switch {
			case now > wo.leaseEnd:
				wo.end(task, ru, "lapsed")
			case ru.stopAt > 0 && now >= ru.stopAt:
				wo.end(task, ru, "stopped")
			case now >= ru.endAt:
				wo.end(task, ru, "done")
			}
		}
		wo.mu.Unlock()
	}
}

// end lists a run as ended. The caller holds mu.
func (wo *worker) end(task string, ru *activeRun, how string) {
	delete(wo.active, task)
	wo.lastEnd++
	wo.ended = append(wo.ended, endedRun{wo.lastEnd, task, ru.attempt, how})
	wo.barred[task] = max(wo.barred[task], ru.attempt)
	wo.re.note("run ended", "task", task, "attempt", ru.attempt, "worker", wo.id, "how", how)
	close(wo.changed)
	wo.changed = make(chan struct{})
}

type workerRequest struct {
	Task     string `json:"task"`
	Attempt  int    `json:"attempt"`
	Spec     string `json:"spec"`
	Expires  int64  `json:"expires_ms"`
	Fence    int64  `json:"fence"`
	LastSeen int64  `json:"last_seen"`
	Wait     int64  `json:"wait_ms"`
}

type workerReply struct {
	Clock  int64   `json:"clock_ms"`
	Born   int64   `json:"born"`
	Reason string  `json:"reason,omitempty"`
	Active [][]any `json:"active,omitempty"`
	Ended  [][]any `json:"finished,omitempty"`
}

// handler serves the worker's API and notes starts in ss.
func (wo *worker) handler(ss *starts) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		var wr workerRequest
		if err := json.NewDecoder(req.Body).Decode(&wr); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		if id := req.Header.Get("X-Target-Instance"); id != "" && id != wo.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		wo.mu.Lock()
		defer wo.mu.Unlock()
		if wr.Fence < wo.fence {
			wo.reply(rw, "fence", false)
			return
		}
		wo.fence = wr.Fence
		switch req.URL.Path {
		case "/v1/run-start":
			wo.reply(rw, wo.start(wr, ss), false)
		case "/v1/run-stop":
			wo.stop(wr)
			wo.reply(rw, "", false)
		case "/v1/hold":
			wo.hold(wr, req)
			wo.reply(rw, "", true)
		default:
			rw.WriteHeader(http.StatusNotFound)
		}
	})
}

func (wo *worker) reply(rw http.ResponseWriter, reason string, lists bool) {
	status, wr := http.StatusOK, workerReply{Clock: wo.clock(), Born: wo.born, Reason: reason}
	if reason != "" {
		status = http.StatusConflict
	}
	if lists {
		wr.Active, wr.Ended = [][]any{}, [][]any{}
		for task, ru := range wo.active {
			wr.Active = append(wr.Active, []any{task, ru.attempt, "", 100, 0})
		}
		for _, en := range wo.ended {
			wr.Ended = append(wr.Ended, []any{en.number, en.task, en.attempt, en.how, ""})
		}
	}
	writeJSON(rw, status, wr)
}

func (wo *worker) extend(expires int64) {
	wo.leaseEnd = max(wo.leaseEnd, min(expires, wo.clock()+maxLease.Milliseconds()))
}

// start starts a run and returns why not, or "".
func (wo *worker) start(wr workerRequest, ss *starts) string {
	now := wo.clock()
	if ru := wo.active[wr.Task]; ru != nil && ru.attempt == wr.Attempt {
		wo.extend(wr.Expires)
		return ""
	}
	if wr.Attempt <= wo.barred[wr.Task] {
		wo.extend(wr.Expires)
		return "old"
	}
	if wr.Expires <= now {
		return "late"
	}
	wo.extend(wr.Expires)
	work := int64(200)
	if _, text, ok := strings.Cut(wr.Spec, "work="); ok {
		if n, err := strconv.ParseInt(strings.Fields(text)[0], 10, 64); err == nil {
			work = n
		}
	}
	wo.active[wr.Task] = &activeRun{attempt: wr.Attempt, endAt: now + work}
	ss.add(start{wr.Task, wr.Attempt, wo.id, time.Now()})
	wo.re.note("run started", "task", wr.Task, "attempt", wr.Attempt, "worker", wo.id, "fence", wr.Fence)
	return ""
}

func (wo *worker) stop(wr workerRequest) {
	wo.barred[wr.Task] = max(wo.barred[wr.Task], wr.Attempt)
	if ru := wo.active[wr.Task]; ru != nil && ru.attempt == wr.Attempt && ru.stopAt == 0 {
		ru.stopAt = wo.clock() + stopTime.Milliseconds()
	}
}

// hold forgets ends, extends the lease and waits for an end. The caller holds mu, which hold gives up while it waits.
func (wo *worker) hold(wr workerRequest, req *http.Request) {
	kept := wo.ended[:0]
	for _, en := range wo.ended {
		if en.number > wr.LastSeen {
			kept = append(kept, en)
		}
	}
	wo.ended = kept
	if wr.Expires > 0 {
		wo.extend(wr.Expires)
	}
	wait := min(time.Duration(wr.Wait)*time.Millisecond, maxWait)
	if len(wo.ended) > 0 || wait <= 0 {
		return
	}
	changed := wo.changed
	wo.mu.Unlock()
	select {
	case <-changed:
	case <-time.After(wait):
	case <-req.Context().Done():
	}
	wo.mu.Lock()
}

// registration is the worker's entry in the store.
func (wo *worker) registration(seq int) map[string]any {
	return map[string]any{
		"service": serviceName, "address": wo.address, "zone": wo.zone, "version": "1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"seq": seq, "born": wo.born, "labels": []string{"a", "rack-" + wo.zone},
		"capacity": map[string]int64{"cpu": 32000, "mem_mb": 131072, "gpu": 0},
	}
}
