package lovagepeer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Sessions that are not kept up by Connect are closed after IdleTimeout without a request. A request that the peer sends
// at the moment of closing would end without an answer and with an unknown effect. Therefore no call uses a session that
// was idle for 5/6 of IdleTimeout: it is retired, which means that it only serves what the peer still sends on it, and the
// call has a new session dialled. A request would have to be on its way for longer than a sixth of IdleTimeout, 5 s by
// default, to reach a closed session.

// Release no longer keeps the session with an address up. The session stays while requests use it.
func (me *Mesh) Release(address string) {
	me.mu.Lock()
	defer me.mu.Unlock()
	if pe := me.peers[address]; pe != nil {
		pe.wanted = false
		pe.signalLocked()
		me.pruneLocked(pe)
	}
}

// SessionCount returns the number of sessions, including those that are being drained.
func (me *Mesh) SessionCount() int { return len(me.sessions()) }

func (me *Mesh) idleLoop(ctx context.Context) {
	ticker := time.NewTicker(max(me.op.IdleTimeout/12, time.Millisecond))
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			me.closeIdle()
		case <-ctx.Done():
			return
		}
	}
}

func (me *Mesh) closeIdle() {
	me.mu.Lock()
	defer me.mu.Unlock()
	for _, pe := range me.peers {
		se := pe.sess
		if se == nil || pe.wanted || pe.waiters > 0 || se.unused() < me.op.IdleTimeout || !se.idle() {
			continue
		}
		pe.sess = nil
		me.counts.sessionsClosed.Inc(1)
		me.counts.sessionsIdle.Inc(1)
		me.noticeDown(se.instance, false)
		se.close(errors.New("no request needed the session"))
		me.pruneLocked(pe)
	}
	for se, since := range me.retired {
		if time.Since(since) >= me.op.IdleTimeout/6 && se.unused() >= me.op.IdleTimeout/6 && se.idle() {
			delete(me.retired, se)
			se.close(errors.New("replaced by a newer session"))
		}
	}
}

// retireLocked lets a session serve what the peer still sends on it; closeIdle closes it.
func (me *Mesh) retireLocked(se *session) { me.retired[se] = time.Now() }

// touch notes that the session is used.
func (se *session) touch() { se.used.Store(time.Now().UnixNano()) }

// unused returns how long ago the session was last used.
func (se *session) unused() time.Duration { return time.Since(time.Unix(0, se.used.Load())) }
