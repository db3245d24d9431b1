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
	// CountsAt tells whether the step counts at this instance; nil: at any. It holds for the first faults of a cell only:
	// an instance that these have hit may never reach the step.
	CountsAt func(it *Instance) bool
}

// firstInstanceName is the instance whose keys and ranges the steps are about.
const firstInstanceName = "kandla-1"

func isFirstInstance(it *Instance) bool { return it.Name == firstInstanceName }

func isOtherInstance(it *Instance) bool { return it.Name != firstInstanceName }

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
		{Step: lovageentry.StepAccept, CountsAt: isFirstInstance},
		{Step: lovageentry.StepForward, CountsAt: isOtherInstance},
		{Step: lovageentry.StepQueue},
		{Step: lovageentry.StepChoose},
		{Step: lovageentry.StepWriteRequest},
		{Step: stepWorkerRuns},
		{Step: lovageentry.StepReadReply},
		{Step: lovageentry.StepAnswer, CountsAt: isFirstInstance},
		{Step: lovageentry.StepRenew, CountsAt: isFirstInstance},
		{Step: lovageentry.StepTakeOver, Prepare: killFirst, CountsAt: isOtherInstance},
		{Step: lovageentry.StepHandOver, Prepare: shutDownFirst, CountsAt: isFirstInstance},
		{Step: lovageentry.StepApply, CountsAt: isFirstInstance},
		{Step: stepWatch, CountsAt: isFirstInstance},
		{Step: lovageentry.StepShutDown, Prepare: shutDownFirst, CountsAt: isFirstInstance},
	}
}
