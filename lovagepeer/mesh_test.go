package lovagepeer

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"lovagestack/lovageclock"
	"lovagestack/lovagemessage"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout only limits how long a hanging test runs.
const testTimeout = 30 * time.Second

type handlerFunc func(ctx context.Context, from string, req *lovagemessage.Request) (*lovagemessage.Response, error)

func (ha handlerFunc) Handle(
	ctx context.Context, from string, req *lovagemessage.Request,
) (*lovagemessage.Response, error) {
	return ha(ctx, from, req)
}

// echo responds to Ask with its key and to Accept with its epoch.
var echo = handlerFunc(func(_ context.Context, _ string, req *lovagemessage.Request) (*lovagemessage.Response, error) {
	if ask := req.GetAsk(); ask != nil {
		return answerResponse(ask.GetKey()), nil
	}
	return &lovagemessage.Response{Body: &lovagemessage.Response_Accept{Accept: &lovagemessage.AcceptReply{
		Accepted: true, Epoch: req.GetAccept().GetEpoch(),
	}}}, nil
})

func answerResponse(key string) *lovagemessage.Response {
	return &lovagemessage.Response{Body: &lovagemessage.Response_Answer{Answer: &lovagemessage.Answer{Key: key}}}
}

func askRequest(key string) *lovagemessage.Request {
	return &lovagemessage.Request{Body: &lovagemessage.Request_Ask{Ask: &lovagemessage.Ask{Key: key}}}
}

func acceptRequest(epoch int64) *lovagemessage.Request {
	return &lovagemessage.Request{Body: &lovagemessage.Request_Accept{Accept: &lovagemessage.Accept{Epoch: epoch}}}
}

// startMesh runs a Mesh until the test ends or stop is called.
func startMesh(tb testing.TB, op Options, ha Handler) (me *Mesh, address string, stop func()) {
	tb.Helper()
	if op.Listen == "" {
		op.Listen = "127.0.0.1:0"
	}
	me = New(op, ha)
	address, err := me.Listen()
	must.NoError(tb, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- me.Serve(ctx) }()
	stop = sync.OnceFunc(func() {
		cancel()
		select {
		case <-done:
		case <-time.After(testTimeout):
			tb.Error("Serve did not return")
		}
	})
	tb.Cleanup(stop)
	for me.serveContext() == nil {
		time.Sleep(time.Millisecond)
	}
	return me, address, stop
}

func (me *Mesh) serveContext() context.Context {
	me.mu.Lock()
	defer me.mu.Unlock()
	return me.ctx
}

func testContext(tb testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	tb.Cleanup(cancel)
	return ctx
}

// Each call must get its own response when both sides call over one session concurrently.
func TestConcurrentCallsGetTheirOwnResponses(t *testing.T) {
	slowHandler := handlerFunc(func(ctx context.Context, from string, req *lovagemessage.Request) (*lovagemessage.Response, error) {
		if len(req.GetAsk().GetKey())%3 == 0 {
			time.Sleep(time.Millisecond) // so that responses overtake each other
		}
		return echo(ctx, from, req)
	})
	ma, aa, _ := startMesh(t, Options{Instance: "a"}, slowHandler)
	mb, ab, _ := startMesh(t, Options{Instance: "b"}, slowHandler)
	ctx := testContext(t)
	var wg sync.WaitGroup
	for i := range 64 {
		me, to := ma, ab
		if i%2 == 1 {
			me, to = mb, aa
		}
		wg.Go(func() {
			for j := range 50 {
				key := fmt.Sprintf("key-%d-%d", i, j)
				resp, err := me.Call(ctx, to, askRequest(key))
				if err != nil || resp.GetAnswer().GetKey() != key {
					t.Errorf("asked for %s, got %v, %v", key, resp, err)
					return
				}
				resp, err = me.Call(ctx, to, acceptRequest(int64(i*1000+j)))
				if err != nil || resp.GetAccept().GetEpoch() != int64(i*1000+j) {
					t.Errorf("accept %d, got %v, %v", i*1000+j, resp, err)
					return
				}
			}
		})
	}
	wg.Wait()
}

// A handler that panics must cost its own request only.
func TestHandlerPanicFailsOneRequest(t *testing.T) {
	panicked := make(chan string, 1)
	_, ab, _ := startMesh(t, Options{Instance: "b", HandlerPanicked: func(kind string, value any, stack []byte) {
		panicked <- fmt.Sprint(kind, " ", value, " ", len(stack) > 0)
	}}, handlerFunc(func(ctx context.Context, from string, req *lovagemessage.Request) (*lovagemessage.Response, error) {
		if req.GetAsk().GetKey() == "odd" {
			panic("test panic")
		}
		return echo(ctx, from, req)
	}))
	ma, _, _ := startMesh(t, Options{Instance: "a"}, echo)
	ctx := testContext(t)
	_, err := ma.Call(ctx, ab, askRequest("odd"))
	must.True(t, errors.Is(err, ErrRemote), must.Sprint(err))
	resp, err := ma.Call(ctx, ab, askRequest("even"))
	must.NoError(t, err)
	must.Eq(t, "even", resp.GetAnswer().GetKey())
	must.Eq(t, "ask test panic true", <-panicked)
}

// CloseSessions must end the contexts of all handlers before it returns, and the next call must use a new session. Handlers
// must be able to convert the caller's boot clock.
func TestCloseSessions(t *testing.T) {
	handling, contexts := make(chan struct{}), make(chan context.Context, 2)
	mb, ab, _ := startMesh(t, Options{Instance: "b"}, handlerFunc(
		func(ctx context.Context, from string, req *lovagemessage.Request) (*lovagemessage.Response, error) {
			contexts <- ctx
			if req.GetAsk().GetKey() == "wait" {
				close(handling)
				<-ctx.Done()
			}
			return echo(ctx, from, req)
		}))
	ma, _, _ := startMesh(t, Options{Instance: "a"}, echo)
	ctx := testContext(t)
	failed := make(chan error, 1)
	go func() {
		_, err := ma.Call(ctx, ab, askRequest("wait"))
		failed <- err
	}()
	<-handling
	mb.CloseSessions(errors.New("test"))
	must.Error(t, (<-contexts).Err())
	must.Error(t, <-failed)
	before := lovageclock.Boot()
	for resp, err := ma.Call(ctx, ab, askRequest("next")); ; resp, err = ma.Call(ctx, ab, askRequest("next")) {
		if err == nil {
			must.Eq(t, "next", resp.GetAnswer().GetKey())
			break
		}
		must.NoError(t, ctx.Err())
		time.Sleep(10 * time.Millisecond)
	}
	local, ok := LocalTime(<-contexts, before.Microseconds())
	must.True(t, ok)
	must.GreaterEq(t, before-time.Millisecond, local)
	must.Less(t, before+time.Second, local)
	_, ok = LocalTime(ctx, before.Microseconds())
	must.False(t, ok)
}

// The estimate must follow clocks that drift apart, and a late message must not change it.
func TestPeerClock(t *testing.T) {
	var pc peerClock
	now, offset, late := 10*time.Hour, 3*time.Hour, 500*time.Millisecond
	must.Eq(t, offset+20*time.Millisecond, pc.compare(now, now-offset-20*time.Millisecond)) // the handshake took 20 ms
	must.Eq(t, offset+time.Millisecond, pc.compare(now, now-offset-time.Millisecond))
	must.Eq(t, offset+time.Millisecond, pc.compare(now, now-offset-late))
	for range 1000 { // this machine's clock gains 10 ms on the peer's in 10 s
		now += 10 * time.Second
		offset += 10 * time.Millisecond
		must.LessEq(t, offset+time.Millisecond, pc.compare(now, now-offset-time.Millisecond))
		must.GreaterEq(t, offset-130*time.Millisecond, pc.compare(now, now-offset-late))
	}
	for range 1000 {
		now += 10 * time.Second
		offset -= 10 * time.Millisecond
		estimate := pc.compare(now, now-offset-time.Millisecond)
		must.LessEq(t, offset+time.Millisecond, estimate)
		must.GreaterEq(t, offset-130*time.Millisecond, estimate)
	}
	now += time.Hour // nothing is left of the window
	must.Eq(t, offset+time.Second, pc.compare(now, now-offset-time.Second))
}

// A cancelled call must not wait for the peer any longer, and its late response must not reach another call.
func TestCancelledCallReturnsAndLateResponseIsDropped(t *testing.T) {
	release := make(chan struct{})
	counts := newTestCounters()
	_, ab, _ := startMesh(t, Options{Instance: "b"}, handlerFunc(
		func(_ context.Context, _ string, req *lovagemessage.Request) (*lovagemessage.Response, error) {
			if req.GetAsk().GetKey() == "slow" {
				<-release
			}
			return answerResponse(req.GetAsk().GetKey()), nil
		}))
	ma, _, _ := startMesh(t, Options{Instance: "a", Counters: counts}, echo)
	must.NoError(t, askAndCheck(ma, testContext(t), ab, "first"))
	ctx, cancel := context.WithCancel(testContext(t))
	callErr := make(chan error, 1)
	go func() { callErr <- askAndCheck(ma, ctx, ab, "slow") }()
	for counts.get(CounterBytesSent) == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond)
	cancel()
	must.ErrorIs(t, <-callErr, context.Canceled)
	close(release)
	for i := 0; counts.get(CounterLateResponses) == 0 && i < 10000; i++ {
		must.NoError(t, askAndCheck(ma, testContext(t), ab, fmt.Sprintf("later-%d", i)))
	}
	must.Eq(t, 1, counts.get(CounterLateResponses))
}

func askAndCheck(me *Mesh, ctx context.Context, to, key string) error { //nolint:revive // the Mesh reads better first
	resp, err := me.Call(ctx, to, askRequest(key))
	if err == nil && resp.GetAnswer().GetKey() != key {
		return errors.Newf("asked for %s, got %v", key, resp)
	}
	return err
}

type testCounters struct {
	mu     sync.Mutex
	counts map[string]int64
}

type testCounter struct {
	tc   *testCounters
	name string
}

func newTestCounters() *testCounters { return &testCounters{counts: make(map[string]int64)} }

func (tc *testCounters) Counter(name, _ string) Counter { return testCounter{tc, name} }

func (tc *testCounters) get(name string) int64 {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	return tc.counts[name]
}

func (co testCounter) Inc(n int64) {
	co.tc.mu.Lock()
	defer co.tc.mu.Unlock()
	co.tc.counts[co.name] += n
}

// A call must return ErrNotSent if its request was not sent, and another error if the request may have been handled.
func TestErrNotSent(t *testing.T) {
	block := make(chan struct{})
	defer close(block)
	received := make(chan struct{}, 1)
	_, ab, stopB := startMesh(t, Options{Instance: "b"}, handlerFunc(
		func(ctx context.Context, _ string, req *lovagemessage.Request) (*lovagemessage.Response, error) {
			if req.GetAsk().GetKey() == "fail" {
				return nil, errors.New("no such key")
			}
			received <- struct{}{}
			<-ctx.Done()
			return nil, ctx.Err()
		}))
	ma, aa, _ := startMesh(t, Options{Instance: "a"}, echo)
	ctx := testContext(t)
	must.ErrorIs(t, askAndCheck(ma, ctx, "127.0.0.1:1", "nobody"), ErrNotSent)
	must.ErrorIs(t, askAndCheck(ma, ctx, aa, "self"), ErrNotSent)
	err := askAndCheck(ma, ctx, ab, "fail")
	must.ErrorIs(t, err, ErrRemote)
	must.False(t, errors.Is(err, ErrNotSent))
	callErr := make(chan error, 1)
	go func() { callErr <- askAndCheck(ma, ctx, ab, "lost") }()
	<-received
	stopB()
	err = <-callErr
	must.Error(t, err)
	must.False(t, errors.Is(err, ErrNotSent), must.Sprintf("%v", err))
	must.ErrorIs(t, askAndCheck(ma, ctx, ab, "gone"), ErrNotSent)
}
