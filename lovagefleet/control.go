package lovagefleet

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"lovagestack/lovageclock"
	"lovagestack/lovagepool"
	"lovagestack/lovagetrace"
)

// event is a function that loop will call.
type event struct {
	handle   func(now time.Time)
	postedAt time.Time
}

// post queues a function that loop will call.
func (no *Node) post(ev func(now time.Time)) {
	select {
	case no.eventQueue <- event{ev, time.Now()}:
	case <-no.ctx.Done():
	}
}

func (no *Node) countEvent(name string) { no.counts.With(name).Inc(1) }

// loop owns the pool. It applies the events that are queued before the pool schedules tasks.
func (no *Node) loop(ctx context.Context) {
	timer := time.NewTimer(idleTickInterval)
	defer timer.Stop()
	pauses := no.pauses.Check()
	ranAt := time.Now()
	no.bootAhead = lovageclock.Boot() - time.Since(no.startedAt)
	for {
		select {
		case <-ctx.Done():
			return
		case ev := <-no.eventQueue:
			no.handleSuspension()
			no.apply(time.Now(), ev)
			for range len(no.eventQueue) { // not those that are posted meanwhile, which may go on without end
				no.apply(time.Now(), <-no.eventQueue)
			}
		case <-timer.C:
		}
		now := time.Now() // before the check, so that leases of starts that a pause after the check delays have expired
		if n := no.pauses.Check(); n != pauses {
			pauses = n
			no.handlePause(now)
		}
		no.handleSuspension()
		if now.Sub(ranAt) >= maxStall {
			no.pool.RequireLists(now)
		}
		if !now.Before(no.nextTick) {
			if !no.nextTick.IsZero() {
				no.lags.note(now, now.Sub(no.nextTick))
				no.noteLateness(now, now.Sub(no.nextTick))
			}
			no.lags.note(now, no.queueProbe.wait(now))
			no.queueProbe.begin(now)
			no.pool.SetLag(no.lags.lag(now))
			no.pool.SetLateness(no.lateness(now))
			no.updateRegistrationBound(now)
			no.pool.Tick(now)
			interval := tickInterval
			if no.pool.Idle() && no.sent.empty() {
				interval = idleTickInterval
			}
			no.nextTick = now.Add(interval)
			timer.Reset(interval)
			no.publishCounts()
		}
		no.updateServices(now)
		no.updateEvacuations(now)
		no.execute(now, no.pool.Commands(now))
		ranAt = time.Now()
	}
}

const (
	// maxStall is how long loop may stand still, or a start may wait to be sent, before what is known of the workers counts as too old for
	// starts. Polls are answered every pollWait, so that it is little older anyway.
	maxStall = pollWait + pollGrace
	// lateEvent is the age of an event above which loop reports that it is late, at most once in lateReportInterval.
	lateEvent          = 200 * time.Millisecond
	lateReportInterval = time.Second
)

// noteLateness records that loop did something later than it was due. Only loop calls it.
func (no *Node) noteLateness(now time.Time, lateness time.Duration) {
	no.latenesses.note(now, lateness)
	no.pool.SetLateness(no.lateness(now))
}

// apply handles an event, and reports it if it has waited for long. An event that was posted right after a stall has not waited, but
// the tick that was due during the stall has.
func (no *Node) apply(now time.Time, ev event) {
	waited := now.Sub(ev.postedAt)
	if !no.nextTick.IsZero() {
		waited = max(waited, now.Sub(no.nextTick))
	}
	if waited >= minLag {
		no.noteLateness(now, waited)
	}
	if waited >= lateEvent {
		no.countEvent("eventsLate")
		if now.Sub(no.latenessReportedAt) >= lateReportInterval {
			no.latenessReportedAt = now
			no.log.Warn("this instance is late", zap.Duration("waitedMs", waited), zap.Duration("lagMs", no.lags.lag(now)),
				zap.Int("queued", len(no.eventQueue)), zap.Int("workers", len(no.links)))
		}
	}
	ev.handle(now)
}

// publishCounts copies the pool's counts to the metrics.
func (no *Node) publishCounts() {
	for name, n := range no.pool.Counts {
		if d := n - no.publishedCounts[name]; d != 0 {
			no.publishedCounts[name] = n
			no.counts.With(name).Inc(d)
		}
	}
}

// execute carries out the pool's commands.
func (no *Node) execute(now time.Time, list []lovagepool.Command) {
	for _, cmd := range list {
		switch cm := cmd.(type) {
		case lovagepool.StartRun:
			if li := no.links[cm.Worker]; li != nil {
				rr := li.newRunRequest(cm.LeaseUntil, cm.Task, cm.Attempt, cm.Spec)
				rr.ProcessStart = cm.ProcessStart
				ctx := no.startContext(now, cm.Ref)
				no.calls.run(func() { li.start(ctx, now, cm, rr) })
			} else {
				no.pool.HandleStartReply(now, cm.Worker, cm.Task, cm.Attempt, true, "noLink")
			}
		case lovagepool.StopRun:
			if li := no.links[cm.Worker]; li != nil {
				if key := (stopKey{cm.Task, cm.Attempt}); li.stops.add(key) {
					no.calls.run(func() {
						defer li.stops.remove(key)
						li.stop(no.ctx, cm)
					})
				}
			}
		case lovagepool.FinishJob:
			if wa := no.jobWaiters[cm.Ref]; wa != nil {
				delete(no.jobWaiters, cm.Ref)
				wa.result <- cm
			}
		case lovagepool.Offload:
			go no.offload(cm, lovageclock.Boot())
		case lovagepool.CancelOffload:
			go no.cancelOffload(cm.Peer, cm.Ref)
		case lovagepool.PollWorker:
			if li := no.links[cm.Worker]; li != nil {
				go li.pollNow(no.ctx)
			}
		case lovagepool.ReadEntries:
			no.requestEntries(now)
		case lovagepool.JobStopped:
			for _, stopped := range no.stopWaiters[cm.Ref] {
				stopped <- cm.Completed
			}
			delete(no.stopWaiters, cm.Ref)
		case lovagepool.ReleaseWorker:
			no.releaseWorker(cm.Worker)
		}
	}
}

// startContext returns the context for a start call, and records the job's queueing time at its first start.
func (no *Node) startContext(now time.Time, ref string) context.Context {
	wa := no.jobWaiters[ref]
	if wa == nil {
		return no.ctx // nobody waits for the job any more
	}
	ctx := trace.ContextWithSpanContext(no.ctx, trace.SpanContextFromContext(wa.traceContext))
	if !wa.startSent {
		wa.startSent = true
		no.tracer.Record(ctx, lovagetrace.QueueWait, wa.submitted, now)
	}
	return ctx
}

// errorField returns a log field with an error's message, without its stack trace.
func errorField(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}

// logDecision logs a decision of the pool.
func (no *Node) logDecision(de lovagepool.Decision) {
	fields := make([]zap.Field, 0, 16)
	text := func(name, value string) {
		if value != "" {
			fields = append(fields, zap.String(name, value))
		}
	}
	duration := func(name string, value time.Duration) {
		if value != 0 {
			fields = append(fields, zap.Duration(name, value))
		}
	}
	text("job", de.Job)
	text("ref", de.Ref)
	text("task", de.Task)
	text("worker", de.Worker)
	if de.Attempt != 0 {
		fields = append(fields, zap.Int("attempt", de.Attempt))
	}
	text("reason", de.Reason)
	duration("ageMs", de.Age)
	duration("waitMs", de.Wait)
	duration("leftMs", de.Slack)
	duration("expectedMs", de.ExpectedRunTime)
	if de.RunsBeside != 0 {
		fields = append(fields, zap.Int("runsBeside", de.RunsBeside))
	}
	if li := no.links[de.Worker]; li != nil {
		fence, _ := li.fenceRejected()
		fields = append(fields, zap.Int64("fence", fence))
	}
	if de.Kind == lovagepool.RefusedInfeasible {
		fields = append(fields, zap.Int("free", de.FreeTasks), zap.Int("offloadable", de.PeerFreeTasks))
	}
	if ne := &de.Needs; ne.Tasks > 0 {
		text("queue", de.Queue)
		fields = append(fields, zap.Int("needsTasks", ne.Tasks), zap.Int64("needsMilliCores", ne.Resources.MilliCores),
			zap.Int64("needsMB", ne.Resources.MemoryMB))
		if ne.Resources.Accelerators > 0 {
			fields = append(fields, zap.Int64("needsAccelerators", ne.Resources.Accelerators))
		}
		text("needsLabel", ne.Label)
	}
	no.decisionLogger.LogDecision(de.Kind, false, fields...)
}
