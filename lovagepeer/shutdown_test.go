package lovagepeer

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
)

// Guards against a panic at shutdown: a call waits for a session, the session is established, and before the call
// resumes, Serve ends and closes the session. The call must fail and must not dial.
func TestServeEndsWhileCallWaits(t *testing.T) {
	me, _, stop := startMesh(t, Options{Instance: "a"}, nil)
	const address = "127.0.0.1:1"
	me.mu.Lock()
	pe := me.peerLocked(address)
	pe.dialling = true // as during a dial
	me.mu.Unlock()
	done := make(chan error, 1)
	go func() { done <- askAndCheck(me, testContext(t), address, "k") }()
	waits := func() bool {
		me.mu.Lock()
		defer me.mu.Unlock()
		return pe.waiters == 1
	}
	for !waits() {
		time.Sleep(time.Millisecond)
	}

	me.mu.Lock()
	savedCtx := me.ctx
	me.ctx = nil         // as shutdown does
	pe.dialling = false  // as the end of the dial does
	pe.broadcastLocked() // as installLocked does; the session has ended already
	me.mu.Unlock()
	select {
	case err := <-done:
		must.Error(t, err)
		must.True(t, errors.Is(err, ErrNotSent), must.Sprintf("%v", err))
	case <-time.After(testTimeout):
		t.Fatal("the call did not return")
	}
	me.mu.Lock()
	me.ctx = savedCtx
	me.mu.Unlock()
	stop()
}
