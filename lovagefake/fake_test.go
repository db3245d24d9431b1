package lovagefake_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"go.uber.org/goleak"

	"lovagestack/lovagebackend"
	"lovagestack/lovagefake"
	"lovagestack/lovageplatform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// eventually waits until ok is true. The timeout only guards against hangs.
func eventually(t *testing.T, condition string, ok func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(ok), wait.Timeout(30*time.Second), wait.Gap(time.Millisecond)), must.Sprint(condition))
}

// postTask sends a task on a new connection and returns the status, or 0 if there is no complete reply.
func postTask(ctx context.Context, addr, task, payload string) (int, http.Header) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+lovagebackend.TaskPath("ticket"), strings.NewReader(payload))
	if err != nil {
		return 0, nil
	}
	req.Header.Set(lovagebackend.HeaderTask, task)
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, nil
	}
	return resp.StatusCode, resp.Header
}

func startWorker(t *testing.T, se lovagefake.WorkerSettings) (*lovagefake.Worker, string) {
	wo := lovagefake.NewWorker(se)
	addr, err := wo.Listen("127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(wo.Close)
	return wo, addr
}

// Checks the effect of each fault on the reply and on the number of task starts.
func TestWorkerFaults(t *testing.T) {
	for _, tt := range []struct {
		name   string
		faults lovagefake.WorkerFaults
		status int
		starts int
		header string
	}{
		{"none", lovagefake.WorkerFaults{}, 200, 1, ""},
		{"fail everything", lovagefake.WorkerFaults{FailEverything: true}, 500, 1, ""},
		{"straggle", lovagefake.WorkerFaults{SlowdownFactor: 2}, 200, 1, ""},
		{"leaving", lovagefake.WorkerFaults{Leaving: true}, 200, 1, lovagebackend.HeaderLeaving},
		{"refuse", lovagefake.WorkerFaults{Refuse: true}, 503, 0, lovagebackend.HeaderNotStarted},
		{"close before", lovagefake.WorkerFaults{CloseBeforeRead: true}, 0, 0, ""},
		{"close after", lovagefake.WorkerFaults{CloseAfterRead: true}, 0, 0, ""},
		{"close in reply", lovagefake.WorkerFaults{CloseInReply: true}, 0, 1, ""},
		{"late reply", lovagefake.WorkerFaults{ReplyDelay: lovagefake.Duration(time.Millisecond)}, 200, 1, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			wo, addr := startWorker(t, lovagefake.WorkerSettings{ID: "w"})
			wo.SetFaults(tt.faults)
			status, header := postTask(context.Background(), addr, "a/0", `{"runTime":"1ms"}`)
			must.Eq(t, tt.status, status)
			must.Eq(t, tt.starts, wo.StartCounts()["a/0"])
			if tt.header != "" {
				must.Eq(t, "true", header.Get(tt.header))
			}
		})
	}
}

// Checks that a worker runs at most one task per slot, frees the slot of a cancelled task, and starts no task while it
// is paused.
func TestWorkerSlotsAndPause(t *testing.T) {
	wo, addr := startWorker(t, lovagefake.WorkerSettings{ID: "w", Slots: 1, Speed: 2})
	ctx, cancel := context.WithCancel(context.Background())
	statuses := make(chan int, 1)
	go func() {
		status, _ := postTask(ctx, addr, "a/0", `{"runTime":"1h"}`)
		statuses <- status
	}()
	eventually(t, "task runs", func() bool { return wo.RunningTasks() == 1 })
	status, _ := postTask(context.Background(), addr, "a/1", "")
	must.Eq(t, http.StatusServiceUnavailable, status)
	cancel()
	must.Eq(t, 0, <-statuses)
	eventually(t, "slot is free", func() bool { return wo.RunningTasks() == 0 })
	wo.SetFaults(lovagefake.WorkerFaults{Pause: true})
	go func() {
		status, _ := postTask(context.Background(), addr, "a/2", `{"runTime":"1ns"}`)
		statuses <- status
	}()
	eventually(t, "request arrived", func() bool { return wo.Counters().Requests == 3 })
	must.Eq(t, 0, wo.StartCounts()["a/2"])
	wo.SetFaults(lovagefake.WorkerFaults{})
	must.Eq(t, 200, <-statuses)
	must.Eq(t, lovagefake.WorkerCounters{Connections: 3, Requests: 3, Started: 2, Finished: 1, Stopped: 1, Refused: 1}, wo.Counters())
}

// Checks that the instance list shows a change, but not before the lag has passed.
func TestPlatformListLag(t *testing.T) {
	pl := lovagefake.NewPlatform(lovageplatform.NewMemory())
	sv := httptest.NewServer(pl)
	defer sv.Close()
	defer pl.Close()
	list := func() string {
		resp, err := http.Get(sv.URL + "/v1/instances")
		must.NoError(t, err)
		defer func() { _ = resp.Body.Close() }()
		data, err := io.ReadAll(resp.Body)
		must.NoError(t, err)
		return string(data)
	}
	req, err := http.NewRequest(http.MethodPut, sv.URL+"/control/faults", bytes.NewReader([]byte(`{"listLag":"1h"}`)))
	must.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	must.NoError(t, resp.Body.Close())
	must.Eq(t, 200, resp.StatusCode)
	pl.PutInstance(lovageplatform.Instance{ID: "k1"})
	must.StrNotContains(t, list(), "k1")
	pl.SetFaults(lovagefake.PlatformFaults{ListLag: lovagefake.Duration(time.Millisecond)})
	eventually(t, "list shows the instance", func() bool { return strings.Contains(list(), "k1") })
	http.DefaultClient.CloseIdleConnections()
}

// Checks that a relay forwards nothing on silent connections or in a dropped direction, keeps silent connections open,
// serves new connections, and closes or resets connections on request.
func TestRelaySilenceDropAndReset(t *testing.T) {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = li.Close() }()
	re, err := lovagefake.NewRelay(li.Addr().String())
	must.NoError(t, err)
	defer re.Close()
	connect := func() (caller, target net.Conn) {
		caller, err := net.Dial("tcp", re.Address())
		must.NoError(t, err)
		target, err = li.Accept()
		must.NoError(t, err)
		t.Cleanup(func() { _ = caller.Close(); _ = target.Close() })
		return caller, target
	}
	delivers := func(from, to net.Conn, timeout time.Duration) bool {
		_, err := from.Write([]byte("x"))
		must.NoError(t, err)
		must.NoError(t, to.SetReadDeadline(time.Now().Add(timeout)))
		_, err = to.Read(make([]byte, 1))
		return err == nil
	}
	caller, target := connect()
	must.True(t, delivers(caller, target, 30*time.Second))
	re.Silence()
	must.False(t, delivers(caller, target, 20*time.Millisecond))
	must.False(t, delivers(target, caller, 20*time.Millisecond))
	newCaller, newTarget := connect()
	must.True(t, delivers(newCaller, newTarget, 30*time.Second))
	must.True(t, delivers(newTarget, newCaller, 30*time.Second))
	must.Eq(t, 2, re.ConnectionCount())
	re.CloseConnections()
	must.NoError(t, newTarget.SetReadDeadline(time.Now().Add(30*time.Second)))
	_, err = newTarget.Read(make([]byte, 1))
	must.Error(t, err)
	caller, target = connect()
	re.SetDrop(true, false)
	must.False(t, delivers(caller, target, 20*time.Millisecond))
	must.True(t, delivers(target, caller, 30*time.Second))
	re.SetDrop(false, false)
	must.False(t, delivers(caller, target, 20*time.Millisecond), must.Sprint("a connection that has lost bytes must stay silent"))
	caller, target = connect()
	must.True(t, delivers(caller, target, 30*time.Second))
	re.ResetConnections()
	must.NoError(t, target.SetReadDeadline(time.Now().Add(30*time.Second)))
	_, err = target.Read(make([]byte, 1))
	must.ErrorIs(t, err, syscall.ECONNRESET)
}
