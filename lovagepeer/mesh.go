package lovagepeer

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"lovagestack/lovagemessage"
)

// ErrNotSent marks errors of Call after which the request cannot have reached a handler of the peer. After any other
// error it may have.
var ErrNotSent = errors.New("the request did not reach the peer")

// ErrRemote marks errors of Call that the peer's handler returned.
var ErrRemote = errors.New("the peer answered with an error")

// markedError is an error that also is one of the errors above. errors.Mark of cockroachdb/errors is not seen by the
// standard library's errors.Is.
type markedError struct {
	error
	mark error
}

func (me markedError) Unwrap() error        { return me.error }
func (me markedError) Is(target error) bool { return target == me.mark }

func notSent(err error) error { return markedError{err, ErrNotSent} }

// Mesh holds the sessions of one instance with its peers. All methods may be called concurrently.
type Mesh struct {
	op          Options
	handler     Handler
	counts      counters
	incarnation uint64 // distinguishes this process from an earlier one with the same instance ID

	mu       sync.Mutex
	listener net.Listener
	ctx      context.Context // of the running Serve; nil while not serving
	peers    map[string]*peer
	retired  map[*session]time.Time // sessions that take no new calls, and since when
	wg       sync.WaitGroup         // goroutines of the running Serve
	notices  notices
}

// New returns a Mesh that does nothing until Serve is called.
func New(op Options, handler Handler) *Mesh {
	return &Mesh{
		op:          op.withDefaults(),
		handler:     handler,
		counts:      newCounters(op.Counters),
		incarnation: rand.Uint64() | 1,
		peers:       make(map[string]*peer),
		retired:     make(map[*session]time.Time),
		notices:     notices{wake: make(chan struct{}, 1)},
	}
}

// Listen binds the listening address and returns the address that peers are told. Serve calls it if needed.
func (me *Mesh) Listen() (string, error) {
	me.mu.Lock()
	defer me.mu.Unlock()
	return me.listenLocked()
}

func (me *Mesh) listenLocked() (string, error) {
	if me.listener == nil {
		li, err := net.Listen("tcp", me.op.Listen)
		if err != nil {
			return "", errors.Wrapf(err, "listen for peers on %q", me.op.Listen)
		}
		me.listener = li
		// A restart after a failed Serve has to get the same port.
		me.op.Listen = li.Addr().String()
	}
	if me.op.AdvertiseAddress == "" {
		me.op.AdvertiseAddress = me.op.Listen
	}
	return me.op.AdvertiseAddress, nil
}

// Serve accepts sessions and allows calls until ctx ends; it then closes every session and waits for the goroutines of
// the Mesh, handlers included. It may be called again after it has returned.
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
		if pe.wanted {
			pe.startLocked()
		}
	}
	me.wg.Add(1)
	me.mu.Unlock()
	go func() {
		defer me.wg.Done()
		me.idleLoop(ctx)
	}()

	noticesDone := make(chan struct{})
	go func() {
		defer close(noticesDone)
		me.notices.loop(ctx)
	}()
	stop := context.AfterFunc(ctx, func() { _ = li.Close() })
	defer stop()
	err := me.acceptLoop(ctx, li)
	cancel()
	me.shutdown()
	<-noticesDone
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
		if err != nil { // such as no free file descriptor; ending Serve would cut the sessions that work
			me.counts.acceptsFailed.Inc(1)
			select {
			case <-time.After(me.op.MinBackoff):
			case <-ctx.Done():
			}
			continue
		}
		me.mu.Lock()
		me.wg.Add(1)
		me.mu.Unlock()
		go func() {
			defer me.wg.Done()
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

// Connect keeps a session with the instance at the address up until Disconnect or Release. The instance ID may be empty; it is
// used for SessionDown before the first session.
func (me *Mesh) Connect(instance, address string) {
	me.mu.Lock()
	defer me.mu.Unlock()
	pe := me.peerLocked(address)
	if pe.instance == "" {
		pe.instance = instance
	}
	pe.wanted = true
	if me.ctx != nil {
		pe.startLocked()
	}
}

// Disconnect closes the session with an address and no longer dials it, except for calls.
func (me *Mesh) Disconnect(address string) {
	me.mu.Lock()
	pe := me.peers[address]
	if pe == nil {
		me.mu.Unlock()
		return
	}
	pe.wanted = false
	se := pe.sess
	pe.signalLocked()
	me.pruneLocked(pe)
	me.mu.Unlock()
	if se != nil {
		se.close(errors.New("peer is no longer wanted"))
	}
}

// Instance returns the ID of the last instance met at an address, empty if there was none.
func (me *Mesh) Instance(address string) string {
	me.mu.Lock()
	defer me.mu.Unlock()
	if pe := me.peers[address]; pe != nil {
		return pe.instance
	}
	return ""
}

// Connected reports whether there is a session with the instance at the address.
func (me *Mesh) Connected(address string) bool {
	me.mu.Lock()
	defer me.mu.Unlock()
	pe := me.peers[address]
	return pe != nil && pe.sess != nil
}

// Call sends a request to the instance at the address and waits for its response. It dials if there is no session, and
// fails at once while a failed dial is backing off. If errors.Is(err, ErrNotSent), the request has not reached a
// handler of the peer; after any other error it may have. The request must not be changed until Call returns.
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

// idlePollInterval is how often AwaitIdle looks.
const idlePollInterval = 5 * time.Millisecond

// AwaitIdle waits until no request is in progress in either direction and every peer has received what was
// sent to it. A graceful shutdown calls it after the instance has stopped taking on work and before it ends the
// context of Serve. Its error is that of ctx.
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

// flush waits until every peer has received what was written, because closing a connection may discard bytes that are
// still on their way. A pong proves it; a peer that sends none loses its session anyway.
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
	for se := range me.retired {
		out = append(out, se)
	}
	return out
}

// session returns the session with an address and dials if needed.
func (me *Mesh) session(ctx context.Context, address string) (*session, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	me.mu.Lock()
	defer me.mu.Unlock()
	if me.ctx == nil {
		return nil, errors.New("peer mesh is not serving")
	}
	if address == me.op.AdvertiseAddress {
		return nil, errors.New("the address is this instance's own")
	}
	serving := me.ctx
	pe := me.peerLocked(address)
	pe.waiters++
	defer func() {
		pe.waiters--
		me.pruneLocked(pe)
	}()
	for {
		if pe.sess != nil && pe.sess.unused() >= me.op.IdleTimeout/6*5 && pe.sess.idle() {
			me.counts.sessionsClosed.Inc(1)
			me.retireLocked(pe.sess)
			pe.sess = nil
		}
		if pe.sess != nil {
			pe.sess.touch()
			return pe.sess, nil
		}
		if me.ctx != serving {
			// The call was woken by a session that the end of Serve has closed already; there is no context to dial with.
			return nil, errors.New("peer mesh is shutting down")
		}
		if !pe.attempting {
			if pe.backingOff() {
				return nil, errors.Wrap(pe.lastErr, "backing off after a failed dial")
			}
			pe.startLocked()
		}
		failed, changed := pe.failed, pe.changed
		me.mu.Unlock()
		var err error
		select {
		case <-changed:
		case <-ctx.Done():
			err = ctx.Err()
		case <-serving.Done():
			err = errors.New("peer mesh is shutting down")
		}
		me.mu.Lock()
		if err != nil {
			return nil, err
		}
		if pe.sess == nil && pe.failed != failed && pe.lastErr != nil {
			return nil, pe.lastErr // after a session in between there is no error, and the call goes on waiting
		}
	}
}

func (me *Mesh) peerLocked(address string) *peer {
	pe := me.peers[address]
	if pe == nil {
		pe = &peer{me: me, address: address, changed: make(chan struct{})}
		me.peers[address] = pe
	}
	return pe
}

// pruneLocked forgets a peer that is neither wanted nor in use, because addresses change for years.
func (me *Mesh) pruneLocked(pe *peer) {
	if !pe.wanted && pe.sess == nil && !pe.running && pe.waiters == 0 && !pe.backingOff() {
		delete(me.peers, pe.address)
	}
}
