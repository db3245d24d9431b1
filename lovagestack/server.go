package main

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"lovagestack/lovageadmission"
	"lovagestack/lovageconn"
)

const (
	// shutDownInterval is how often shutDown looks for idle connections.
	shutDownInterval = 5 * time.Millisecond
	// newConnectionGrace is how long shutDown waits for the first request on a new connection.
	newConnectionGrace = time.Second
	// answerTime is what requests that are cancelled at the end of a shutdown have to be answered.
	answerTime = 100 * time.Millisecond
	// answerWriteTimeout is the time within which a client must take the next part of an answer. Answers are small: they fit into the
	// buffers of a connection whose client reads.
	answerWriteTimeout = 5 * time.Second
)

// server is an HTTP server that shuts down without cutting a request that has arrived. http.Server.Shutdown closes a connection
// as idle until net/http has read the whole header of the next request. What its clients may hold is limited by an account.
type server struct {
	http     *http.Server
	account  *lovageadmission.Account
	listener *lovageconn.Listener
	stopping atomic.Bool
	// cancelRequests ends the contexts of all requests.
	cancelRequests context.CancelFunc

	mu    sync.Mutex
	conns map[*serverConn]bool
}

func newServer(address string, handler http.Handler, account *lovageadmission.Account) *server {
	ctx, cancel := context.WithCancel(context.Background())
	sv := &server{conns: map[*serverConn]bool{}, cancelRequests: cancel, account: account}
	sv.http = &http.Server{
		Addr: address, Handler: lovageconn.Handler(handler), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ConnState: sv.noteState, BaseContext: func(net.Listener) context.Context { return ctx },
		ConnContext: lovageconn.Context,
	}
	return sv
}

// listen opens the listener.
func (sv *server) listen() error {
	li, err := lovageconn.Listen(sv.http.Addr, sv.account, answerWriteTimeout)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", sv.http.Addr)
	}
	sv.listener = li
	return nil
}

// run serves until the server is shut down.
func (sv *server) run() error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go lovageconn.Sweep(ctx, sv.account)
	err := sv.http.Serve(serverListener{sv.listener, sv})
	if sv.stopping.Load() {
		return nil
	}
	return errors.Wrapf(err, "serve on %s", sv.http.Addr)
}

// shutDown stops listening, closes connections once they are idle, and returns when none is left. When ctx ends, it cancels the requests
// in progress, so that their handlers answer that the outcome is unknown. It returns an error if that leaves connections open; these are
// then still served.
func (sv *server) shutDown(ctx context.Context) error {
	sv.stopping.Store(true)
	if err := sv.listener.Close(); err != nil {
		return errors.Wrapf(err, "stop listening on %s", sv.http.Addr)
	}
	if sv.awaitNoConnections(ctx) == 0 {
		return nil
	}
	sv.cancelRequests()
	answerCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), answerTime)
	defer cancel()
	if n := sv.awaitNoConnections(answerCtx); n > 0 {
		return errors.Wrapf(ctx.Err(), "%d connections are open", n)
	}
	return nil
}

// awaitNoConnections closes connections once they are idle. It returns the number of open ones when that is 0 or ctx ends.
func (sv *server) awaitNoConnections(ctx context.Context) int {
	ticker := time.NewTicker(shutDownInterval)
	defer ticker.Stop()
	for {
		n := sv.closeIdle(time.Now())
		if n == 0 || ctx.Err() != nil {
			return n
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// closeIdle closes the idle connections and returns the number of the others.
func (sv *server) closeIdle(now time.Time) int {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	n := 0
	for sc := range sv.conns {
		if !sc.idle(now) {
			n++
			continue
		}
		delete(sv.conns, sc)
		_ = sc.Close() // net/http notices that it is closed
	}
	return n
}

// noteState is the server's ConnState hook.
func (sv *server) noteState(nc net.Conn, state http.ConnState) {
	sc, ok := nc.(*serverConn)
	if !ok {
		return
	}
	lovageconn.NoteState(sc, state)
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sc.state = state
	switch state {
	case http.StateIdle:
		sc.hasRead.Store(false)
	case http.StateClosed, http.StateHijacked:
		delete(sv.conns, sc)
	default:
	}
}

// serverListener makes serverConns of the connections of a server.
type serverListener struct {
	*lovageconn.Listener
	sv *server
}

// Accept implements net.Listener.
func (sl serverListener) Accept() (net.Conn, error) {
	co, err := sl.AcceptConn()
	if err != nil {
		return nil, err
	}
	sc := &serverConn{Conn: co, acceptedAt: time.Now()}
	sl.sv.mu.Lock()
	defer sl.sv.mu.Unlock()
	sl.sv.conns[sc] = true
	return sc, nil
}

// serverConn is a connection of a server.
type serverConn struct {
	*lovageconn.Conn
	acceptedAt time.Time
	state      http.ConnState // guarded by server.mu
	hasRead    atomic.Bool    // part of the next request has been read
}

// Read implements net.Conn.
func (sc *serverConn) Read(b []byte) (int, error) {
	n, err := sc.Conn.Read(b)
	if n > 0 {
		sc.hasRead.Store(true)
	}
	return n, err
}

// idle reports whether no request is in progress, being read or waiting in the socket. The caller holds server.mu.
func (sc *serverConn) idle(now time.Time) bool {
	switch {
	case sc.state == http.StateActive, sc.hasRead.Load():
		return false
	case sc.state == http.StateNew && now.Sub(sc.acceptedAt) < newConnectionGrace:
		return false
	}
	return !hasUnreadBytes(sc.Conn.Conn)
}

// hasUnreadBytes reports whether bytes have arrived on a connection that its owner has not read.
func hasUnreadBytes(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	err = rc.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return err == nil && unread
}
