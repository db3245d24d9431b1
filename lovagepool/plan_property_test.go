package lovagepool

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lovagestack/lovagejob"
)

// TestPlacingKeepsTheRules drives a pool with random events and checks every start against workers that are simulated apart
// from it: room, anti_affinity, constraints, service, order of steps, probes, that no answered or cancelled job starts, that no task runs
// twice, and that a cancelled job that counts as stopped has no run. Services of queues change. Starts come from ordinary placing, before refusals, from offloads
// of peers, and after hand-overs, removals and restarts of workers.
func TestPlacingKeepsTheRules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		si := newSimulation(rt)
		actions := map[string]func(){
			"submit": si.submit, "submitAgain": si.submitAgain, "submitOffloaded": si.submitOffloaded, "answerStart": si.answerStart,
			"endRun": si.endRun, "poll": si.poll, "answerStop": si.answerStop, "pass": si.pass, "cancel": si.cancel,
			"loseWorker": si.loseWorker, "removeOrAdd": si.removeOrAdd, "restart": si.restart, "handOver": si.handOver,
			"takeBack": si.takeBack, "foreignRun": si.foreignRun, "setPeer": si.setPeer, "answerOffload": si.answerOffload,
			"cancelByID": si.cancelByID, "askForList": si.askForList, "answerLate": si.answerLate, "configure": si.configure,
		}
		names := slices.Sorted(maps.Keys(actions))
		names = append(names, "submit", "submit", "submitOffloaded", "answerStart", "answerStart", "endRun", "endRun", "poll", "answerStop", "pass")
		for range rapid.IntRange(20, 200).Draw(rt, "events") {
			si.now = si.now.Add(time.Millisecond)
			si.expireLeases()
			actions[rapid.SampledFrom(names).Draw(rt, "action")]()
			si.execute()
		}
	})
}

// simRun is a run that a worker has, may still get, or has ended but not listed.
type simRun struct {
	task    string
	attempt int
	jobID   string
	step    int
	size    lovagejob.Resources
	ref     string    // "": started by another owner
	state   string    // "sent", "active" or an outcome
	startBy time.Time // after it the worker rejects the start
}

type simWorker struct {
	Worker
	registered  bool
	handingOver bool
	runs        []*simRun
	stopped     map[string]int // highest attempt stopped or ended, by task; the worker rejects starts up to it
	leaseEnd    time.Time
	failing     bool // all its runs fail
	ejected     bool
	mayProbeAt  time.Time
}

type simJob struct {
	*lovagejob.Workload
	offloaded bool
	done      map[string]bool
	answered  bool
}

// simStop is a stop that has not been answered.
type simStop struct {
	StopRun
	process int64 // to which it was sent
}

// simList is a reply to a poll that is under way, and may be overtaken.
type simList struct {
	worker *simWorker
	start  int64 // of the process that has answered
	sent   time.Time
	active []ActiveRun
	ended  []*simRun
}

type simulation struct {
	*rapid.T
	po       *Pool
	now      time.Time
	workers  []*simWorker
	jobs     map[string]*simJob // by ref
	refs     []string
	stops    []simStop
	lists    []simList
	offloads []Offload
	services []string                   // of the queue, by version of the configuration; the first is not passed to the pool
	stopping map[string]map[string]bool // Refs of which JobStopped must follow, by ID of the cancelled job
}

func newSimulation(rt *rapid.T) *simulation {
	si := &simulation{T: rt, po: New(DefaultSettings()), now: time.Unix(1_700_000_000, 0), jobs: map[string]*simJob{}, stopping: map[string]map[string]bool{}}
	si.services = []string{"checks"}
	si.po.OnDecision = func(de Decision) {
		if de.Kind == "workerEjected" {
			wo := si.worker(de.Worker)
			wo.ejected, wo.mayProbeAt = true, si.now.Add(de.Wait)
		}
	}
	for i := range rapid.IntRange(1, 5).Draw(rt, "workers") {
		wo := &simWorker{Worker: testWorker("w"+strconv.Itoa(i), 0), registered: true}
		si.begin(wo)
		si.workers = append(si.workers, wo)
	}
	si.setWorkers()
	for _, wo := range si.workers {
		si.list(wo)
	}
	return si
}

func (si *simulation) draw(what string, most int) int {
	return rapid.IntRange(0, most).Draw(si.T, what)
}

// begin gives the worker a new lifetime, perhaps of another kind and size.
func (si *simulation) begin(wo *simWorker) {
	wo.ProcessStart++
	wo.Kind = rapid.SampledFrom([]string{"a", "b"}).Draw(si.T, "kind")
	wo.Service = rapid.SampledFrom([]string{"checks", "checks", "checks", "other"}).Draw(si.T, "service")
	wo.Labels = []string{wo.Kind, wo.Rack}
	wo.Capacity = lovagejob.Resources{MilliCores: 1000 * int64(1+si.draw("cores", 11)), MemoryMB: 1000}
	wo.Draining, wo.failing = si.draw("draining", 19) == 0, si.draw("failing", 3) == 0
	wo.runs, wo.stopped, wo.leaseEnd, wo.ejected = nil, map[string]int{}, time.Time{}, false
}

func (si *simulation) worker(id string) *simWorker {
	return si.workers[slices.IndexFunc(si.workers, func(wo *simWorker) bool { return wo.ID == id })]
}

func (si *simulation) anyWorker() *simWorker {
	return rapid.SampledFrom(si.workers).Draw(si.T, "worker")
}

func (si *simulation) setWorkers() {
	var list []Worker
	for _, wo := range si.workers {
		if wo.registered {
			list = append(list, wo.Worker)
		}
	}
	si.po.SetWorkers(si.now, list)
}

// configure sends the queue to another service, or to the same.
func (si *simulation) configure() {
	si.services = append(si.services, rapid.SampledFrom([]string{"checks", "checks", "other"}).Draw(si.T, "service"))
	si.po.SetServices(si.now, int64(len(si.services)-1), map[string]string{"queue": si.services[len(si.services)-1]})
}

// newWork returns a job, perhaps of an instance with an older configuration.
func (si *simulation) newWork(id string) *lovagejob.Workload {
	version := max(0, len(si.services)-1-si.draw("versionsBehind", 1))
	wo := &lovagejob.Workload{
		ID: id, Queue: "queue", Service: si.services[version], ConfigVersion: int64(version), BestEffort: true, MaxAttempts: 2,
		SlackFactor:   1 + float64(si.draw("slack", 6))/10,
		TargetLatency: time.Duration(si.draw("target", 6)) * 10 * time.Millisecond, Arrived: si.now, Deadline: si.now.Add(2 * time.Second),
	}
	for i := range 1 + si.draw("steps", 2) {
		st := lovagejob.Step{
			Count:     1 + si.draw("tasks", 3),
			Resources: lovagejob.Resources{MilliCores: 500 * int64(si.draw("millicores", 8)), MemoryMB: 100 * int64(si.draw("memory", 4))},
			RunTime:   time.Duration(20+si.draw("runTime", 200)) * time.Millisecond, AntiAffinity: si.draw("antiAffinity", 2),
			Constraint: rapid.SampledFrom([]string{"", "", "a", "b"}).Draw(si.T, "constraint"),
			Affinity:   rapid.SampledFrom([]string{"", "", "r1", "r2"}).Draw(si.T, "affinity"),
		}
		if i > 0 && si.draw("depends", 1) == 1 {
			st.DependsOn = []int{si.draw("on", i-1)}
		}
		wo.Steps = append(wo.Steps, st)
	}
	return wo
}

func (si *simulation) add(wo *lovagejob.Workload, offloaded []OffloadedTask, anySpeed bool) {
	ref := fmt.Sprintf("r%d", len(si.refs))
	si.refs = append(si.refs, ref)
	si.jobs[ref] = &simJob{Workload: wo, offloaded: offloaded != nil, done: map[string]bool{}}
	si.po.Submit(si.now, &Job{Ref: ref, Work: wo, Offloaded: offloaded, AnySpeed: anySpeed})
}

func (si *simulation) submit() { si.add(si.newWork(fmt.Sprintf("j%d", len(si.refs))), nil, false) }

// earlier returns an earlier submission that is not an offload (or is one, if offloaded is set), or nil.
func (si *simulation) earlier(offloaded bool) *simJob {
	var list []*simJob
	for _, ref := range si.refs {
		if si.jobs[ref].offloaded == offloaded {
			list = append(list, si.jobs[ref])
		}
	}
	if len(list) == 0 {
		return nil
	}
	return list[len(list)-1-si.draw("back", min(len(list)-1, 3))]
}

func (si *simulation) submitAgain() {
	if older := si.earlier(false); older != nil {
		wo := *older.Workload
		wo.Arrived, wo.Deadline = si.now, si.now.Add(2*time.Second)
		si.add(&wo, nil, false)
	}
}

// submitOffloaded submits some tasks of the steps without dependencies, perhaps of a job with an earlier offload.
func (si *simulation) submitOffloaded() {
	wo := si.newWork(fmt.Sprintf("j%d", len(si.refs)))
	if older := si.earlier(true); older != nil && si.draw("same", 1) == 1 {
		wo = older.Workload
	}
	var tasks []OffloadedTask
	for i, st := range wo.Steps {
		for k := range st.Count {
			if len(st.DependsOn) == 0 && si.draw("offload", 1) == 1 {
				tasks = append(tasks, OffloadedTask{i, k, 1 + len(si.refs)})
			}
		}
	}
	if len(tasks) > 0 {
		si.add(wo, tasks, si.draw("anySpeed", 1) == 1)
	}
}

// execute runs the pool's commands.
func (si *simulation) execute() {
	probes := map[*simWorker]int{}
	for _, cmd := range si.po.Commands(si.now) {
		switch cm := cmd.(type) {
		case StartRun:
			wo := si.worker(cm.Worker)
			if wo.ejected {
				if probes[wo]++; probes[wo] > 1 || si.now.Before(wo.mayProbeAt) {
					si.Fatalf("start %d on %s, which is ejected until %v", probes[wo], wo.ID, wo.mayProbeAt.Sub(si.now))
				}
			}
			si.checkStart(cm, wo)
		case StopRun:
			si.stops = append(si.stops, simStop{cm, si.worker(cm.Worker).ProcessStart})
		case FinishJob:
			if si.jobs[cm.Ref].answered {
				si.Fatalf("second answer to %s", cm.Ref)
			}
			si.jobs[cm.Ref].answered = true
		case JobStopped:
			si.noteStopped(cm.Ref)
		case Offload:
			si.offloads = append(si.offloads, cm)
		}
	}
}

func (si *simulation) checkStart(cm StartRun, wo *simWorker) {
	jo := si.jobs[cm.Ref]
	parts := strings.Split(cm.Task, ".")
	step, _ := strconv.Atoi(parts[2])
	st := &jo.Steps[step]
	ru := &simRun{task: cm.Task, attempt: cm.Attempt, jobID: parts[0], step: step, size: st.Resources, ref: cm.Ref, state: "sent"}
	used, same := ru.size, 1
	for _, ot := range wo.runs {
		used = used.Plus(ot.size)
		if ot.jobID == ru.jobID && ot.step == step {
			same++
		}
	}
	for _, ow := range si.workers {
		for _, ot := range ow.runs {
			if ot.task == cm.Task && ot.ref != "" && !jo.offloaded && !si.jobs[ot.ref].offloaded &&
				(ot.state == "sent" && !ow.rejects(ot) || ot.state == "active") {
				si.Fatalf("twice: start of %s on %s while attempt %d is %s on %s", cm.Task, wo.ID, ot.attempt, ot.state, ow.ID)
			}
		}
	}
	switch {
	case jo.done[cm.Task]:
		si.Fatalf("twice: start of %s, which has ended as done", cm.Task)
	case si.stopping[jo.ID] != nil:
		si.Fatalf("unasked: start of %s, which was cancelled", cm.Task)
	case !wo.registered || wo.handingOver || wo.Draining || wo.Service != si.services[len(si.services)-1]:
		si.Fatalf("start of %s on %s, which may not get it", cm.Task, wo.ID)
	case jo.answered:
		si.Fatalf("start of %s, whose submission %s was answered", cm.Task, cm.Ref)
	case !used.Fits(wo.Capacity):
		si.Fatalf("room: %s takes %s to %v of %v", cm.Task, wo.ID, used, wo.Capacity)
	case st.Constraint != "" && !slices.Contains(wo.Labels, st.Constraint):
		si.Fatalf("constraints: %s is on %s without label %q", cm.Task, wo.ID, st.Constraint)
	case st.AntiAffinity > 0 && same > st.AntiAffinity:
		si.Fatalf("anti_affinity: %s is number %d of its step on %s, limit %d", cm.Task, same, wo.ID, st.AntiAffinity)
	case !cm.LeaseUntil.After(si.now):
		si.Fatalf("start of %s without a lease", cm.Task)
	}
	for _, dep := range st.DependsOn {
		for k := range jo.Steps[dep].Count {
			if !jo.offloaded && !jo.done[jo.TaskName(dep, k)] {
				si.Fatalf("order: start of %s before the end of task %d of step %d", cm.Task, k, dep)
			}
		}
	}
	ru.startBy = wo.extend(si.now, cm.LeaseUntil)
	wo.runs = append(wo.runs, ru)
}

// extend extends the worker's lease, by a clock that is 2% slow, and returns when it has passed and all runs are stopped.
func (wo *simWorker) extend(now, until time.Time) time.Time {
	end := now.Add(time.Duration(1.02*float64(until.Sub(now))) + 50*time.Millisecond)
	if !until.IsZero() && end.After(wo.leaseEnd) {
		wo.leaseEnd = end
	}
	return end
}

func (si *simulation) expireLeases() {
	for _, wo := range si.workers {
		wo.runs = slices.DeleteFunc(wo.runs, func(ru *simRun) bool {
			if ru.state == "active" && si.now.After(wo.leaseEnd) {
				wo.noteEnd(ru)
			}
			return si.now.After(wo.leaseEnd) || ru.state == "sent" && si.now.After(ru.startBy)
		})
	}
}

// anyRun returns a worker's run in the state, or nil if there is none.
func (si *simulation) anyRun(wo *simWorker, state string) *simRun {
	var list []*simRun
	for _, ru := range wo.runs {
		if ru.state == state {
			list = append(list, ru)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return rapid.SampledFrom(list).Draw(si.T, "run")
}

// noteEnd notes that the process of the worker will reject starts up to the run's attempt.
func (wo *simWorker) noteEnd(ru *simRun) { wo.stopped[ru.task] = max(wo.stopped[ru.task], ru.attempt) }

// rejects reports whether the worker will reject the run, which it has not got yet.
func (wo *simWorker) rejects(ru *simRun) bool { return ru.attempt <= wo.stopped[ru.task] }

func (wo *simWorker) remove(ru *simRun) {
	wo.runs = slices.DeleteFunc(wo.runs, func(ot *simRun) bool { return ot == ru })
}

func (si *simulation) answerStart() {
	wo := si.anyWorker()
	ru := si.anyRun(wo, "sent")
	if ru == nil {
		return
	}
	if wo.rejects(ru) {
		wo.remove(ru)
		si.po.HandleStartReply(si.now, wo.ID, ru.task, ru.attempt, true, "old")
		return
	}
	switch si.draw("answer", 9) {
	case 0: // the call is lost
		wo.remove(ru)
	case 1:
		wo.remove(ru)
		si.po.HandleStartReply(si.now, wo.ID, ru.task, ru.attempt, true, "late")
	case 2: // the answer is lost
		ru.state = "active"
	default:
		ru.state = "active"
		si.po.HandleStartReply(si.now, wo.ID, ru.task, ru.attempt, false, "")
	}
}

func (si *simulation) endRun() {
	wo := si.anyWorker()
	if ru := si.anyRun(wo, "active"); ru != nil {
		ru.state = string(rapid.SampledFrom([]RunOutcome{RunDone, RunDone, RunDone, RunFailed}).Draw(si.T, "outcome"))
		if wo.failing {
			ru.state = string(RunFailed)
		}
		wo.noteEnd(ru)
		if si.draw("listed", 3) > 0 {
			si.list(wo)
		}
	}
}

func (si *simulation) poll() {
	wo := si.anyWorker()
	wo.extend(si.now, si.po.GrantLease(si.now, wo.ID, false))
	if si.draw("lost", 4) > 0 {
		si.list(wo)
	}
}

// list passes the worker's run lists to the pool; ends that are listed free their room.
func (si *simulation) list(wo *simWorker) {
	var active []ActiveRun
	var ended []EndedRun
	succeeded := false
	for _, ru := range slices.Clone(wo.runs) {
		switch ru.state {
		case "sent":
		case "active":
			active = append(active, ActiveRun{ru.task, ru.attempt})
		default:
			ended = append(ended, EndedRun{ru.task, ru.attempt, RunOutcome(ru.state)})
			wo.remove(ru)
			if ru.state == string(RunDone) && ru.ref != "" {
				si.jobs[ru.ref].done[ru.task], succeeded = true, true
			}
		}
	}
	si.po.HandleRunList(si.now, si.now, wo.ID, active, ended)
	wo.ejected = wo.ejected && !succeeded
}

// askForList polls a worker. answerLate passes on the reply, perhaps after later ones.
func (si *simulation) askForList() {
	wo := si.anyWorker()
	li := simList{worker: wo, start: wo.ProcessStart, sent: si.now}
	for _, ru := range wo.runs {
		switch ru.state {
		case "sent":
		case "active":
			li.active = append(li.active, ActiveRun{ru.task, ru.attempt})
		default:
			li.ended = append(li.ended, ru)
		}
	}
	si.lists = append(si.lists, li)
}

func (si *simulation) answerLate() {
	if len(si.lists) == 0 {
		return
	}
	at := si.draw("list", len(si.lists)-1)
	li := si.lists[at]
	si.lists = slices.Delete(si.lists, at, at+1)
	wo := li.worker
	if si.po.workers[wo.ID] == nil {
		return // a worker that the pool has forgotten has no link on which the reply could come
	}
	if !si.po.HandleProcess(si.now, li.sent, wo.ID, li.start) {
		return
	}
	var ended []EndedRun
	for _, ru := range li.ended {
		ended = append(ended, EndedRun{ru.task, ru.attempt, RunOutcome(ru.state)})
		wo.remove(ru)
		if ru.state == string(RunDone) && ru.ref != "" {
			si.jobs[ru.ref].done[ru.task] = true
			wo.ejected = false
		}
	}
	si.po.HandleRunList(si.now, li.sent, wo.ID, li.active, ended)
}

func (si *simulation) answerStop() {
	if len(si.stops) == 0 {
		return
	}
	at := si.draw("stop", len(si.stops)-1)
	st := si.stops[at]
	si.stops = slices.Delete(si.stops, at, at+1)
	wo := si.worker(st.Worker)
	if si.draw("lost", 4) == 0 {
		return
	}
	if st.process != wo.ProcessStart { // the former process has acknowledged it
		si.po.HandleStopReply(si.now, wo.ID, st.Task, st.Attempt, st.process)
		return
	}
	wo.stopped[st.Task] = max(wo.stopped[st.Task], st.Attempt)
	for _, ru := range slices.Clone(wo.runs) {
		switch {
		case ru.task != st.Task || ru.attempt > st.Attempt:
		case ru.state == "sent": // will be rejected
			wo.remove(ru)
		case ru.state == "active":
			ru.state = string(RunStopped)
		}
	}
	si.po.HandleStopReply(si.now, wo.ID, st.Task, st.Attempt, wo.ProcessStart)
}

func (si *simulation) pass() {
	si.now = si.now.Add(time.Duration(rapid.SampledFrom([]int{10, 20, 40, 80, 160, 600}).Draw(si.T, "pass")) * time.Millisecond)
	si.expireLeases()
	si.po.Tick(si.now)
}

func (si *simulation) cancel() {
	if len(si.refs) > 0 {
		si.po.Cancel(si.now, si.refs[len(si.refs)-1-si.draw("back", min(len(si.refs)-1, 4))])
	}
}

// cancelByID cancels an earlier job, at this instance or by a note of another one.
func (si *simulation) cancelByID() {
	older := si.earlier(si.draw("offloaded", 2) == 0)
	if older == nil {
		return
	}
	if si.stopping[older.ID] == nil {
		si.stopping[older.ID] = map[string]bool{}
	}
	if si.draw("noted", 3) == 0 {
		si.po.NoteCancelled(si.now, func(yield func(queue, id string) bool) { yield("queue", older.ID) })
		return
	}
	refs, _ := si.po.CancelJob(si.now, "queue", older.ID)
	for _, ref := range refs {
		si.stopping[older.ID][ref] = true
	}
	si.checkStopped(older.ID)
}

func (si *simulation) noteStopped(ref string) {
	id := si.jobs[ref].ID
	if si.stopping[id][ref] {
		delete(si.stopping[id], ref)
		si.checkStopped(id)
	}
}

// checkStopped checks that a cancelled job has no run if all of its submissions and offloads have stopped.
func (si *simulation) checkStopped(id string) {
	if len(si.stopping[id]) > 0 {
		return
	}
	for _, wo := range si.workers {
		for _, ru := range wo.runs {
			if ru.jobID == id && ru.ref != "" && (ru.state == "sent" || ru.state == "active") {
				si.Fatalf("unasked: %s is %s on %s after the end of its cancellation", ru.task, ru.state, wo.ID)
			}
		}
	}
}

func (si *simulation) loseWorker() { si.po.MarkUnreachable(si.now, si.anyWorker().ID) }

func (si *simulation) removeOrAdd() {
	wo := si.anyWorker()
	wo.registered = !wo.registered
	si.setWorkers()
	if wo.registered {
		wo.handingOver, wo.ejected = false, false // the pool may have forgotten it
		si.po.TakeBack(si.now, []string{wo.ID})
		si.list(wo)
	}
}

// restart replaces the worker's process. Calls to the former one are rejected, and its entry is read at once.
func (si *simulation) restart() {
	wo := si.anyWorker()
	for _, ru := range wo.runs {
		if ru.state == "sent" {
			si.po.HandleStartReply(si.now, wo.ID, ru.task, ru.attempt, true, "another process")
		}
	}
	si.begin(wo)
	si.setWorkers()
	si.list(wo)
}

func (si *simulation) handOver() {
	wo := si.anyWorker()
	if wo.registered {
		wo.handingOver = true
		si.po.HandOver([]string{wo.ID})
	}
}

func (si *simulation) takeBack() {
	for _, wo := range si.workers {
		if wo.handingOver {
			wo.handingOver = false
			si.po.TakeBack(si.now, []string{wo.ID})
			return
		}
	}
}

// foreignRun lets another owner start a task, perhaps of a job that is also submitted here, on a worker that is not in the list or has
// been released.
func (si *simulation) foreignRun() {
	wo := si.anyWorker()
	older := si.earlier(false)
	if wo.registered && !wo.handingOver || older == nil || slices.ContainsFunc(wo.runs, func(ru *simRun) bool { return ru.ref != "" }) {
		return // an owner extends no lease before the runs of the former one have ended
	}
	wo.extend(si.now, si.now.Add(time.Second))
	task := older.TaskName(0, 0)
	wo.runs = append(wo.runs, &simRun{
		task: task, attempt: max(1000, 1+wo.stopped[task]) + len(wo.runs), jobID: older.ID, size: older.Steps[0].Resources, state: "active",
	})
}

func (si *simulation) setPeer() {
	free := []FreeCapacity{{Slowdown: 1, Tasks: si.draw("free", 4)}}
	si.po.SetPeer(si.now, "peer", map[string]LoadReport{"checks": {Free: free, Workers: 1, Rate: 1000}})
}

func (si *simulation) answerOffload() {
	if len(si.offloads) == 0 {
		return
	}
	of := si.offloads[0]
	si.offloads = si.offloads[1:]
	ref, _, _ := strings.Cut(of.Ref, "/")
	var results []OffloadResult
	known := si.draw("known", 4) > 0
	for _, ot := range of.Tasks {
		outcome := rapid.SampledFrom([]RunOutcome{RunDone, RunDone, RunFailed, RunDeclined}).Draw(si.T, "outcome")
		results = append(results, OffloadResult{ot, outcome})
		if known && outcome == RunDone {
			si.jobs[ref].done[of.Work.TaskName(ot.Step, ot.Index)] = true
		}
	}
	si.po.HandleOffloadReply(si.now, of.Ref, results, known, false)
}
