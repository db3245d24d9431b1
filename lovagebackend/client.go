package lovagebackend

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/propagation"
)

const (
	// maxHeaderBytes limits the size of a reply's header. The protocol defines three short fields.
	maxHeaderBytes = 32 << 10
	// keepAliveProbes is the number of unanswered probes after which the kernel closes an idle connection.
	keepAliveProbes = 3
	// maxSendAttempts limits how often Run sends a task when the worker has closed a reused connection before any byte
	// was written. http.Transport retries by itself only if it has not yet noticed that the connection was closed.
	maxSendAttempts = 4
	// inspectInterval is the time between checks for silent connections, well below SuspectAfter.
	inspectInterval = 250 * time.Millisecond
)

// Settings configures a Client. Zero fields take the default stated in their comment.
type Settings struct {
	MaxConns          int           // limit of connections per worker if no request has set one, 64
	DialTimeout       time.Duration // timeout of the TCP connect, 1 s; a round trip takes about 1 ms
	IdleTimeout       time.Duration // time after which idle connections are closed, 15 s
	KeepAliveInterval time.Duration // idle time before the first TCP keepalive probe and interval between probes, 3 s
	TCPUserTimeout    time.Duration // time for the worker's kernel to acknowledge written bytes, 10 s
	MaxBodyBytes      int64         // limit of a reply's body, 8 MiB

	SuspectAfter  time.Duration // age of an unanswered request at which idle connections are closed as possibly dead, 2 s
	SilentAfter   time.Duration // minimum age at which an unanswered request is abandoned, 10 s
	SilentFactor  int           // minimum ratio of an abandoned request's age to the longest response time of later ones, 10
	SilentReplies int           // minimum number of later requests that were answered before a request is abandoned, 8

	// Dial opens a TCP connection to a worker; nil uses a net.Dialer with DialTimeout, KeepAliveInterval and TCPUserTimeout.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	Counters Counters
}

// Client starts tasks on workers. Its methods are safe for concurrent use.
type Client struct {
	se       Settings
	counters Counters
	start    time.Time
	stop     chan struct{}
	done     chan struct{}

	mu      sync.Mutex
	closed  bool
	workers map[string]*worker // by address
}

// New returns a client. The caller must call Close.
func New(se Settings) *Client {
	setDefault(&se.MaxConns, 64)
	setDefault(&se.DialTimeout, time.Second)
	setDefault(&se.IdleTimeout, 15*time.Second)
	setDefault(&se.KeepAliveInterval, 3*time.Second)
	setDefault(&se.TCPUserTimeout, 10*time.Second)
	setDefault(&se.MaxBodyBytes, 8<<20)
	setDefault(&se.SuspectAfter, 2*time.Second)
	setDefault(&se.SilentAfter, 10*time.Second)
	setDefault(&se.SilentFactor, 10)
	setDefault(&se.SilentReplies, 8)
	if se.Dial == nil {
		se.Dial = newDialer(se).DialContext
	}
	se.Counters.setDefaults()
	cl := &Client{
		se: se, counters: se.Counters, start: time.Now(), workers: map[string]*worker{},
		stop: make(chan struct{}), done: make(chan struct{}),
	}
	go cl.run()
	return cl
}

func setDefault[T int | int64 | time.Duration](value *T, def T) {
	if *value <= 0 {
		*value = def
	}
}

// Close closes idle connections. Requests in flight continue; later requests return NotStarted.
func (cl *Client) Close() {
	cl.mu.Lock()
	first := !cl.closed
	cl.closed = true
	cl.mu.Unlock()
	if first {
		close(cl.stop)
	}
	<-cl.done
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, wo := range cl.workers {
		wo.transport.CloseIdleConnections()
	}
}

// sinceStart returns the nanoseconds from the start of the client to t on the monotonic clock.
func (cl *Client) sinceStart(t time.Time) int64 { return int64(t.Sub(cl.start)) }

// Run sends the task to the worker at most once and waits for its reply, the deadline or the end of ctx.
func (cl *Client) Run(ctx context.Context, re Request) Result {
	if !re.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, re.Deadline)
		defer cancel()
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	wo := cl.acquireWorker(re)
	if wo == nil {
		return Result{State: NotStarted, Err: errors.Wrapf(ErrClosed, "worker %s, task %s", re.Worker, re.Task)}
	}
	defer cl.releaseWorker(wo)
	var res Result
	for range maxSendAttempts {
		at := &attempt{worker: wo, service: re.Service, ctx: ctx, cancel: cancel}
		res = at.send(ctx, re)
		if res.State != NotStarted || res.Status != 0 || !at.reused || ctx.Err() != nil {
			break
		}
	}
	if res.Err != nil {
		if cause := context.Cause(ctx); cause != nil && !errors.Is(res.Err, cause) {
			res.Err = errors.CombineErrors(cause, res.Err)
		}
		res.Err = errors.Wrapf(res.Err, "worker %s, task %s", re.Worker, re.Task)
	}
	return res
}

// acquireWorker returns the worker at the request's address, or nil after Close. The caller calls releaseWorker.
func (cl *Client) acquireWorker(re Request) *worker {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.closed {
		return nil
	}
	wo := cl.workers[re.Address]
	maxConns := re.MaxConns
	switch {
	case maxConns > 0:
	case wo != nil:
		maxConns = wo.maxConns
	default:
		maxConns = cl.se.MaxConns
	}
	if wo != nil && wo.maxConns != maxConns {
		// The limit of an http.Transport cannot be changed while in use. Requests in flight finish on the old transport.
		wo.replaced = true
		if wo.activeRuns == 0 {
			wo.transport.CloseIdleConnections()
		}
		wo = nil
	}
	if wo == nil {
		wo = newWorker(cl, maxConns)
		cl.workers[re.Address] = wo
	}
	wo.activeRuns++
	return wo
}

func (cl *Client) releaseWorker(wo *worker) {
	cl.mu.Lock()
	wo.activeRuns--
	wo.lastUsed = cl.sinceStart(time.Now())
	last := (cl.closed || wo.replaced) && wo.activeRuns == 0
	cl.mu.Unlock()
	if last {
		wo.transport.CloseIdleConnections()
	}
}

// run periodically closes silent connections and removes unused workers.
func (cl *Client) run() {
	defer close(cl.done)
	ti := time.NewTicker(inspectInterval)
	defer ti.Stop()
	for {
		select {
		case <-cl.stop:
			return
		case <-ti.C:
		}
		cl.sweep(cl.sinceStart(time.Now()))
	}
}

func (cl *Client) sweep(now int64) {
	var busy []*worker
	cl.mu.Lock()
	for addr, wo := range cl.workers {
		switch {
		case wo.activeRuns > 0:
			busy = append(busy, wo)
		case time.Duration(now-wo.lastUsed) > 2*cl.se.IdleTimeout:
			wo.transport.CloseIdleConnections()
			delete(cl.workers, addr)
		}
	}
	cl.mu.Unlock()
	for _, wo := range busy {
		wo.closeSilentConns(now)
	}
}

// send writes the request, reads the reply and classifies the result.
func (at *attempt) send(ctx context.Context, re Request) Result {
	req, err := newRequest(httptrace.WithClientTrace(ctx, at.clientTrace()), re)
	if err != nil {
		return Result{State: NotStarted, Err: err}
	}
	resp, err := at.worker.transport.RoundTrip(req)
	if err != nil {
		started := at.seal()
		at.worker.finishAttempt(at, false)
		if started {
			at.worker.client.counters.RequestsSent.Inc(1)
			return Result{State: Unknown, Err: err}
		}
		return Result{State: NotStarted, Err: err}
	}
	at.worker.client.counters.RequestsSent.Inc(1)
	body, err := readBody(resp, at.worker.client.se.MaxBodyBytes)
	_ = resp.Body.Close()
	at.worker.finishAttempt(at, err == nil)
	res := classify(resp, body, err, re.Task)
	if errors.Is(res.Err, ErrTaskMismatch) {
		at.worker.client.counters.MismatchedReplies.Inc(1)
		at.seal() // closes the connection, because later replies on it would be mismatched as well
	}
	at.release()
	return res
}

func newRequest(ctx context.Context, re Request) (*http.Request, error) {
	address := url.URL{Scheme: "http", Host: re.Address}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, address.String()+TaskPath(url.PathEscape(re.Service)), bytes.NewReader(re.Payload))
	if err != nil {
		return nil, err
	}
	// No Idempotency-Key is set, because it permits http.Transport to resend the request.
	req.Header = http.Header{
		HeaderTask:     {re.Task},
		"Content-Type": {"application/json"},
		"User-Agent":   {"lovagestack"},
	}
	if re.Epoch != "" {
		req.Header[HeaderEpoch] = []string{re.Epoch}
	}
	if !re.Deadline.IsZero() {
		req.Header[HeaderDeadline] = []string{re.Deadline.UTC().Format(time.RFC3339Nano)}
	}
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(req.Header))
	return req, nil
}

var errTooLong = errors.New("reply is longer than the limit")

// readBody reads the whole body, so that the connection can be reused.
func readBody(resp *http.Response, limit int64) ([]byte, error) {
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return nil, errors.New("worker switched protocols")
	}
	if resp.ContentLength > limit {
		return nil, errors.Wrapf(errTooLong, "%d bytes, limit %d", resp.ContentLength, limit)
	}
	var buf bytes.Buffer
	if resp.ContentLength > 0 {
		buf.Grow(int(resp.ContentLength) + bytes.MinRead)
	}
	n, err := buf.ReadFrom(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, errors.Wrap(err, "read reply")
	}
	if n > limit {
		return nil, errors.Wrapf(errTooLong, "limit %d", limit)
	}
	return buf.Bytes(), nil
}

// classify converts a reply to a Result; bodyErr is the error of reading the body, if any.
func classify(resp *http.Response, body []byte, bodyErr error, task string) Result {
	res := Result{
		Status: resp.StatusCode, Body: body, Err: bodyErr,
		Leaving: resp.Header.Get(HeaderLeaving) == "true",
	}
	repliedTask := resp.Header.Get(HeaderTask)
	switch {
	case repliedTask != "" && repliedTask != task:
		res.State, res.Body = Unknown, nil
		res.Err = errors.Wrapf(ErrTaskMismatch, "task %q", repliedTask)
	case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderNotStarted) == "true":
		res.State = NotStarted
	case resp.StatusCode/100 != 2:
		res.State = Failed
	case bodyErr == nil:
		res.State = Succeeded
	case errors.Is(bodyErr, errTooLong):
		res.State = Failed
	default:
		res.State = Unknown
	}
	return res
}
