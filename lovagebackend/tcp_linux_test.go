package lovagebackend

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"
)

// Guards against a connection that stays open for the kernel's default of two hours after its peer has disappeared.
func TestSocketOptions(t *testing.T) {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = li.Close() }()
	cl := New(Settings{TCPUserTimeout: 7 * time.Second, KeepAliveInterval: 4 * time.Second})
	defer cl.Close()
	co, err := newWorker(cl, 1).dial(context.Background(), "tcp", li.Addr().String())
	must.NoError(t, err)
	defer func() { _ = co.Close() }()
	raw, err := co.(*conn).Conn.(syscall.Conn).SyscallConn()
	must.NoError(t, err)
	must.NoError(t, raw.Control(func(fd uintptr) {
		for _, opt := range []struct{ level, option, want int }{
			{unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, 7000},
			{unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
			{unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, 4},
			{unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, 4},
			{unix.IPPROTO_TCP, unix.TCP_KEEPCNT, keepAliveProbes},
		} {
			got, err := unix.GetsockoptInt(int(fd), opt.level, opt.option)
			must.NoError(t, err)
			must.Eq(t, opt.want, got)
		}
	}))
}

// The state of workers must be removed after they are gone or their limit has changed.
func TestUnusedWorkersAreRemoved(t *testing.T) {
	cl := New(Settings{IdleTimeout: time.Second})
	defer cl.Close()
	first := cl.acquireWorker(Request{Address: "127.0.0.1:1", MaxConns: 2})
	must.True(t, first == cl.acquireWorker(Request{Address: "127.0.0.1:1", MaxConns: 2}))
	second := cl.acquireWorker(Request{Address: "127.0.0.1:1", MaxConns: 3})
	must.True(t, first != second)
	must.Eq(t, 3, second.transport.MaxConnsPerHost)
	cl.sweep(int64(time.Hour))
	must.MapLen(t, 1, cl.workers)
	cl.releaseWorker(second)
	cl.sweep(int64(time.Hour))
	must.MapEmpty(t, cl.workers)
}
