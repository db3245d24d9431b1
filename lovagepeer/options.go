package lovagepeer

import (
	"context"
	"net"
	"time"

	"lovagestack/lovagemessage"
)

// Handler answers the requests of peers. Handle runs on a goroutine of its own for each request. Its context ends
// when the session that brought the request ends; work that has to go on uses context.WithoutCancel. An error becomes
// the error text of the response.
type Handler interface {
	Handle(ctx context.Context, from string, req *lovagemessage.Request) (*lovagemessage.Response, error)
}

// Counter is a count that only increases. The counters of go-metrics satisfy it.
type Counter = interface{ Inc(n int64) }

// Counters supplies the counters of a Mesh. New asks for each one once. The kind is the kind of message, or empty for
// counts that are not per kind.
type Counters interface {
	Counter(name, kind string) Counter
}

// Options are the dependencies and limits of a Mesh. Zero limits mean the defaults.
type Options struct {
	Instance         string // own instance ID
	DataCentre       string // own data centre
	Listen           string // address to listen on; port 0 chooses one
	AdvertiseAddress string // address that peers reach this instance at; empty: the address listened on

	AppliedRevision func() int64 // sent in Hello; may be nil
	Counters        Counters     // may be nil

	// SessionUp is called when a session with an instance is established, SessionDown with refused false when it is
	// lost, and SessionDown with refused true for each later attempt to dial that the peer's machine refuses. Calls
	// come one at a time and in order, from a goroutine of the Mesh. Either may be nil.
	SessionUp   func(instance string)
	SessionDown func(instance string, refused bool)

	// Dial opens a TCP connection to a peer; nil uses a net.Dialer with DialTimeout.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	MaxFrameBytes    int           // default 32 MiB: 350 tasks of 64 KiB payload are 22 MiB
	MaxInFlight      int           // requests in flight per session and direction, default 16384
	MaxQueuedBytes   int           // frames waiting to be written per stream, default 64 MiB
	DialTimeout      time.Duration // TCP connect, default 1 s
	HandshakeTimeout time.Duration // from TCP connect to the end of the Hello exchange, default 1 s
	WriteTimeout     time.Duration // until the peer's window has room, and until TCP bytes are acknowledged; default 1 s
	PingInterval     time.Duration // default 700 ms; with PingTimeout a silent session is closed within 1.7 s
	PingTimeout      time.Duration // for a pong, and for a write to the connection; yamux has one setting for both; default 1 s
	MinBackoff       time.Duration // first wait after a failed dial, doubled each time, default 50 ms
	MaxBackoff       time.Duration // default 1 s
	IdleTimeout      time.Duration // without a request, until a session that is not kept up is closed; default 30 s
}

func (op Options) withDefaults() Options {
	setDefault(&op.MaxFrameBytes, 32<<20)
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
