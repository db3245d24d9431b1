package lovagepeer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"lovagestack/lovagemessage"
)

// When a connection drops data in one or both directions, or the peer stops reading, the session must end, and a new
// session must work for calls from both sides.
func TestSilentSessionIsReplaced(t *testing.T) {
	for name, set := range map[string]func(fa *fault){
		"both directions": func(fa *fault) { fa.dropToTarget.Store(true); fa.dropFromTarget.Store(true) },
		"to the peer":     func(fa *fault) { fa.dropToTarget.Store(true) },
		"from the peer":   func(fa *fault) { fa.dropFromTarget.Store(true) },
		"stalled":         func(fa *fault) { fa.stall.Store(true) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			counts := newTestCounters()
			var callbacks callbackLog
			mb, ab, _ := startMesh(t, Options{Instance: "b"}, echo)
			re := newRelay(t, ab)
			ma, aa, _ := startMesh(t, Options{
				Instance: "a", Counters: counts, SessionUp: callbacks.up, SessionDown: callbacks.down,
			}, echo)
			ma.Connect("b", re.address())
			ctx := testContext(t)
			must.NoError(t, askAndCheck(ma, ctx, re.address(), "before"))
			re.injectFault(set)
			sent := counts.get(CounterBytesSent)
			start := time.Now()
			err := askAndCheck(ma, ctx, re.address(), "lost"+string(make([]byte, 8<<20)))
			must.Error(t, err)
			// ErrNotSent is correct only if a busy machine closes the session before the first byte of the frame is written.
			if errors.Is(err, ErrNotSent) {
				must.Less(t, 4<<10, counts.get(CounterBytesSent)-sent, must.Sprint("the relay may have forwarded it"))
			}
			t.Logf("session closed after %s", time.Since(start).Round(time.Millisecond))
			for askAndCheck(ma, ctx, re.address(), "after") != nil {
				must.NoError(t, ctx.Err())
			}
			must.Positive(t, counts.get(CounterSessionsClosed))
			callbacks.await(t, "up b", "down b false", "up b")
			for askAndCheck(mb, ctx, aa, "back") != nil {
				must.NoError(t, ctx.Err())
			}
		})
	}
}

type callbackLog struct {
	mu  sync.Mutex
	log []string
}

func (cl *callbackLog) add(line string) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.log = append(cl.log, line)
}

func (cl *callbackLog) up(instance string) { cl.add("up " + instance) }
func (cl *callbackLog) down(instance string, refused bool) {
	cl.add(fmt.Sprintf("down %s %t", instance, refused))
}

// await waits until the log is as long as the wanted lines and checks that it begins with them.
func (cl *callbackLog) await(t *testing.T, want ...string) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(5 * time.Millisecond) {
		cl.mu.Lock()
		got := append([]string(nil), cl.log...)
		cl.mu.Unlock()
		if len(got) >= len(want) {
			must.Eq(t, want, got[:len(want)])
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("got %q, want %q", got, want)
		}
	}
}

// A refused dial must be reported to SessionDown; otherwise a replica would take over late.
func TestRefusedDialIsReported(t *testing.T) {
	var callbacks callbackLog
	_, ab, stopB := startMesh(t, Options{Instance: "b"}, echo)
	ma, _, _ := startMesh(t, Options{Instance: "a", SessionUp: callbacks.up, SessionDown: callbacks.down}, echo)
	ma.Connect("b", ab)
	callbacks.await(t, "up b")
	stopB()
	callbacks.await(t, "up b", "down b false", "down b true", "down b true")
	_, _, _ = startMesh(t, Options{Instance: "b", Listen: ab}, echo)
	for !ma.Connected(ab) {
		time.Sleep(time.Millisecond)
	}
	ma.Disconnect(ab)
}

// A request whose frame is truncated because the connection is cut must not be handled, and its call must not return
// ErrNotSent.
func TestConnectionCutDuringWrite(t *testing.T) {
	big := askRequest(string(make([]byte, 1<<20)))
	for _, limit := range []int64{200, 1000, 70_000, 300_000, 1 << 20} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			var handled atomic.Int64
			_, ab, _ := startMesh(t, Options{Instance: "b"}, handlerFunc(func(
				ctx context.Context, from string, req *lovagemessage.Request,
			) (*lovagemessage.Response, error) {
				handled.Add(1)
				return echo(ctx, from, req)
			}))
			re := newRelay(t, ab)
			re.cutAfterBytes.Store(limit)
			ma, _, stopA := startMesh(t, Options{Instance: "a"}, echo)
			_, err := ma.Call(testContext(t), re.address(), big)
			must.Error(t, err)
			if errors.Is(err, ErrNotSent) {
				must.Less(t, 300, limit, must.Sprintf("%v", err)) // correct only if the Hello exchange was cut off
			}
			re.cutAfterBytes.Store(0)
			stopA()
			must.Zero(t, handled.Load())
		})
	}
}

// When the peer stops during many calls, each call must return, and not with ErrNotSent if its request was handled.
func TestPeerStopsDuringManyCalls(t *testing.T) {
	var handled sync.Map
	_, ab, stopB := startMesh(t, Options{Instance: "b"}, handlerFunc(func(
		_ context.Context, _ string, req *lovagemessage.Request,
	) (*lovagemessage.Response, error) {
		handled.Store(req.GetAsk().GetKey(), true)
		return answerResponse(req.GetAsk().GetKey()), nil
	}))
	ma, _, _ := startMesh(t, Options{Instance: "a"}, echo)
	ctx := testContext(t)
	var wg sync.WaitGroup
	var calls atomic.Int64
	for i := range 32 {
		wg.Go(func() {
			for j := 0; ; j++ {
				key := fmt.Sprintf("key-%d-%d", i, j)
				err := askAndCheck(ma, ctx, ab, key)
				if calls.Add(1) == 500 {
					go stopB()
				}
				if err == nil {
					continue
				}
				if _, ran := handled.Load(key); ran && errors.Is(err, ErrNotSent) {
					t.Errorf("%s was handled, but: %v", key, err)
				}
				return
			}
		})
	}
	wg.Wait()
	stopB()
}

// When both sides dial at the same time, one session must remain. No call may fail because the other session is closed.
func TestSimultaneousDialsLeaveOneSession(t *testing.T) {
	for range 20 {
		counts := newTestCounters()
		ma, aa, stopA := startMesh(t, Options{Instance: "a", Counters: counts}, echo)
		mb, ab, stopB := startMesh(t, Options{Instance: "b"}, echo)
		ctx := testContext(t)
		var wg sync.WaitGroup
		wg.Go(func() { ma.Connect("b", ab); test.NoError(t, askAndCheck(ma, ctx, ab, "x")) })
		wg.Go(func() { mb.Connect("a", aa); test.NoError(t, askAndCheck(mb, ctx, aa, "y")) })
		wg.Wait()
		must.NoError(t, askAndCheck(ma, ctx, ab, "x"))
		must.NoError(t, askAndCheck(mb, ctx, aa, "y"))
		must.Eq(t, 1, counts.get(CounterSessionsOpened))
		stopA()
		stopB()
	}
}

// The session of a new process must replace the session of an old process with the same instance ID.
func TestRestartedPeerGetsNewSession(t *testing.T) {
	var callbacks callbackLog
	ma, aa, _ := startMesh(t, Options{Instance: "a", SessionUp: callbacks.up, SessionDown: callbacks.down}, echo)
	mb, ab, _ := startMesh(t, Options{Instance: "b", Listen: "127.0.0.1:0"}, echo)
	must.NoError(t, askAndCheck(mb, testContext(t), aa, "x"))
	// The second process advertises the same address. The first one is still running, as if paused.
	mc, _, _ := startMesh(t, Options{Instance: "b", AdvertiseAddress: ab}, echo)
	must.NoError(t, askAndCheck(mc, testContext(t), aa, "x"))
	callbacks.await(t, "up b", "down b false", "up b")
	must.NoError(t, askAndCheck(ma, testContext(t), ab, "x"))
}

// A peer must refuse requests over its limit, and their calls must return ErrNotSent.
func TestRequestsOverTheLimitAreRefused(t *testing.T) {
	release := make(chan struct{})
	block := handlerFunc(func(ctx context.Context, from string, req *lovagemessage.Request) (*lovagemessage.Response, error) {
		<-release
		return echo(ctx, from, req)
	})
	counts := newTestCounters()
	_, ab, _ := startMesh(t, Options{Instance: "b", MaxInFlight: 2, Counters: counts}, block)
	ma, _, _ := startMesh(t, Options{Instance: "a", MaxInFlight: 3}, echo)
	ctx := testContext(t)
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() { test.NoError(t, askAndCheck(ma, ctx, ab, "block")) })
	}
	for counts.get(CounterFramesReceived) < 2 {
		time.Sleep(time.Millisecond)
	}
	must.ErrorIs(t, askAndCheck(ma, ctx, ab, "third"), ErrNotSent)
	must.Eq(t, 1, counts.get(CounterRequestsRefused))
	close(release)
	wg.Wait()
}

// A frame larger than the limit of either side must be rejected. A call must not wait for a response that is too large
// to be sent.
func TestFramesOverTheLimit(t *testing.T) {
	big := string(make([]byte, 2000))
	largeReply := handlerFunc(func(context.Context, string, *lovagemessage.Request) (*lovagemessage.Response, error) {
		return answerResponse(big), nil
	})
	_, ab, _ := startMesh(t, Options{Instance: "b", MaxFrameBytes: 1000}, largeReply)
	ma, _, _ := startMesh(t, Options{Instance: "a"}, echo)
	mc, _, _ := startMesh(t, Options{Instance: "c", MaxFrameBytes: 1000}, echo)
	ctx := testContext(t)
	err := askAndCheck(ma, ctx, ab, "small")
	must.ErrorIs(t, err, ErrRemote)
	must.StrContains(t, err.Error(), "larger than the limit")
	err = askAndCheck(mc, ctx, ab, big)
	must.ErrorIs(t, err, ErrNotSent)
	must.StrContains(t, err.Error(), "larger than the limit")
	err = askAndCheck(ma, ctx, ab, big) // the peer rejects the frame and ends the session
	must.Error(t, err)
	must.False(t, errors.Is(err, ErrNotSent))
}

// Accepts must be answered while a transfer is in progress.
func TestTransferDoesNotDelayAccept(t *testing.T) {
	_, ab, _ := startMesh(t, Options{Instance: "b"}, echo)
	ma, _, _ := startMesh(t, Options{Instance: "a"}, echo)
	ctx := testContext(t)
	must.NoError(t, askAndCheck(ma, ctx, ab, "first"))
	big := askRequest(string(make([]byte, 16<<20)))
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 2 {
			resp, err := ma.Call(ctx, ab, big)
			test.NoError(t, err)
			test.Eq(t, proto.Size(big.GetAsk()), proto.Size(resp.GetAnswer()))
		}
	}()
	accepts := 0
	for running := true; running; accepts++ {
		_, err := ma.Call(ctx, ab, acceptRequest(int64(accepts)))
		must.NoError(t, err)
		select {
		case <-done:
			running = false
		default:
		}
	}
	// Two transfers of 16 MiB in each direction take far longer than 20 round trips unless accepts queue behind them.
	must.Greater(t, 20, accepts)
}

// A client with an invalid handshake must be disconnected, and must not make calls of peers fail.
func TestInvalidHandshakeIsRejected(t *testing.T) {
	_, ab, _ := startMesh(t, Options{Instance: "b"}, echo)
	ma, _, _ := startMesh(t, Options{Instance: "a"}, echo)
	for _, text := range []string{"", "GET / HTTP/1.1\r\n\r\n", string(make([]byte, 1000))} {
		co, err := net.Dial("tcp", ab)
		must.NoError(t, err)
		_, err = co.Write([]byte(text))
		must.NoError(t, err)
		must.NoError(t, askAndCheck(ma, testContext(t), ab, "x"))
		must.NoError(t, co.SetReadDeadline(time.Now().Add(testTimeout)))
		_, err = io.Copy(io.Discard, co) // until the Mesh closes the connection
		must.False(t, errors.Is(err, os.ErrDeadlineExceeded))
		_ = co.Close()
	}
}

// AwaitIdle must wait for requests in both directions; otherwise a shutdown would interrupt them.
func TestAwaitIdle(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	mb, ab, stopB := startMesh(t, Options{Instance: "b"}, handlerFunc(func(
		ctx context.Context, from string, req *lovagemessage.Request,
	) (*lovagemessage.Response, error) {
		close(entered)
		<-release
		return echo(ctx, from, req)
	}))
	ma, _, _ := startMesh(t, Options{Instance: "a"}, echo)
	result := make(chan error, 1)
	go func() { result <- askAndCheck(ma, testContext(t), ab, string(make([]byte, 4<<20))) }()
	<-entered
	for _, me := range []*Mesh{ma, mb} {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		must.ErrorIs(t, me.AwaitIdle(ctx), context.DeadlineExceeded)
		cancel()
	}
	close(release)
	must.NoError(t, mb.AwaitIdle(testContext(t)))
	stopB()
	must.NoError(t, <-result)
	must.NoError(t, ma.AwaitIdle(testContext(t)))
}

// failingListener fails its first accepts with EMFILE.
type failingListener struct {
	net.Listener
	failures atomic.Int64
}

func (fl *failingListener) Accept() (net.Conn, error) {
	if fl.failures.Add(-1) >= 0 {
		return nil, syscall.EMFILE
	}
	return fl.Listener.Accept()
}

// A temporary failure of Accept must not end Serve, which would close all sessions.
func TestAcceptFailureIsRetried(t *testing.T) {
	counts := newTestCounters()
	mb := New(Options{Instance: "b", Listen: "127.0.0.1:0", Counters: counts}, echo)
	ab, err := mb.Listen()
	must.NoError(t, err)
	fl := &failingListener{Listener: mb.listener}
	fl.failures.Store(3)
	mb.listener = fl
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- mb.Serve(ctx) }()
	ma, _, _ := startMesh(t, Options{Instance: "a"}, echo)
	must.NoError(t, askAndCheck(ma, testContext(t), ab, "x"))
	must.Eq(t, 3, counts.get(CounterAcceptsFailed))
	cancel()
	must.ErrorIs(t, <-done, context.Canceled)
}

// Guards against a panic: after failed dials, the session that a call waits for is established and ends before the call
// resumes.
func TestSessionEndsBeforeWaitingCallResumes(t *testing.T) {
	silentListener, err := net.Listen("tcp", "127.0.0.1:0") // never responds, so that the dial stays in progress
	must.NoError(t, err)
	t.Cleanup(func() { _ = silentListener.Close() })
	address := silentListener.Addr().String()
	me, _, _ := startMesh(t, Options{Instance: "a"}, echo)
	me.mu.Lock()
	pe := me.peerLocked(address)
	pe.consecutiveFailures, pe.lastErr, pe.retryAt = 1, errors.New("an earlier dial failed"), time.Now()
	me.mu.Unlock()
	ctx, cancel := context.WithCancel(testContext(t))
	result := make(chan error, 1)
	go func() { result <- askAndCheck(me, ctx, address, "waiting") }()
	for waiting := false; !waiting; time.Sleep(time.Millisecond) {
		me.mu.Lock()
		if waiting = pe.waiters > 0; waiting { // the state after installLocked and sessionEnded
			pe.consecutiveFailures, pe.lastErr, pe.sess = 0, nil, nil
			pe.broadcastLocked()
		}
		me.mu.Unlock()
	}
	time.AfterFunc(50*time.Millisecond, cancel)
	must.ErrorIs(t, <-result, ErrNotSent)
}
