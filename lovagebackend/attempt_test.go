package lovagebackend

import (
	"context"
	"net"
	"net/http/httptrace"
	"testing"

	"github.com/shoenig/test/must"
)

type testCounter int64

func (co *testCounter) Inc(n int64) { *co += testCounter(n) }

// Guards against sending a request on a second connection after a part of it was written to the first. net/http
// currently does not do so for the requests of this package, so the test calls the transport's hook itself.
func TestNoResendAfterWrite(t *testing.T) {
	var prevented testCounter
	cl := New(Settings{Counters: Counters{ReplaysPrevented: &prevented}})
	defer cl.Close()
	wo := newWorker(cl, 2)
	pipe := func() *conn {
		near, far := net.Pipe()
		t.Cleanup(func() { _ = near.Close(); _ = far.Close() })
		go func() { _, _ = far.Read(make([]byte, 1)) }()
		return &conn{Conn: near, worker: wo}
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	at := &attempt{worker: wo, ctx: ctx, cancel: cancel}
	first, second, third := pipe(), pipe(), pipe()
	at.gotConn(httptrace.GotConnInfo{Conn: first})
	at.gotConn(httptrace.GotConnInfo{Conn: second})
	must.NoError(t, ctx.Err())
	_, err := first.Write([]byte("x"))
	must.ErrorIs(t, err, errSealed)
	_, err = second.Write([]byte("x"))
	must.NoError(t, err)
	at.gotConn(httptrace.GotConnInfo{Conn: third})
	must.ErrorIs(t, context.Cause(ctx), errReplay)
	_, err = third.Write([]byte("x"))
	must.ErrorIs(t, err, errSealed)
	must.True(t, at.seal())
	must.Eq(t, 1, prevented)
}
