package lovagetrial

import (
	"context"
	"slices"
	"time"

	"lovagestack/lovagefake"
	"lovagestack/lovageresource"
)

// Fault is a kind of fault in the fault matrix.
type Fault string

// Faults, as listed in docs/design.md. A fault of a process or of its links affects the instance that reached the step.
const (
	FaultPause               Fault = "pause"
	FaultLinksCut            Fault = "cut"              // cuts all links; new connections fail, too
	FaultSilentConnection    Fault = "silentConnection" // drops the bytes of existing connections
	FaultSlowStore           Fault = "slowStore"
	FaultStoreDown           Fault = "storeDown"
	FaultReplyLost           Fault = "replyLostAfterEffect" // store and workers act, but their replies are lost
	FaultLateReply           Fault = "lateReply"            // workers and peers reply late; commits take effect late
	FaultCrossedReply        Fault = "crossedReply"         // a worker's reply is about another task
	FaultWorkerFailsAll      Fault = "workerFailsEverything"
	FaultRacingOperators     Fault = "racingOperators"
	FaultPartition           Fault = "partition"       // cuts the data centre off from the others and the platform
	FaultCallersCut          Fault = "callersCut"      // closes callers' connections, and new ones to the instance at once
	FaultCallersSilent       Fault = "callersSilent"   // drops the bytes of callers' existing connections
	FaultCancellations       Fault = "cancellations"   // waves of jobs that callers soon cancel
	FaultLeavingByList       Fault = "leavingByList"   // only the platform's list shows that a worker is leaving
	FaultLeavingByHeader     Fault = "leavingByHeader" // only a worker's replies say that it is leaving
	FaultLeavingByRefusal    Fault = "leavingByRefusal"
	FaultKill                Fault = "kill"
	FaultKillOwnerAndReplica Fault = "killOwnerAndReplica"
)

// Faults returns all faults. Kills are last, because nothing else can happen to a killed process.
func Faults() []Fault {
	return []Fault{
		FaultPause, FaultLinksCut, FaultSilentConnection, FaultSlowStore, FaultStoreDown, FaultReplyLost, FaultLateReply,
		FaultCrossedReply, FaultWorkerFailsAll, FaultRacingOperators, FaultPartition, FaultCallersCut, FaultCallersSilent,
		FaultCancellations, FaultLeavingByList, FaultLeavingByHeader, FaultLeavingByRefusal, FaultKill, FaultKillOwnerAndReplica,
	}
}

// Durations and counts of the faults under ShortTiming.
const (
	faultDuration    = 900 * time.Millisecond // longer than a lease and than the time until a peer counts as gone
	slowStoreLatency = 300 * time.Millisecond // below PlatformTimeout, so that requests succeed late
	delayedCommits   = 4                      // number of commits that take effect late
	commitDelay      = 700 * time.Millisecond // above PlatformTimeout, so that the writer has already retried
	workerReplyDelay = 300 * time.Millisecond // delay of every worker's reply
	linkDelay        = 60 * time.Millisecond  // delay of bytes in each direction
)

// NotApplicable returns the reason why the cell cannot occur, or "" if it can. Each single fault can occur at every step,
// because the work of a cell uses all links all the time.
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
			return "the same step twice: the pairs of faults cover this"
		case sg.Step.Prepare != nil && ce.Step.Prepare != nil:
			return "two of takeOver, handOver and shutDown: the first instance ends once"
		case slices.Equal(sg.Faults, ce.Faults):
			return "the same fault twice: it lasts until both end"
		}
	}
	return ""
}

// beginFault starts a fault at an instance. It must not block, because the control loop may call it.
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

// beginExternalFault starts a fault of the platform or the workers. FaultLateReply also delays links.
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
		panic("unknown fault " + string(fa))
	}
}

// endFaults ends all faults. It restarts no process, and leaving workers stay leaving.
func (run *cellRun) endFaults(affectedInstances []*Instance) {
	de := run.de
	for _, it := range affectedInstances {
		it.Resume()
	}
	for _, it := range affectedInstances {
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
			it.CallerClient.Close() // closes silent connections, which a caller would replace only after time-outs
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

// raceOperators repeatedly sends changes of the team race to all running instances at once. All changes of a round
// replace the same revision.
func (run *cellRun) raceOperators() {
	ctx, cancel := context.WithTimeout(run.ctx, faultDuration)
	defer cancel()
	op := run.de.NewOperator()
	for round := 1; ctx.Err() == nil; round++ {
		latestRevision := int64(0)
		for _, it := range run.de.Running() {
			if li, err := op.Read(ctx, it); err == nil {
				latestRevision = max(latestRevision, revisionOf(li.Resources, lovageresource.KindTeam, raceTeam))
			}
		}
		done := make(chan struct{})
		running := run.de.Running()
		for i, it := range running {
			go func() {
				defer func() { done <- struct{}{} }()
				_, _ = op.Put(ctx, it, lovageresource.Resource{
					Kind: lovageresource.KindTeam, Name: raceTeam, Revision: latestRevision,
					Spec: lovageresource.Team{Weight: float64(round%900+1) + float64(i)/10},
				})
			}()
		}
		for range running {
			<-done
		}
	}
}

const raceTeam = "race"

func revisionOf(list []lovageresource.Resource, kind lovageresource.Kind, name string) int64 {
	for i := range list {
		if list[i].Kind == kind && list[i].Name == name {
			return list[i].Revision
		}
	}
	return 0
}
