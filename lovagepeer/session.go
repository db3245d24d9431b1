package lovagepeer

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"lovagestack/lovagemessage"
)

const (
	// readBufferBytes is per stream. With 64 KiB here and in the writers, an idle session took 290 KiB a side, 29 MB with
	// 100 peers, where 64 MB are allowed for everything.
	readBufferBytes = 8 << 10
	// shrinkBytes is after how many received bytes a stream gives back its buffer, which yamux otherwise keeps at its
	// largest size: 2.2 MB a side after a transfer on each of 50 sessions.
	shrinkBytes = 256 << 10
)

// session is one connection with a peer. The first stream carries control frames, the second bulk frames.
type session struct {
	me          *Mesh
	pe          *peer
	ya          *yamux.Session
	conn        *countedConn
	dialled     bool   // by this side
	number      uint64 // drawn by the dialling side
	instance    string
	incarnation uint64

	streams  [2]*yamux.Stream
	readers  [2]*bufio.Reader
	writers  [2]*writer
	ctx      context.Context // ends with the session; handlers run under it
	cancel   context.CancelFunc
	once     sync.Once
	handling atomic.Int64 // requests of the peer being handled
	used     atomic.Int64 // Unix time in nanoseconds of the last request or response, or of a call that is about to begin

	mu      sync.Mutex
	err     error // why the session ends; set before ctx ends
	nextID  uint64
	pending map[uint64]chan *lovagemessage.Response
}

// prepare sets up what the handshake needs of the streams.
func (se *session) prepare() {
	for i, st := range se.streams {
		se.readers[i] = bufio.NewReaderSize(st, readBufferBytes)
		se.writers[i] = newWriter(st, &se.me.op, se.me.counts.writes)
	}
}

// writeFrame writes a frame of the handshake, before the writers run.
func (se *session) writeFrame(fr *lovagemessage.Frame) error {
	of, err := encodeFrame(fr, maxHelloBytes)
	if err != nil {
		return err
	}
	st := se.streams[0]
	if err := st.SetWriteDeadline(time.Now().Add(se.me.op.HandshakeTimeout)); err != nil {
		return err
	}
	_, err = st.Write(of.data)
	return err
}

// startLocked starts the goroutines of an installed session. The Mesh's lock is held.
func (se *session) startLocked() {
	se.pending = make(map[uint64]chan *lovagemessage.Response)
	se.ctx, se.cancel = context.WithCancel(se.me.ctx)
	run := func(loop func() error) {
		se.me.wg.Add(1)
		go func() {
			defer se.me.wg.Done()
			if err := loop(); err != nil {
				se.fail(err)
			}
		}()
	}
	var readers sync.WaitGroup
	readers.Add(len(se.streams))
	for i := range se.streams {
		run(func() error {
			defer readers.Done()
			return se.readLoop(i)
		})
		run(func() error { return se.writers[i].loop(se.ctx.Done()) })
	}
	run(se.keepAlive)
	run(func() error { // what had arrived before a failure is still read
		readers.Wait()
		se.close(nil)
		return nil
	})
	run(func() error {
		se.finish()
		return nil
	})
}

// fail ends the connection. The session ends when what has already arrived has been read, so that a response is not
// lost because the peer closed right after it.
func (se *session) fail(err error) {
	se.note(err)
	_ = se.ya.Close()
}

// note keeps the first reason for the end of the session.
func (se *session) note(err error) {
	se.mu.Lock()
	defer se.mu.Unlock()
	if se.err == nil {
		se.err = err
	}
}

// finish releases the connection when the session's context has ended.
func (se *session) finish() {
	<-se.ctx.Done()
	se.close(se.ctx.Err()) // the context of Serve may have ended first
	_ = se.conn.Close()
	_ = se.ya.Close()
	se.me.ended(se)
}

// close ends the session at once. Later calls do nothing. An error of nil stands for a reason that was noted before.
func (se *session) close(err error) {
	se.once.Do(func() {
		if err == nil {
			err = errors.New("session closed")
		}
		se.note(err)
		if se.cancel != nil {
			se.cancel()
			return
		}
		_ = se.ya.Close() // never installed
	})
}

// keepAlive ends a silent session. The dialling side pings; the accepting side only watches for bytes, which halves the
// traffic. Both sides see the other's end of the connection close, or dial anew within 2 s.
func (se *session) keepAlive() error {
	op := &se.me.op
	interval := op.PingInterval
	if !se.dialled {
		interval /= 4 // silence is found at most this much late
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-se.ctx.Done():
			return nil
		case <-ticker.C:
		}
		if se.dialled {
			if _, err := se.ya.Ping(); err != nil {
				se.me.counts.silent.Inc(1)
				return errors.Wrap(err, "ping the peer")
			}
			continue
		}
		if silent := se.conn.silentFor(); silent > op.PingInterval+op.PingTimeout {
			se.me.counts.silent.Inc(1)
			return errors.Newf("nothing received for %s", silent.Round(time.Millisecond))
		}
	}
}

func (se *session) readLoop(stream int) error {
	re, received := se.readers[stream], 0
	for {
		fr, size, err := readFrame(re, se.me.op.MaxFrameBytes)
		if err != nil {
			return errors.Wrap(err, "read a frame")
		}
		if received += size; received >= shrinkBytes && re.Buffered() == 0 {
			se.streams[stream].Shrink()
			received = 0
		}
		se.me.counts.framesReceived.Inc(1)
		switch body := fr.GetBody().(type) {
		case *lovagemessage.Frame_Request:
			se.serve(fr.GetId(), body.Request)
		case *lovagemessage.Frame_Response:
			se.settle(fr.GetId(), body.Response)
		default:
			return errors.Newf("frame %d has no body", fr.GetId())
		}
	}
}

// readFrame reads a frame and returns its size. Decoding copies what it keeps, so a frame that fits is decoded in the
// reader's buffer.
func readFrame(re *bufio.Reader, maxBytes int) (*lovagemessage.Frame, int, error) {
	prefix, err := re.Peek(lengthBytes)
	if err != nil {
		return nil, 0, err
	}
	if size := binary.BigEndian.Uint32(prefix); uint64(size) > uint64(maxBytes) {
		return nil, 0, errors.Newf("frame of %d bytes is larger than the limit of %d", size, maxBytes)
	}
	size := int(binary.BigEndian.Uint32(prefix))
	if _, err := re.Discard(lengthBytes); err != nil {
		return nil, 0, err
	}
	var data []byte
	fits := size <= re.Size()
	if fits {
		data, err = re.Peek(size)
	} else {
		data = make([]byte, size)
		_, err = io.ReadFull(re, data)
	}
	if err != nil {
		return nil, 0, err
	}
	fr := &lovagemessage.Frame{}
	if err := proto.Unmarshal(data, fr); err != nil {
		return nil, 0, errors.Wrap(err, "decode a frame")
	}
	if fits {
		_, err = re.Discard(size)
	}
	return fr, size, err
}

// settle hands a response to the call that waits for it, if there still is one.
func (se *session) settle(id uint64, resp *lovagemessage.Response) {
	se.mu.Lock()
	waiting, ok := se.pending[id]
	delete(se.pending, id)
	se.mu.Unlock()
	se.touch()
	if !ok {
		se.me.counts.lateResponses.Inc(1)
		return
	}
	waiting <- resp // has room for one and is removed from pending before
}

// serve answers a request of the peer on a goroutine of its own.
func (se *session) serve(id uint64, req *lovagemessage.Request) {
	kind := Kind(req)
	se.touch()
	if se.handling.Add(1) > int64(se.me.op.MaxInFlight) {
		se.handling.Add(-1)
		se.me.counts.requestsRefused.Inc(1)
		se.respond(id, kind, &lovagemessage.Response{Error: "too many requests in flight", Refused: true})
		return
	}
	se.me.wg.Add(1)
	go func() {
		defer se.me.wg.Done()
		defer func() {
			se.touch()
			se.handling.Add(-1)
		}()
		resp, err := se.me.handler.Handle(se.ctx, se.instance, req)
		if err != nil {
			resp = &lovagemessage.Response{Error: err.Error()}
		} else if resp == nil {
			resp = &lovagemessage.Response{Error: "the handler returned no response"}
		}
		se.respond(id, kind, resp)
	}()
}

func (se *session) respond(id uint64, kind string, resp *lovagemessage.Response) {
	fr := &lovagemessage.Frame{Id: id, Body: &lovagemessage.Frame_Response{Response: resp}}
	of, err := encodeFrame(fr, se.me.op.MaxFrameBytes)
	if err != nil {
		fr.Body = &lovagemessage.Frame_Response{Response: &lovagemessage.Response{Error: err.Error()}}
		if of, err = encodeFrame(fr, se.me.op.MaxFrameBytes); err != nil {
			se.close(err)
			return
		}
	}
	of.sent = se.me.counts.responsesSent[kind]
	if err := se.writerFor(kind, of).push(of); err != nil {
		// A response that is dropped would leave the peer's call waiting for ever.
		se.close(err)
	}
}

func (se *session) writerFor(kind string, of *outFrame) *writer {
	if isBulk(kind) || len(of.data) > maxBatchBytes {
		return se.writers[1]
	}
	return se.writers[0]
}

func (se *session) call(ctx context.Context, req *lovagemessage.Request) (*lovagemessage.Response, error) {
	waiting := make(chan *lovagemessage.Response, 1)
	id, err := se.register(waiting)
	if err != nil {
		return nil, notSent(err)
	}
	defer se.forget(id)
	of, err := encodeFrame(&lovagemessage.Frame{
		Id: id, Body: &lovagemessage.Frame_Request{Request: req},
	}, se.me.op.MaxFrameBytes)
	if err != nil {
		return nil, notSent(err)
	}
	kind := Kind(req)
	of.sent = se.me.counts.requestsSent[kind]
	if err := se.writerFor(kind, of).push(of); err != nil {
		return nil, notSent(err)
	}
	select {
	case resp := <-waiting:
		return checkResponse(resp)
	case <-ctx.Done():
		err = ctx.Err()
	case <-se.ctx.Done():
		se.mu.Lock()
		err = errors.Wrap(se.err, "session lost")
		se.mu.Unlock()
	}
	if of.drop() {
		return nil, notSent(err)
	}
	return nil, err
}

func checkResponse(resp *lovagemessage.Response) (*lovagemessage.Response, error) {
	if resp.GetError() == "" {
		return resp, nil
	}
	var err error = markedError{errors.Newf("the peer answered: %s", resp.GetError()), ErrRemote}
	if resp.GetRefused() {
		err = notSent(err)
	}
	return nil, err
}

// idle reports whether no request is in progress in either direction and everything has been written.
func (se *session) idle() bool {
	se.mu.Lock()
	calls := len(se.pending)
	se.mu.Unlock()
	return calls == 0 && se.handling.Load() == 0 && se.writers[0].idle() && se.writers[1].idle()
}

func (se *session) register(waiting chan *lovagemessage.Response) (uint64, error) {
	se.mu.Lock()
	defer se.mu.Unlock()
	if se.err != nil {
		return 0, errors.Wrap(se.err, "session lost")
	}
	if len(se.pending) >= se.me.op.MaxInFlight {
		return 0, errors.Newf("%d requests are already in flight", len(se.pending))
	}
	se.nextID++
	se.pending[se.nextID] = waiting
	return se.nextID, nil
}

func (se *session) forget(id uint64) {
	se.mu.Lock()
	delete(se.pending, id)
	se.mu.Unlock()
}
