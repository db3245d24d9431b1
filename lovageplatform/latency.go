package lovageplatform

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
)

// LatencySettings configures a Latency. Zero fields take the default named beside them.
type LatencySettings struct {
	ReadsPerSecond  float64       // reads, scans and object reads, 2000; the users' platform allows about as many
	WritesPerSecond float64       // commits and object writes, 400; the users' platform allows several hundred
	ReadTime        time.Duration // least time of a read, 1 ms
	WriteTime       time.Duration // least time of a write, 5 ms; a synced write takes several
}

// Latency is a Memory that takes the time of a real platform and bounds the requests per second of all its callers
// together. A request beyond the bound waits; one that cannot be served before its context ends is not sent.
type Latency struct {
	memory        *Memory
	se            LatencySettings
	reads, writes *rate.Limiter
}

// NewLatency returns a wrapper of memory, whose own methods stay fast.
func NewLatency(memory *Memory, se LatencySettings) *Latency {
	if se.ReadsPerSecond <= 0 {
		se.ReadsPerSecond = 2000
	}
	if se.WritesPerSecond <= 0 {
		se.WritesPerSecond = 400
	}
	if se.ReadTime <= 0 {
		se.ReadTime = time.Millisecond
	}
	if se.WriteTime <= 0 {
		se.WriteTime = 5 * time.Millisecond
	}
	// The burst is the work of 20 ms, so that callers who arrive together do not wait without need.
	burst := func(perSecond float64) int { return max(1, int(perSecond/50)) }
	return &Latency{
		memory: memory, se: se,
		reads:  rate.NewLimiter(rate.Limit(se.ReadsPerSecond), burst(se.ReadsPerSecond)),
		writes: rate.NewLimiter(rate.Limit(se.WritesPerSecond), burst(se.WritesPerSecond)),
	}
}

func (la *Latency) read(ctx context.Context, operation string) error {
	if err := la.reads.Wait(ctx); err != nil {
		return &Error{Operation: operation, Effect: EffectNotSent, Err: err}
	}
	if !wait(ctx, la.se.ReadTime) {
		return &Error{Operation: operation, Effect: EffectAmbiguous, Err: ctx.Err()}
	}
	return nil
}

// write waits for the turn of a write, carries it out and takes the rest of its time. The context may end between the
// effect and the reply, as with a real platform.
func (la *Latency) write(ctx context.Context, operation string, effect func() error) error {
	if err := la.writes.Wait(ctx); err != nil {
		return &Error{Operation: operation, Effect: EffectNotSent, Err: err}
	}
	if err := effect(); err != nil {
		return err
	}
	if !wait(ctx, la.se.WriteTime) {
		return &Error{Operation: operation, Effect: EffectAmbiguous, Err: errors.Wrap(ctx.Err(), "wait for reply")}
	}
	return nil
}

// Read is Memory.Read within the bounds.
func (la *Latency) Read(ctx context.Context, keys ...string) ([]Row, error) {
	if err := la.read(ctx, "read"); err != nil {
		return nil, err
	}
	return la.memory.Read(ctx, keys...)
}

// Scan is Memory.Scan within the bounds.
func (la *Latency) Scan(ctx context.Context, prefix string) ([]Row, error) {
	if err := la.read(ctx, "scan"); err != nil {
		return nil, err
	}
	return la.memory.Scan(ctx, prefix)
}

// Commit is Memory.Commit within the bounds.
func (la *Latency) Commit(ctx context.Context, tx Transaction) (CommitResult, error) {
	var res CommitResult
	err := la.write(ctx, "commit", func() (err error) {
		res, err = la.memory.Commit(ctx, tx)
		return err
	})
	if err != nil {
		return CommitResult{}, err
	}
	return res, nil
}

// GetObject is Memory.GetObject within the bounds.
func (la *Latency) GetObject(ctx context.Context, name string) ([]byte, error) {
	if err := la.read(ctx, "get object"); err != nil {
		return nil, err
	}
	return la.memory.GetObject(ctx, name)
}

// PutObject is Memory.PutObject within the bounds.
func (la *Latency) PutObject(ctx context.Context, name string, data []byte) error {
	return la.write(ctx, "put object", func() error { return la.memory.PutObject(ctx, name, data) })
}

// DeleteObject is Memory.DeleteObject within the bounds.
func (la *Latency) DeleteObject(ctx context.Context, name string) error {
	return la.write(ctx, "delete object", func() error { return la.memory.DeleteObject(ctx, name) })
}

// Instances is Memory.Instances within the bounds.
func (la *Latency) Instances(ctx context.Context) ([]Instance, error) {
	if err := la.read(ctx, "list instances"); err != nil {
		return nil, err
	}
	return la.memory.Instances(ctx)
}
