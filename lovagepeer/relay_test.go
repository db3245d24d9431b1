package lovagepeer

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
)

// relay forwards TCP connections to a target address and can stop forwarding without closing them.
type relay struct {
	li     net.Listener
	target string
	wg     sync.WaitGroup

	mu            sync.Mutex
	conns         []net.Conn
	fault         *fault       // fault of the connections accepted since the last injectFault
	cutAfterBytes atomic.Int64 // number of bytes to the target after which a connection is closed; 0: never
}

// fault is a permanent fault of a relay's connections.
type fault struct {
	dropToTarget, dropFromTarget atomic.Bool // read and discard the bytes to or from the target
	stall                        atomic.Bool // stop reading, so that writes to the relay block
}

func newRelay(tb testing.TB, target string) *relay {
	tb.Helper()
	li, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(tb, err)
	re := &relay{li: li, target: target, fault: new(fault)}
	re.wg.Go(re.loop)
	tb.Cleanup(re.close)
	return re
}

func (re *relay) address() string { return re.li.Addr().String() }

func (re *relay) loop() {
	for {
		in, err := re.li.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", re.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		re.mu.Lock()
		re.conns = append(re.conns, in, out)
		fa := re.fault
		re.mu.Unlock()
		re.wg.Go(func() { re.copy(out, in, fa, true) })
		re.wg.Go(func() { re.copy(in, out, fa, false) })
	}
}

// copy forwards bytes until a fault is injected. It does not close the other side of a faulty connection.
func (re *relay) copy(to, from net.Conn, fa *fault, toTarget bool) {
	drop := &fa.dropFromTarget
	if toTarget {
		drop = &fa.dropToTarget
	}
	buf := make([]byte, 16<<10)
	var forwarded int64
	for {
		n, err := from.Read(buf)
		if fa.stall.Load() {
			return
		}
		if drop.Load() {
			if err != nil {
				return
			}
			continue
		}
		if limit := re.cutAfterBytes.Load(); toTarget && limit > 0 && forwarded+int64(n) > limit {
			n = int(max(0, limit-forwarded))
			err = io.ErrUnexpectedEOF
		}
		forwarded += int64(n)
		if _, werr := to.Write(buf[:n]); werr != nil || err != nil {
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}

// injectFault sets a fault on the open connections. Later connections are not affected.
func (re *relay) injectFault(set func(fa *fault)) {
	re.mu.Lock()
	defer re.mu.Unlock()
	set(re.fault)
	re.fault = new(fault)
}

func (re *relay) close() {
	_ = re.li.Close()
	re.mu.Lock()
	for _, co := range re.conns {
		_ = co.Close()
	}
	re.mu.Unlock()
	re.wg.Wait()
}
