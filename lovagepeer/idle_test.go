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

// Guards against a session that is closed under a request in flight, one that is closed although it is to be kept up, and
// one that stays open although nothing needs it.
func TestIdleSessionIsClosed(t *testing.T) {
	release := make(chan struct{})
	slow := handlerFunc(func(ctx context.Context, from string, req *lovagemessage.Request) (*lovagemessage.Response, error) {
		<-release
		return echo(ctx, from, req)
	})
	idle := 60 * time.Millisecond
	ma, _, _ := serve(t, Options{Instance: "a", IdleTimeout: idle}, echo)
	_, ab, _ := serve(t, Options{Instance: "b", IdleTimeout: time.Hour}, slow)
	_, ac, _ := serve(t, Options{Instance: "c", IdleTimeout: time.Hour}, echo)
	ma.Connect("c", ac)
	ma.Connect("b", ab)
	done := make(chan error, 1)
	go func() {
		_, err := ma.Call(testContext(t), ab, ask("k"))
		done <- err
	}()
	for !ma.Connected(ab) || !ma.Connected(ac) || ma.sessionWith(ab).idle() {
		time.Sleep(time.Millisecond)
	}
	kept := ma.sessionWith(ac)
	ma.Release(ab)
	time.Sleep(5 * idle) // a session closed too early is closed by now; a longer time would not change a correct result
	must.True(t, ma.Connected(ab))
	close(release)
	must.NoError(t, <-done)
	for ma.Connected(ab) {
		time.Sleep(time.Millisecond)
	}
	must.True(t, kept == ma.sessionWith(ac))
	_, err := ma.Call(testContext(t), ab, ask("k"))
	must.NoError(t, err)
}

// Guards against a request that the peer sends on a session while this side replaces it for being idle.
func TestIdleSessionIsReplacedBeforeUse(t *testing.T) {
	ma, aa, _ := serve(t, Options{Instance: "a", IdleTimeout: time.Hour}, echo)
	mb, ab, _ := serve(t, Options{Instance: "b", IdleTimeout: time.Hour}, echo)
	ctx := testContext(t)
	_, err := ma.Call(ctx, ab, ask("k"))
	must.NoError(t, err)
	oldA, oldB := ma.sessionWith(ab), mb.sessionWith(aa)
	before := time.Now().Add(-time.Hour + time.Minute).UnixNano()
	for !oldA.idle() || !oldB.idle() { // the counts of the first call end after its answer
		time.Sleep(time.Millisecond)
	}
	oldA.used.Store(before)
	oldB.used.Store(before)
	_, err = ma.Call(ctx, ab, ask("k"))
	must.NoError(t, err)
	must.False(t, oldA == ma.sessionWith(ab))
	must.False(t, oldB == mb.sessionWith(aa))
	_, err = oldB.call(ctx, ask("late"))
	must.NoError(t, err)
}
