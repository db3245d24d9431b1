package lovagepeer

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"

	"lovagestack/lovageclock"
	"lovagestack/lovagemessage"
)

// yamux numbers the streams of the dialling side 1, 3, 5 and so on.
const (
	controlStreamID = 1
	bulkStreamID    = 3
)

// maxHelloBytes limits the size of a handshake frame, which is read before the peer is identified.
const maxHelloBytes = 4 << 10

// discardLogger discards the log output of yamux; the Mesh reports the errors itself.
type discardLogger struct{}

func (discardLogger) Print(...any)          {}
func (discardLogger) Printf(string, ...any) {}
func (discardLogger) Println(...any)        {}

func (me *Mesh) yamuxConfig() *yamux.Config {
	return &yamux.Config{
		AcceptBacklog:          2,
		EnableKeepAlive:        false, // replaced by session.keepAlive, where only one side pings
		KeepAliveInterval:      me.options.PingInterval,
		ConnectionWriteTimeout: me.options.PingTimeout, // also the timeout for a pong
		MaxStreamWindowSize:    1 << 20,                // permits 360 MB/s at a round trip of 2.8 ms
		StreamOpenTimeout:      me.options.HandshakeTimeout,
		StreamCloseTimeout:     me.options.HandshakeTimeout,
		Logger:                 discardLogger{},
	}
}

// dial connects to a peer and exchanges Hello messages with it.
func (me *Mesh) dial(ctx context.Context, pe *peer) (*session, error) {
	co, err := me.options.Dial(ctx, "tcp", pe.address)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	stop := me.limitHandshake(ctx, co)
	defer stop()
	if err := setSocketOptions(co, me.options.WriteTimeout); err != nil {
		_ = co.Close()
		return nil, err
	}
	conn := newCountedConn(co, &me.counts)
	ya, err := yamux.Client(conn, me.yamuxConfig())
	if err != nil {
		_ = co.Close()
		return nil, errors.Wrap(err, "start a session")
	}
	se, err := me.clientHandshake(pe, ya, conn)
	if err != nil {
		_ = ya.Close()
		return nil, err
	}
	return se, nil
}

// limitHandshake closes the connection if the handshake exceeds HandshakeTimeout or ctx is done. The caller calls stop
// after the handshake.
func (me *Mesh) limitHandshake(ctx context.Context, co net.Conn) (stop func()) {
	timer := time.AfterFunc(me.options.HandshakeTimeout, func() { _ = co.Close() })
	stopCtx := context.AfterFunc(ctx, func() { _ = co.Close() })
	return func() {
		timer.Stop()
		stopCtx()
	}
}

// clientHandshake opens the streams of a dialled session, sends Hello and reads the reply.
func (me *Mesh) clientHandshake(pe *peer, ya *yamux.Session, conn *countedConn) (*session, error) {
	se := &session{me: me, pe: pe, ya: ya, conn: conn, dialled: true, id: rand.Uint64() | 1}
	for i, id := range []uint32{controlStreamID, bulkStreamID} {
		st, err := ya.OpenStream()
		if err != nil {
			return nil, errors.Wrap(err, "open a stream")
		}
		if st.StreamID() != id {
			return nil, errors.Newf("stream has number %d, want %d", st.StreamID(), id)
		}
		se.streams[i] = st
	}
	me.mu.Lock()
	if pe.sess != nil { // this side has accepted a session dialled by the peer in the meantime
		me.mu.Unlock()
		return nil, errDuplicateSession
	}
	pe.helloSent = true
	hello := &lovagemessage.Hello{
		Instance: me.options.Instance, DataCentre: me.options.DataCentre, Address: me.options.AdvertiseAddress,
		Incarnation: me.incarnation, Session: se.id, Previous: pe.previousSession,
	}
	me.mu.Unlock()
	hello.AppliedRevision, hello.ClockMicros = me.appliedRevision(), lovageclock.Boot().Microseconds()
	err := se.writeFrame(&lovagemessage.Frame{Body: &lovagemessage.Frame_Request{Request: &lovagemessage.Request{
		Body: &lovagemessage.Request_Hello{Hello: hello},
	}}})
	if err != nil {
		return nil, errors.Wrap(err, "send Hello")
	}
	se.initStreams()
	fr, _, err := readFrame(se.readers[0], maxHelloBytes, nil)
	if err != nil {
		return nil, errors.Wrap(err, "read the reply to Hello")
	}
	reply := fr.GetResponse().GetHello()
	switch {
	case reply.GetDuplicate():
		return nil, errDuplicateSession
	case fr.GetResponse().GetError() != "":
		return nil, errors.Newf("the peer refused the session: %s", fr.GetResponse().GetError())
	case reply.GetInstance() == "":
		return nil, errors.New("the reply to Hello names no instance")
	}
	se.instance, se.incarnation = reply.GetInstance(), reply.GetIncarnation()
	se.setClockOffset(reply.GetClockMicros())
	return se, nil
}

// acceptSession runs the accepting side of a handshake.
func (me *Mesh) acceptSession(ctx context.Context, co net.Conn) {
	stop := me.limitHandshake(ctx, co)
	defer stop()
	if err := setSocketOptions(co, me.options.WriteTimeout); err != nil {
		_ = co.Close()
		return
	}
	conn := newCountedConn(co, &me.counts)
	ya, err := yamux.Server(conn, me.yamuxConfig())
	if err != nil {
		_ = co.Close()
		return
	}
	se := &session{me: me, ya: ya, conn: conn}
	hello, err := me.receiveHello(ctx, se)
	if err != nil {
		_ = ya.Close()
		return
	}
	if reply := me.admit(hello, se); reply != nil {
		_ = se.writeFrame(&lovagemessage.Frame{Body: &lovagemessage.Frame_Response{Response: reply}})
		// The peer closes the connection after it has read the refusal. Closing it here could discard the refusal.
		timer := time.NewTimer(me.options.HandshakeTimeout)
		defer timer.Stop()
		select {
		case <-ya.CloseChan():
		case <-timer.C:
		case <-ctx.Done():
		}
		_ = ya.Close()
	}
}

func (me *Mesh) receiveHello(ctx context.Context, se *session) (*lovagemessage.Hello, error) {
	for i, id := range []uint32{controlStreamID, bulkStreamID} {
		st, err := se.ya.AcceptStreamWithContext(ctx)
		if err != nil {
			return nil, errors.Wrap(err, "accept a stream")
		}
		if st.StreamID() != id {
			return nil, errors.Newf("stream has number %d, want %d", st.StreamID(), id)
		}
		se.streams[i] = st
	}
	se.initStreams()
	fr, _, err := readFrame(se.readers[0], maxHelloBytes, nil)
	if err != nil {
		return nil, errors.Wrap(err, "read Hello")
	}
	hello := fr.GetRequest().GetHello()
	if hello.GetInstance() == "" || hello.GetAddress() == "" {
		return nil, errors.New("the first frame is not a Hello with instance and address")
	}
	se.instance, se.incarnation, se.id = hello.GetInstance(), hello.GetIncarnation(), hello.GetSession()
	se.setClockOffset(hello.GetClockMicros())
	return hello, nil
}

// admit installs an accepted session and returns nil, or returns the response that rejects the session.
func (me *Mesh) admit(hello *lovagemessage.Hello, se *session) *lovagemessage.Response {
	revision := me.appliedRevision()
	me.mu.Lock()
	defer me.mu.Unlock()
	if hello.GetInstance() == me.options.Instance {
		return &lovagemessage.Response{Error: "the instance has the same ID as its peer", Refused: true}
	}
	if me.peers[hello.GetAddress()] == nil && len(me.peers) >= me.options.MaxPeers {
		return &lovagemessage.Response{Error: "the instance has too many peers", Refused: true}
	}
	pe := me.peerLocked(hello.GetAddress())
	if me.keepsOwnSessionLocked(pe, hello) {
		return &lovagemessage.Response{
			Error: errDuplicateSession.Error(), Refused: true,
			Body: &lovagemessage.Response_Hello{Hello: &lovagemessage.HelloReply{Duplicate: true}},
		}
	}
	of, err := encodeFrame(&lovagemessage.Frame{Body: &lovagemessage.Frame_Response{Response: &lovagemessage.Response{
		Body: &lovagemessage.Response_Hello{Hello: &lovagemessage.HelloReply{
			Instance: me.options.Instance, DataCentre: me.options.DataCentre, AppliedRevision: revision,
			Incarnation: me.incarnation, ClockMicros: lovageclock.Boot().Microseconds(),
		}},
	}}}, maxHelloBytes)
	if err == nil {
		// The reply is queued before the session starts, so that it is the first frame.
		err = se.writers[0].enqueue(of)
	}
	if err != nil {
		return &lovagemessage.Response{Error: err.Error(), Refused: true}
	}
	se.pe = pe
	me.installLocked(pe, se)
	return nil
}

// keepsOwnSessionLocked reports whether this side rejects the session that the peer dialled. If both sides have
// dialled, the session dialled by the instance with the lower ID is kept. If Hello has another incarnation, or names
// the current session as the previous one, the peer has lost the current session, and the new session is accepted.
func (me *Mesh) keepsOwnSessionLocked(pe *peer, hello *lovagemessage.Hello) bool {
	if me.options.Instance > hello.GetInstance() {
		return false
	}
	if cur := pe.sess; cur != nil {
		return cur.dialled && cur.incarnation == hello.GetIncarnation() && cur.id != hello.GetPrevious()
	}
	return pe.helloSent
}

func (me *Mesh) appliedRevision() int64 {
	if me.options.AppliedRevision == nil {
		return 0
	}
	return me.options.AppliedRevision()
}
