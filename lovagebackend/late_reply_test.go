package lovagebackend_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"lovagestack/lovagebackend"
)

// workerWithoutTaskHeader answers the requests of each connection in order. After a delay, it echoes the payload without
// naming the task. It does not notice when the client gives up.
func workerWithoutTaskHeader(t *testing.T, delay func() time.Duration) string {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	var handlers sync.WaitGroup
	serve := func(co net.Conn) {
		defer co.Close() //nolint:errcheck // a failed close loses nothing
		br := bufio.NewReader(co)
		for {
			req, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			payload, err := io.ReadAll(req.Body)
			if err != nil {
				return
			}
			time.Sleep(delay())
			if _, err := fmt.Fprintf(co, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(payload), payload); err != nil {
				return
			}
		}
	}
	handlers.Go(func() {
		for {
			co, err := li.Accept()
			if err != nil {
				return
			}
			handlers.Go(func() { serve(co) })
		}
	})
	t.Cleanup(func() {
		_ = li.Close()
		handlers.Wait()
	})
	return li.Addr().String()
}

// A late reply must not be taken for the reply to the next request on the same connection. The worker protocol does not
// require a worker to name the task, so only the connection associates a reply with its request.
func TestLateReplyIsNotMatchedToNextRequest(t *testing.T) {
	const callers, runs = 8, 60
	addr := workerWithoutTaskHeader(t, func() time.Duration { return time.Duration(rand.Int64N(int64(6 * time.Millisecond))) })
	cl := newClient(t, lovagebackend.Settings{MaxConns: 3}) // fewer than callers, so that connections are reused
	var running sync.WaitGroup
	var mu sync.Mutex
	outcomes := map[lovagebackend.State]int{}
	for caller := range callers {
		running.Go(func() {
			for n := range runs {
				limit := time.Minute
				if n%3 > 0 { // times out, mostly just before the reply
					limit = time.Duration(n%7) * time.Millisecond
				}
				ctx, cancel := context.WithTimeout(context.Background(), limit)
				payload := fmt.Sprintf("caller %d run %d", caller, n)
				res := cl.Run(ctx, taskRequest(addr, fmt.Sprintf("k.%d/%d", caller, n), payload))
				cancel()
				mu.Lock()
				outcomes[res.State]++
				mu.Unlock()
				if res.State == lovagebackend.Succeeded && string(res.Body) != payload {
					t.Errorf("%q got the reply %q", payload, res.Body)
				}
			}
		})
	}
	running.Wait()
	must.Positive(t, outcomes[lovagebackend.Succeeded])
	must.Positive(t, outcomes[lovagebackend.Unknown], must.Sprint("no request was abandoned after it was written"))
}
