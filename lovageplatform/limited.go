package lovageplatform

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
)

// LimitSettings configures a LimitedMemory. Zero fields take the default named beside them.
type LimitSettings struct {
	ReadsPerSecond  float64       // limit of all kinds of reads, default 2000; the users' platform allows about as many
	WritesPerSecond float64       // limit of commits and object writes, default 400; the users' platform allows several hundred
	ReadLatency     time.Duration // minimum duration of a read, default 1 ms
	WriteLatency    time.Duration // minimum duration of a write, default 5 ms; a synced write takes several milliseconds
}

// LimitedMemory is a Memory with the latency of a real platform and a limit on the requests per second of all its
// callers together. A request above the limit waits. A request that cannot start before its context ends is not sent.
type LimitedMemory struct {
	memory        *Memory
	se            LimitSettings
	reads, writes *rate.Limiter
}

// NewLimitedMemory returns a wrapper around memory. The methods of memory itself are neither delayed nor limited.
func NewLimitedMemory(memory *Memory, se LimitSettings) *LimitedMemory {
	if se.ReadsPerSecond <= 0 {
		se.ReadsPerSecond = 2000
	}
	if se.WritesPerSecond <= 0 {
		se.WritesPerSecond = 400
	}
	if se.ReadLatency <= 0 {
		se.ReadLatency = time.Millisecond
	}
	if se.WriteLatency <= 0 {
		se.WriteLatency = 5 * time.Millisecond
	}
	// The burst covers 20 ms, so that requests that arrive together are not delayed unnecessarily.
	burst := func(perSecond float64) int { return max(1, int(perSecond/50)) }
	return &LimitedMemory{
		memory: memory, se: se,
		reads:  rate.NewLimiter(rate.Limit(se.ReadsPerSecond), burst(se.ReadsPerSecond)),
		writes: rate.NewLimiter(rate.Limit(se.WritesPerSecond), burst(se.WritesPerSecond)),
	}
}

func (lm *LimitedMemory) waitForRead(ctx context.Context, operation string) error {
	if err := lm.reads.Wait(ctx); err != nil {
		return &Error{Operation: operation, Effect: EffectNotSent, Err: err}
	}
	if !sleep(ctx, lm.se.ReadLatency) {
		return &Error{Operation: operation, Effect: EffectAmbiguous, Err: ctx.Err()}
	}
	return nil
}

// write waits for the rate limit, calls apply and then waits for WriteLatency. As with a real platform, the context may
// end between the effect and the reply.
func (lm *LimitedMemory) write(ctx context.Context, operation string, apply func() error) error {
	if err := lm.writes.Wait(ctx); err != nil {
		return &Error{Operation: operation, Effect: EffectNotSent, Err: err}
	}
	if err := apply(); err != nil {
		return err
	}
	if !sleep(ctx, lm.se.WriteLatency) {
		return &Error{Operation: operation, Effect: EffectAmbiguous, Err: errors.Wrap(ctx.Err(), "wait for reply")}
	}
	return nil
}

// Read is Memory.Read, delayed and rate-limited.
func (lm *LimitedMemory) Read(ctx context.Context, keys ...string) ([]Row, error) {
	if err := lm.waitForRead(ctx, "read"); err != nil {
		return nil, err
	}
	return lm.memory.Read(ctx, keys...)
}

// Scan is Memory.Scan, delayed and rate-limited.
func (lm *LimitedMemory) Scan(ctx context.Context, prefix string) ([]Row, error) {
	if err := lm.waitForRead(ctx, "scan"); err != nil {
		return nil, err
	}
	return lm.memory.Scan(ctx, prefix)
}

// Commit is Memory.Commit, delayed and rate-limited.
func (lm *LimitedMemory) Commit(ctx context.Context, tx Transaction) (CommitResult, error) {
	var res CommitResult
	err := lm.write(ctx, "commit", func() (err error) {
		res, err = lm.memory.Commit(ctx, tx)
		return err
	})
	if err != nil {
		return CommitResult{}, err
	}
	return res, nil
}

// GetObject is Memory.GetObject, delayed and rate-limited.
func (lm *LimitedMemory) GetObject(ctx context.Context, name string) ([]byte, error) {
	if err := lm.waitForRead(ctx, "get object"); err != nil {
		return nil, err
	}
	return lm.memory.GetObject(ctx, name)
}

// PutObject is Memory.PutObject, delayed and rate-limited.
func (lm *LimitedMemory) PutObject(ctx context.Context, name string, data []byte) error {
	return lm.write(ctx, "put object", func() error { return lm.memory.PutObject(ctx, name, data) })
}

// DeleteObject is Memory.DeleteObject, delayed and rate-limited.
func (lm *LimitedMemory) DeleteObject(ctx context.Context, name string) error {
	return lm.write(ctx, "delete object", func() error { return lm.memory.DeleteObject(ctx, name) })
}

// Instances is Memory.Instances, delayed and rate-limited.
func (lm *LimitedMemory) Instances(ctx context.Context) ([]Instance, error) {
	if err := lm.waitForRead(ctx, "list instances"); err != nil {
		return nil, err
	}
	return lm.memory.Instances(ctx)
}
