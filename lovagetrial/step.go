package lovagetrial

import (
	"lovagestack/lovageentry"
)

// Steps that the trial itself reports, not an instance.
const (
	stepWorkerRuns = lovageentry.Step("workerRuns") // a worker has started a task
	stepWatch      = lovageentry.Step("watch")      // a watcher of resources has received a change
)

// StepCase is a step of the fault matrix.
type StepCase struct {
	Step lovageentry.Step
	// Prepare makes an instance reach the step, for example by killing another one. It is called once, while callers
	// work. It is nil if the callers' work alone leads to the step.
	Prepare func(de *Deployment)
	// CountsAt reports whether faults begin when this instance reaches the step; nil means at any instance. It applies
	// only to a cell's first stage: an instance that the first faults have hit may never reach a later step.
	CountsAt func(it *Instance) bool
}

// firstInstanceName names the instance that mints most keys, and at which most steps count.
const firstInstanceName = "kandla-1"

func isFirstInstance(it *Instance) bool { return it.Name == firstInstanceName }

func isOtherInstance(it *Instance) bool { return it.Name != firstInstanceName }

func shutDownFirstRunning(de *Deployment) {
	if it := firstRunning(de); it != nil {
		go func() { _, _ = it.ShutDown() }() // ShutDown records the result
	}
}

func killFirstRunning(de *Deployment) {
	if it := firstRunning(de); it != nil {
		it.Kill()
	}
}

// firstRunning returns the first running instance, or nil. It is firstInstanceName unless a fault has ended that
// instance.
func firstRunning(de *Deployment) *Instance {
	if running := de.Running(); len(running) > 0 {
		return running[0]
	}
	return nil
}

// Steps returns the steps of the fault matrix, in the order of docs/design.md.
func Steps() []StepCase {
	// Only the deciding instance takes the steps without CountsAt, except stepWorkerRuns.
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
		{Step: lovageentry.StepTakeOver, Prepare: killFirstRunning, CountsAt: isOtherInstance},
		{Step: lovageentry.StepHandOver, Prepare: shutDownFirstRunning, CountsAt: isFirstInstance},
		{Step: lovageentry.StepApply, CountsAt: isFirstInstance},
		{Step: stepWatch, CountsAt: isFirstInstance},
		{Step: lovageentry.StepShutDown, Prepare: shutDownFirstRunning, CountsAt: isFirstInstance},
	}
}
