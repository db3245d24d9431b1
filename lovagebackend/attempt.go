package lovagebackend

import (
	"context"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

var errReplay = errors.New("request was partly written and is not sent again")

// attempt is one request on its way to a worker.
type attempt struct {
	worker  *worker
	service string
	cancel  context.CancelCauseFunc
	reused  bool // the last connection had been used before; for the goroutine that sends

	mu    sync.Mutex
	given []*conn // connections that the transport gave to the request, in order

	wrote atomic.Bool // a byte of the request was written

	// The fields below are guarded by worker.mu.
	sent      int64 // nanoseconds since client.start when the request was last given a connection
	overtaken int   // later requests that were answered
	slowest   int64 // longest of their response times, in nanoseconds
}

// trace returns the hooks that follow the request through http.Transport.
func (at *attempt) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: at.gotConn}
}

// gotConn is called before the transport writes to a connection. The transport calls it again when it sends the
// request again, which is right only if nothing was written to the connections before.
func (at *attempt) gotConn(info httptrace.GotConnInfo) {
	co, ok := info.Conn.(*conn)
	if !ok {
		return
	}
	co.assign(at, info.Reused)
	at.reused = info.Reused
	if at.started() {
		at.worker.client.counters.ReplaysPrevented.Inc(1)
		co.seal(at)
		at.cancel(errReplay)
		return
	}
	at.mu.Lock()
	at.given = append(at.given, co)
	at.mu.Unlock()
	at.worker.mu.Lock()
	at.sent = at.worker.client.since(time.Now())
	at.worker.mu.Unlock()
	at.worker.enter(at)
}

// started bars the request from being written any further and reports whether a byte of it can have been written.
func (at *attempt) started() bool {
	at.mu.Lock()
	defer at.mu.Unlock()
	started := false
	for _, co := range at.given {
		if co.seal(at) {
			started = true
		}
	}
	return started
}

// release gives the connection back after a whole reply.
func (at *attempt) release() {
	at.mu.Lock()
	defer at.mu.Unlock()
	for _, co := range at.given {
		co.release(at)
	}
}
