package lovagepeer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Sessions that Connect does not maintain are closed after IdleTimeout without a request. A request that the peer sends
// at the moment of closing would get no response, and the peer would not know its effect. Therefore no call uses a
// session that has been idle for 5/6 of IdleTimeout. Instead, the session is drained: it only serves requests that the
// peer still sends on it, and the call dials a new session. A request would have to be in transit for longer than a
// sixth of IdleTimeout, 5 s by default, to reach a closed session.

// Release undoes Connect: the session with the address is no longer redialled and is closed after IdleTimeout without a
// request.
func (me *Mesh) Release(address string) {
	me.mu.Lock()
	defer me.mu.Unlock()
	if pe := me.peers[address]; pe != nil {
		pe.persistent = false
		pe.broadcastLocked()
		me.pruneLocked(pe)
	}
}

// SessionCount returns the number of sessions, including draining ones.
func (me *Mesh) SessionCount() int { return len(me.sessions()) }

func (me *Mesh) idleLoop(ctx context.Context) {
	ticker := time.NewTicker(max(me.options.IdleTimeout/12, time.Millisecond))
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
		if se == nil || pe.persistent || pe.waiters > 0 || se.idleTime() < me.options.IdleTimeout || !se.idle() {
			continue
		}
		pe.sess = nil
		me.counts.sessionsClosed.Inc(1)
		me.counts.sessionsIdle.Inc(1)
		me.notifyDown(se.instance, false)
		se.close(errors.New("session closed after the idle timeout"))
		me.pruneLocked(pe)
	}
	for se, since := range me.draining {
		if time.Since(since) >= me.options.IdleTimeout/6 && se.idleTime() >= me.options.IdleTimeout/6 && se.idle() {
			delete(me.draining, se)
			se.close(errors.New("replaced by a newer session"))
		}
	}
}

// drainLocked keeps a session open only for requests that the peer still sends on it. closeIdle closes it later.
func (me *Mesh) drainLocked(se *session) { me.draining[se] = time.Now() }

// markUsed restarts the idle time.
func (se *session) markUsed() { se.lastUsed.Store(time.Now().UnixNano()) }

// idleTime returns the time since the last use.
func (se *session) idleTime() time.Duration { return time.Since(time.Unix(0, se.lastUsed.Load())) }
