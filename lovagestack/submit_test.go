package main

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"lovagestack/lovageapi"
	"lovagestack/lovagejob"
)

// Guards against "not run" for a job whose reply was lost and whose second submission was rejected.
func TestRejectedRepeatIsNoOutcome(t *testing.T) {
	for _, outcome := range []lovagejob.Outcome{lovagejob.Complete, lovagejob.Unknown} {
		t.Run(string(outcome), func(t *testing.T) {
			const key = "kandla.0.1.1796381234567.5f0c9a1be2d34c77"
			var submissions atomic.Int64
			mux := http.NewServeMux()
			mux.HandleFunc("POST /v1/jobs", func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if submissions.Add(1) == 1 {
					panic(http.ErrAbortHandler)
				}
				w.WriteHeader(http.StatusBadRequest)
				_, _ = io.WriteString(w, `{"error":"the request has faults; nothing was started","findings":[{"field":"deadline","problem":"has passed"}]}`)
			})
			mux.HandleFunc("GET /v1/jobs/{key}", func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, `{"key":"`+key+`","outcome":"`+string(outcome)+`","tasks":1,"started":1}`)
			})
			srv := httptest.NewServer(mux)
			defer srv.Close()
			cl := lovageapi.NewClient(srv.Listener.Addr().String())
			defer cl.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			got, err := new(submitCommand).submit(ctx, cl, lovageapi.JobRequest{
				Key: key, Service: "a", Team: "b", Deadline: time.Now().Add(time.Minute), Tasks: []lovageapi.TaskRequest{{Payload: []byte("1")}},
			})
			must.NoError(t, err)
			must.Eq(t, outcome, got.Outcome)
			must.Eq(t, 2, submissions.Load())
		})
	}
}
