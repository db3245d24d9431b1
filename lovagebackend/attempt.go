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

// attempt is one HTTP request to a worker.
type attempt struct {
	worker  *worker
	service string
	ctx     context.Context // ends when the task may no longer start
	cancel  context.CancelCauseFunc
	reused  bool // the last assigned connection had been used before; accessed only by the sending goroutine

	mu    sync.Mutex
	conns []*conn // connections that the transport assigned to the request, in order

	wrote atomic.Bool // a byte of the request was written

	// The fields below are guarded by worker.mu.
	sentAt            int64 // time of the last assignment to a connection, in nanoseconds since client.start
	laterReplies      int   // number of answered requests of the same service that were sent later on other connections
	slowestLaterReply int64 // longest response time of these later requests, in nanoseconds
}

// mayWrite reports whether the task may still start. It compares the deadline itself, because the timer of the context
// may be late.
func (at *attempt) mayWrite() bool {
	deadline, ok := at.ctx.Deadline()
	return at.ctx.Err() == nil && (!ok || time.Now().Before(deadline))
}

// clientTrace returns the hook by which http.Transport reports the request's connections.
func (at *attempt) clientTrace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: at.gotConn}
}

// gotConn is called before the transport writes to a connection, also when it retries the request. A retry is allowed
// only if nothing was written to the earlier connections.
func (at *attempt) gotConn(info httptrace.GotConnInfo) {
	co, ok := info.Conn.(*conn)
	if !ok {
		return
	}
	co.assign(at, info.Reused)
	at.reused = info.Reused
	if at.seal() {
		at.worker.client.counters.ReplaysPrevented.Inc(1)
		co.seal(at)
		at.cancel(errReplay)
		return
	}
	at.mu.Lock()
	at.conns = append(at.conns, co)
	at.mu.Unlock()
	at.worker.mu.Lock()
	at.sentAt = at.worker.client.sinceStart(time.Now())
	at.worker.mu.Unlock()
	at.worker.trackAttempt(at)
}

// seal prevents further writes of the request and reports whether a byte of it may have been written.
func (at *attempt) seal() bool {
	at.mu.Lock()
	defer at.mu.Unlock()
	started := false
	for _, co := range at.conns {
		if co.seal(at) {
			started = true
		}
	}
	return started
}

// release gives up ownership of the connections after a reply.
func (at *attempt) release() {
	at.mu.Lock()
	defer at.mu.Unlock()
	for _, co := range at.conns {
		co.release(at)
	}
}
