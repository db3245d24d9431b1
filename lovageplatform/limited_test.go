package lovageplatform

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
)

// Checks that no more writes take effect than the rate limit allows, and that a write reported as not sent had no effect,
// although the context ends while writes wait for the limit or for the reply.
func TestLimitedMemoryLimitsRateAndReportsEffects(t *testing.T) {
	memory := NewMemory()
	lm := NewLimitedMemory(memory, LimitSettings{WritesPerSecond: 100})
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	start := time.Now()
	errs := make([]error, 100)
	var running sync.WaitGroup
	for i := range errs {
		running.Go(func() {
			_, errs[i] = lm.Commit(ctx, Transaction{Writes: []Write{{Key: fmt.Sprint(i)}}})
		})
	}
	running.Wait()
	for i, err := range errs {
		rows, readErr := memory.Read(context.Background(), fmt.Sprint(i))
		must.NoError(t, readErr)
		switch {
		case err == nil:
			must.Eq(t, 1, rows[0].Version)
		case errors.Is(err, ErrNotSent):
			must.Eq(t, 0, rows[0].Version)
		default:
			must.ErrorIs(t, err, ErrAmbiguous)
		}
	}
	rows, err := memory.Scan(context.Background(), "")
	must.NoError(t, err)
	must.Positive(t, len(rows))
	must.LessEq(t, 3+int(100*time.Since(start).Seconds()), len(rows))
}
