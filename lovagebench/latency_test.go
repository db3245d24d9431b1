package lovagebench

import (
	"fmt"
	"io"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// Checks that messages in flight arrive in order, all after the same delay, in both directions, and that deadlines and
// closes take effect.
func TestDelayedConn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const delay = 1400 * time.Microsecond
		near, far := net.Pipe()
		dc := newDelayedConn(near, delay)
		start := time.Now()
		buf := make([]byte, 1)
		for i := range 10 {
			_, err := fmt.Fprint(dc, i)
			must.NoError(t, err)
		}
		for i := range 10 {
			_, err := io.ReadFull(far, buf)
			must.NoError(t, err)
			must.Eq(t, fmt.Sprint(i), string(buf))
		}
		must.Eq(t, delay, time.Since(start))
		for i := range 10 {
			_, err := fmt.Fprint(far, i)
			must.NoError(t, err)
		}
		for i := range 10 {
			_, err := io.ReadFull(dc, buf)
			must.NoError(t, err)
			must.Eq(t, fmt.Sprint(i), string(buf))
		}
		must.Eq(t, 2*delay, time.Since(start))
		must.NoError(t, dc.SetDeadline(time.Now().Add(time.Second)))
		_, err := dc.Read(buf)
		must.ErrorIs(t, err, os.ErrDeadlineExceeded)
		must.NoError(t, dc.SetDeadline(time.Time{}))
		must.NoError(t, far.Close())
		_, err = dc.Read(buf)
		must.ErrorIs(t, err, io.EOF)
		must.NoError(t, dc.Close())
		_, err = dc.Write(buf)
		must.ErrorIs(t, err, net.ErrClosed)
	})
}

// Checks that roundTrip, which measures the round trip for the ideal response time, includes the callers' latency in
// both directions, as measured jobs do.
func TestRoundTripIncludesLatency(t *testing.T) {
	op := smallOptions()
	op.Latency.Callers = 20 * time.Millisecond
	de := &deployment{op: op}
	de.setUpPlatform()
	must.NoError(t, de.startWorkers())
	defer func() {
		for _, wo := range de.workers {
			wo.Close()
		}
	}()
	took, err := roundTrip(t.Context(), de)
	must.NoError(t, err)
	must.GreaterEq(t, 40*time.Millisecond, took)
}
