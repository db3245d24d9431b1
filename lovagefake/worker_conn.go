package lovagefake

import (
	"net"
	"net/http"
	"sync"
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

	mu     sync.Mutex
	reused bool // a request was answered
	got    int  // bytes read since then
}

// Read reads from the connection unless a fault closes it.
func (co *workerConn) Read(buf []byte) (int, error) {
	fa := co.listener.worker.Faults()
	limit := -1
	co.mu.Lock()
	switch {
	case fa.CloseBefore:
		limit = 0
	case fa.CloseReusedAt > 0 && co.reused:
		limit = max(0, fa.CloseReusedAt-1-co.got)
	}
	co.mu.Unlock()
	if limit == 0 {
		return co.closeOnByte()
	}
	if limit > 0 {
		buf = buf[:min(limit, len(buf))]
	}
	n, err := co.Conn.Read(buf)
	co.mu.Lock()
	co.got += n
	co.mu.Unlock()
	return n, err
}

// closeOnByte waits for the next byte and closes the connection without passing it on.
func (co *workerConn) closeOnByte() (int, error) {
	var one [1]byte
	n, err := co.Conn.Read(one[:])
	if n == 0 {
		return 0, err
	}
	co.listener.worker.add(func(wc *WorkerCounters) { wc.ClosedByRule++ })
	_ = co.Close()
	return 0, net.ErrClosed
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
