package lovagebackend_test

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"lovagestack/lovagebackend"
	"lovagestack/lovagefake"
)

// hookedConn calls beforeWrite between the assignment of a reused connection and the first write.
type hookedConn struct {
	*net.TCPConn
	beforeWrite *func()
}

func (hc hookedConn) SyscallConn() (syscall.RawConn, error) {
	(*hc.beforeWrite)()
	return hc.TCPConn.SyscallConn()
}

// Guards against a start that a late goroutine writes after the task was cancelled or its deadline has passed.
func TestLateWriteStartsNothing(t *testing.T) {
	for _, name := range []string{"cancelled", "deadline passed"} {
		t.Run(name, func(t *testing.T) {
			wo, addr := startWorker(t, lovagefake.WorkerSettings{ID: "w"})
			beforeWrite := func() {}
			cl := newClient(t, lovagebackend.Settings{
				Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
					co, err := new(net.Dialer).DialContext(ctx, network, address)
					if err != nil {
						return nil, err
					}
					return hookedConn{TCPConn: co.(*net.TCPConn), beforeWrite: &beforeWrite}, nil
				},
			})
			must.Eq(t, lovagebackend.Succeeded, cl.Run(context.Background(), taskRequest(addr, "first", zeroRunTime)).State)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			re := taskRequest(addr, "late", zeroRunTime)
			re.Deadline = time.Now().Add(time.Minute)
			beforeWrite = cancel
			if name == "deadline passed" {
				re.Deadline = time.Now().Add(200 * time.Millisecond)
				beforeWrite = func() { time.Sleep(time.Until(re.Deadline)) }
			}
			must.Eq(t, lovagebackend.NotStarted, cl.Run(ctx, re).State)
			must.Eq(t, 0, wo.StartCounts()["late"])
		})
	}
}
