package lovagetrial

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"lovagestack/lovageentry"
	"lovagestack/lovagejob"
)

// Cell is one case of the fault matrix: a step, the faults that begin at this step, and later stages.
type Cell struct {
	Step        StepCase
	Faults      []Fault
	LaterStages []Stage // awaited in this order after Step
	Seed        uint64
	Log         *zap.Logger // nil logs nothing
}

// Stage is a step and the faults that begin at this step.
type Stage struct {
	Step   StepCase
	Faults []Fault
}

// String names the stage as step/fault+fault.
func (sg Stage) String() string {
	names := make([]string, len(sg.Faults))
	for i, fa := range sg.Faults {
		names[i] = string(fa)
	}
	return fmt.Sprintf("%s/%s", sg.Step.Step, strings.Join(names, "+"))
}

// String names the cell as step/fault+fault/seed, with ",step/fault" before the seed for each later stage.
func (ce Cell) String() string {
	names := make([]string, 0, len(ce.LaterStages)+1)
	for _, sg := range ce.allStages() {
		names = append(names, sg.String())
	}
	return fmt.Sprintf("%s/%d", strings.Join(names, ","), ce.Seed)
}

func (ce Cell) allStages() []Stage { return append([]Stage{{ce.Step, ce.Faults}}, ce.LaterStages...) }

func (ce Cell) hasAnyFault(faults ...Fault) bool {
	for _, sg := range ce.allStages() {
		for _, fa := range faults {
			if slices.Contains(sg.Faults, fa) {
				return true
			}
		}
	}
	return false
}

// CellResult is the result of running a cell.
type CellResult struct {
	Violations  []Violation
	Problems    []string // other failures, such as a step that was not reached
	Report      string   // Deployment.Report, if the cell failed
	JudgedCalls int      // number of callers' requests checked
	Duration    time.Duration
}

// Failed reports whether there are violations or problems.
func (res *CellResult) Failed() bool { return len(res.Violations)+len(res.Problems) > 0 }

// Time limits and pauses of a cell. The limits end a cell that hangs; they do not test speed.
const (
	stepTimeout     = 20 * time.Second
	recoveryTimeout = 30 * time.Second // maximum time for recovery after the work
	askAllTimeout   = 90 * time.Second // maximum time to ask about all keys, which are more on a faster machine
	cellCallTimeout = 3 * time.Second  // maximum time of a call; the caller then goes on at another instance
	injectionDelay  = 100 * time.Millisecond
	maxStageDelay   = 400 * time.Millisecond // pause between two stages; below faultDuration, so that their faults overlap
)

// Random number streams of a cell. The callers use streams 0 to cellCallers-1.
const (
	stageDelayStream = 1000 + iota
	cancelWaveStream
)

type cellRun struct {
	Cell
	ctx          context.Context
	stopWork     context.CancelFunc // cancels ctx
	de           *Deployment
	reachedBy    chan *Instance // receives the instance that reached the awaited step
	awaited      atomic.Pointer[awaitedStage]
	workGroup    sync.WaitGroup
	faultGroup   sync.WaitGroup // goroutines of racing operators and cancellation waves
	leavingIndex atomic.Int64   // index of the leaving worker in de.workers

	mu              sync.Mutex
	keys            []cellKey
	problems        []string
	leavingReplies  []time.Time // times of replies that say that the worker is leaving
	leavingListedAt time.Time   // when the platform's list began to show the worker as leaving
}

// awaitedStage is the stage for whose step the cell waits.
type awaitedStage struct {
	Stage
	atAnyInstance bool // the step counts at any instance
}

type cellKey struct {
	key        string
	repeatable bool
	minter     string // name of the instance that was asked for the key
}

// Run runs the cell in its own deployment. Callers work while the faults begin and end. Then every instance must
// complete a new job and is asked for the answer to every key. Check examines the evidence.
func (ce Cell) Run(ctx context.Context) CellResult {
	began := time.Now()
	run := &cellRun{Cell: ce, reachedBy: make(chan *Instance, 1)}
	run.ctx, run.stopWork = context.WithCancel(ctx)
	defer run.stopWork()
	de, err := New(Options{
		DataCentres: []DataCentre{
			{Name: "kandla", Instances: 2, WorkerSpeeds: []float64{1, 0.5}},
			{Name: "navlakhi", Instances: 1, WorkerSpeeds: []float64{1}},
		},
		Seed: ce.Seed, Log: ce.Log, OnStep: run.onStep, OnTaskStart: run.onTaskStart, OnWorkerReply: run.recordLeavingReply,
		CallerLinks: ce.hasAnyFault(FaultCallersCut, FaultCallersSilent),
	})
	if err != nil {
		return CellResult{Problems: []string{"cannot start the deployment: " + err.Error()}}
	}
	defer de.Close()
	run.de = de
	run.startWork()
	run.injectFaults()
	run.restartEnded()
	run.awaitLeaving()
	run.stopWork()
	run.workGroup.Wait()
	// Recovery comes first, so that its time limit does not depend on the number of keys.
	run.checkRecovery(ctx)
	run.askAllInstances(ctx)
	ev := de.Evidence()
	res := CellResult{Violations: Check(ev), Problems: run.problems, JudgedCalls: len(ev.Calls), Duration: time.Since(began)}
	if res.Failed() {
		res.Report = de.Report()
	}
	return res
}

func (run *cellRun) addProblem(format string, args ...any) {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.problems = append(run.problems, fmt.Sprintf(format, args...))
}

// injectFaults waits until an instance reaches the step of each stage; onStep then begins the stage's faults. Faults end
// faultDuration after the last step, or earlier (see awaitStep).
func (run *cellRun) injectFaults() {
	_ = pauseFor(run.ctx, injectionDelay)
	rng := run.newRand(stageDelayStream)
	var affectedInstances []*Instance
	for i, sg := range run.allStages() {
		if i > 0 {
			_ = pauseFor(run.ctx, time.Duration(rng.Int64N(int64(maxStageDelay))))
		}
		run.awaited.Store(&awaitedStage{Stage: sg, atAnyInstance: i > 0})
		if sg.Step.Prepare != nil {
			sg.Step.Prepare(run.de)
		}
		it := run.awaitStep(&affectedInstances)
		if it == nil {
			run.awaited.Store(nil)
			run.addProblem("step %s was not reached within %s", sg.Step.Step, stepTimeout)
			break
		}
		affectedInstances = append(affectedInstances, it)
	}
	_ = pauseFor(run.ctx, faultDuration)
	run.endFaults(affectedInstances)
}

// awaitStep returns the instance that reached the step, or nil after stepTimeout. After faultDuration it ends the faults
// of earlier stages, which hit the affected instances.
func (run *cellRun) awaitStep(affectedInstances *[]*Instance) *Instance {
	faultTimer := time.NewTimer(faultDuration)
	defer faultTimer.Stop()
	stepTimer := time.NewTimer(stepTimeout)
	defer stepTimer.Stop()
	for {
		select {
		case it := <-run.reachedBy:
			return it
		case <-faultTimer.C:
			if len(*affectedInstances) > 0 {
				run.endFaults(*affectedInstances)
				run.restartEnded()
				*affectedInstances = nil
			}
		case <-stepTimer.C:
			return nil
		}
	}
}

// onStep begins the awaited stage's faults when the step is first reached at an instance at which it counts (see
// StepCase). It runs on the goroutine that takes the step.
func (run *cellRun) onStep(it *Instance, st lovageentry.Step) {
	aw := run.awaited.Load()
	if aw == nil || st != aw.Step.Step || !aw.atAnyInstance && aw.Step.CountsAt != nil && !aw.Step.CountsAt(it) ||
		!run.awaited.CompareAndSwap(aw, nil) {
		return
	}
	for _, fa := range aw.Faults {
		run.beginFault(fa, it)
	}
	run.reachedBy <- it
}

// onTaskStart reports stepWorkerRuns when a worker starts a task, as a step of the instance asked for the task's key.
func (run *cellRun) onTaskStart(task string) {
	if aw := run.awaited.Load(); aw == nil || aw.Step.Step != stepWorkerRuns {
		return
	}
	key, _, _ := strings.Cut(task, "/")
	run.mu.Lock()
	minter := ""
	for _, ck := range run.keys {
		if ck.key == key {
			minter = ck.minter
		}
	}
	run.mu.Unlock()
	if it := run.de.Instance(minter); it != nil {
		run.onStep(it, stepWorkerRuns)
	}
}

// restartEnded restarts every instance that has ended or is ending.
func (run *cellRun) restartEnded() {
	for _, it := range run.de.Instances() {
		if it.Running() {
			continue
		}
		select {
		case <-it.done:
		case <-time.After(recoveryTimeout):
			run.addProblem("%s did not end", it.ID())
			continue
		}
		if _, err := it.Restart(); err != nil {
			run.addProblem("cannot restart %s: %v", it.Name, err)
		}
	}
}

// askAllInstances asks every running instance about every key.
func (run *cellRun) askAllInstances(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, askAllTimeout)
	defer cancel()
	ca := run.de.NewCaller()
	var group sync.WaitGroup
	keys := run.usedKeys()
	for _, it := range run.de.Running() {
		group.Go(func() {
			for i, ck := range keys {
				if ctx.Err() != nil {
					run.addProblem("%s was asked about only %d of %d keys within %s", it.ID(), i, len(keys), askAllTimeout)
					return
				}
				askCtx, cancel := context.WithTimeout(ctx, cellCallTimeout)
				_, _ = ca.Ask(askCtx, it, ck.key, 0) // recorded for Check
				cancel()
			}
		})
	}
	group.Wait()
}

func (run *cellRun) usedKeys() []cellKey {
	run.mu.Lock()
	defer run.mu.Unlock()
	return append([]cellKey(nil), run.keys...)
}

// checkRecovery requires that each instance mints a key and completes a job with it, and that some instance accepts a
// configuration change.
func (run *cellRun) checkRecovery(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	ca := run.de.NewCaller()
	for _, it := range run.de.Running() {
		var lastAnswer string
		for {
			key, err := run.mintKey(ctx, ca, it, false)
			if err == nil {
				an, err := ca.SubmitUntilFinal(ctx, run.newJob(key, false), it)
				lastAnswer = fmt.Sprintf("%s: %s %s %v", key, an.Outcome, an.Reason, err)
				if an.Outcome == lovagejob.Complete {
					break
				}
			} else {
				lastAnswer = err.Error()
			}
			if pauseFor(ctx, pollInterval) != nil {
				run.addProblem("%s completed no new job after the faults: %s", it.ID(), lastAnswer)
				break
			}
		}
	}
	for n := 1; ; n++ {
		if revision, ok := run.putMarkerTeam(ctx, 1+n%900); ok {
			_ = run.de.NewOperator().AwaitInForce(ctx, revision) // recorded for Check
			return
		}
		if pauseFor(ctx, pollInterval) != nil {
			run.addProblem("no change of the configuration was accepted within %s after the faults", recoveryTimeout)
			return
		}
	}
}

func (run *cellRun) newRand(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(run.Seed, stream)) }
