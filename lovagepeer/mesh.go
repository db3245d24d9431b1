package lovagepeer

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"lovagestack/lovageadmission"
	"lovagestack/lovagemessage"
)

// ErrNotSent marks errors of Call that guarantee that the request has not reached the peer's handler. After any other
// error, the handler may have received it.
var ErrNotSent = errors.New("the request did not reach the peer")

// ErrRemote marks errors of Call that the peer returned in its response.
var ErrRemote = errors.New("the peer answered with an error")

// markedError is an error that also matches ErrNotSent or ErrRemote. errors.Mark is not used because the standard
// library's errors.Is ignores marks.
type markedError struct {
	error
	mark error
}

func (me markedError) Unwrap() error        { return me.error }
func (me markedError) Is(target error) bool { return target == me.mark }

func notSent(err error) error { return markedError{err, ErrNotSent} }

// Mesh manages the sessions of one instance with its peers. Its methods are safe for concurrent use.
type Mesh struct {
	options     Options
	handler     Handler
	counts      counters
	incarnation uint64 // distinguishes this process from others with the same instance ID
	frames      *lovageadmission.Budget
	handshakes  atomic.Int64 // accepted connections without a session

	mu        sync.Mutex
	listener  net.Listener
	ctx       context.Context        // context of the running Serve; nil while not serving
	peers     map[string]*peer       // by address
	draining  map[*session]time.Time // sessions that send no new calls, with the time at which draining began
	wg        sync.WaitGroup         // goroutines of the running Serve
	callbacks callbackQueue
}

// New returns a Mesh that neither accepts nor dials until Serve is called.
func New(op Options, handler Handler) *Mesh {
	op = op.withDefaults()
	return &Mesh{
		options:     op,
		frames:      lovageadmission.NewBudget(int64(op.MaxFrameMemory)),
		handler:     handler,
		counts:      newCounters(op.Counters),
		incarnation: rand.Uint64() | 1,
		peers:       make(map[string]*peer),
		draining:    make(map[*session]time.Time),
		callbacks:   callbackQueue{wake: make(chan struct{}, 1)},
	}
}

// Listen binds the listening address and returns the address advertised to peers. Serve calls it if necessary.
func (me *Mesh) Listen() (string, error) {
	me.mu.Lock()
	defer me.mu.Unlock()
	return me.listenLocked()
}

func (me *Mesh) listenLocked() (string, error) {
	if me.listener == nil {
		li, err := net.Listen("tcp", me.options.Listen)
		if err != nil {
			return "", errors.Wrapf(err, "listen for peers on %q", me.options.Listen)
		}
		me.listener = li
		// If Serve fails and is called again, it must bind the same port.
		me.options.Listen = li.Addr().String()
	}
	if me.options.AdvertiseAddress == "" {
		me.options.AdvertiseAddress = me.options.Listen
	}
	return me.options.AdvertiseAddress, nil
}

// Serve accepts sessions and permits calls until ctx is done. It then closes every session and waits for all goroutines
// of the Mesh, including handlers. It may be called again afterwards.
func (me *Mesh) Serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	me.mu.Lock()
	if me.ctx != nil {
		me.mu.Unlock()
		return errors.New("peer mesh is already serving")
	}
	if _, err := me.listenLocked(); err != nil {
		me.mu.Unlock()
		return err
	}
	li := me.listener
	me.ctx = ctx
	for _, pe := range me.peers {
		if pe.persistent {
			pe.startLocked()
		}
	}
	me.wg.Add(1)
	me.mu.Unlock()
	go func() {
		defer me.wg.Done()
		me.idleLoop(ctx)
	}()

	callbacksDone := make(chan struct{})
	go func() {
		defer close(callbacksDone)
		me.callbacks.loop(ctx)
	}()
	stop := context.AfterFunc(ctx, func() { _ = li.Close() })
	defer stop()
	err := me.acceptLoop(ctx, li)
	cancel()
	me.shutdown()
	<-callbacksDone
	return err
}

func (me *Mesh) acceptLoop(ctx context.Context, li net.Listener) error {
	for {
		co, err := li.Accept()
		if ctx.Err() != nil {
			if err == nil {
				_ = co.Close()
			}
			return ctx.Err()
		}
		if errors.Is(err, net.ErrClosed) {
			return errors.Wrap(err, "accept a peer connection")
		}
		if err != nil { // for example EMFILE; returning would close the working sessions
			me.counts.acceptsFailed.Inc(1)
			select {
			case <-time.After(me.options.MinBackoff):
			case <-ctx.Done():
			}
			continue
		}
		if me.handshakes.Add(1) > int64(me.options.MaxHandshakes) {
			me.handshakes.Add(-1)
			me.counts.acceptsRefused.Inc(1)
			_ = co.Close()
			continue
		}
		me.mu.Lock()
		me.wg.Add(1)
		me.mu.Unlock()
		go func() {
			defer me.wg.Done()
			defer me.handshakes.Add(-1)
			me.acceptSession(ctx, co)
		}()
	}
}

func (me *Mesh) shutdown() {
	me.mu.Lock()
	me.ctx = nil
	_ = me.listener.Close()
	me.listener = nil
	me.mu.Unlock()
	for _, se := range me.sessions() {
		se.close(errors.New("this instance is shutting down"))
	}
	me.wg.Wait()
}

// Connect maintains a session with the instance at the address until Disconnect or Release. If a dial is refused before
// the first session, SessionDown gets instance, or is not called if instance is empty.
func (me *Mesh) Connect(instance, address string) {
	me.mu.Lock()
	defer me.mu.Unlock()
	pe := me.peerLocked(address)
	if pe.instance == "" {
		pe.instance = instance
	}
	pe.persistent = true
	if me.ctx != nil {
		pe.startLocked()
	}
}

// Disconnect closes the session with the address. Until Connect is called again, only Call dials the address.
func (me *Mesh) Disconnect(address string) {
	me.mu.Lock()
	pe := me.peers[address]
	if pe == nil {
		me.mu.Unlock()
		return
	}
	pe.persistent = false
	se := pe.sess
	pe.broadcastLocked()
	me.pruneLocked(pe)
	me.mu.Unlock()
	if se != nil {
		se.close(errors.New("disconnected by this instance"))
	}
}

// CloseSessions ends all sessions at once. When it returns, the contexts of all handlers of the ended sessions are cancelled.
// New sessions follow as after any loss.
func (me *Mesh) CloseSessions(cause error) {
	for _, se := range me.sessions() {
		se.close(cause)
	}
}

// Instance returns the last known ID of the instance at the address, or "" if none is known.
func (me *Mesh) Instance(address string) string {
	me.mu.Lock()
	defer me.mu.Unlock()
	if pe := me.peers[address]; pe != nil {
		return pe.instance
	}
	return ""
}

// Connected reports whether a session with the address is established.
func (me *Mesh) Connected(address string) bool {
	me.mu.Lock()
	defer me.mu.Unlock()
	pe := me.peers[address]
	return pe != nil && pe.sess != nil
}

// Call sends a request to the instance at the address and waits for its response. It dials if there is no session, and
// fails immediately during the backoff after a failed dial. After any error but ErrNotSent, the peer's handler may have
// received the request. The request must not be modified until Call returns.
func (me *Mesh) Call(
	ctx context.Context, address string, req *lovagemessage.Request,
) (*lovagemessage.Response, error) {
	se, err := me.session(ctx, address)
	if err != nil {
		return nil, notSent(errors.Wrapf(err, "call peer %s", address))
	}
	resp, err := se.call(ctx, req)
	if err != nil {
		return nil, errors.Wrapf(err, "call peer %s", address)
	}
	return resp, nil
}

const idlePollInterval = 5 * time.Millisecond

// AwaitIdle waits until no request is in progress in either direction and every peer has received all data sent to it.
// A graceful shutdown calls it after the instance has stopped accepting work and before it cancels the context of
// Serve. It returns an error only when ctx is done.
func (me *Mesh) AwaitIdle(ctx context.Context) error {
	ticker := time.NewTicker(idlePollInterval)
	defer ticker.Stop()
	for {
		if me.idle() {
			me.flush()
			if me.idle() {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for requests of peers in progress")
		case <-ticker.C:
		}
	}
}

func (me *Mesh) idle() bool {
	for _, se := range me.sessions() {
		if !se.idle() {
			return false
		}
	}
	return true
}

// flush waits until every peer has received all written data, because closing a connection may discard data in transit.
// The ping follows the data on the connection, so a pong confirms receipt. keepAlive ends a session without a pong.
func (me *Mesh) flush() {
	var wg sync.WaitGroup
	for _, se := range me.sessions() {
		wg.Go(func() { _, _ = se.ya.Ping() })
	}
	wg.Wait()
}

func (me *Mesh) sessions() []*session {
	me.mu.Lock()
	defer me.mu.Unlock()
	var out []*session
	for _, pe := range me.peers {
		if pe.sess != nil {
			out = append(out, pe.sess)
		}
	}
	for se := range me.draining {
		out = append(out, se)
	}
	return out
}

// session returns the session with the address and dials if there is none.
func (me *Mesh) session(ctx context.Context, address string) (*session, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	me.mu.Lock()
	defer me.mu.Unlock()
	if me.ctx == nil {
		return nil, errors.New("peer mesh is not serving")
	}
	if address == me.options.AdvertiseAddress {
		return nil, errors.New("the address is this instance's own")
	}
	serveCtx := me.ctx
	pe := me.peerLocked(address)
	pe.waiters++
	defer func() {
		pe.waiters--
		me.pruneLocked(pe)
	}()
	for {
		if pe.sess != nil && pe.sess.idleTime() >= me.options.IdleTimeout/6*5 && pe.sess.idle() {
			me.counts.sessionsClosed.Inc(1)
			me.drainLocked(pe.sess)
			pe.sess = nil
		}
		if pe.sess != nil {
			pe.sess.markUsed()
			return pe.sess, nil
		}
		if me.ctx != serveCtx {
			// Serve has ended and closed the session that woke this call, so there is no context to dial with.
			return nil, errors.New("peer mesh is shutting down")
		}
		if !pe.dialling {
			if pe.backingOff() {
				return nil, errors.Wrap(pe.lastErr, "backing off after a failed dial")
			}
			pe.startLocked()
		}
		failuresBefore, changed := pe.totalFailures, pe.changed
		me.mu.Unlock()
		var err error
		select {
		case <-changed:
		case <-ctx.Done():
			err = ctx.Err()
		case <-serveCtx.Done():
			err = errors.New("peer mesh is shutting down")
		}
		me.mu.Lock()
		if err != nil {
			return nil, err
		}
		if pe.sess == nil && pe.totalFailures != failuresBefore && pe.lastErr != nil {
			return nil, pe.lastErr // lastErr is nil if a session was installed and has ended; the loop then dials again
		}
	}
}

func (me *Mesh) peerLocked(address string) *peer {
	pe := me.peers[address]
	if pe == nil {
		pe = &peer{mesh: me, address: address, changed: make(chan struct{})}
		me.peers[address] = pe
	}
	return pe
}

// pruneLocked removes a peer that is neither persistent nor in use. Otherwise the map would grow as addresses change
// over years.
func (me *Mesh) pruneLocked(pe *peer) {
	if !pe.persistent && pe.sess == nil && !pe.running && pe.waiters == 0 && !pe.backingOff() {
		delete(me.peers, pe.address)
	}
}
