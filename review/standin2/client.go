package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// step is a step of a job.
type step struct {
	Count        int   `json:"count"`
	CPU          int   `json:"cpu"`
	MemoryMB     int   `json:"mem_mb"`
	RunTime      int   `json:"est_runtime_ms"`
	DependsOn    []int `json:"depends_on,omitempty"`
	AntiAffinity int   `json:"anti_affinity,omitempty"`
}

// answer is the outcome of a request.
type answer struct {
	status int
	body   string
	err    error // no answer, or not a whole one
	sent   time.Time
	at     time.Time
}

// answered reports whether the client got a whole answer.
func (an answer) answered() bool { return an.err == nil }

func (an answer) String() string {
	if an.err != nil {
		return "no answer: " + an.err.Error()
	}
	return fmt.Sprintf("%d %s", an.status, an.body)
}

// newID returns a random ID of a job.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// client sends a client's requests, each over a channel of its own.
type client struct {
	re   *record
	name string
	keep *http.Client // keeps its channels open; nil: each request has a channel of its own
}

// submit sends a job that needs no storing, and waits for the answer.
func (cl *client) submit(in *instance, host, path string, timeout time.Duration, steps []step) answer {
	body, err := json.Marshal(map[string]any{"spec": "spec of " + path, "pipeline": steps, "best_effort": true})
	if err != nil {
		panic(err) // cannot fail: only strings and numbers
	}
	return cl.call(in, http.MethodPost, host, path, timeout, body)
}

// submitJob sends a job of the soak. The client leaves after a time that may be shorter than the time budget that it has told.
func (cl *client) submitJob(in *instance, host, path string, leave, budget time.Duration, steps []soakStep) answer {
	body, err := json.Marshal(map[string]any{"spec": "spec of " + path, "pipeline": steps, "best_effort": true})
	if err != nil {
		panic(err) // cannot fail: only strings and numbers
	}
	return cl.callWithin(in, http.MethodPost, host, path, leave, budget, body)
}

func (cl *client) call(in *instance, method, host, path string, timeout time.Duration, body []byte) answer {
	return cl.callWithin(in, method, host, path, timeout, timeout, body)
}

// callWithin sends a request, tells the time budget, and leaves after the timeout.
func (cl *client) callWithin(in *instance, method, host, path string, timeout, budget time.Duration, body []byte) answer {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	an := answer{sent: time.Now()}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+in.frontend+path, bytes.NewReader(body))
	if err != nil {
		an.err = err
		return an
	}
	req.Host = host
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(budget.Milliseconds(), 10))
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	cl.re.add("%s: sends %s %s%s to %s %s", cl.name, method, host, path, in.node, body)
	hc := cl.keep
	if hc == nil {
		hc = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	}
	resp, err := hc.Do(req)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		an.status, an.body = resp.StatusCode, string(data)
	}
	an.err, an.at = err, time.Now()
	cl.re.add("%s: %s %s%s: %s", cl.name, method, host, path, an)
	return an
}
