package lovagetrial

import (
	"lovagestack/lovageentry"
)

// Steps that are not seen by the instance itself.
const (
	stepWorkerRuns = lovageentry.Step("workerRuns") // a worker has started a task
	stepWatch      = lovageentry.Step("watch")      // a watcher of resources has got a change
)

// StepCase is a step of the fault matrix.
type StepCase struct {
	Step lovageentry.Step
	// Prepare brings the deployment to the step if the work of a cell does not do so by itself. It is called once,
	// when work is under way, and may be nil.
	Prepare func(de *Deployment)
	// Counts tells whether the step counts at this instance; nil: at any. It holds for the first faults of a cell only:
	// an instance that these have hit may never reach the step.
	Counts func(it *Instance) bool
}

// firstName is the instance whose keys and ranges the steps are about.
const firstName = "kandla-1"

func atFirst(it *Instance) bool { return it.Name == firstName }

func atOthers(it *Instance) bool { return it.Name != firstName }

func shutDownFirst(de *Deployment) {
	if it := firstRunning(de); it != nil {
		go func() { _, _ = it.ShutDown() }() // the evidence records the result
	}
}

func killFirst(de *Deployment) {
	if it := firstRunning(de); it != nil {
		it.Kill()
	}
}

// firstRunning returns the instance with the name firstName or, if an earlier fault has ended it, the next one that
// runs, and nil if there is none.
func firstRunning(de *Deployment) *Instance {
	if running := de.Running(); len(running) > 0 {
		return running[0]
	}
	return nil
}

// Steps returns the steps of the fault matrix, in the order of docs/design.md.
func Steps() []StepCase {
	// The steps without Counts are taken by the instance that decides for all slots, whichever that is.
	return []StepCase{
		{Step: lovageentry.StepAccept, Counts: atFirst},
		{Step: lovageentry.StepForward, Counts: atOthers},
		{Step: lovageentry.StepQueue},
		{Step: lovageentry.StepChoose},
		{Step: lovageentry.StepWriteRequest},
		{Step: stepWorkerRuns},
		{Step: lovageentry.StepReadReply},
		{Step: lovageentry.StepAnswer, Counts: atFirst},
		{Step: lovageentry.StepRenew, Counts: atFirst},
		{Step: lovageentry.StepTakeOver, Prepare: killFirst, Counts: atOthers},
		{Step: lovageentry.StepHandOver, Prepare: shutDownFirst, Counts: atFirst},
		{Step: lovageentry.StepApply, Counts: atFirst},
		{Step: stepWatch, Counts: atFirst},
		{Step: lovageentry.StepShutDown, Prepare: shutDownFirst, Counts: atFirst},
	}
}
