package lovagepeer

import (
	"encoding/binary"
	"net"
	"sync/atomic"
	"time"
)

const (
	yamuxHeaderBytes = 12
	yamuxTypeData    = 0
)

// countedConn counts bytes and sends each yamux data frame in one write. yamux writes the header and the body of a
// frame separately, which would take two packets because TCP_NODELAY is set.
type countedConn struct {
	net.Conn
	counts        *counters
	header        [yamuxHeaderBytes]byte // header withheld until Write gets the body; used only by yamux's sending goroutine
	headerPending bool
	parts         [2][]byte   // backing array of bufs: header and body
	bufs          net.Buffers // reused by Write
	opened        time.Time
	lastRead      atomic.Int64 // time from opened to the last Read of data, in nanoseconds; unlike the time of day it is never set
}

func newCountedConn(co net.Conn, counts *counters) *countedConn {
	return &countedConn{Conn: co, counts: counts, opened: time.Now()}
}

func (cc *countedConn) Read(p []byte) (int, error) {
	n, err := cc.Conn.Read(p)
	if n > 0 {
		cc.lastRead.Store(int64(time.Since(cc.opened)))
		cc.counts.bytesReceived.Inc(int64(n))
	}
	return n, err
}

func (cc *countedConn) Write(p []byte) (int, error) {
	if !cc.headerPending && len(p) == yamuxHeaderBytes && p[1] == yamuxTypeData && binary.BigEndian.Uint32(p[8:]) > 0 {
		copy(cc.header[:], p)
		cc.headerPending = true
		return len(p), nil
	}
	cc.counts.bytesSent.Inc(int64(len(p)))
	if !cc.headerPending {
		return cc.Conn.Write(p)
	}
	cc.headerPending = false
	cc.counts.bytesSent.Inc(yamuxHeaderBytes)
	cc.bufs = append(cc.parts[:0], cc.header[:], p)
	n, err := cc.bufs.WriteTo(cc.Conn)
	return max(0, int(n)-yamuxHeaderBytes), err
}

// sinceLastRead returns the time since the last Read of data.
func (cc *countedConn) sinceLastRead() time.Duration {
	return time.Since(cc.opened) - time.Duration(cc.lastRead.Load())
}
