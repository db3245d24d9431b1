package lovagebackend

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// worker holds the connections to one address.
type worker struct {
	client    *Client
	transport *http.Transport
	maxConns  int

	// The fields below are guarded by client.mu.
	activeRuns int   // calls of Run in progress
	lastUsed   int64 // end of the last Run, in nanoseconds since client.start
	replaced   bool  // another worker value with a new limit has replaced this one

	mu       sync.Mutex
	conns    map[*conn]struct{}
	inFlight map[*attempt]struct{} // attempts that have a connection and have not ended
}

func newWorker(cl *Client, maxConns int) *worker {
	wo := &worker{client: cl, maxConns: maxConns, conns: map[*conn]struct{}{}, inFlight: map[*attempt]struct{}{}}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	wo.transport = &http.Transport{
		Proxy:                  nil, // workers are reached directly; proxy variables of the environment are ignored
		DialContext:            wo.dial,
		MaxConnsPerHost:        maxConns,
		MaxIdleConnsPerHost:    maxConns,
		IdleConnTimeout:        cl.se.IdleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
		Protocols:              protocols,
	}
	return wo
}

// newDialer returns a dialer whose socket options make the kernel close silent connections.
func newDialer(se Settings) *net.Dialer {
	return &net.Dialer{
		Timeout:         se.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: se.KeepAliveInterval, Interval: se.KeepAliveInterval, Count: keepAliveProbes},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return setUserTimeout(raw, se.TCPUserTimeout)
		},
	}
}

func (wo *worker) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	raw, err := wo.client.se.Dial(ctx, network, addr)
	if err != nil {
		wo.client.counters.DialFailures.Inc(1)
		return nil, err
	}
	wo.client.counters.ConnectionsOpened.Inc(1)
	co := &conn{Conn: raw, worker: wo}
	co.lastRead.Store(wo.client.sinceStart(time.Now()))
	wo.mu.Lock()
	wo.conns[co] = struct{}{}
	wo.mu.Unlock()
	return co, nil
}

func (wo *worker) removeConn(co *conn) {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	delete(wo.conns, co)
}

// trackAttempt records that the attempt has been assigned a connection.
func (wo *worker) trackAttempt(at *attempt) {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	wo.inFlight[at] = struct{}{}
}

// finishAttempt records that the attempt has ended. If the attempt was answered, it counts as a later reply for each
// earlier attempt of the same service that is still in flight on another connection.
func (wo *worker) finishAttempt(at *attempt, answered bool) {
	now := wo.client.sinceStart(time.Now())
	wo.mu.Lock()
	defer wo.mu.Unlock()
	delete(wo.inFlight, at)
	if !answered {
		return
	}
	for other := range wo.inFlight {
		if other.service == at.service && other.sentAt <= at.sentAt {
			other.laterReplies++
			other.slowestLaterReply = max(other.slowestLaterReply, now-at.sentAt)
		}
	}
}

// closeSilentConns closes connections that have become silent. It has two rules, because a false positive costs a
// reconnect for an idle connection, but a failed job for a connection with a task:
//
//   - While a request has been unanswered for SuspectAfter, idle connections that have received nothing since it was
//     sent are closed. The next task then uses a new connection, so its reply counts for the second rule.
//   - A request unanswered for SilentAfter is abandoned if at least SilentReplies requests of the same service, sent
//     to the worker later on other connections, were answered, each within 1/SilentFactor of the request's age.
func (wo *worker) closeSilentConns(now int64) {
	se := &wo.client.se
	oldest := now
	var silent []*attempt
	wo.mu.Lock()
	for at := range wo.inFlight {
		age := time.Duration(now - at.sentAt)
		if age >= se.SuspectAfter {
			oldest = min(oldest, at.sentAt)
		}
		if age >= se.SilentAfter && at.laterReplies >= se.SilentReplies && age >= time.Duration(se.SilentFactor)*time.Duration(at.slowestLaterReply) {
			silent = append(silent, at)
		}
	}
	var conns []*conn
	if oldest < now {
		for co := range wo.conns {
			conns = append(conns, co)
		}
	}
	wo.mu.Unlock()
	for _, co := range conns {
		if co.closeIfIdle(oldest) {
			wo.client.counters.IdleConnectionsClosed.Inc(1)
		}
	}
	for _, at := range silent {
		wo.client.counters.SilentConnections.Inc(1)
		at.cancel(ErrSilent)
	}
}
