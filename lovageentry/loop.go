package lovageentry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"lovagestack/lovagedispatch"
	"lovagestack/lovagejob"
	"lovagestack/lovageledger"
	"lovagestack/lovagemember"
)

const (
	// eventBacklog is the number of events that can wait for the control loop. If it is reached, goroutines that post
	// events block. That slows the traffic but not the control loop.
	eventBacklog = 8192

	// tickInterval is the time between two ticks, at which the ledger and the membership view check their timers. The
	// ledger needs a tick at least every 100 ms.
	tickInterval = 50 * time.Millisecond
)

// event is an input of the control loop. apply runs on the control loop and must not block.
type event interface {
	apply(lo *controlLoop)
}

// controlLoop owns the control state of an instance. Only the goroutine of Serve accesses the fields, except for in,
// events, drained and introduction.done, which are never reassigned.
type controlLoop struct {
	in     *Instance
	events chan event
	log    *zap.Logger

	now        time.Time // time of the event being applied
	core       *lovagedispatch.Core
	ledger     *lovageledger.Ledger
	membership *lovagemember.Core

	requests              map[uint64]*request
	lastRequestID         uint64
	jobs                  map[uint64]*job
	jobsByKey             map[lovagejob.Key]*job
	lastJobID             uint64
	submissions           map[submissionID]*pendingSubmission
	content               contentMemory
	abandonHooks          map[uint64]*abandonHook
	peerCallReplies       map[uint64]chan<- any // reply channels by call ID
	lastPeerCallID        uint64
	members               memberView
	workers               map[string]declaredWorker
	serviceRunLimits      map[string]serviceRunLimit
	dispatchTimerAt       time.Time
	dispatchTimer         *time.Timer
	ledgerTimer           *time.Timer
	drained               chan struct{} // closed after the hand-over of the ranges
	draining              bool
	introduction          introduction
	sharingInstances      int // number of live and suspect instances in this data centre, which share its workers
	teams                 []lovagedispatch.Team
	nextHeartbeatAt       time.Time
	heartbeatTargetStates map[string]*heartbeatTarget // state of the heartbeats to each peer, by peer address
	deltas                deltaTracker
	releasedAddresses     map[string]bool // peer addresses of live instances to which this instance sends no heartbeats

	domains         domains
	localRegions    map[string]bool // regions of the pools in this data centre
	leavingWorkers  map[string]bool
	nextEstimatesAt time.Time
	estimateCopies  map[string]*estimateCopy // acknowledged estimates by instance ID of the receiver
}

// post sends an event to the control loop. It returns false if ctx ends while the queue of events is full.
func (lo *controlLoop) post(ctx context.Context, ev event) bool {
	select {
	case lo.events <- ev:
		return true
	case <-ctx.Done():
		return false
	}
}

// Serve runs the control loop until ctx ends.
func (lo *controlLoop) Serve(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	lo.dispatchTimer = time.NewTimer(time.Hour)
	defer lo.dispatchTimer.Stop()
	lo.ledgerTimer = time.NewTimer(time.Hour)
	defer lo.ledgerTimer.Stop()
	for {
		select {
		case ev := <-lo.events:
			lo.applyEvent(ev)
		case <-ticker.C:
			lo.applyArrivedEvents()
			lo.now = time.Now()
			lo.tick()
		case <-lo.dispatchTimer.C:
			lo.now = time.Now()
			lo.dispatchTimerAt = time.Time{}
			lo.stepCore(lovagedispatch.Tick{})
		case <-lo.ledgerTimer.C:
			lo.now = time.Now()
			lo.stepLedger(&lovageledger.Wake{})
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (lo *controlLoop) applyEvent(ev event) {
	lo.now = time.Now()
	ev.apply(lo)
	lo.in.counts.eventsHandled.Inc(1)
}

// applyArrivedEvents applies the events that are in the queue. A tick after them does not take a reply or a heartbeat
// that waits there for missing, however late this loop is.
func (lo *controlLoop) applyArrivedEvents() {
	for range len(lo.events) {
		lo.applyEvent(<-lo.events)
	}
}

func (lo *controlLoop) tick() {
	lo.stepMember(lovagemember.Tick{})
	lo.stepLedger(&lovageledger.Tick{})
	lo.in.recordCount.Store(int64(lo.ledger.RecordCount()))
	lo.in.evictedRecordCount.Store(lo.ledger.EvictedRecords())
	lo.sendDueHeartbeats()
	lo.sendEstimatesIfDue()
	lo.endIntroductionIfDue()
}

// stepCore passes an event to the dispatch core and executes the resulting commands.
func (lo *controlLoop) stepCore(ev lovagedispatch.Event) {
	out := lo.core.Step(lo.now, ev, nil)
	for _, cm := range out {
		lo.runCoreCommand(cm)
	}
}

// stepLedger passes an event to the ledger and executes the commands.
func (lo *controlLoop) stepLedger(ev lovageledger.Event) {
	out := lo.ledger.Step(lo.now, ev, nil)
	for _, cm := range out {
		lo.runLedgerCommand(cm)
	}
}

// stepMember passes an event to the membership view and executes the commands.
func (lo *controlLoop) stepMember(ev lovagemember.Event) {
	out := lo.membership.Step(lo.now, ev, nil)
	for _, cm := range out {
		lo.runMemberCommand(cm)
	}
}

func (lo *controlLoop) runCoreCommand(cm lovagedispatch.Command) {
	switch cm := cm.(type) {
	case lovagedispatch.StartTask:
		lo.startTask(cm)
	case lovagedispatch.StopTask:
		lo.stopTask(cm)
	case lovagedispatch.FinishJob:
		lo.finishJob(cm)
	case lovagedispatch.WakeAt:
		lo.setDispatchTimer(cm.At)
	}
}

func (lo *controlLoop) runLedgerCommand(cm lovageledger.Command) {
	switch cm := cm.(type) {
	case lovageledger.Minted:
		lo.replyMinted(cm)
	case lovageledger.Admit:
		lo.admit(cm)
	case lovageledger.Reply:
		lo.sendReply(cm)
	case lovageledger.Forward:
		lo.forward(cm)
	case lovageledger.CancelJob:
		lo.cancelJob(cm)
	case lovageledger.SendAccept:
		lo.sendAccept(cm)
	case lovageledger.ReplyAccept:
		lo.replyToCall(cm.Call, cm)
	case lovageledger.SendResult:
		lo.sendResult(cm)
	case lovageledger.SendTransfer:
		lo.sendTransfer(cm)
	case lovageledger.ReplyTransfer:
		lo.replyToCall(cm.Call, cm)
	case lovageledger.ReplyResult:
		lo.replyToCall(cm.Call, cm)
	case lovageledger.WakeAt:
		lo.ledgerTimer.Reset(max(0, cm.At.Sub(lo.now)))
	case lovageledger.ReadTable:
		lo.in.table.read(cm)
	case lovageledger.CommitTable:
		lo.reportLedgerStep(cm)
		lo.in.table.commit(cm)
	case lovageledger.Drained:
		lo.rangesHandedOver(cm)
	}
}

// setDispatchTimer sets the timer of the dispatch core, unless it is set to an earlier time already.
func (lo *controlLoop) setDispatchTimer(at time.Time) {
	if !lo.dispatchTimerAt.IsZero() && !at.Before(lo.dispatchTimerAt) {
		return
	}
	lo.dispatchTimerAt = at
	lo.dispatchTimer.Reset(max(0, at.Sub(lo.now)))
}

type coreEvent struct {
	in *Instance
	ev lovagedispatch.Event
}

// run posts the event. The control loop calls run on a new goroutine, because the loop must not block on its own queue.
func (ce *coreEvent) run() { ce.in.control.post(ce.in.lifetimeContext(), ce) }

func (ce *coreEvent) apply(lo *controlLoop) { lo.stepCore(ce.ev) }
