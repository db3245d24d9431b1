package lovagefake

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// connKey is the context key of a request's workerConn.
type connKey struct{}

// workerListener enforces the connection limit.
type workerListener struct {
	net.Listener
	worker *Worker
	mu     sync.Mutex
	open   int
}

// Accept returns the next connection within the limit and closes those beyond it.
func (li *workerListener) Accept() (net.Conn, error) {
	for {
		co, err := li.Listener.Accept()
		if err != nil {
			return nil, err
		}
		li.mu.Lock()
		over := li.open >= li.worker.se.Connections
		if !over {
			li.open++
		}
		li.mu.Unlock()
		if over {
			li.worker.add(func(wc *WorkerCounters) { wc.OverLimit++ })
			_ = co.Close()
			continue
		}
		li.worker.add(func(wc *WorkerCounters) { wc.Connections++ })
		return &workerConn{Conn: co, listener: li}, nil
	}
}

// workerConn counts the bytes of each request, so that the connection can be closed at a given one.
type workerConn struct {
	net.Conn
	listener *workerListener
	closed   sync.Once
	cut      atomic.Bool // a fault closed the connection

	mu     sync.Mutex
	reused bool // a request was answered
	got    int  // bytes read since then
}

// limit returns how many more bytes may be passed to the server; negative for any number.
func (co *workerConn) limit() int {
	fa := co.listener.worker.Faults()
	co.mu.Lock()
	defer co.mu.Unlock()
	switch {
	case fa.CloseBeforeRead:
		return 0
	case fa.CloseReusedAtByte > 0 && co.reused:
		return max(0, fa.CloseReusedAtByte-1-co.got)
	}
	return -1
}

// Read reads from the connection unless a fault closes it. The limit is taken after the read, because the server
// waits in Read between two requests, when a test sets the fault for the next one.
func (co *workerConn) Read(buf []byte) (int, error) {
	if co.cut.Load() {
		return 0, net.ErrClosed
	}
	n, err := co.Conn.Read(buf)
	if n == 0 {
		return 0, err
	}
	if limit := co.limit(); limit >= 0 && n > limit {
		co.cut.Store(true)
		co.listener.worker.add(func(wc *WorkerCounters) { wc.ClosedByFault++ })
		_ = co.Close()
		if limit == 0 {
			return 0, net.ErrClosed
		}
		n = limit
	}
	co.mu.Lock()
	co.got += n
	co.mu.Unlock()
	return n, err
}

// Close closes the connection and frees its place in the limit.
func (co *workerConn) Close() error {
	co.closed.Do(func() {
		co.listener.mu.Lock()
		co.listener.open--
		co.listener.mu.Unlock()
	})
	return co.Conn.Close()
}

// markReplied notes that the reply to the request is about to be written.
func markReplied(req *http.Request) {
	co, ok := req.Context().Value(connKey{}).(*workerConn)
	if !ok {
		return
	}
	co.mu.Lock()
	defer co.mu.Unlock()
	co.reused, co.got = true, 0
}
