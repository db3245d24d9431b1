package lovagepeer

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
)

// relay forwards TCP connections to an address and can stop doing so without closing them.
type relay struct {
	li     net.Listener
	target string
	wg     sync.WaitGroup

	mu      sync.Mutex
	conns   []net.Conn
	silence *atomic.Bool // of the connections made so far
	limit   atomic.Int64 // closes a connection once so many bytes have passed to the target; 0: never
}

func newRelay(tb testing.TB, target string) *relay {
	tb.Helper()
	li, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(tb, err)
	re := &relay{li: li, target: target, silence: new(atomic.Bool)}
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
		silence := re.silence
		re.mu.Unlock()
		re.wg.Go(func() { re.copy(out, in, silence, true) })
		re.wg.Go(func() { re.copy(in, out, silence, false) })
	}
}

// copy passes bytes on until silenced, and then reads and drops them. It does not pass on the end of a silenced
// connection either.
func (re *relay) copy(to, from net.Conn, silence *atomic.Bool, toTarget bool) {
	buf := make([]byte, 16<<10)
	var passed int64
	for {
		n, err := from.Read(buf)
		if silence.Load() {
			if err != nil {
				return
			}
			continue
		}
		if limit := re.limit.Load(); toTarget && limit > 0 && passed+int64(n) > limit {
			n = int(max(0, limit-passed))
			err = io.ErrUnexpectedEOF
		}
		passed += int64(n)
		if _, werr := to.Write(buf[:n]); werr != nil || err != nil {
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}

// silenceOpen makes the open connections silent for ever; later ones work.
func (re *relay) silenceOpen() {
	re.mu.Lock()
	defer re.mu.Unlock()
	re.silence.Store(true)
	re.silence = new(atomic.Bool)
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
