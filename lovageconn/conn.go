// Package lovageconn connects an http.Server to the account of lovageadmission for its clients: connections beyond the limit wait for a place,
// bytes that arrive are noted, and a client that is refused or dropped gets an answer where its connection allows one.
//
// # Usage
//
//	listener, err := lovageconn.Listen(address, account, writeTimeout)
//	http.Server{Handler: lovageconn.Handler(handler), ConnContext: lovageconn.Context, ConnState: lovageconn.NoteState}
//	go lovageconn.Sweep(ctx, account)
package lovageconn

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"lovagestack/lovageadmission"
)

// sweepInterval is how often the limits on the time of bodies are checked.
const sweepInterval = 250 * time.Millisecond

// Conn is a client's connection.
type Conn struct {
	net.Conn
	li           *Listener
	client       *lovageadmission.Connection
	writeTimeout time.Duration
	deadlineSet  time.Time   // when the deadline of writes was set; used only by the goroutine that writes
	unread       atomic.Bool // a request was refused before it was read to its end
	closing      atomic.Bool
}

// errDropped is returned by Read when the client's header takes memory that others need. net/http answers other errors than those of a read
// with 400, which clients take for final.
var errDropped = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the client was dropped")}

// refusal is the answer to a client whose header is not complete.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// tooManyLines is the answer to a client whose header has too many lines.
const tooManyLines = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// refusalTimeout is the time within which that answer must fit into the connection's buffers.
const refusalTimeout = 10 * time.Millisecond

// Read implements net.Conn.
func (co *Conn) Read(b []byte) (int, error) {
	n, err := co.Conn.Read(b)
	if n > 0 && !co.client.Read(time.Now(), b[:n]) {
		if co.client.Dropped() == lovageadmission.ReasonLines {
			co.writeRefusal(tooManyLines)
		} else {
			co.writeRefusal(refusal)
		}
		return 0, errDropped
	}
	return n, err
}

func (co *Conn) writeRefusal(answer string) {
	if co.SetWriteDeadline(time.Now().Add(refusalTimeout)) == nil {
		_, _ = co.Conn.Write([]byte(answer)) // fails only if the client does not read its earlier answers
	}
}

// Write implements net.Conn. A client that takes too little of an answer for some time may be dropped.
func (co *Conn) Write(b []byte) (int, error) {
	defer co.client.Written()
	written := 0
	for {
		now := time.Now()
		co.client.Writing(now)
		// Setting it is dear, so that it is not done for each of many answers; a client has at least 4/5 of the time.
		if co.writeTimeout > 0 && now.Sub(co.deadlineSet) > co.writeTimeout/5 {
			if err := co.SetWriteDeadline(now.Add(co.writeTimeout)); err != nil {
				return written, err
			}
			co.deadlineSet = now
		}
		part := b[written:min(len(b), written+lovageadmission.SocketBuffer)]
		n, err := co.Conn.Write(part)
		if written += n; err != nil || written == len(b) {
			return written, err
		}
	}
}

// SetReadDeadline implements net.Conn.
func (co *Conn) SetReadDeadline(t time.Time) error {
	if t.Equal(longAgo) {
		co.unread.Store(true)
	}
	return co.Conn.SetReadDeadline(t)
}

const (
	// closeTimeout is how long a refused client has to take its answer. A connection that is closed with bytes unread is reset, and the
	// client may then not see the answer.
	closeTimeout = 500 * time.Millisecond
	// maxDiscarded is how much of a refused client's request is read meanwhile.
	maxDiscarded = 32 << 20
)

// Close implements net.Conn. A client whose request was refused before it was read to its end gets some time to read the answer. Its place is
// not free until then.
func (co *Conn) Close() error {
	if !co.unread.Load() {
		return co.Conn.Close()
	}
	if !co.closing.Swap(true) {
		co.client.Shrink(0)
		go co.closeSlowly()
	}
	return nil
}

func (co *Conn) closeSlowly() {
	if cw, ok := co.Conn.(interface{ CloseWrite() error }); ok && cw.CloseWrite() == nil {
		_ = co.Conn.SetReadDeadline(time.Now().Add(closeTimeout))
		_, _ = io.CopyN(io.Discard, co.Conn, maxDiscarded)
	}
	_ = co.Conn.Close()
	co.client.Close(time.Now())
}

// closed notes that the server has closed the connection.
func (co *Conn) closed() {
	if !co.closing.Load() {
		co.client.Close(time.Now())
	}
}

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// Drop ends the wait for the rest of a body, so that the request can be answered, or else closes the connection.
func (co *Conn) Drop(inBody bool) {
	if inBody {
		_ = co.SetReadDeadline(longAgo)
	} else {
		_ = co.Conn.Close()
	}
}

// clientConn is a connection whose client has an account.
type clientConn interface {
	Client() *lovageadmission.Connection
	closed()
}

// Client returns the connection's part of the account.
func (co *Conn) Client() *lovageadmission.Connection { return co.client }

// Context is the ConnContext hook of an http.Server.
func Context(ctx context.Context, nc net.Conn) context.Context {
	if cc, ok := nc.(clientConn); ok {
		return lovageadmission.WithConnection(ctx, cc.Client())
	}
	return ctx
}

// NoteState is the ConnState hook of an http.Server.
func NoteState(nc net.Conn, state http.ConnState) {
	cc, ok := nc.(clientConn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		cc.Client().Idle(time.Now())
	case http.StateClosed, http.StateHijacked:
		cc.closed()
	default:
	}
}

// Handler tells the account when a request begins and ends, and refuses those that it has no room for.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		client := lovageadmission.FromContext(req.Context())
		if !client.MayStay() {
			rw.Header().Set("Connection", "close")
		}
		if client.Begin(time.Now()) {
			next.ServeHTTP(rw, req)
		} else {
			Refuse(rw)
			rw.WriteHeader(http.StatusServiceUnavailable)
		}
		client.End(time.Now(), req.ContentLength != 0)
	})
}

// Refuse prepares the answer 503 to a request that is refused, of which nothing has run or will. The rest of its body is not waited for, and
// the connection is closed after the answer.
func Refuse(rw http.ResponseWriter) {
	rw.Header().Set("Retry-After", "1")
	CloseUnread(rw)
}

// CloseUnread makes the server close the connection after the answer without waiting for the rest of the request's body.
func CloseUnread(rw http.ResponseWriter) {
	_ = http.NewResponseController(rw).SetReadDeadline(longAgo) // not supported only in tests
	rw.Header().Set("Connection", "close")
}

// Sweep drops clients whose bodies take too long, until ctx ends.
func Sweep(ctx context.Context, account *lovageadmission.Account) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			account.Sweep(now)
		}
	}
}
