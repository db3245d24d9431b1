package lovagefake

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Relay forwards TCP connections to a target and can make them silent, cut them or delay their bytes.
type Relay struct {
	target  string
	li      net.Listener
	delay   atomic.Int64 // nanoseconds
	refuse  atomic.Bool
	drop    atomic.Pointer[relayDrop]
	held    atomic.Pointer[chan struct{}] // closed when the bytes may pass again; nil: they pass
	stopped chan struct{}
	running sync.WaitGroup

	mu    sync.Mutex
	pairs map[*relayPair]struct{}
}

// relayDrop says in which directions bytes are lost.
type relayDrop struct{ toTarget, fromTarget bool }

// relayPair is one forwarded connection.
type relayPair struct {
	relay          *Relay
	caller, target net.Conn
	silent         atomic.Bool
}

// NewRelay starts a relay to the target on a free port of 127.0.0.1.
func NewRelay(target string) (*Relay, error) {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "relay")
	}
	re := &Relay{target: target, li: li, stopped: make(chan struct{}), pairs: map[*relayPair]struct{}{}}
	re.running.Go(re.run)
	return re, nil
}

// Address returns the address to connect to.
func (re *Relay) Address() string { return re.li.Addr().String() }

// ConnectionCount returns the number of connections, including silent ones.
func (re *Relay) ConnectionCount() int {
	re.mu.Lock()
	defer re.mu.Unlock()
	return len(re.pairs)
}

// Silence drops all further bytes of the existing connections in both directions, and does not pass on that one side
// closed. New connections work.
func (re *Relay) Silence() {
	re.mu.Lock()
	defer re.mu.Unlock()
	for pa := range re.pairs {
		pa.silent.Store(true)
	}
}

// CloseConnections closes the existing connections on both sides.
func (re *Relay) CloseConnections() {
	re.mu.Lock()
	defer re.mu.Unlock()
	for pa := range re.pairs {
		pa.close()
	}
}

// SetDrop loses the bytes of all connections in the given directions. A connection that has lost bytes passes no more in
// that direction, also after SetDrop was called with false.
func (re *Relay) SetDrop(toTarget, fromTarget bool) { re.drop.Store(&relayDrop{toTarget, fromTarget}) }

// ResetConnections closes the existing connections on both sides with a reset.
func (re *Relay) ResetConnections() {
	re.mu.Lock()
	defer re.mu.Unlock()
	for pa := range re.pairs {
		for _, co := range []net.Conn{pa.caller, pa.target} {
			if tc, ok := co.(*net.TCPConn); ok {
				_ = tc.SetLinger(0)
			}
		}
		pa.close()
	}
}

// SetDelay delays the bytes of each direction by d.
func (re *Relay) SetDelay(d time.Duration) { re.delay.Store(int64(d)) }

// SetHold keeps the bytes of all connections back, without losing any, until it is called with false. It stands for a
// process that does not run while its kernel keeps the connections up.
func (re *Relay) SetHold(hold bool) {
	var next *chan struct{}
	if hold {
		ch := make(chan struct{})
		next = &ch
	}
	if before := re.held.Swap(next); before != nil {
		close(*before)
	}
}

// awaitRelease waits until bytes may pass.
func (re *Relay) awaitRelease() {
	for held := re.held.Load(); held != nil; held = re.held.Load() {
		select {
		case <-*held:
		case <-re.stopped:
			return
		}
	}
}

// SetRefuse sets whether new connections are closed at once.
func (re *Relay) SetRefuse(refuse bool) { re.refuse.Store(refuse) }

// Close closes the relay and its connections and waits for its goroutines.
func (re *Relay) Close() {
	close(re.stopped)
	_ = re.li.Close()
	re.CloseConnections()
	re.running.Wait()
}

func (re *Relay) run() {
	for {
		caller, err := re.li.Accept()
		if err != nil {
			return
		}
		if re.refuse.Load() {
			_ = caller.Close()
			continue
		}
		target, err := net.DialTimeout("tcp", re.target, time.Second)
		if err != nil {
			_ = caller.Close()
			continue
		}
		pa := &relayPair{relay: re, caller: caller, target: target}
		re.mu.Lock()
		re.pairs[pa] = struct{}{}
		re.mu.Unlock()
		re.running.Go(pa.run)
		select {
		case <-re.stopped:
			pa.close()
		default:
		}
	}
}

// run forwards in both directions until one side closes; a silent pair stays until the relay cuts it or both closed.
func (pa *relayPair) run() {
	var both sync.WaitGroup
	both.Go(func() { pa.copy(pa.target, pa.caller, func(dr *relayDrop) bool { return dr.toTarget }) })
	both.Go(func() { pa.copy(pa.caller, pa.target, func(dr *relayDrop) bool { return dr.fromTarget }) })
	both.Wait()
	pa.close()
	pa.relay.mu.Lock()
	defer pa.relay.mu.Unlock()
	delete(pa.relay.pairs, pa)
}

func (pa *relayPair) copy(to, from net.Conn, drops func(*relayDrop) bool) {
	lost := false // bytes of this direction
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		if d := time.Duration(pa.relay.delay.Load()); d > 0 && n > 0 {
			ti := time.NewTimer(d)
			select {
			case <-ti.C:
			case <-pa.relay.stopped:
				ti.Stop()
			}
		}
		pa.relay.awaitRelease()
		if dr := pa.relay.drop.Load(); n > 0 && dr != nil && drops(dr) {
			lost = true
		}
		if n > 0 && !lost && !pa.silent.Load() {
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			if !pa.silent.Load() {
				pa.close()
			}
			return
		}
	}
}

func (pa *relayPair) close() {
	_ = pa.caller.Close()
	_ = pa.target.Close()
}
