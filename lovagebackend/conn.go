package lovagebackend

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

var (
	errSealed = errors.New("connection may not be written to any more")
	errStale  = errors.New("connection was closed or holds a reply that nobody asked for")
)

// conn counts what is written for each request and can be barred from writing.
type conn struct {
	net.Conn
	worker   *worker
	lastRead atomic.Int64 // nanoseconds since worker.client.start
	closing  sync.Once

	mu      sync.Mutex
	owner   *attempt // request that the connection was last given to; nil when it ended
	check   bool     // the connection is reused and nothing was written since
	writing bool
	sealed  bool
}

// assign notes that the connection was given to the attempt.
func (co *conn) assign(at *attempt, reused bool) {
	co.mu.Lock()
	defer co.mu.Unlock()
	co.owner, co.check = at, reused
}

// release notes that the attempt ended with a whole reply. The connection may have another owner already.
func (co *conn) release(at *attempt) {
	co.mu.Lock()
	defer co.mu.Unlock()
	if co.owner == at {
		co.owner = nil
	}
}

// seal bars the attempt from writing to the connection and reports whether a byte of it can have been written.
func (co *conn) seal(at *attempt) bool {
	co.mu.Lock()
	mine := co.owner == at
	started := at.wrote.Load() || (mine && co.writing)
	if mine {
		co.sealed = true
	}
	co.mu.Unlock()
	if mine {
		_ = co.Close()
	}
	return started
}

// retire closes the connection if no request is on it and it has received nothing since the given time.
func (co *conn) retire(since int64) bool {
	co.mu.Lock()
	idle := co.owner == nil && !co.sealed && co.lastRead.Load() < since
	if idle {
		co.sealed = true
	}
	co.mu.Unlock()
	if idle {
		_ = co.Close()
	}
	return idle
}

// Write writes for the owner unless the connection is sealed. An error with n == 0 means that the kernel took no byte.
func (co *conn) Write(buf []byte) (int, error) {
	co.mu.Lock()
	if co.sealed {
		co.mu.Unlock()
		return 0, errSealed
	}
	if co.check {
		co.check = false
		// A closed connection accepts one more write, after which nobody can say whether the worker read it.
		if !usable(co.Conn) {
			co.sealed = true
			co.mu.Unlock()
			co.worker.client.counters.StaleConnections.Inc(1)
			return 0, errStale
		}
	}
	co.writing = true
	at := co.owner
	co.mu.Unlock()
	n, err := co.Conn.Write(buf)
	co.mu.Lock()
	defer co.mu.Unlock()
	co.writing = false
	if at != nil && n > 0 {
		at.wrote.Store(true)
	}
	return n, err
}

// Read reads and notes the time.
func (co *conn) Read(buf []byte) (int, error) {
	n, err := co.Conn.Read(buf)
	if n > 0 {
		co.lastRead.Store(co.worker.client.since(time.Now()))
	}
	return n, err
}

// Close closes the connection and forgets it.
func (co *conn) Close() error {
	co.closing.Do(func() { co.worker.forget(co) })
	return co.Conn.Close()
}
