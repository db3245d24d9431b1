package lovagepeer

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// errDuplicateSession means that a dial failed because both sides use the session that the peer dialled.
var errDuplicateSession = errors.New("the peer keeps the session that it dialled")

// peer is the connection state of one peer address. All fields are guarded by Mesh.mu.
type peer struct {
	mesh            *Mesh
	address         string
	instance        string // last known instance ID at the address
	persistent      bool   // set by Connect: keep a session established
	sess            *session
	previousSession uint64 // ID of the last session, sent in the next Hello
	waiters         int    // calls that wait for a session

	running             bool          // the run goroutine is active
	dialling            bool          // a dial is in progress; a call that needs a session waits for its result
	helloSent           bool          // the dial has reached the Hello exchange
	changed             chan struct{} // closed and replaced when a session is established, a dial fails or persistent is cleared
	consecutiveFailures int           // number of failed dials since the last session; sets the backoff delay
	totalFailures       uint64        // all failed dials; never reset, so that a waiting call can detect a new failure
	lastErr             error
	retryAt             time.Time
}

func (pe *peer) broadcastLocked() {
	close(pe.changed)
	pe.changed = make(chan struct{})
}

func (pe *peer) backingOff() bool { return pe.lastErr != nil && time.Now().Before(pe.retryAt) }

// startLocked starts dialling unless a session exists or run is already active.
func (pe *peer) startLocked() {
	if pe.sess != nil {
		return
	}
	if pe.running {
		return
	}
	pe.running, pe.dialling = true, true
	pe.mesh.wg.Add(1)
	ctx := pe.mesh.ctx
	go func() {
		defer pe.mesh.wg.Done()
		pe.run(ctx)
	}()
}

// run dials until a session is established. If the peer is not persistent, it dials only once.
func (pe *peer) run(ctx context.Context) {
	me := pe.mesh
	for {
		se, err := me.dial(ctx, pe)
		if errors.Is(err, errDuplicateSession) {
			pe.awaitIncomingSession(ctx)
		}
		me.mu.Lock()
		pe.helloSent, pe.dialling = false, false
		if err == nil {
			pe.running = false
			me.installLocked(pe, se)
			me.mu.Unlock()
			return
		}
		if pe.sess == nil {
			pe.dialFailedLocked(err)
		}
		if pe.sess != nil || !pe.persistent || ctx.Err() != nil {
			pe.running = false
			me.mu.Unlock()
			return
		}
		delay, changed := time.Until(pe.retryAt), pe.changed
		me.mu.Unlock()
		timer := time.NewTimer(delay)
		select {
		case <-timer.C:
		case <-changed:
		case <-ctx.Done():
		}
		timer.Stop()
		me.mu.Lock()
		if pe.sess != nil || !pe.persistent || ctx.Err() != nil {
			pe.running = false
			me.mu.Unlock()
			return
		}
		pe.dialling = true
		me.mu.Unlock()
	}
}

// incomingSessionTimeout is how long a dial rejected as a duplicate waits for the session that the peer dialled. That
// session needs two more round trips of a few ms.
const incomingSessionTimeout = 200 * time.Millisecond

func (pe *peer) awaitIncomingSession(ctx context.Context) {
	pe.mesh.mu.Lock()
	changed, connected := pe.changed, pe.sess != nil
	pe.mesh.mu.Unlock()
	if connected {
		return
	}
	timer := time.NewTimer(incomingSessionTimeout)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (pe *peer) dialFailedLocked(err error) {
	op := &pe.mesh.options
	pe.consecutiveFailures++
	pe.totalFailures++
	pe.lastErr = err
	// Capping the shift at 20 avoids an overflow; MinBackoff * 2^20 is far beyond MaxBackoff.
	delay := min(op.MinBackoff<<min(pe.consecutiveFailures-1, 20), op.MaxBackoff)
	delay = delay/2 + rand.N(delay) // jitter: 50% to 150%
	pe.retryAt = time.Now().Add(delay)
	pe.mesh.counts.dialsFailed.Inc(1)
	if errors.Is(err, syscall.ECONNREFUSED) {
		pe.mesh.notifyDown(pe.instance, true)
	}
	pe.broadcastLocked()
}

// installLocked makes se the current session with its peer and starts it. An earlier session is closed or drained.
func (me *Mesh) installLocked(pe *peer, se *session) {
	if me.ctx == nil || me.ctx.Err() != nil {
		se.close(errors.New("this instance is shutting down"))
		return
	}
	old := pe.sess
	sameProcess := old != nil && old.instance == se.instance && old.incarnation == se.incarnation
	if old != nil {
		me.counts.sessionsClosed.Inc(1)
		if !sameProcess {
			me.notifyDown(old.instance, false)
		}
		if sameProcess && old.idleTime() >= me.options.IdleTimeout/2 {
			me.drainLocked(old) // the peer replaced the idle session; a request sent on it may still be in transit
			old = nil
		}
	}
	se.markUsed()
	pe.sess, pe.instance, pe.previousSession = se, se.instance, se.id
	pe.consecutiveFailures, pe.lastErr = 0, nil
	me.counts.sessionsOpened.Inc(1)
	if !sameProcess {
		me.notifyUp(se.instance)
	}
	se.startLocked()
	pe.broadcastLocked()
	if old != nil {
		old.close(errors.New("replaced by a newer session"))
	}
}

// sessionEnded removes a session that has ended and redials a persistent peer. It is called once for each installed
// session.
func (me *Mesh) sessionEnded(se *session) {
	me.mu.Lock()
	defer me.mu.Unlock()
	pe := se.pe
	delete(me.draining, se)
	if pe.sess != se {
		return
	}
	pe.sess = nil
	me.counts.sessionsClosed.Inc(1)
	me.notifyDown(se.instance, false)
	if pe.persistent && me.ctx != nil && me.ctx.Err() == nil {
		pe.startLocked()
	}
	me.pruneLocked(pe)
}
