package lovagepeer

import (
	"context"
	"net"
	"time"

	"lovagestack/lovagemessage"
)

// Handler handles requests from peers. Each call of Handle runs in its own goroutine. ctx is cancelled when the session
// that carried the request ends; work that must outlive the session uses context.WithoutCancel. from is the peer's
// instance ID. A returned error becomes the error text of the response.
type Handler interface {
	Handle(ctx context.Context, from string, req *lovagemessage.Request) (*lovagemessage.Response, error)
}

// Counter is a monotonic counter. The counters of go-metrics satisfy it.
type Counter = interface{ Inc(n int64) }

// Counters provides the counters of a Mesh. New requests each counter once. kind is the kind of message; it is empty
// for counters not broken down by kind.
type Counters interface {
	Counter(name, kind string) Counter
}

// Options are the dependencies and limits of a Mesh. Zero limits mean the defaults.
type Options struct {
	Instance         string
	DataCentre       string
	Listen           string // address to listen on; port 0 picks a free port
	AdvertiseAddress string // address at which peers reach this instance; default: the listening address

	AppliedRevision func() int64 // returns the configuration revision to send in Hello; may be nil
	Counters        Counters     // may be nil

	// SessionUp is called when a session with an instance is established. SessionDown is called with refused false when
	// the session ends, and with refused true for each dial that fails with ECONNREFUSED. SessionDown is not called if
	// a session with the same process replaces the session. One goroutine of the Mesh makes all calls in order. Either
	// function may be nil.
	SessionUp   func(instance string)
	SessionDown func(instance string, refused bool)

	// HandlerPanicked is called when the handler of a request panics, with the kind of request, the value and the stack. The
	// peer gets an error. May be nil.
	HandlerPanicked func(kind string, value any, stack []byte)

	// Dial opens a TCP connection to a peer; nil uses a net.Dialer with DialTimeout.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	MaxFrameBytes    int           // limit of a frame's size, default 32 MiB; 350 tasks of 64 KiB in one frame take 22 MiB
	MaxFrameMemory   int           // limit of all frames above 8 KiB that are being read or handled, default 64 MiB
	MaxHandshakes    int           // limit of accepted connections without a session, default 400: all instances may dial at once
	MaxPeers         int           // limit of peers above which no unknown one is accepted, default 2048
	MaxInFlight      int           // limit of requests in flight per session and direction, default 16384
	MaxQueuedBytes   int           // limit of bytes queued for writing per stream, default 64 MiB
	DialTimeout      time.Duration // limit of a TCP connect, default 1 s
	HandshakeTimeout time.Duration // limit of the time from TCP connect to the end of the Hello exchange, default 1 s
	WriteTimeout     time.Duration // limit of waiting for room in the peer's window, and for TCP acknowledgements; default 1 s
	PingInterval     time.Duration // default 700 ms; the pinging side ends a silent session within PingInterval+PingTimeout, 1.7 s
	PingTimeout      time.Duration // limit of waiting for a pong and of writing to the connection (one yamux setting); default 1 s
	MinBackoff       time.Duration // first delay after a failed dial, doubled after each further failure, default 50 ms
	MaxBackoff       time.Duration // limit of the delay before jitter of up to 50%, default 1 s
	IdleTimeout      time.Duration // time without requests after which a session not maintained by Connect is closed; default 30 s
}

func (op Options) withDefaults() Options {
	setDefault(&op.MaxFrameBytes, 32<<20)
	setDefault(&op.MaxFrameMemory, 64<<20)
	setDefault(&op.MaxHandshakes, 400)
	setDefault(&op.MaxPeers, 2048)
	setDefault(&op.MaxInFlight, 16384)
	setDefault(&op.MaxQueuedBytes, 64<<20)
	setDefault(&op.DialTimeout, time.Second)
	setDefault(&op.HandshakeTimeout, time.Second)
	setDefault(&op.WriteTimeout, time.Second)
	setDefault(&op.PingInterval, 700*time.Millisecond)
	setDefault(&op.PingTimeout, time.Second)
	setDefault(&op.MinBackoff, 50*time.Millisecond)
	setDefault(&op.MaxBackoff, time.Second)
	setDefault(&op.IdleTimeout, 30*time.Second)
	if op.Dial == nil {
		op.Dial = (&net.Dialer{Timeout: op.DialTimeout, KeepAlive: -1}).DialContext
	}
	return op
}

func setDefault[T ~int | ~int64](value *T, def T) {
	if *value <= 0 {
		*value = def
	}
}
