package lovagepeer

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// errDuplicate is the result of a dial that the peer turned away because it keeps the session that it dialled itself.
var errDuplicate = errors.New("the peer keeps the session that it dialled")

// peer is what is known about one address. All fields are guarded by the Mesh's lock.
type peer struct {
	me       *Mesh
	address  string
	instance string // last instance met at the address
	wanted   bool   // keep a session up
	sess     *session
	previous uint64 // number of the last session
	waiters  int    // calls that wait for a session

	running    bool          // run is active
	attempting bool          // a dial is in progress; calls wait for its result
	helloSent  bool          // the dial has reached the Hello exchange
	changed    chan struct{} // closed and replaced when a session is established or a dial fails
	failures   int           // dials that failed since the last session
	failed     uint64        // all dials that failed; never falls, so that a waiting call sees that one has
	lastErr    error
	retryAt    time.Time
}

func (pe *peer) signalLocked() {
	close(pe.changed)
	pe.changed = make(chan struct{})
}

func (pe *peer) backingOff() bool { return pe.lastErr != nil && time.Now().Before(pe.retryAt) }

// startLocked starts dialling unless there is a session or a dial already.
func (pe *peer) startLocked() {
	if pe.sess != nil {
		return
	}
	if pe.running {
		return
	}
	pe.running, pe.attempting = true, true
	pe.me.wg.Add(1)
	ctx := pe.me.ctx
	go func() {
		defer pe.me.wg.Done()
		pe.run(ctx)
	}()
}

// run dials until there is a session, or once if the session is only needed for a call.
func (pe *peer) run(ctx context.Context) {
	me := pe.me
	for {
		se, err := me.dial(ctx, pe)
		if errors.Is(err, errDuplicate) {
			pe.awaitIncoming(ctx)
		}
		me.mu.Lock()
		pe.helloSent, pe.attempting = false, false
		if err == nil {
			pe.running = false
			me.installLocked(pe, se)
			me.mu.Unlock()
			return
		}
		if pe.sess == nil {
			pe.failedLocked(err)
		}
		if pe.sess != nil || !pe.wanted || ctx.Err() != nil {
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
		if pe.sess != nil || !pe.wanted || ctx.Err() != nil {
			pe.running = false
			me.mu.Unlock()
			return
		}
		pe.attempting = true
		me.mu.Unlock()
	}
}

// duplicateWait is how long a dial that was turned away waits for the session of the other side, which needs two
// more round trips of a few ms.
const duplicateWait = 200 * time.Millisecond

func (pe *peer) awaitIncoming(ctx context.Context) {
	pe.me.mu.Lock()
	changed, has := pe.changed, pe.sess != nil
	pe.me.mu.Unlock()
	if has {
		return
	}
	timer := time.NewTimer(duplicateWait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (pe *peer) failedLocked(err error) {
	op := &pe.me.op
	pe.failures++
	pe.failed++
	pe.lastErr = err
	// 2^20 is far beyond MaxBackoff and avoids an overflow of the shift.
	delay := min(op.MinBackoff<<min(pe.failures-1, 20), op.MaxBackoff)
	delay = delay/2 + rand.N(delay) // jitter: 50% to 150%
	pe.retryAt = time.Now().Add(delay)
	pe.me.counts.dialsFailed.Inc(1)
	if errors.Is(err, syscall.ECONNREFUSED) {
		pe.me.noticeDown(pe.instance, true)
	}
	pe.signalLocked()
}

// installLocked makes se the session with its peer and starts it. An earlier session is closed.
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
			me.noticeDown(old.instance, false)
		}
		if sameProcess && old.unused() >= me.op.IdleTimeout/2 {
			me.retireLocked(old) // the peer did not use it any more for being idle; its last request may be on its way
			old = nil
		}
	}
	se.touch()
	pe.sess, pe.instance, pe.previous = se, se.instance, se.number
	pe.failures, pe.lastErr = 0, nil
	me.counts.sessionsOpened.Inc(1)
	if !sameProcess {
		me.noticeUp(se.instance)
	}
	se.startLocked()
	pe.signalLocked()
	if old != nil {
		old.close(errors.New("replaced by a newer session"))
	}
}

// ended is called once for each session that was installed.
func (me *Mesh) ended(se *session) {
	me.mu.Lock()
	defer me.mu.Unlock()
	pe := se.pe
	delete(me.retired, se)
	if pe.sess != se {
		return
	}
	pe.sess = nil
	me.counts.sessionsClosed.Inc(1)
	me.noticeDown(se.instance, false)
	if pe.wanted && me.ctx != nil && me.ctx.Err() == nil {
		pe.startLocked()
	}
	me.pruneLocked(pe)
}
