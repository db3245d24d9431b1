package lovagetrial

import (
	"context"
	"slices"
	"time"

	"lovagestack/lovagefake"
	"lovagestack/lovageresource"
)

// Fault is a fault of the matrix.
type Fault string

// Faults, as listed in docs/design.md. The instance that reached the step is the one that a fault of a process or of
// its links hits.
const (
	FaultPause           Fault = "pause"
	FaultCut             Fault = "cut"              // all links, also new connections
	FaultSilent          Fault = "silentConnection" // existing connections only
	FaultSlowStore       Fault = "slowStore"
	FaultStoreDown       Fault = "storeDown"
	FaultReplyLost       Fault = "replyLostAfterEffect" // of the store and of workers
	FaultLateReply       Fault = "lateReply"            // of workers and peers; commits land late
	FaultCrossedReply    Fault = "crossedReply"         // of workers
	FaultWorkerFailsAll  Fault = "workerFailsEverything"
	FaultRacingOperators Fault = "racingOperators"
	FaultPartition       Fault = "partition"       // of the instance's data centre from the others and the platform
	FaultCallersCut      Fault = "callersCut"      // callers' connections break; new ones to the instance are closed
	FaultCallersSilent   Fault = "callersSilent"   // existing connections of callers
	FaultCancellations   Fault = "cancellations"   // waves of jobs that are cancelled at once
	FaultLeavingList     Fault = "leavingByList"   // a worker is leaving, told by the platform's list only
	FaultLeavingHeader   Fault = "leavingByHeader" // told by the header of its replies; the list shows it as live
	FaultLeavingRefusal  Fault = "leavingByRefusal"
	FaultKill            Fault = "kill"
	FaultKillBoth        Fault = "killOwnerAndReplica"
)

// Faults returns all faults. Those that kill are the last, because nothing else can happen to a process that was killed.
func Faults() []Fault {
	return []Fault{
		FaultPause, FaultCut, FaultSilent, FaultSlowStore, FaultStoreDown, FaultReplyLost, FaultLateReply,
		FaultCrossedReply, FaultWorkerFailsAll, FaultRacingOperators, FaultPartition, FaultCallersCut, FaultCallersSilent,
		FaultCancellations, FaultLeavingList, FaultLeavingHeader, FaultLeavingRefusal, FaultKill, FaultKillBoth,
	}
}

// Sizes of the faults, in relation to ShortTiming.
const (
	faultTime   = 900 * time.Millisecond // longer than a lease and than the time until a peer counts as gone
	slowStore   = 300 * time.Millisecond // below the platform timeout, so that requests succeed late
	lateCommits = 4                      // commits that land late
	lateBy      = 700 * time.Millisecond // above the platform timeout, so that the writer has begun to try again
	lateReply   = 300 * time.Millisecond // of workers
	linkDelay   = 60 * time.Millisecond  // one way
)

// NotApplicable returns why the cell cannot occur, empty if it can. Each single fault can occur at every step, because
// the work of a cell uses all links all the time.
func (ce Cell) NotApplicable() string {
	switch {
	case ce.has(FaultStoreDown) && ce.has(FaultSlowStore):
		return "storeDown with slowStore: a store that is down answers nothing, so it cannot answer slowly"
	case ce.has(FaultReplyLost) && ce.has(FaultCrossedReply):
		return "replyLostAfterEffect with crossedReply: a worker's reply that is lost cannot be that of another request"
	case ce.has(FaultCut) && ce.has(FaultSilent):
		return "cut with silentConnection: a connection that is cut is not silent"
	case ce.has(FaultCallersCut) && ce.has(FaultCallersSilent):
		return "callersCut with callersSilent: a caller's connection that is cut is not silent"
	case ce.has(FaultCut) && ce.has(FaultPartition):
		return "cut with partition: a partition changes nothing for an instance whose links are all cut"
	case ce.has(FaultKill) && ce.has(FaultKillBoth):
		return "kill with killOwnerAndReplica: an instance dies once"
	case ce.has(FaultLeavingHeader) && ce.has(FaultLeavingRefusal):
		return "leavingByHeader with leavingByRefusal: a worker that refuses everything answers nothing else"
	}
	for _, sg := range ce.Later {
		switch {
		case sg.Step.Step == ce.Step.Step:
			return "the same step twice: these are the pairs of faults"
		case sg.Step.Prepare != nil && ce.Step.Prepare != nil:
			return "two of takeOver, handOver and shutDown: the first instance ends once"
		case slices.Equal(sg.Faults, ce.Faults):
			return "the same fault twice: it lasts until both end"
		}
	}
	return ""
}

// begin starts a fault at an instance. It does not block, because it may be called on the control loop.
func (ce *cellRun) begin(fa Fault, it *Instance) {
	de := ce.de
	switch fa {
	case FaultKill:
		it.Kill()
	case FaultKillBoth:
		de.killWithReplicas(it)
	case FaultPause:
		it.Pause()
	case FaultCut:
		de.Isolate(it, true)
	case FaultSilent:
		de.Silence(it)
	case FaultPartition:
		de.Partition(it.DataCentre, true)
	case FaultCallersCut:
		de.cutCallers(it, true)
	case FaultCallersSilent:
		de.silenceCallers()
	case FaultCancellations:
		ce.waves.Go(func() { ce.cancelWaves(it) })
	case FaultRacingOperators:
		ce.waves.Go(ce.race)
	case FaultLeavingList, FaultLeavingHeader, FaultLeavingRefusal:
		ce.beginLeaving(fa)
	default:
		ce.beginOuter(fa, it)
	}
}

// beginOuter starts a fault of the platform or of the workers.
func (ce *cellRun) beginOuter(fa Fault, it *Instance) {
	switch fa {
	case FaultSlowStore:
		ce.platform(func(pf *lovagefake.PlatformFaults) { pf.Latency = lovagefake.Duration(slowStore) })
	case FaultStoreDown:
		ce.platform(func(pf *lovagefake.PlatformFaults) { pf.Down = true })
	case FaultReplyLost:
		ce.platform(func(pf *lovagefake.PlatformFaults) { pf.LoseReplies = -1 })
		ce.workers(func(wf *lovagefake.WorkerFaults) { wf.CloseInReply = true })
	case FaultLateReply:
		ce.platform(func(pf *lovagefake.PlatformFaults) {
			pf.DelayCommits, pf.CommitDelay = lateCommits, lovagefake.Duration(lateBy)
		})
		ce.workers(func(wf *lovagefake.WorkerFaults) { wf.ReplyDelay = lovagefake.Duration(lateReply) })
		ce.de.Delay(it, linkDelay)
	case FaultCrossedReply:
		ce.workers(func(wf *lovagefake.WorkerFaults) { wf.MismatchReplies = true })
	case FaultWorkerFailsAll:
		ce.workers(func(wf *lovagefake.WorkerFaults) { wf.FailEverything = true })
	default:
		panic("there is no fault " + string(fa))
	}
}

// end heals everything but processes that have ended and workers that are leaving.
func (ce *cellRun) end(hit []*Instance) {
	de := ce.de
	for _, it := range hit {
		it.Resume()
	}
	for _, it := range hit {
		if ce.has(FaultCut) {
			de.Isolate(it, false)
		}
		if ce.has(FaultPartition) {
			de.Partition(it.DataCentre, false)
		}
		if ce.has(FaultLateReply) {
			de.Delay(it, 0)
		}
		if ce.has(FaultCallersCut) {
			de.cutCallers(it, false)
		}
	}
	if ce.has(FaultCallersSilent) {
		for _, it := range de.Instances() {
			it.CallerClient.Close() // idle connections that are silent; a caller of its own would replace them after timeouts
		}
	}
	de.platform.SetFaults(lovagefake.PlatformFaults{})
	ce.workers(func(wf *lovagefake.WorkerFaults) {
		*wf = lovagefake.WorkerFaults{Leaving: wf.Leaving, Refuse: wf.Refuse}
	})
	ce.waves.Wait()
}

func (ce *cellRun) platform(change func(pf *lovagefake.PlatformFaults)) {
	pf := ce.de.platform.Faults()
	change(&pf)
	ce.de.platform.SetFaults(pf)
}

func (ce *cellRun) workers(change func(wf *lovagefake.WorkerFaults)) {
	for _, wo := range ce.de.workers {
		ce.changeWorker(wo, change)
	}
}

func (ce *cellRun) changeWorker(wo *Worker, change func(wf *lovagefake.WorkerFaults)) {
	wf := wo.Faults()
	change(&wf)
	wo.SetFaults(wf)
}

// race has one operator per running instance replace the same revision of one resource, several times.
func (ce *cellRun) race() {
	ctx, cancel := context.WithTimeout(ce.ctx, faultTime)
	defer cancel()
	op := ce.de.NewOperator()
	for round := 1; ctx.Err() == nil; round++ {
		base := int64(0)
		for _, it := range ce.de.Running() {
			if li, err := op.Read(ctx, it); err == nil {
				base = max(base, revisionOf(li.Resources, lovageresource.KindTeam, raceTeam))
			}
		}
		done := make(chan struct{})
		running := ce.de.Running()
		for i, it := range running {
			go func() {
				defer func() { done <- struct{}{} }()
				_, _ = op.Put(ctx, it, lovageresource.Resource{
					Kind: lovageresource.KindTeam, Name: raceTeam, Revision: base,
					Spec: lovageresource.Team{Weight: float64(round%900+1) + float64(i)/10},
				})
			}()
		}
		for range running {
			<-done
		}
	}
}

// raceTeam is the resource that racing operators change.
const raceTeam = "race"

func revisionOf(list []lovageresource.Resource, kind lovageresource.Kind, name string) int64 {
	for i := range list {
		if list[i].Kind == kind && list[i].Name == name {
			return list[i].Revision
		}
	}
	return 0
}
