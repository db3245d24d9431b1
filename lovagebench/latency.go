package lovagebench

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Latency is the one-way network latency that a measurement adds to connections over loopback.
type Latency struct {
	// DataCentres is between instances, and between an instance and a worker, of different data centres.
	DataCentres time.Duration
	// Callers is between a caller and an instance, and in the ideal between a caller and the worker that it calls.
	Callers time.Duration
}

// statedLatency returns the latency that the users state.
func specifiedLatency() Latency {
	return Latency{DataCentres: 1400 * time.Microsecond, Callers: time.Millisecond}
}

// dialer returns a dial function whose connections take the latency that holds for the address. The relays of
// lovagefake would not do: they delay one chunk of bytes after the other, so that messages which share a session wait
// for each other, as they do not on a network.
func delayedDial(latency func(address string) time.Duration) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		di := net.Dialer{Timeout: 2 * time.Second, KeepAlive: -1}
		co, err := di.DialContext(ctx, network, address)
		delay := latency(address)
		if err != nil || delay <= 0 {
			return co, err
		}
		if !sleep(ctx, 2*delay) { // the handshake
			return nil, errors.CombineErrors(ctx.Err(), co.Close())
		}
		return newDelayedConn(co, delay), nil
	}
}

// chunksInFlight bounds what a delayed connection holds in each direction.
const maxChunksInFlight = 256

// chunk is a part of a stream on its way.
type chunk struct {
	data []byte
	err  error
	due  time.Time
}

// delayedConn delays the bytes of both directions by a fixed time, without limiting how many are on their way.
type delayedConn struct {
	net.Conn
	delay     time.Duration
	in, out   chan chunk
	closed    chan struct{}
	closeOnce sync.Once
	remainder chunk // what the last chunk has left; used by the reader only

	mu       sync.Mutex
	deadline time.Time // of reads
	writeErr error     // of an earlier write
}

func newDelayedConn(co net.Conn, delay time.Duration) *delayedConn {
	dc := &delayedConn{
		Conn: co, delay: delay, in: make(chan chunk, maxChunksInFlight), out: make(chan chunk, maxChunksInFlight),
		closed: make(chan struct{}),
	}
	go dc.runRead()
	go dc.runWrite()
	return dc
}

func (dc *delayedConn) runRead() {
	buf := make([]byte, 32<<10)
	for {
		n, err := dc.Conn.Read(buf)
		ck := chunk{data: append([]byte(nil), buf[:n]...), err: err, due: time.Now().Add(dc.delay)}
		select {
		case dc.in <- ck:
		case <-dc.closed:
			return
		}
		if err != nil {
			return
		}
	}
}

func (dc *delayedConn) runWrite() {
	for {
		select {
		case ck := <-dc.out:
			time.Sleep(time.Until(ck.due))
			if _, err := dc.Conn.Write(ck.data); err != nil {
				dc.mu.Lock()
				dc.writeErr = err
				dc.mu.Unlock()
				_ = dc.Close()
				return
			}
		case <-dc.closed:
			return
		}
	}
}

// Read implements net.Conn for one reader at a time.
func (dc *delayedConn) Read(p []byte) (int, error) {
	if len(dc.remainder.data) == 0 && dc.remainder.err == nil {
		dc.mu.Lock()
		deadline := dc.deadline
		dc.mu.Unlock()
		var timeout <-chan time.Time
		if !deadline.IsZero() {
			ti := time.NewTimer(time.Until(deadline))
			defer ti.Stop()
			timeout = ti.C
		}
		select {
		case dc.remainder = <-dc.in:
			time.Sleep(time.Until(dc.remainder.due))
		case <-dc.closed:
			return 0, net.ErrClosed
		case <-timeout:
			return 0, os.ErrDeadlineExceeded
		}
	}
	n := copy(p, dc.remainder.data)
	dc.remainder.data = dc.remainder.data[n:]
	if n == 0 {
		return 0, dc.remainder.err
	}
	return n, nil
}

// Write implements net.Conn. It waits only when too much is on its way.
func (dc *delayedConn) Write(p []byte) (int, error) {
	dc.mu.Lock()
	writeErr := dc.writeErr
	dc.mu.Unlock()
	if writeErr != nil {
		return 0, writeErr
	}
	ck := chunk{data: append([]byte(nil), p...), due: time.Now().Add(dc.delay)}
	select {
	case <-dc.closed:
		return 0, net.ErrClosed
	default:
	}
	select {
	case dc.out <- ck:
		return len(p), nil
	case <-dc.closed:
		return 0, net.ErrClosed
	}
}

// Close closes the connection at once; what is on its way is lost.
func (dc *delayedConn) Close() error {
	err := net.ErrClosed
	dc.closeOnce.Do(func() {
		close(dc.closed)
		err = dc.Conn.Close()
	})
	return err
}

// SetReadDeadline holds for reads that begin later, which is all that the clients here need.
func (dc *delayedConn) SetReadDeadline(t time.Time) error {
	dc.mu.Lock()
	defer dc.mu.Unlock()
	dc.deadline = t
	return nil
}

// SetDeadline sets both deadlines; writes have none, because they do not wait for the network.
func (dc *delayedConn) SetDeadline(t time.Time) error { return dc.SetReadDeadline(t) }

// SetWriteDeadline does nothing; see SetDeadline.
func (*delayedConn) SetWriteDeadline(time.Time) error { return nil }

// SyscallConn lets the client of workers see that an idle connection was closed.
func (dc *delayedConn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := dc.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("the connection has no descriptor")
	}
	return sc.SyscallConn()
}
