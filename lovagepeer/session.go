package lovagepeer

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"lovagestack/lovageadmission"
	"lovagestack/lovageclock"
	"lovagestack/lovagemessage"
)

const (
	// readBufferBytes is the size of each stream's read buffer. With 64 KiB here and in each writer, an idle session
	// took 290 KiB per side, which is 29 MB for 100 peers out of 64 MB allowed for the whole process.
	readBufferBytes = 8 << 10
	// shrinkAfterBytes is the number of received bytes after which a stream releases its buffer. Otherwise yamux keeps
	// the buffer at its largest size: 2.2 MB per side after a transfer on each of 50 sessions.
	shrinkAfterBytes = 256 << 10
)

// session is one connection with a peer. The first stream carries control frames, the second bulk frames.
type session struct {
	me          *Mesh
	pe          *peer
	ya          *yamux.Session
	conn        *countedConn
	dialled     bool   // this side dialled
	id          uint64 // random, chosen by the dialling side
	instance    string // ID of the peer
	incarnation uint64 // identifies the peer's process

	streams        [2]*yamux.Stream
	readers        [2]*bufio.Reader
	writers        [2]*writer
	ctx            context.Context // cancelled when the session ends; passed to handlers
	cancel         context.CancelFunc
	closeOnce      sync.Once
	peerClock      peerClock
	activeHandlers atomic.Int64 // requests from the peer in progress
	lastUsed       atomic.Int64 // Unix time in nanoseconds of the last request or response, or of the start of a call

	mu      sync.Mutex
	err     error // why the session ends; set before ctx is cancelled
	nextID  uint64
	pending map[uint64]chan *lovagemessage.Response // calls that wait for a response, by request ID
}

// initStreams creates the reader and the writer of each stream.
func (se *session) initStreams() {
	for i, st := range se.streams {
		se.readers[i] = bufio.NewReaderSize(st, readBufferBytes)
		se.writers[i] = newWriter(st, &se.me.options, se.me.counts.writes)
	}
}

// writeFrame writes a handshake frame directly to the control stream. It is used before the writers run.
func (se *session) writeFrame(fr *lovagemessage.Frame) error {
	of, err := encodeFrame(fr, maxHelloBytes)
	if err != nil {
		return err
	}
	st := se.streams[0]
	if err := st.SetWriteDeadline(time.Now().Add(se.me.options.HandshakeTimeout)); err != nil {
		return err
	}
	_, err = st.Write(of.data)
	return err
}

// startLocked starts the goroutines of an installed session. The caller holds Mesh.mu.
func (se *session) startLocked() {
	se.pending = make(map[uint64]chan *lovagemessage.Response)
	se.ctx, se.cancel = context.WithCancel(context.WithValue(se.me.ctx, sessionKey{}, se))
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
	run(func() error { // frames received before a failure are still read
		readers.Wait()
		se.close(nil)
		return nil
	})
	run(func() error {
		se.finish()
		return nil
	})
}

// sessionKey is the key of the session in the context of a handler.
type sessionKey struct{}

// setClockOffset compares a reading of the peer's boot clock, which the peer has just sent, with this machine's.
func (se *session) setClockOffset(micros int64) {
	if micros != 0 { // otherwise the peer runs a version that does not send it
		se.peerClock.compare(lovageclock.Boot(), time.Duration(micros)*time.Microsecond)
	}
}

// LocalTime converts a reading of the boot clock of the peer whose request a handler serves to this machine's boot clock. The
// handler calls it when it gets the request that carries the reading. The result is too late by at most the shortest time that a
// request took within the last two minutes, or that the handshake took. LocalTime returns false if the peer's clock is not known.
func LocalTime(ctx context.Context, micros int64) (time.Duration, bool) {
	se, ok := ctx.Value(sessionKey{}).(*session)
	if !ok || micros == 0 {
		return 0, false
	}
	reading := time.Duration(micros) * time.Microsecond
	return reading + se.peerClock.compare(lovageclock.Boot(), reading), true
}

// peerClock estimates how far this machine's boot clock is ahead of a peer's: by the least difference between the receipt of a
// reading and the reading itself, of the last one to two halves of clockWindow, because the clocks drift apart. It is safe for
// concurrent use.
type peerClock struct {
	mu       sync.Mutex
	halves   [2]time.Duration // least difference in the current and in the last half; valid if known
	known    [2]bool
	changeAt time.Duration // end of the current half, by this machine's clock
}

// clockWindow is how long a difference between two clocks counts. Clocks that drift by 100 millionths differ by 12 ms more after it.
const clockWindow = 2 * time.Minute

// compare takes a reading of the peer's clock into account that was received at the time now, and returns the estimate.
func (pc *peerClock) compare(now, reading time.Duration) time.Duration {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if now >= pc.changeAt {
		pc.halves[1], pc.known[1] = pc.halves[0], pc.known[0] && now-pc.changeAt < clockWindow/2
		pc.known[0], pc.changeAt = false, now+clockWindow/2
	}
	if difference := now - reading; !pc.known[0] || difference < pc.halves[0] {
		pc.halves[0], pc.known[0] = difference, true
	}
	if pc.known[1] {
		return min(pc.halves[0], pc.halves[1])
	}
	return pc.halves[0]
}

// fail closes the yamux session. The session ends after all received data has been read, so that no response is lost if
// the peer closes the session right after sending it.
func (se *session) fail(err error) {
	se.setErr(err)
	_ = se.ya.Close()
}

// setErr records the first reason why the session ends.
func (se *session) setErr(err error) {
	se.mu.Lock()
	defer se.mu.Unlock()
	if se.err == nil {
		se.err = err
	}
}

// finish releases the connection when the session's context is cancelled.
func (se *session) finish() {
	<-se.ctx.Done()
	se.close(se.ctx.Err()) // needed if the context of Serve was cancelled; otherwise the session is closed already
	_ = se.conn.Close()
	_ = se.ya.Close()
	se.me.sessionEnded(se)
}

// close ends the session immediately. Later calls do nothing. The error may be nil if setErr has recorded one.
func (se *session) close(err error) {
	se.closeOnce.Do(func() {
		if err == nil {
			err = errors.New("session closed")
		}
		se.setErr(err)
		if se.cancel != nil {
			se.cancel()
			return
		}
		_ = se.ya.Close() // the session was never installed
	})
}

// keepAlive ends a session whose peer is silent. Only the dialling side pings, which halves the traffic; the accepting
// side checks that bytes arrive. Within 2 s, each side detects the silence or sees the other close the connection.
func (se *session) keepAlive() error {
	op := &se.me.options
	interval := op.PingInterval
	if !se.dialled {
		interval /= 4 // silence is detected at most one interval late
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
				se.me.counts.sessionsSilent.Inc(1)
				return errors.Wrap(err, "ping the peer")
			}
			continue
		}
		if silent := se.conn.sinceLastRead(); silent > op.PingInterval+op.PingTimeout {
			se.me.counts.sessionsSilent.Inc(1)
			return errors.Newf("nothing received for %s", silent.Round(time.Millisecond))
		}
	}
}

func (se *session) readLoop(stream int) error {
	re, received := se.readers[stream], 0
	for {
		fr, size, err := readFrame(re, se.me.options.MaxFrameBytes, se.me.frames)
		if errors.Is(err, errNoFrameMemory) {
			se.me.counts.framesRefused.Inc(1)
		}
		if err != nil {
			return errors.Wrap(err, "read a frame")
		}
		held := heldBytes(re, size)
		if received += size; received >= shrinkAfterBytes && re.Buffered() == 0 {
			se.streams[stream].Shrink()
			received = 0
		}
		se.me.counts.framesReceived.Inc(1)
		switch body := fr.GetBody().(type) {
		case *lovagemessage.Frame_Request:
			se.serve(fr.GetId(), body.Request, held)
		case *lovagemessage.Frame_Response:
			se.me.frames.Release(held)
			se.deliverResponse(fr.GetId(), body.Response)
		default:
			se.me.frames.Release(held)
			return errors.Newf("frame %d has no body", fr.GetId())
		}
	}
}

// heldBytes returns what a frame of the size has reserved of Mesh.frames: nothing if it fits into the reader's buffer.
func heldBytes(re *bufio.Reader, size int) int64 {
	if size <= re.Size() {
		return 0
	}
	return int64(size)
}

// readFrame reads a frame and returns it with its size. A frame that fits into the reader's buffer is decoded in place;
// this is safe because decoding copies all retained data. A larger one needs room in the budget, which keeps heldBytes unless there is an
// error.
func readFrame(re *bufio.Reader, maxBytes int, budget *lovageadmission.Budget) (*lovagemessage.Frame, int, error) {
	prefix, err := re.Peek(lengthPrefixBytes)
	if err != nil {
		return nil, 0, err
	}
	if size := binary.BigEndian.Uint32(prefix); uint64(size) > uint64(maxBytes) {
		return nil, 0, errors.Newf("frame of %d bytes is larger than the limit of %d", size, maxBytes)
	}
	size := int(binary.BigEndian.Uint32(prefix))
	if _, err := re.Discard(lengthPrefixBytes); err != nil {
		return nil, 0, err
	}
	fits := heldBytes(re, size) == 0
	var data []byte
	if fits {
		data, err = re.Peek(size)
	} else {
		data, err = readLarge(re, size, budget)
	}
	if err != nil {
		return nil, 0, err
	}
	fr := &lovagemessage.Frame{}
	if err := proto.Unmarshal(data, fr); err != nil {
		if !fits {
			budget.Release(int64(size))
		}
		return nil, 0, errors.Wrap(err, "decode a frame")
	}
	if fits {
		_, err = re.Discard(size)
	}
	return fr, size, err
}

// errNoFrameMemory says that MaxFrameMemory has no room for a frame beside the others.
var errNoFrameMemory = errors.New("no room in memory")

// readLarge reads size bytes. Its buffer grows as bytes arrive, because a peer may announce a size and not send it. Unless there is an error,
// size bytes of the budget stay reserved.
func readLarge(re *bufio.Reader, size int, budget *lovageadmission.Budget) ([]byte, error) {
	var data []byte
	for len(data) < size {
		grown := min(size, max(2*len(data), 4*re.Size()))
		if !budget.Reserve(int64(grown - len(data))) {
			budget.Release(int64(len(data)))
			return nil, errors.Wrapf(errNoFrameMemory, "frame of %d bytes", size)
		}
		n := len(data)
		data = append(make([]byte, 0, grown), data...)[:grown]
		if _, err := io.ReadFull(re, data[n:]); err != nil {
			budget.Release(int64(grown))
			return nil, err
		}
	}
	return data, nil
}

// deliverResponse passes a response to the call that waits for it. If the call has already ended, the response is
// dropped and counted as late.
func (se *session) deliverResponse(id uint64, resp *lovagemessage.Response) {
	se.mu.Lock()
	respCh, ok := se.pending[id]
	delete(se.pending, id)
	se.mu.Unlock()
	se.markUsed()
	if !ok {
		se.me.counts.lateResponses.Inc(1)
		return
	}
	respCh <- resp // does not block: the capacity is 1, and the entry has been removed from pending
}

// serve handles a request from the peer in its own goroutine, and releases the held bytes of its frame afterwards.
func (se *session) serve(id uint64, req *lovagemessage.Request, held int64) {
	kind := Kind(req)
	se.markUsed()
	if se.activeHandlers.Add(1) > int64(se.me.options.MaxInFlight) {
		se.activeHandlers.Add(-1)
		se.me.frames.Release(held)
		se.me.counts.requestsRefused.Inc(1)
		se.respond(id, kind, &lovagemessage.Response{Error: "too many requests in flight", Refused: true})
		return
	}
	se.me.wg.Add(1)
	go func() {
		defer se.me.wg.Done()
		defer func() {
			se.markUsed()
			se.me.frames.Release(held)
			se.activeHandlers.Add(-1)
		}()
		resp, err := se.handle(req)
		if err != nil {
			resp = &lovagemessage.Response{Error: err.Error()}
		} else if resp == nil {
			resp = &lovagemessage.Response{Error: "the handler returned no response"}
		}
		se.respond(id, kind, resp)
	}()
}

// handle calls the handler. A panic of the handler fails this request only.
func (se *session) handle(req *lovagemessage.Request) (resp *lovagemessage.Response, err error) {
	defer func() {
		if v := recover(); v != nil {
			se.me.counts.handlerPanics.Inc(1)
			if se.me.options.HandlerPanicked != nil {
				se.me.options.HandlerPanicked(Kind(req), v, debug.Stack())
			}
			err = errors.Newf("the handler of %s panicked", Kind(req))
		}
	}()
	return se.me.handler.Handle(se.ctx, se.instance, req)
}

func (se *session) respond(id uint64, kind string, resp *lovagemessage.Response) {
	fr := &lovagemessage.Frame{Id: id, Body: &lovagemessage.Frame_Response{Response: resp}}
	of, err := encodeFrame(fr, se.me.options.MaxFrameBytes)
	if err != nil {
		fr.Body = &lovagemessage.Frame_Response{Response: &lovagemessage.Response{Error: err.Error()}}
		if of, err = encodeFrame(fr, se.me.options.MaxFrameBytes); err != nil {
			se.close(err)
			return
		}
	}
	of.sentCounter = se.me.counts.responsesSent[kind]
	if err := se.writerFor(kind, of).enqueue(of); err != nil {
		// The peer's call would wait forever for this response. The end of the session also ends the call.
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
	respCh := make(chan *lovagemessage.Response, 1)
	id, err := se.register(respCh)
	if err != nil {
		return nil, notSent(err)
	}
	defer se.unregister(id)
	of, err := encodeFrame(&lovagemessage.Frame{
		Id: id, Body: &lovagemessage.Frame_Request{Request: req},
	}, se.me.options.MaxFrameBytes)
	if err != nil {
		return nil, notSent(err)
	}
	kind := Kind(req)
	of.sentCounter = se.me.counts.requestsSent[kind]
	if err := se.writerFor(kind, of).enqueue(of); err != nil {
		return nil, notSent(err)
	}
	select {
	case resp := <-respCh:
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

// idle reports whether no request is in progress in either direction and all queued frames have been written.
func (se *session) idle() bool {
	se.mu.Lock()
	calls := len(se.pending)
	se.mu.Unlock()
	return calls == 0 && se.activeHandlers.Load() == 0 && se.writers[0].idle() && se.writers[1].idle()
}

func (se *session) register(respCh chan *lovagemessage.Response) (uint64, error) {
	se.mu.Lock()
	defer se.mu.Unlock()
	if se.err != nil {
		return 0, errors.Wrap(se.err, "session lost")
	}
	if len(se.pending) >= se.me.options.MaxInFlight {
		return 0, errors.Newf("%d requests are already in flight", len(se.pending))
	}
	se.nextID++
	se.pending[se.nextID] = respCh
	return se.nextID, nil
}

func (se *session) unregister(id uint64) {
	se.mu.Lock()
	delete(se.pending, id)
	se.mu.Unlock()
}
