package lovageentry

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"lovagestack/lovagedispatch"
	"lovagestack/lovageledger"
	"lovagestack/lovagemember"
)

// drainPollInterval is the interval at which a shutdown checks for work in flight and unreplicated results.
const drainPollInterval = 20 * time.Millisecond

// replicationReserve is the part of a shutdown kept for the last replication when no instance takes the key ranges.
const replicationReserve = time.Second

// gauge counts operations in progress.
type gauge struct{ n atomic.Int64 }

func (ga *gauge) add(n int64) { ga.n.Add(n) }

func (ga *gauge) value() int64 { return ga.n.Load() }

// Ready reports whether the balancer should send requests to this instance, and if not, why.
func (in *Instance) Ready() (bool, []string) {
	var reasons []string
	if in.stopping.Load() {
		reasons = append(reasons, "the instance is shutting down")
	}
	if ok, reason := in.syncer.Ready(); !ok {
		reasons = append(reasons, reason)
	}
	return len(reasons) == 0, reasons
}

func (in *Instance) isReady() bool {
	ready, _ := in.Ready()
	return ready
}

// shutDown stops taking new work, finishes the work in flight and hands over the key ranges. It returns the number of
// requests that were still in flight at the deadline.
//
// The order matters. The balancer still sends requests for up to BalancerLag after Ready reports false, so the servers
// continue for that time. The ranges are handed over only when none of their jobs is running, because the owner of a
// key must record the end of the key's job.
func (in *Instance) shutDown() int {
	deadline := time.Now().Add(in.settings.Shutdown.Deadline)
	ctx, cancel := context.WithDeadline(in.lifetimeContext(), deadline)
	defer cancel()
	in.reportStep(StepShutDown)
	in.stopping.Store(true)
	in.log.Info("shutdown started", zap.Time("deadline", deadline))
	in.control.post(ctx, &leavingEvent{})
	for _, srv := range in.servers {
		srv.Drain()
	}
	sleep(ctx, in.settings.Shutdown.BalancerLag)
	for _, srv := range in.servers {
		if err := srv.Shutdown(ctx); err != nil {
			in.log.Error("requests were cut", zap.Error(err))
		}
	}
	in.awaitIdle(ctx)
	in.control.post(ctx, &handOverEvent{giveUpAt: deadline.Add(-replicationReserve)})
	select {
	case <-in.control.drained:
	case <-ctx.Done():
	}
	in.awaitIdle(ctx)
	in.awaitReplication(ctx)
	return int(in.inFlight.value())
}

// awaitReplication waits until all job results are replicated. Otherwise the new owner of a range would answer
// "unknown" for a job whose result it does not have.
func (in *Instance) awaitReplication(ctx context.Context) {
	for ctx.Err() == nil {
		uq := &unreplicatedQuery{replies: make(chan int, 1)}
		if !in.control.post(ctx, uq) {
			return
		}
		select {
		case n := <-uq.replies:
			if n == 0 {
				return
			}
		case <-ctx.Done():
			return
		}
		sleep(ctx, drainPollInterval)
	}
}

type unreplicatedQuery struct{ replies chan int }

func (uq *unreplicatedQuery) apply(lo *controlLoop) { uq.replies <- lo.ledger.UnreplicatedResults() }

func (in *Instance) awaitIdle(ctx context.Context) {
	for in.inFlight.value()+in.openJobs.value() > 0 && ctx.Err() == nil {
		sleep(ctx, drainPollInterval)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	ti := time.NewTimer(d)
	defer ti.Stop()
	select {
	case <-ti.C:
	case <-ctx.Done():
	}
}

// leavingEvent sends estimates to the instances that decide next for this instance's domains, and announces in
// heartbeats that this instance is leaving. A leaving instance takes no new share of the workers and mints no keys.
type leavingEvent struct{}

func (*leavingEvent) apply(lo *controlLoop) {
	lo.draining = true
	lo.nextEstimatesAt = time.Time{}
	lo.sendEstimatesIfDue()
	lo.stepMember(lovagemember.Drain{})
	lo.nextHeartbeatAt = time.Time{}
	lo.sendDueHeartbeats()
}

type handOverEvent struct{ giveUpAt time.Time }

func (ev *handOverEvent) apply(lo *controlLoop) {
	lo.stepCore(lovagedispatch.Drain{})
	lo.stepLedger(&lovageledger.Drain{GiveUpAt: ev.giveUpAt})
}

func (lo *controlLoop) rangesHandedOver(cm lovageledger.Drained) {
	if lo.in.handOverDone.Swap(true) {
		return
	}
	lo.log.Info("key ranges handed over", zap.Int("left", cm.Left))
	close(lo.drained)
}
