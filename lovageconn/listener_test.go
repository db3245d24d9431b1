package lovageconn

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"lovagestack/lovageadmission"
)

// testServer serves requests, each until release gets a value.
type testServer struct {
	t       *testing.T
	account *lovageadmission.Account
	li      *Listener
	srv     *http.Server
	release chan struct{}
	served  sync.WaitGroup
}

func serveForTest(t *testing.T, se lovageadmission.Settings) *testServer {
	ts := &testServer{t: t, account: lovageadmission.New(se), release: make(chan struct{})}
	li, err := Listen("127.0.0.1:0", ts.account, time.Second)
	must.NoError(t, err)
	ts.li = li
	ts.srv = &http.Server{
		Handler: Handler(http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
			<-ts.release
			rw.WriteHeader(http.StatusOK)
		})),
		ConnContext: Context, ConnState: NoteState, ReadHeaderTimeout: time.Minute,
	}
	ctx, cancel := context.WithCancel(context.Background())
	go Sweep(ctx, ts.account)
	ts.served.Go(func() { _ = ts.srv.Serve(li) })
	t.Cleanup(func() {
		cancel()
		_ = ts.srv.Close()
		ts.served.Wait()
	})
	return ts
}

// testCaller is a connection that has sent a request.
type testCaller struct {
	net.Conn
	re *bufio.Reader
}

func (ts *testServer) call() *testCaller {
	ts.t.Helper()
	nc, err := net.Dial("tcp", ts.li.Addr().String())
	must.NoError(ts.t, err)
	ts.t.Cleanup(func() { _ = nc.Close() })
	tc := &testCaller{nc, bufio.NewReader(nc)}
	tc.send(ts.t)
	return tc
}

func (tc *testCaller) send(t *testing.T) {
	t.Helper()
	_, err := tc.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
	must.NoError(t, err)
}

// testAnswer is an answer without its body.
type testAnswer struct {
	status     int
	retryAfter string
	closes     bool
}

// answer reads the next answer.
func (tc *testCaller) answer(t *testing.T) testAnswer {
	t.Helper()
	must.NoError(t, tc.SetReadDeadline(time.Now().Add(20*time.Second)))
	resp, err := http.ReadResponse(tc.re, nil)
	must.NoError(t, err)
	must.NoError(t, resp.Body.Close())
	return testAnswer{resp.StatusCode, resp.Header.Get("Retry-After"), resp.Close}
}

func (ts *testServer) await(connections, waiting int) {
	ts.t.Helper()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		us := ts.account.Use()
		if us.Connections == connections && us.Waiting == waiting {
			return
		}
		must.True(ts.t, time.Now().Before(end), must.Sprintf("have %+v, want %d connections, %d waiting", us, connections, waiting))
	}
}

func testSettings(connections, queue int) lovageadmission.Settings {
	se := lovageadmission.DefaultSettings(144, 3075)
	se.Connections, se.Queue, se.QueueTime = connections, queue, time.Minute
	return se
}

// Guards against connections that are closed without an answer while all places are taken, and against places that do not go to those who
// came first.
func TestConnectionsWaitForAPlace(t *testing.T) {
	ts := serveForTest(t, testSettings(1, 2))
	first := ts.call()
	ts.await(1, 0)
	second := ts.call()
	ts.await(1, 1)
	third := ts.call()
	ts.await(1, 2)
	fourth := ts.call() // the kernel holds it
	for i, tc := range []*testCaller{first, second, third} {
		ts.release <- struct{}{}
		must.Eq(t, http.StatusOK, tc.answer(t).status, must.Sprint(i))
		_, err := tc.re.ReadByte()
		must.Error(t, err, must.Sprint("a connection stays although others wait"))
	}
	for range 2 {
		ts.release <- struct{}{}
		must.Eq(t, http.StatusOK, fourth.answer(t).status)
		fourth.send(t) // nobody waits any more
	}
	ts.release <- struct{}{}
	fourth.answer(t)
}

// Guards against connections that wait without end, and against refusals that clients do not see because the connection is reset.
func TestRefusalIsAnswered(t *testing.T) {
	se := testSettings(1, 20)
	se.QueueTime = 100 * time.Millisecond
	ts := serveForTest(t, se)
	ts.call()
	ts.await(1, 0)
	var refused []*testCaller
	for range 20 {
		refused = append(refused, ts.call())
	}
	for _, tc := range refused {
		test.Eq(t, testAnswer{http.StatusServiceUnavailable, "1", true}, tc.answer(t))
		_ = tc.Close()
	}
	ts.await(1, 0)
	ts.release <- struct{}{}
}

// Guards against a shutdown that leaves clients without a place unanswered.
func TestCloseAnswersThoseThatWait(t *testing.T) {
	ts := serveForTest(t, testSettings(1, 2))
	first := ts.call()
	ts.await(1, 0)
	second := ts.call()
	ts.await(1, 1)
	must.NoError(t, ts.li.Close())
	must.Eq(t, http.StatusServiceUnavailable, second.answer(t).status)
	ts.release <- struct{}{}
	must.Eq(t, http.StatusOK, first.answer(t).status)
	_ = first.Close()
	_ = second.Close()
	ts.await(0, 0)
}

// Guards against a client that takes a large answer slowly or not at all and keeps it in memory while others need the room.
func TestUnreadAnswerIsDroppedForOthers(t *testing.T) {
	const size = 1900 << 10
	se := testSettings(20, 2)
	se.BodyBytes, se.SmallBytes, se.Stall = 16<<20, 1<<10, 50*time.Millisecond
	account := lovageadmission.New(se)
	li, err := Listen("127.0.0.1:0", account, time.Minute)
	must.NoError(t, err)
	srv := &http.Server{
		Handler: Handler(http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
			if !lovageadmission.FromContext(req.Context()).Reserve(time.Now(), size) {
				rw.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			_, _ = rw.Write(make([]byte, size))
		})),
		ConnContext: Context, ConnState: NoteState, ReadHeaderTimeout: time.Minute,
	}
	go func() { _ = srv.Serve(li) }()
	defer func() { _ = srv.Close() }()
	ts := &testServer{t: t, account: account, li: li}
	for range 8 {
		ts.call()
	}
	for account.Use().BodyBytes < 8*size {
		time.Sleep(time.Millisecond)
	}
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		resp, err := http.Get(fmt.Sprintf("http://%s/", li.Addr()))
		must.NoError(t, err)
		n, err := resp.Body.Read(make([]byte, 1<<10))
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK && n > 0 {
			must.NoError(t, err)
			break
		}
		must.True(t, time.Now().Before(end))
	}
}
