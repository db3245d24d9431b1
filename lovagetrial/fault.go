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
	FaultPause               Fault = "pause"
	FaultLinksCut            Fault = "cut"              // all links, also new connections
	FaultSilentConnection    Fault = "silentConnection" // existing connections only
	FaultSlowStore           Fault = "slowStore"
	FaultStoreDown           Fault = "storeDown"
	FaultReplyLost           Fault = "replyLostAfterEffect" // of the store and of workers
	FaultLateReply           Fault = "lateReply"            // of workers and peers; commits land late
	FaultCrossedReply        Fault = "crossedReply"         // of workers
	FaultWorkerFailsAll      Fault = "workerFailsEverything"
	FaultRacingOperators     Fault = "racingOperators"
	FaultPartition           Fault = "partition"       // of the instance's data centre from the others and the platform
	FaultCallersCut          Fault = "callersCut"      // callers' connections break; new ones to the instance are closed
	FaultCallersSilent       Fault = "callersSilent"   // existing connections of callers
	FaultCancellations       Fault = "cancellations"   // waves of jobs that are cancelled at once
	FaultLeavingByList       Fault = "leavingByList"   // a worker is leaving, told by the platform's list only
	FaultLeavingByHeader     Fault = "leavingByHeader" // told by the header of its replies; the list shows it as live
	FaultLeavingByRefusal    Fault = "leavingByRefusal"
	FaultKill                Fault = "kill"
	FaultKillOwnerAndReplica Fault = "killOwnerAndReplica"
)

// Faults returns all faults. Those that kill are the last, because nothing else can happen to a process that was killed.
func Faults() []Fault {
	return []Fault{
		FaultPause, FaultLinksCut, FaultSilentConnection, FaultSlowStore, FaultStoreDown, FaultReplyLost, FaultLateReply,
		FaultCrossedReply, FaultWorkerFailsAll, FaultRacingOperators, FaultPartition, FaultCallersCut, FaultCallersSilent,
		FaultCancellations, FaultLeavingByList, FaultLeavingByHeader, FaultLeavingByRefusal, FaultKill, FaultKillOwnerAndReplica,
	}
}

// Sizes of the faults, in relation to ShortTiming.
const (
	faultDuration    = 900 * time.Millisecond // longer than a lease and than the time until a peer counts as gone
	slowStoreLatency = 300 * time.Millisecond // below the platform timeout, so that requests succeed late
	delayedCommits   = 4                      // commits that land late
	commitDelay      = 700 * time.Millisecond // above the platform timeout, so that the writer has begun to try again
	workerReplyDelay = 300 * time.Millisecond // of workers
	linkDelay        = 60 * time.Millisecond  // one way
)

// NotApplicable returns why the cell cannot occur, empty if it can. Each single fault can occur at every step, because
// the work of a cell uses all links all the time.
func (ce Cell) NotApplicable() string {
	switch {
	case ce.hasAnyFault(FaultStoreDown) && ce.hasAnyFault(FaultSlowStore):
		return "storeDown with slowStore: a store that is down answers nothing, so it cannot answer slowly"
	case ce.hasAnyFault(FaultReplyLost) && ce.hasAnyFault(FaultCrossedReply):
		return "replyLostAfterEffect with crossedReply: a worker's reply that is lost cannot be that of another request"
	case ce.hasAnyFault(FaultLinksCut) && ce.hasAnyFault(FaultSilentConnection):
		return "cut with silentConnection: a connection that is cut is not silent"
	case ce.hasAnyFault(FaultCallersCut) && ce.hasAnyFault(FaultCallersSilent):
		return "callersCut with callersSilent: a caller's connection that is cut is not silent"
	case ce.hasAnyFault(FaultLinksCut) && ce.hasAnyFault(FaultPartition):
		return "cut with partition: a partition changes nothing for an instance whose links are all cut"
	case ce.hasAnyFault(FaultKill) && ce.hasAnyFault(FaultKillOwnerAndReplica):
		return "kill with killOwnerAndReplica: an instance dies once"
	case ce.hasAnyFault(FaultLeavingByHeader) && ce.hasAnyFault(FaultLeavingByRefusal):
		return "leavingByHeader with leavingByRefusal: a worker that refuses everything answers nothing else"
	}
	for _, sg := range ce.LaterStages {
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

// beginFault starts a fault at an instance. It does not block, because it may be called on the control loop.
func (run *cellRun) beginFault(fa Fault, it *Instance) {
	de := run.de
	switch fa {
	case FaultKill:
		it.Kill()
	case FaultKillOwnerAndReplica:
		de.killWithReplicas(it)
	case FaultPause:
		it.Pause()
	case FaultLinksCut:
		de.Isolate(it, true)
	case FaultSilentConnection:
		de.Silence(it)
	case FaultPartition:
		de.Partition(it.DataCentre, true)
	case FaultCallersCut:
		de.cutCallers(it, true)
	case FaultCallersSilent:
		de.silenceCallers()
	case FaultCancellations:
		run.faultGroup.Go(func() { run.runCancelWaves(it) })
	case FaultRacingOperators:
		run.faultGroup.Go(run.raceOperators)
	case FaultLeavingByList, FaultLeavingByHeader, FaultLeavingByRefusal:
		run.beginLeaving(fa)
	default:
		run.beginExternalFault(fa, it)
	}
}

// beginExternalFault starts a fault of the platform or of the workers.
func (run *cellRun) beginExternalFault(fa Fault, it *Instance) {
	switch fa {
	case FaultSlowStore:
		run.changePlatformFaults(func(pf *lovagefake.PlatformFaults) { pf.Latency = lovagefake.Duration(slowStoreLatency) })
	case FaultStoreDown:
		run.changePlatformFaults(func(pf *lovagefake.PlatformFaults) { pf.Down = true })
	case FaultReplyLost:
		run.changePlatformFaults(func(pf *lovagefake.PlatformFaults) { pf.LoseReplies = -1 })
		run.changeAllWorkerFaults(func(wf *lovagefake.WorkerFaults) { wf.CloseInReply = true })
	case FaultLateReply:
		run.changePlatformFaults(func(pf *lovagefake.PlatformFaults) {
			pf.DelayCommits, pf.CommitDelay = delayedCommits, lovagefake.Duration(commitDelay)
		})
		run.changeAllWorkerFaults(func(wf *lovagefake.WorkerFaults) { wf.ReplyDelay = lovagefake.Duration(workerReplyDelay) })
		run.de.Delay(it, linkDelay)
	case FaultCrossedReply:
		run.changeAllWorkerFaults(func(wf *lovagefake.WorkerFaults) { wf.MismatchReplies = true })
	case FaultWorkerFailsAll:
		run.changeAllWorkerFaults(func(wf *lovagefake.WorkerFaults) { wf.FailEverything = true })
	default:
		panic("there is no fault " + string(fa))
	}
}

// endFaults heals everything but processes that have ended and workers that are leaving.
func (run *cellRun) endFaults(affected []*Instance) {
	de := run.de
	for _, it := range affected {
		it.Resume()
	}
	for _, it := range affected {
		if run.hasAnyFault(FaultLinksCut) {
			de.Isolate(it, false)
		}
		if run.hasAnyFault(FaultPartition) {
			de.Partition(it.DataCentre, false)
		}
		if run.hasAnyFault(FaultLateReply) {
			de.Delay(it, 0)
		}
		if run.hasAnyFault(FaultCallersCut) {
			de.cutCallers(it, false)
		}
	}
	if run.hasAnyFault(FaultCallersSilent) {
		for _, it := range de.Instances() {
			it.CallerClient.Close() // idle connections that are silent; a caller of its own would replace them after timeouts
		}
	}
	de.platform.SetFaults(lovagefake.PlatformFaults{})
	run.changeAllWorkerFaults(func(wf *lovagefake.WorkerFaults) {
		*wf = lovagefake.WorkerFaults{Leaving: wf.Leaving, Refuse: wf.Refuse}
	})
	run.faultGroup.Wait()
}

func (run *cellRun) changePlatformFaults(change func(pf *lovagefake.PlatformFaults)) {
	pf := run.de.platform.Faults()
	change(&pf)
	run.de.platform.SetFaults(pf)
}

func (run *cellRun) changeAllWorkerFaults(change func(wf *lovagefake.WorkerFaults)) {
	for _, wo := range run.de.workers {
		run.changeWorkerFaults(wo, change)
	}
}

func (run *cellRun) changeWorkerFaults(wo *Worker, change func(wf *lovagefake.WorkerFaults)) {
	wf := wo.Faults()
	change(&wf)
	wo.SetFaults(wf)
}

// raceOperators has one operator per running instance replace the same revision of one resource, several times.
func (run *cellRun) raceOperators() {
	ctx, cancel := context.WithTimeout(run.ctx, faultDuration)
	defer cancel()
	op := run.de.NewOperator()
	for round := 1; ctx.Err() == nil; round++ {
		base := int64(0)
		for _, it := range run.de.Running() {
			if li, err := op.Read(ctx, it); err == nil {
				base = max(base, revisionOf(li.Resources, lovageresource.KindTeam, raceTeam))
			}
		}
		done := make(chan struct{})
		running := run.de.Running()
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
