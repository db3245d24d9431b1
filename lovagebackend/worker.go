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
	client      *Client
	transport   *http.Transport
	connections int // most connections

	// The fields below are guarded by client.mu.
	users    int   // requests in flight
	lastUsed int64 // nanoseconds since client.start
	replaced bool  // another worker has taken its place with a new limit

	mu       sync.Mutex
	conns    map[*conn]struct{}
	inFlight map[*attempt]struct{} // requests that were given a connection and have not ended
}

func newWorker(cl *Client, connections int) *worker {
	wo := &worker{client: cl, connections: connections, conns: map[*conn]struct{}{}, inFlight: map[*attempt]struct{}{}}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	wo.transport = &http.Transport{
		Proxy:                  nil, // workers are reached directly, whatever the environment says
		DialContext:            wo.dial,
		MaxConnsPerHost:        connections,
		MaxIdleConnsPerHost:    connections,
		IdleConnTimeout:        cl.se.IdleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
		Protocols:              protocols,
	}
	return wo
}

// newDialer returns the dialer with the socket options that end silent connections.
func newDialer(se Settings) *net.Dialer {
	return &net.Dialer{
		Timeout:         se.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: se.KeepAliveInterval, Interval: se.KeepAliveInterval, Count: keepAliveCount},
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
	co.lastRead.Store(wo.client.since(time.Now()))
	wo.mu.Lock()
	wo.conns[co] = struct{}{}
	wo.mu.Unlock()
	return co, nil
}

func (wo *worker) forget(co *conn) {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	delete(wo.conns, co)
}

// enter notes that the attempt was given a connection.
func (wo *worker) enter(at *attempt) {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	wo.inFlight[at] = struct{}{}
}

// leave notes that the attempt ended. If it was answered, older requests to the same service learn of it: they are
// compared with those that were sent later on other connections.
func (wo *worker) leave(at *attempt, answered bool) {
	now := wo.client.since(time.Now())
	wo.mu.Lock()
	defer wo.mu.Unlock()
	delete(wo.inFlight, at)
	if !answered {
		return
	}
	for other := range wo.inFlight {
		if other.service == at.service && other.sent <= at.sent {
			other.overtaken++
			other.slowest = max(other.slowest, now-at.sent)
		}
	}
}

// inspect closes connections that went silent. It has two rules, because a wrong suspicion costs a reconnect for an
// idle connection but a job for one with a task on it:
//
//   - While a request is unanswered for SuspectAfter, idle connections that have received nothing since it was sent
//     are closed, so that the next task is sent on a new connection and yields a comparison.
//   - A request that is unanswered for SilentAfter is given up if at least SilentReplies requests of the same service,
//     sent to the worker later on other connections, were answered, each in less than a SilentFactor-th of its age.
func (wo *worker) inspect(now int64) {
	se := &wo.client.se
	oldest := now
	var silent []*attempt
	wo.mu.Lock()
	for at := range wo.inFlight {
		age := time.Duration(now - at.sent)
		if age >= se.SuspectAfter {
			oldest = min(oldest, at.sent)
		}
		if age >= se.SilentAfter && at.overtaken >= se.SilentReplies && age >= time.Duration(se.SilentFactor)*time.Duration(at.slowest) {
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
		if co.retire(oldest) {
			wo.client.counters.IdleConnectionsClosed.Inc(1)
		}
	}
	for _, at := range silent {
		wo.client.counters.SilentConnections.Inc(1)
		at.cancel(ErrSilent)
	}
}
