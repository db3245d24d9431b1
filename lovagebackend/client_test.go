package lovagebackend_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/goleak"

	"lovagestack/lovagebackend"
	"lovagestack/lovagefake"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type counter struct{ atomic.Int64 }

func (co *counter) Inc(n int64) { co.Add(n) }

func newClient(t testing.TB, se lovagebackend.Settings) *lovagebackend.Client {
	cl := lovagebackend.New(se)
	t.Cleanup(cl.Close)
	return cl
}

func startWorker(t testing.TB, se lovagefake.WorkerSettings) (*lovagefake.Worker, string) {
	wo := lovagefake.NewWorker(se)
	addr, err := wo.Listen("127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(wo.Close)
	return wo, addr
}

// eventually waits until condition returns true; the timeout only ends a test that hangs.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(condition), wait.Timeout(30*time.Second), wait.Gap(time.Millisecond)), must.Sprint(what))
}

func taskRequest(addr, id, payload string) lovagebackend.Request {
	return lovagebackend.Request{
		Worker: "w", Address: addr, Service: "ticket", Task: id, Epoch: "7",
		Deadline: time.Now().Add(time.Minute), Payload: []byte(payload),
	}
}

// rawWorker reads one complete request from each connection, sends the reply and closes the connection.
func rawWorker(t *testing.T, reply string) (addr string, requests *bytes.Buffer) {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	requests = new(bytes.Buffer)
	var done sync.WaitGroup
	done.Go(func() {
		for {
			co, err := li.Accept()
			if err != nil {
				return
			}
			buf := make([]byte, 4096)
			for !bytes.HasSuffix(requests.Bytes(), []byte("{}")) {
				n, err := co.Read(buf)
				requests.Write(buf[:n])
				if err != nil {
					break
				}
			}
			_, _ = io.WriteString(co, reply)
			_ = co.Close()
		}
	})
	t.Cleanup(func() { _ = li.Close(); done.Wait() })
	return li.Addr().String(), requests
}

// Each kind of reply must give the listed state. An incomplete body must not be returned.
func TestClassifyReplies(t *testing.T) {
	const small = "Content-Length: 2\r\n\r\nok"
	for _, tt := range []struct {
		name, reply string
		state       lovagebackend.State
		status      int
		body        string
		leaving     bool
	}{
		{"200", "HTTP/1.1 200 OK\r\n" + small, lovagebackend.Succeeded, 200, "ok", false},
		{"204", "HTTP/1.1 204 None\r\n\r\n", lovagebackend.Succeeded, 204, "", false},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", lovagebackend.Succeeded, 200, "ok", false},
		{"200 to the end of the connection", "HTTP/1.0 200 OK\r\n\r\nok", lovagebackend.Succeeded, 200, "ok", false},
		{"leaving", "HTTP/1.1 200 OK\r\nLovage-Leaving: true\r\n" + small, lovagebackend.Succeeded, 200, "ok", true},
		{"not started is ignored without 503", "HTTP/1.1 200 OK\r\nLovage-Not-Started: true\r\n" + small, lovagebackend.Succeeded, 200, "ok", false},
		{"own task named", "HTTP/1.1 200 OK\r\nLovage-Task: k/0\r\n" + small, lovagebackend.Succeeded, 200, "ok", false},
		{"other task named", "HTTP/1.1 200 OK\r\nLovage-Task: k/1\r\n" + small, lovagebackend.Unknown, 200, "", false},
		{"other task not started", "HTTP/1.1 503 No\r\nLovage-Not-Started: true\r\nLovage-Task: k/1\r\n" + small, lovagebackend.Unknown, 503, "", false},
		{"503 not started", "HTTP/1.1 503 No\r\nLovage-Not-Started: true\r\nLovage-Leaving: true\r\n" + small, lovagebackend.NotStarted, 503, "ok", true},
		{"503 not started, body cut", "HTTP/1.1 503 No\r\nLovage-Not-Started: true\r\nContent-Length: 9\r\n\r\nok", lovagebackend.NotStarted, 503, "", false},
		{"503 only", "HTTP/1.1 503 No\r\n" + small, lovagebackend.Failed, 503, "ok", false},
		{"503 not started false", "HTTP/1.1 503 No\r\nLovage-Not-Started: false\r\n" + small, lovagebackend.Failed, 503, "ok", false},
		{"500 not started", "HTTP/1.1 500 No\r\nLovage-Not-Started: true\r\n" + small, lovagebackend.Failed, 500, "ok", false},
		{"404", "HTTP/1.1 404 No\r\n" + small, lovagebackend.Failed, 404, "ok", false},
		{"408", "HTTP/1.1 408 Late\r\nConnection: close\r\n" + small, lovagebackend.Failed, 408, "ok", false},
		{"redirect", "HTTP/1.1 307 Go\r\nLocation: /\r\n" + small, lovagebackend.Failed, 307, "ok", false},
		{"101", "HTTP/1.1 101 Switch\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n", lovagebackend.Failed, 101, "", false},
		{"500, body cut", "HTTP/1.1 500 No\r\nContent-Length: 9\r\n\r\nok", lovagebackend.Failed, 500, "", false},
		{"200, body cut", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", lovagebackend.Unknown, 200, "", false},
		{"200, chunk cut", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", lovagebackend.Unknown, 200, "", false},
		{"200, body too long", "HTTP/1.1 200 OK\r\nContent-Length: 65\r\n\r\n" + strings.Repeat("x", 65), lovagebackend.Failed, 200, "", false},
		{"200, chunks too long", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n41\r\n" + strings.Repeat("x", 65) + "\r\n0\r\n\r\n", lovagebackend.Failed, 200, "", false},
		{"header too long", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 64<<10) + "\r\n" + small, lovagebackend.Unknown, 0, "", false},
		{"no reply", "", lovagebackend.Unknown, 0, "", false},
		{"not HTTP", "hello\r\n\r\n", lovagebackend.Unknown, 0, "", false},
		{"header cut", "HTTP/1.1 200 OK\r\nContent-Le", lovagebackend.Unknown, 0, "", false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			addr, _ := rawWorker(t, tt.reply)
			res := newClient(t, lovagebackend.Settings{MaxBodyBytes: 64}).Run(context.Background(), taskRequest(addr, "k/0", "{}"))
			must.Eq(t, tt.state, res.State)
			must.Eq(t, tt.status, res.Status)
			must.Eq(t, tt.body, string(res.Body))
			must.Eq(t, tt.leaving, res.Leaving)
			must.Eq(t, tt.body == "" && tt.status != 204, res.Err != nil)
		})
	}
}

// A request must have the headers of the protocol and must not permit http.Transport to resend it.
func TestRequestHeaders(t *testing.T) {
	addr, requests := rawWorker(t, "HTTP/1.1 204 None\r\n\r\n")
	ctx := trace.ContextWithSpanContext(context.Background(), trace.NewSpanContext(trace.SpanContextConfig{
		TraceID: trace.TraceID{1}, SpanID: trace.SpanID{2}, TraceFlags: trace.FlagsSampled,
	}))
	re := taskRequest(addr, "k/0", "{}")
	re.Deadline = time.Date(2100, 1, 2, 3, 4, 5, 678, time.UTC)
	must.Eq(t, lovagebackend.Succeeded, newClient(t, lovagebackend.Settings{}).Run(ctx, re).State)
	got := requests.String()
	for _, line := range []string{
		"POST /v1/services/ticket/tasks HTTP/1.1\r\n", "\r\nLovage-Task: k/0\r\n", "\r\nLovage-Epoch: 7\r\n",
		"\r\nLovage-Deadline: 2100-01-02T03:04:05.000000678Z\r\n",
		"\r\nTraceparent: 00-01000000000000000000000000000000-0200000000000000-01\r\n",
	} {
		must.StrContains(t, got, line)
	}
	must.StrNotContains(t, strings.ToLower(got), "idempotency-key")
}

// A task must be reported as not started if it cannot have started, and in no other case.
func TestRunWithoutReply(t *testing.T) {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	closedAddr := li.Addr().String()
	must.NoError(t, li.Close())
	wo, addr := startWorker(t, lovagefake.WorkerSettings{ID: "w"})
	endedCtx, end := context.WithCancel(context.Background())
	end()
	lateRequest := taskRequest(addr, "late", "")
	lateRequest.Deadline = time.Now().Add(-time.Second)
	for _, tt := range []struct {
		name    string
		ctx     context.Context
		request lovagebackend.Request
		faults  lovagefake.WorkerFaults
		state   lovagebackend.State
	}{
		{"refused connection", context.Background(), taskRequest(closedAddr, "a", ""), lovagefake.WorkerFaults{}, lovagebackend.NotStarted},
		{"no address", context.Background(), taskRequest("", "b", ""), lovagefake.WorkerFaults{}, lovagebackend.NotStarted},
		{"bad task header", context.Background(), taskRequest(addr, "c\r\nX: y", ""), lovagefake.WorkerFaults{}, lovagebackend.NotStarted},
		{"context ended", endedCtx, taskRequest(addr, "d", ""), lovagefake.WorkerFaults{}, lovagebackend.NotStarted},
		{"deadline passed", context.Background(), lateRequest, lovagefake.WorkerFaults{}, lovagebackend.NotStarted},
		{"refused", context.Background(), taskRequest(addr, "e", ""), lovagefake.WorkerFaults{Refuse: true}, lovagebackend.NotStarted},
		{"closed before the request", context.Background(), taskRequest(addr, "f", ""), lovagefake.WorkerFaults{CloseBeforeRead: true}, lovagebackend.Unknown},
		{"closed after the request", context.Background(), taskRequest(addr, "g", ""), lovagefake.WorkerFaults{CloseAfterRead: true}, lovagebackend.Unknown},
		{"closed in the reply", context.Background(), taskRequest(addr, "h", `{"runTime":"0s"}`), lovagefake.WorkerFaults{CloseInReply: true}, lovagebackend.Unknown},
		{"failing worker", context.Background(), taskRequest(addr, "i", ""), lovagefake.WorkerFaults{FailEverything: true}, lovagebackend.Failed},
	} {
		t.Run(tt.name, func(t *testing.T) {
			wo.SetFaults(tt.faults)
			defer wo.SetFaults(lovagefake.WorkerFaults{})
			res := newClient(t, lovagebackend.Settings{}).Run(tt.ctx, tt.request)
			must.Eq(t, tt.state, res.State, must.Sprint(res.Err))
			if tt.state == lovagebackend.NotStarted {
				must.Eq(t, 0, wo.StartCounts()[tt.request.Task])
			}
			must.True(t, res.Err != nil || res.Status != 0)
		})
	}
	cl := lovagebackend.New(lovagebackend.Settings{})
	cl.Close()
	res := cl.Run(context.Background(), taskRequest(addr, "after close", ""))
	must.Eq(t, lovagebackend.NotStarted, res.State)
	must.ErrorIs(t, res.Err, lovagebackend.ErrClosed)
}

// A task that is cancelled or reaches its deadline after its start must be stopped on the worker and reported as
// unknown.
func TestCancelOrDeadlineStopsTask(t *testing.T) {
	for _, trigger := range []string{"cancel", "deadline"} {
		t.Run(trigger, func(t *testing.T) {
			wo, addr := startWorker(t, lovagefake.WorkerSettings{ID: "w"})
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			re := taskRequest(addr, "k/0", `{"runTime":"1h"}`)
			var stopped sync.WaitGroup
			if trigger == "cancel" {
				stopped.Go(func() {
					eventually(t, "task runs", func() bool { return wo.RunningTasks() == 1 })
					cancel()
				})
			} else {
				re.Deadline = time.Now().Add(300 * time.Millisecond)
			}
			res := newClient(t, lovagebackend.Settings{}).Run(ctx, re)
			stopped.Wait()
			if trigger == "cancel" {
				must.Eq(t, lovagebackend.Unknown, res.State)
				must.ErrorIs(t, res.Err, context.Canceled)
			} else {
				must.ErrorIs(t, res.Err, context.DeadlineExceeded)
			}
			eventually(t, "slot is free", func() bool { return wo.RunningTasks() == 0 })
			if wo.StartCounts()["k/0"] > 0 {
				must.Eq(t, lovagebackend.Unknown, res.State)
			}
		})
	}
}

// The worker's connection limit must not be exceeded. A task that only waited for a connection must not count as
// started.
func TestConnectionLimit(t *testing.T) {
	wo, addr := startWorker(t, lovagefake.WorkerSettings{ID: "w", Slots: 8})
	var connections counter
	cl := newClient(t, lovagebackend.Settings{Counters: lovagebackend.Counters{ConnectionsOpened: &connections}})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for i := range 2 {
		re := taskRequest(addr, fmt.Sprintf("k/%d", i), `{"runTime":"1h"}`)
		re.MaxConns = 2
		running.Go(func() { cl.Run(ctx, re) })
	}
	eventually(t, "tasks run", func() bool { return wo.RunningTasks() == 2 })
	re := taskRequest(addr, "k/2", "")
	re.Deadline = time.Now().Add(50 * time.Millisecond)
	res := cl.Run(ctx, re)
	must.Eq(t, lovagebackend.NotStarted, res.State)
	must.ErrorIs(t, res.Err, context.DeadlineExceeded)
	must.Eq(t, 2, connections.Load())
	cancel()
	running.Wait()
}

// A partially written request must not be reported as not started. The payload does not fit into the socket buffers,
// and the worker reads only its first byte.
func TestPartiallyWrittenRequest(t *testing.T) {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = li.Close() }()
	re := taskRequest(li.Addr().String(), "k/0", strings.Repeat("x", 64<<20))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	accepted := make(chan net.Conn, 1)
	go func() {
		co, err := li.Accept()
		if err == nil {
			_, _ = co.Read(make([]byte, 1))
			cancel()
		}
		accepted <- co
	}()
	res := newClient(t, lovagebackend.Settings{}).Run(ctx, re)
	must.Eq(t, lovagebackend.Unknown, res.State)
	if co := <-accepted; co != nil {
		_ = co.Close()
	}
}

// A reply cut off in its header must give Unknown. A reply cut off in its body must give Unknown for status 200; for
// other statuses, the complete header decides between Failed and NotStarted.
func TestReplyTruncatedAtEveryByte(t *testing.T) {
	cl := newClient(t, lovagebackend.Settings{})
	for _, tt := range []struct {
		header        string
		complete      lovagebackend.State
		truncatedBody lovagebackend.State
	}{
		{"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", lovagebackend.Succeeded, lovagebackend.Unknown},
		{"HTTP/1.1 500 No\r\nContent-Length: 4\r\n\r\n", lovagebackend.Failed, lovagebackend.Failed},
		{"HTTP/1.1 503 No\r\nContent-Length: 4\r\nLovage-Not-Started: true\r\n\r\n", lovagebackend.NotStarted, lovagebackend.NotStarted},
	} {
		reply := tt.header + "body"
		for n := range len(reply) + 1 {
			want := lovagebackend.Unknown
			switch {
			case n == len(reply):
				want = tt.complete
			case n >= len(tt.header):
				want = tt.truncatedBody
			}
			addr, _ := rawWorker(t, reply[:n])
			res := cl.Run(context.Background(), taskRequest(addr, "k/0", "{}"))
			must.Eq(t, want, res.State, must.Sprintf("reply %q", reply[:n]))
			must.Eq(t, n == len(reply), string(res.Body) == "body")
		}
	}
}
