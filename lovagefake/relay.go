package lovagefake

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Relay is a TCP proxy to a target that can silence, close, reset, hold back, delay or refuse connections.
type Relay struct {
	target         string
	listener       net.Listener
	delay          atomic.Int64 // nanoseconds
	refuse         atomic.Bool
	dropDirections atomic.Pointer[droppedDirections]
	resumed        atomic.Pointer[chan struct{}] // closed when forwarding resumes; nil while the relay forwards
	stopped        chan struct{}
	goroutines     sync.WaitGroup

	mu    sync.Mutex
	pairs map[*relayPair]struct{}
}

type droppedDirections struct{ toTarget, fromTarget bool }

// relayPair is one forwarded connection: the caller's side and the target's side.
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
	re := &Relay{target: target, listener: li, stopped: make(chan struct{}), pairs: map[*relayPair]struct{}{}}
	re.goroutines.Go(re.run)
	return re, nil
}

// Address returns the address to connect to.
func (re *Relay) Address() string { return re.listener.Addr().String() }

// ConnectionCount returns the number of connections, including silent ones.
func (re *Relay) ConnectionCount() int {
	re.mu.Lock()
	defer re.mu.Unlock()
	return len(re.pairs)
}

// Silence drops all further bytes of the existing connections in both directions. If one side closes, the other stays
// open. New connections are not affected.
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

// SetDrop drops the bytes of all connections in the given directions. A connection that has lost bytes never forwards again
// in that direction, even after SetDrop is called with false.
func (re *Relay) SetDrop(toTarget, fromTarget bool) {
	re.dropDirections.Store(&droppedDirections{toTarget, fromTarget})
}

// ResetConnections closes the existing connections on both sides with a TCP reset.
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

// SetDelay delays the bytes in each direction by d. The chunks in one direction wait for each other.
func (re *Relay) SetDelay(d time.Duration) { re.delay.Store(int64(d)) }

// SetHold holds back the bytes of all connections, without dropping any, until SetHold is called with false. This
// simulates a suspended process whose kernel keeps the connections open.
func (re *Relay) SetHold(hold bool) {
	var next *chan struct{}
	if hold {
		ch := make(chan struct{})
		next = &ch
	}
	if before := re.resumed.Swap(next); before != nil {
		close(*before)
	}
}

// waitReleased waits until the relay no longer holds bytes back or is closed.
func (re *Relay) waitReleased() {
	for resumed := re.resumed.Load(); resumed != nil; resumed = re.resumed.Load() {
		select {
		case <-*resumed:
		case <-re.stopped:
			return
		}
	}
}

// SetRefuse sets whether new connections are closed immediately.
func (re *Relay) SetRefuse(refuse bool) { re.refuse.Store(refuse) }

// Close closes the relay and its connections and waits for its goroutines.
func (re *Relay) Close() {
	close(re.stopped)
	_ = re.listener.Close()
	re.CloseConnections()
	re.goroutines.Wait()
}

func (re *Relay) run() {
	for {
		caller, err := re.listener.Accept()
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
		re.goroutines.Go(pa.run)
		select {
		case <-re.stopped:
			pa.close()
		default:
		}
	}
}

// run forwards in both directions until one side closes. A silent pair stays until the relay closes it or both sides
// have closed.
func (pa *relayPair) run() {
	var directions sync.WaitGroup
	directions.Go(func() { pa.copy(pa.target, pa.caller, func(dr *droppedDirections) bool { return dr.toTarget }) })
	directions.Go(func() { pa.copy(pa.caller, pa.target, func(dr *droppedDirections) bool { return dr.fromTarget }) })
	directions.Wait()
	pa.close()
	pa.relay.mu.Lock()
	defer pa.relay.mu.Unlock()
	delete(pa.relay.pairs, pa)
}

func (pa *relayPair) copy(to, from net.Conn, isDropped func(*droppedDirections) bool) {
	dropped := false // bytes were dropped in this direction
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
		pa.relay.waitReleased()
		if dr := pa.relay.dropDirections.Load(); n > 0 && dr != nil && isDropped(dr) {
			dropped = true
		}
		if n > 0 && !dropped && !pa.silent.Load() {
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
