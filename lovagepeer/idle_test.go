package lovagepeer

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"lovagestack/lovagemessage"
)

func (me *Mesh) sessionWith(address string) *session {
	me.mu.Lock()
	defer me.mu.Unlock()
	if pe := me.peers[address]; pe != nil {
		return pe.sess
	}
	return nil
}

// An unused session must be closed, but not a session with a request in flight or one that Connect maintains.
func TestIdleSessionIsClosed(t *testing.T) {
	release := make(chan struct{})
	slowHandler := handlerFunc(func(ctx context.Context, from string, req *lovagemessage.Request) (*lovagemessage.Response, error) {
		<-release
		return echo(ctx, from, req)
	})
	idle := 60 * time.Millisecond
	ma, _, _ := startMesh(t, Options{Instance: "a", IdleTimeout: idle}, echo)
	_, ab, _ := startMesh(t, Options{Instance: "b", IdleTimeout: time.Hour}, slowHandler)
	_, ac, _ := startMesh(t, Options{Instance: "c", IdleTimeout: time.Hour}, echo)
	ma.Connect("c", ac)
	ma.Connect("b", ab)
	done := make(chan error, 1)
	go func() {
		_, err := ma.Call(testContext(t), ab, askRequest("k"))
		done <- err
	}()
	for !ma.Connected(ab) || !ma.Connected(ac) || ma.sessionWith(ab).idle() {
		time.Sleep(time.Millisecond)
	}
	kept := ma.sessionWith(ac)
	ma.Release(ab)
	time.Sleep(5 * idle) // long enough for a premature close to show; a longer wait would not change a correct result
	must.True(t, ma.Connected(ab))
	close(release)
	must.NoError(t, <-done)
	for ma.Connected(ab) {
		time.Sleep(time.Millisecond)
	}
	must.True(t, kept == ma.sessionWith(ac))
	_, err := ma.Call(testContext(t), ab, askRequest("k"))
	must.NoError(t, err)
}

// A request that the peer sends on a session must not be lost while this side replaces the idle session.
func TestIdleSessionIsReplacedBeforeUse(t *testing.T) {
	ma, aa, _ := startMesh(t, Options{Instance: "a", IdleTimeout: time.Hour}, echo)
	mb, ab, _ := startMesh(t, Options{Instance: "b", IdleTimeout: time.Hour}, echo)
	ctx := testContext(t)
	_, err := ma.Call(ctx, ab, askRequest("k"))
	must.NoError(t, err)
	oldA, oldB := ma.sessionWith(ab), mb.sessionWith(aa)
	staleTime := time.Now().Add(-time.Hour + time.Minute).UnixNano()
	for !oldA.idle() || !oldB.idle() { // a request counts as in flight until shortly after its call has returned
		time.Sleep(time.Millisecond)
	}
	oldA.lastUsed.Store(staleTime)
	oldB.lastUsed.Store(staleTime)
	_, err = ma.Call(ctx, ab, askRequest("k"))
	must.NoError(t, err)
	must.False(t, oldA == ma.sessionWith(ab))
	must.False(t, oldB == mb.sessionWith(aa))
	_, err = oldB.call(ctx, askRequest("late"))
	must.NoError(t, err)
}
