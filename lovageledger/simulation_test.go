package lovageledger

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"lovagestack/lovagejob"
)

// simulation runs several instances with a faulty table and network, and checks the invariants at every step.
type simulation struct {
	now                time.Duration
	lastEventSeq       int
	events             eventQueue
	rng                *rand.Rand
	table              *fakeTable
	instances          map[string]*simInstance
	ids                []string // IDs of all instances, including stopped ones, in order of creation
	cutLinks           map[[2]string]bool
	lossPercent        int // percentage of messages that are lost, and also of those that are duplicated
	slowPercent        int // percentage of messages that are delayed by seconds
	lastCall           uint64
	openCalls          map[uint64]openCall
	mutate             func(sim *simulation, in *simInstance, out []Command) []Command
	misreportAmbiguous bool             // the table reports Conflict for transactions that may still take effect
	history            *historyRecorder // nil to record nothing
	violation          string
	maxSkewSeconds     int  // largest difference between two clocks
	maxRecords         int  // MaxRecords of each instance; 0 for the default
	idle               bool // generateLoad submits nothing; only the test does

	nextRequest uint64
	checkedUpTo uint64 // ID of the last request that checkAnswered has checked
	requests    map[uint64]*callerRequest
	jobs        map[lovagejob.Key]*job
	keys        []lovagejob.Key
	mintedKeys  map[lovagejob.Key]bool
	stats       map[string]int
}

type callerRequest struct {
	key         lovagejob.Key
	fingerprint uint64
	submit      bool
	answered    bool
	instance    *simInstance
	deadline    time.Duration
}

// job is what the simulation observed of a key's job, independently of the Ledgers.
type job struct {
	admittedBy  string
	notRun      bool // dispatch has reported that no task was started
	ended       bool
	endedAt     time.Duration
	replicated  bool   // a final answer was given after the replica had acknowledged it
	fingerprint uint64 // fingerprint of the admitted submission; 0 if not known
	toldNotRun  bool
	finalAnswer lovagejob.Answer // last final answer that a caller got
	body        string
}

// maxSkewFor returns the largest difference between clocks for a seed, in seconds. The last value exceeds KeyLifetime.
func maxSkewFor(seed uint64) int { return []int{0, 30, 600}[seed%3] }

func newSimulation(seed uint64, maxSkewSeconds int) *simulation {
	sim := &simulation{
		maxSkewSeconds: maxSkewSeconds,
		rng:            newRand(seed), table: newFakeTable(), instances: map[string]*simInstance{}, cutLinks: map[[2]string]bool{},
		openCalls: map[uint64]openCall{}, requests: map[uint64]*callerRequest{}, jobs: map[lovagejob.Key]*job{},
		mintedKeys: map[lovagejob.Key]bool{}, stats: map[string]int{},
	}
	sim.table.lateCommitPercent = 60
	// With a larger skew, keys from clocks that are ahead stay below MinRecordAge for too long.
	if seed%2 == 1 && maxSkewSeconds < 60 {
		sim.maxRecords = 300 // the load creates about 100 records within MinRecordAge, 300 long before KeyLifetime passes
	}
	for _, name := range []string{"kandla-a", "kandla-b", "kandla-c", "suva-a"} {
		sim.startInstance(name)
	}
	sim.generateLoad()
	return sim
}

// startInstance starts an instance with a new ID.
func (sim *simulation) startInstance(name string) *simInstance {
	in := &simInstance{
		id: fmt.Sprintf("%s-%d", name, len(sim.ids)), dataCentre: strings.Split(name, "-")[0],
		lastContact: map[string]time.Duration{}, misjudgedUntil: map[string]time.Duration{},
	}
	in.clockSkew = time.Duration(sim.rng.IntN(sim.maxSkewSeconds+1)-sim.maxSkewSeconds/2) * time.Second
	in.ledger = New(Settings{
		Instance: in.id, DataCentre: in.dataCentre, Rand: newRand(uint64(len(sim.ids))), KeyLifetime: 3 * time.Minute,
		AnswerRetention: 10 * time.Second, MaxBatchKeys: 3, MaxChunkRecords: 4, ScanInterval: 10 * time.Second,
		MaxRecords: sim.maxRecords, MinRecordAge: 20 * time.Second,
	})
	in.cleaner = NewCleaner(CleanerSettings{Instance: in.id, DataCentre: in.dataCentre})
	sim.schedule(time.Minute, func() { sim.runCleaner(in) })
	sim.instances[in.id] = in
	sim.ids = append(sim.ids, in.id)
	sim.tick(in)
	sim.heartbeat(in)
	return in
}

func (sim *simulation) tick(in *simInstance) {
	if in.stopped {
		return
	}
	if !in.paused {
		sim.step(in, &Tick{})
	}
	sim.schedule(100*time.Millisecond, func() { sim.tick(in) })
}

// heartbeat updates an instance's view of the other instances, and sends its ranges to them.
func (sim *simulation) heartbeat(in *simInstance) {
	if in.stopped {
		return
	}
	sim.schedule(time.Second, func() { sim.heartbeat(in) })
	if in.paused {
		return
	}
	var members []Member
	for _, id := range sim.ids {
		other := sim.instances[id]
		if other == in {
			continue
		}
		if sim.connected(in.id, id) && !other.paused {
			in.lastContact[id] = sim.now
		}
		me := Member{ID: id, DataCentre: other.dataCentre, State: MemberLive, RoundTrip: 3 * time.Millisecond}
		silent := sim.now - in.lastContact[id]
		switch {
		case in.misjudgedUntil[id] > sim.now || silent >= 6*time.Second || other.stopped && silent >= time.Second:
			me.State = MemberGone
		case silent >= 3*time.Second:
			me.State = MemberSuspect
		}
		me.Leaving = other.ledger.draining
		if silent < time.Minute {
			members = append(members, me)
		}
		heard := &RangesReceived{Peer: in.id, Ranges: in.ledger.Ranges()}
		sim.send(in.id, id, func() { sim.step(other, heard) }, func() {})
	}
	in.members = members
	sim.step(in, &MembersChanged{Members: members})
}

// generateLoad keeps submitting new jobs, and resubmits recent and old ones at other instances.
func (sim *simulation) generateLoad() {
	sim.schedule(time.Duration(50+sim.rng.IntN(400))*time.Millisecond, sim.generateLoad)
	if sim.idle {
		return
	}
	in := sim.anyInstance(sim.rng.IntN)
	before := len(sim.keys)
	sim.step(in, &Mint{Count: 2, Repeatable: sim.rng.IntN(3) == 0})
	for _, key := range sim.keys[before:] {
		if sim.rng.IntN(4) > 0 {
			sim.submitAt(in, key, sim.fingerprint(key), 0)
		}
	}
	for _, recent := range []int{8, 30, 200, 10_000} {
		if n := len(sim.keys); n > 0 {
			key := sim.keys[n-1-sim.rng.IntN(min(n, recent))]
			sim.submitAt(sim.anyInstance(sim.rng.IntN), key, sim.fingerprint(key), sim.rng.IntN(2))
		}
	}
}

// recordViolation records the first violation.
func (sim *simulation) recordViolation(format string, args ...any) {
	if sim.violation == "" {
		sim.violation = fmt.Sprintf("at %s: ", sim.now) + fmt.Sprintf(format, args...)
	}
}

func (sim *simulation) job(key lovagejob.Key) *job {
	jo := sim.jobs[key]
	if jo == nil {
		jo = &job{body: "result of " + key.String()}
		sim.jobs[key] = jo
	}
	return jo
}

// observeAdmit checks that no key is admitted twice, by one or by two instances (invariants 1 and 5), or after a
// caller was told that the key never starts (invariant 4).
func (sim *simulation) observeAdmit(in *simInstance, key lovagejob.Key) {
	jo := sim.job(key)
	if jo.admittedBy != "" {
		sim.recordViolation("invariant 5: key %s is admitted by %s and by %s", key, jo.admittedBy, in.id)
	}
	if jo.toldNotRun {
		sim.recordViolation("invariant 4: key %s is admitted by %s after a caller was told that it never starts", key, in.id)
	}
	jo.admittedBy = in.id
	sk, _ := shorten(key)
	if re, ok := in.ledger.ranges[rangeOf(key)].store.get(sk); ok {
		jo.fingerprint = re.fingerprint
	}
	sim.stats["admitted"]++
	if sim.history != nil {
		sim.history.recordStart(in, key, jo.body)
	}
	sim.schedule(time.Duration(20+sim.rng.IntN(3000))*time.Millisecond, func() { sim.endJob(in, key, false) })
}

// endJob reports the outcome of a key as dispatch does.
func (sim *simulation) endJob(in *simInstance, key lovagejob.Key, cancel bool) {
	jo := sim.job(key)
	if in.stopped || jo.ended {
		return
	}
	jo.ended, jo.endedAt = true, sim.now
	ans := lovagejob.Answer{Key: key, Outcome: lovagejob.Complete, Tasks: 1, Started: 1}
	switch roll := sim.rng.IntN(10); {
	case cancel:
		ans.Outcome = lovagejob.Cancelled
	case roll == 0:
		ans.Outcome, ans.Started, jo.notRun = lovagejob.NotRun, 0, true
	case roll == 1:
		ans.Outcome, ans.Reason = lovagejob.Failed, "task 0 failed"
	default:
		ans.Results = []lovagejob.TaskResult{{Body: []byte(jo.body)}}
	}
	if sim.history != nil {
		sim.history.recordEnd(key, jo.notRun)
	}
	sim.step(in, &JobEnded{Key: key, Answer: ans})
}

// observeReply checks that an answer belongs to the request's key and content (invariant 3), that no admitted key is
// reported as never started unless dispatch has said so (invariant 4), and that a final answer never changes.
func (sim *simulation) observeReply(in *simInstance, re Reply) {
	cr := sim.requests[re.Request]
	if cr == nil || cr.answered {
		sim.recordViolation("request %d at %s is answered twice", re.Request, in.id)
		return
	}
	cr.answered = true
	ans := re.Answer
	if sim.history != nil {
		sim.history.recordReply(re)
	}
	sim.stats["reply "+string(ans.Outcome)]++
	if ans.Key != cr.key {
		sim.recordViolation("invariant 3: a request for %s gets an answer for %s", cr.key, ans.Key)
	}
	if re.Fault == "" {
		sim.checkReplicated(in, re)
	}
	if re.Fault != "" || !ans.Outcome.Final() {
		return
	}
	jo := sim.job(ans.Key)
	if ans.Outcome == lovagejob.NotRun || ans.Outcome == lovagejob.Cancelled && ans.Started == 0 {
		jo.toldNotRun = true
		if jo.admittedBy != "" && !jo.notRun {
			sim.recordViolation("invariant 4: %s says %s of %s, which was admitted by %s", in.id, ans.Outcome, ans.Key, jo.admittedBy)
		}
	}
	if cr.submit && jo.fingerprint != 0 && cr.fingerprint != jo.fingerprint {
		sim.recordViolation("invariant 3: a submission of %s with other content gets the answer %s", cr.key, ans.Outcome)
	}
	if jo.finalAnswer.Outcome != "" && jo.finalAnswer.Outcome != ans.Outcome {
		sim.recordViolation("the answer to %s changes from %s to %s", cr.key, jo.finalAnswer.Outcome, ans.Outcome)
	}
	if len(ans.Results) > 0 && string(ans.Results[0].Body) != jo.body {
		sim.recordViolation("invariant 3: the answer to %s holds %q", cr.key, ans.Results[0].Body)
	}
	jo.finalAnswer = ans
}

func (sim *simulation) observeMinted(co Minted) {
	for _, key := range co.Keys {
		if sim.mintedKeys[key] {
			sim.recordViolation("key %s is minted twice", key)
		}
		sim.mintedKeys[key] = true
		sim.keys = append(sim.keys, key)
	}
}

// sendRequest sends a caller's request to an instance.
func (sim *simulation) sendRequest(in *simInstance, cr callerRequest, event func(request uint64) Event) {
	sim.nextRequest++
	cr.instance = in
	sim.requests[sim.nextRequest] = &cr
	if sim.history != nil {
		sim.history.recordRequest(sim.nextRequest, &cr)
	}
	sim.step(in, event(sim.nextRequest))
	if sim.rng.IntN(30) == 0 && !cr.answered && !in.paused {
		cr.answered = true // the caller has left: an answer after this is a violation
		sim.step(in, &RequestAbandoned{Request: sim.nextRequest})
	}
}

// deliverForward sends a request to the first target that can be reached.
func (sim *simulation) deliverForward(in *simInstance, fo Forward) {
	cr := sim.requests[fo.Request]
	if cr == nil || cr.answered {
		sim.recordViolation("request %d at %s is forwarded after its answer", fo.Request, in.id)
		return
	}
	cr.answered = true
	sim.stats["forward"]++
	for _, id := range fo.Targets {
		if sim.connected(in.id, id) {
			next := *cr
			next.answered = false
			sim.send(in.id, id, func() {
				target := sim.instances[id]
				if next.submit {
					sim.submitAt(target, next.key, next.fingerprint, 1)
				} else {
					sim.queryAt(target, next.key, 1)
				}
			}, func() {})
			return
		}
	}
}

func (sim *simulation) submitAt(in *simInstance, key lovagejob.Key, fp uint64, hops int) {
	wait := time.Duration(sim.rng.IntN(4000)) * time.Millisecond
	sim.sendRequest(in, callerRequest{
		key: key, fingerprint: fp, submit: true, deadline: sim.now + wait,
	}, func(request uint64) Event {
		return &Submit{Request: request, Key: key, Fingerprint: fp, Hops: hops, WaitUntil: sim.clock(in).Add(wait)}
	})
}

func (sim *simulation) queryAt(in *simInstance, key lovagejob.Key, hops int) {
	sim.sendRequest(in, callerRequest{key: key, deadline: sim.now + time.Second}, func(request uint64) Event {
		return &Query{Request: request, Key: key, Hops: hops, WaitUntil: sim.clock(in).Add(time.Second)}
	})
}

// checkAnswered checks that every request at a running instance has been answered within 30 s of its deadline.
func (sim *simulation) checkAnswered() {
	for ; sim.checkedUpTo < sim.nextRequest; sim.checkedUpTo++ {
		cr := sim.requests[sim.checkedUpTo+1]
		if sim.now <= cr.deadline+30*time.Second {
			break
		}
		if !cr.answered && !cr.instance.stopped && !cr.instance.paused {
			sim.recordViolation("request %d for %s at %s has had no answer since %s",
				sim.checkedUpTo+1, cr.key, cr.instance.id, cr.deadline)
		}
	}
}

// checkRecovery ends every fault and checks that each instance soon mints keys of both kinds and completes their jobs.
func (sim *simulation) checkRecovery() {
	sim.lossPercent, sim.slowPercent, sim.cutLinks = 0, 0, map[[2]string]bool{}
	sim.advance(25 * time.Second) // pauses, outages and restarts end within this time
	sim.table.down, sim.table.ambiguousPercent = false, 0
	sim.advance(25 * time.Second)
	for _, id := range sim.ids {
		in := sim.instances[id]
		// An instance can be at capacity, because young keys and jobs whose results will not arrive cannot be evicted.
		if in.stopped || in.ledger.draining || in.ledger.atCapacity() {
			if !in.stopped && !in.ledger.draining {
				sim.stats["full at the end"]++
			}
			continue
		}
		for _, repeatable := range []bool{true, false} {
			before := len(sim.keys)
			sim.step(in, &Mint{Count: 1, Repeatable: repeatable})
			if len(sim.keys) == before {
				sim.recordViolation("%s mints no key after every fault has ended", id)
				return
			}
			key := sim.keys[before]
			sim.submitAt(in, key, 1, 0)
			sim.advance(8 * time.Second)
			if sim.job(key).finalAnswer.Outcome == "" && !sim.job(key).ended {
				sim.recordViolation("%s does not run key %s after every fault has ended", id, key)
				return
			}
		}
	}
	before := sim.unresolvedRanges()
	sim.advance(10 * time.Second)
	for rg, what := range sim.unresolvedRanges() {
		if what == before[rg] {
			sim.recordViolation("range %s is stuck for 10 s: %+v", rg.id, what)
		}
	}
	sim.checkAnswered()
}

// unresolvedRanges returns the ranges of all running instances that wait for a table change, each with a pending update,
// a blocked submission, or "stopped".
func (sim *simulation) unresolvedRanges() map[*keyRange]any {
	out := map[*keyRange]any{}
	for _, in := range sim.instances {
		for _, rg := range in.ledger.ranges {
			switch {
			case in.stopped || in.ledger.draining:
			case rg.pendingUpdate != nil:
				out[rg] = rg.pendingUpdate
			case len(rg.blockedSubmits) > 0:
				out[rg] = rg.blockedSubmits[0]
			case rg.owner != nil && rg.owner.stopped:
				out[rg] = "stopped"
			}
		}
	}
	return out
}
