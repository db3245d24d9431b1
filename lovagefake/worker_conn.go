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
	worker    *Worker
	mu        sync.Mutex
	openCount int
}

// Accept returns the next connection within the limit and closes excess connections.
func (li *workerListener) Accept() (net.Conn, error) {
	for {
		co, err := li.Listener.Accept()
		if err != nil {
			return nil, err
		}
		li.mu.Lock()
		overLimit := li.openCount >= li.worker.se.Connections
		if !overLimit {
			li.openCount++
		}
		li.mu.Unlock()
		if overLimit {
			li.worker.updateCounters(func(wc *WorkerCounters) { wc.OverLimit++ })
			_ = co.Close()
			continue
		}
		li.worker.updateCounters(func(wc *WorkerCounters) { wc.Connections++ })
		return &workerConn{Conn: co, listener: li}, nil
	}
}

// workerConn counts the bytes read of each request, so that a fault can close the connection at a given byte.
type workerConn struct {
	net.Conn
	listener      *workerListener
	closeOnce     sync.Once
	closedByFault atomic.Bool // a fault has closed the connection

	mu        sync.Mutex
	reused    bool // an earlier request has been answered
	bytesRead int  // bytes read since the last reply
}

// readLimit returns how many more bytes the server may read, or a negative number if there is no limit.
func (co *workerConn) readLimit() int {
	fa := co.listener.worker.Faults()
	co.mu.Lock()
	defer co.mu.Unlock()
	switch {
	case fa.CloseBeforeRead:
		return 0
	case fa.CloseReusedAtByte > 0 && co.reused:
		return max(0, fa.CloseReusedAtByte-1-co.bytesRead)
	}
	return -1
}

// Read reads from the connection unless a fault closes it. Read checks the limit after reading, because the server
// already blocks in Read when a test sets the fault for the next request.
func (co *workerConn) Read(buf []byte) (int, error) {
	if co.closedByFault.Load() {
		return 0, net.ErrClosed
	}
	n, err := co.Conn.Read(buf)
	if n == 0 {
		return 0, err
	}
	if limit := co.readLimit(); limit >= 0 && n > limit {
		co.closedByFault.Store(true)
		co.listener.worker.updateCounters(func(wc *WorkerCounters) { wc.ClosedByFault++ })
		_ = co.Close()
		if limit == 0 {
			return 0, net.ErrClosed
		}
		n = limit
	}
	co.mu.Lock()
	co.bytesRead += n
	co.mu.Unlock()
	return n, err
}

// Close closes the connection, which then no longer counts towards the limit.
func (co *workerConn) Close() error {
	co.closeOnce.Do(func() {
		co.listener.mu.Lock()
		co.listener.openCount--
		co.listener.mu.Unlock()
	})
	return co.Conn.Close()
}

// markReplied marks the connection as reused and resets its byte count. It is called before a reply is written.
func markReplied(req *http.Request) {
	co, ok := req.Context().Value(connKey{}).(*workerConn)
	if !ok {
		return
	}
	co.mu.Lock()
	defer co.mu.Unlock()
	co.reused, co.bytesRead = true, 0
}
