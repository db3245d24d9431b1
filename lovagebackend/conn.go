package lovagebackend

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

var (
	errSealed = errors.New("connection is sealed against further writes")
	errStale  = errors.New("idle connection was closed or holds an unsolicited reply")
)

// conn records whether a byte of its owner's request was written. It can be sealed against further writes.
type conn struct {
	net.Conn
	worker    *worker
	lastRead  atomic.Int64 // time of the last read, in nanoseconds since worker.client.start
	closeOnce sync.Once

	mu               sync.Mutex
	owner            *attempt // attempt that the connection was last assigned to; nil after its reply
	checkBeforeWrite bool     // the connection is reused, and its owner has not written to it yet
	writing          bool
	sealed           bool
}

// assign makes the attempt the owner of the connection.
func (co *conn) assign(at *attempt, reused bool) {
	co.mu.Lock()
	defer co.mu.Unlock()
	co.owner, co.checkBeforeWrite = at, reused
}

// release gives up the attempt's ownership after a reply. The connection may already have another owner.
func (co *conn) release(at *attempt) {
	co.mu.Lock()
	defer co.mu.Unlock()
	if co.owner == at {
		co.owner = nil
	}
}

// seal prevents the attempt from writing to the connection and reports whether a byte of its request may have been
// written. If the attempt owns the connection, seal closes it.
func (co *conn) seal(at *attempt) bool {
	co.mu.Lock()
	owned := co.owner == at
	started := at.wrote.Load() || (owned && co.writing)
	if owned {
		co.sealed = true
	}
	co.mu.Unlock()
	if owned {
		_ = co.Close()
	}
	return started
}

// closeIfIdle closes the connection if it has no owner and has received nothing since the given time. It reports
// whether it closed the connection.
func (co *conn) closeIfIdle(since int64) bool {
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

// Write writes to the connection unless it is sealed or its owner's task may no longer start. An error with n == 0 means
// that the kernel accepted no byte.
func (co *conn) Write(buf []byte) (int, error) {
	co.mu.Lock()
	if co.sealed {
		co.mu.Unlock()
		return 0, errSealed
	}
	if co.checkBeforeWrite {
		co.checkBeforeWrite = false
		// The kernel accepts one more write on a connection that the worker has closed. Whether the worker has read
		// the request would then be unknown.
		if !usable(co.Conn) {
			co.sealed = true
			co.mu.Unlock()
			co.worker.client.counters.StaleConnections.Inc(1)
			return 0, errStale
		}
	}
	at := co.owner
	if at != nil && !at.mayWrite() {
		co.sealed = true
		co.mu.Unlock()
		return 0, errSealed
	}
	co.writing = true
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

// Read reads from the connection and records the time.
func (co *conn) Read(buf []byte) (int, error) {
	n, err := co.Conn.Read(buf)
	if n > 0 {
		co.lastRead.Store(co.worker.client.sinceStart(time.Now()))
	}
	return n, err
}

// Close closes the connection and removes it from its worker.
func (co *conn) Close() error {
	co.closeOnce.Do(func() { co.worker.removeConn(co) })
	return co.Conn.Close()
}
