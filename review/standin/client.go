package main

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// clientDeadline is how long clients wait for an answer.
const clientDeadline = 1500 * time.Millisecond

// job is a job that a client sends.
type job struct {
	id           string
	tasks        int
	cpu          int64 // thousandths of a core for one task
	runTime      time.Duration
	antiAffinity int
	constraint   string
	steps        int           // number of steps, each of which depends on the one before; 0: one
	deadline     time.Duration // how long the client waits; 0: clientDeadline

	mu          sync.Mutex
	cancelAcked time.Time // when the client got the acknowledgement of its cancelling; zero: not cancelled
}

// pipeline returns the steps as sent.
func (jo *job) pipeline() []map[string]any {
	var list []map[string]any
	for i := range max(jo.steps, 1) {
		step := map[string]any{
			"count": jo.tasks, "cpu": jo.cpu, "mem_mb": 64, "est_runtime_ms": jo.runTime.Milliseconds(),
		}
		if jo.antiAffinity > 0 {
			step["anti_affinity"] = jo.antiAffinity
		}
		if jo.constraint != "" {
			step["constraints"] = jo.constraint
		}
		if i > 0 {
			step["depends_on"] = []int{i - 1}
		}
		list = append(list, step)
	}
	return list
}

// jobOf returns the job of a task, or nil if no client has sent it.
func (be *bed) jobOf(task string) *job {
	id, _, _ := strings.Cut(task, ".")
	be.mu.Lock()
	defer be.mu.Unlock()
	return be.jobs[id]
}

func newJobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// clients keeps no connections open between requests, like clients that the platform assigns anew.
var clients = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// submit sends a job to an instance and returns the status of the answer, or 0 if there was none in time.
func (be *bed) submit(ctx context.Context, in *instance, jo *job) int {
	if jo.id == "" {
		jo.id = newJobID()
	}
	be.mu.Lock()
	be.jobs[jo.id] = jo
	be.mu.Unlock()
	body, err := json.Marshal(map[string]any{"spec": "quote", "best_effort": true, "pipeline": jo.pipeline()})
	if err != nil {
		panic(err) // the values can be encoded
	}
	deadline := cmp.Or(jo.deadline, clientDeadline)
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+in.frontend()+"/quote/"+jo.id, bytes.NewReader(body))
	if err != nil {
		panic(err) // the address is valid
	}
	req.Host = "quote.example"
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	be.record.log("client sends job %s to %s: %s", jo.id, in.node, body)
	resp, err := clients.Do(req)
	if err != nil {
		be.record.log("client gets no answer for job %s: %v", jo.id, err)
		be.record.count(be.record.answers, "none")
		return 0
	}
	_ = resp.Body.Close()
	be.record.log("client gets %d for job %s", resp.StatusCode, jo.id)
	be.record.count(be.record.answers, strconv.Itoa(resp.StatusCode))
	return resp.StatusCode
}

// cancelJob sends the cancelling of a job to an instance, again until it is acknowledged.
func (be *bed) cancelJob(ctx context.Context, in *instance, jo *job) {
	for ctx.Err() == nil {
		req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+in.frontend()+"/quote/"+jo.id, nil)
		if err != nil {
			panic(err) // the address is valid
		}
		req.Host = "quote.example"
		be.record.log("client cancels job %s at %s", jo.id, in.node)
		resp, err := clients.Do(req)
		if err == nil {
			_ = resp.Body.Close()
			be.record.log("client gets %d for the cancelling of job %s", resp.StatusCode, jo.id)
			be.record.count(be.record.answers, fmt.Sprintf("cancel %d", resp.StatusCode))
			if resp.StatusCode/100 == 2 || resp.StatusCode == http.StatusGone {
				jo.mu.Lock()
				jo.cancelAcked = time.Now()
				jo.mu.Unlock()
				return
			}
		}
		_ = pause(ctx, time.Second)
	}
}
