package lovageledger

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"lovagestack/lovagejob"
)

// world is several instances with a table and a network that fail, and the checks that hold for every step.
type world struct {
	now        time.Duration
	seq        int
	agenda     agenda
	rng        *rand.Rand
	table      *fakeTable
	nodes      map[string]*node
	ids        []string // of every instance ever, in order of creation
	cut        map[[2]string]bool
	loss       int // percentage of messages that are lost, and of those that come twice
	slow       int // percentage of messages that come seconds late
	calls      uint64
	open       map[uint64]openCall
	breakRule  func(wo *world, no *node, out []Command) []Command
	breakTable bool       // says "conflict" of transactions that may still take effect
	history    *historian // nil to record nothing
	violation  string
	skew       int  // most by which two clocks differ, in seconds
	maxRecords int  // of each instance; 0 for the default
	idle       bool // no load besides what a test does

	nextRequest uint64
	checked     uint64 // requests up to this one have been checked for an answer
	asked       map[uint64]*question
	jobs        map[lovagejob.Key]*job
	keys        []lovagejob.Key
	known       map[lovagejob.Key]bool
	stats       map[string]int
}

// question is a request of a caller.
type question struct {
	key      lovagejob.Key
	print    uint64
	submit   bool
	answered bool
	at       *node
	until    time.Duration
}

// job is the truth about a key.
type job struct {
	admittedBy string
	refused    bool // dispatch has said that no task was started
	ended      bool
	endedAt    time.Duration
	copied     bool   // a final answer was given after an acknowledged copy of it
	print      uint64 // of the first submission that was admitted; 0 if not known
	saidNotRun bool
	final      lovagejob.Answer // first final answer that a caller got
	body       string
}

// skewOf varies by seed how far clocks differ, in seconds; the last one exceeds the lifetime of keys.
func skewOf(seed uint64) int { return []int{0, 30, 600}[seed%3] }

func newWorld(seed uint64, skew int) *world {
	wo := &world{
		skew: skew,
		rng:  newRand(seed), table: newFakeTable(), nodes: map[string]*node{}, cut: map[[2]string]bool{},
		open: map[uint64]openCall{}, asked: map[uint64]*question{}, jobs: map[lovagejob.Key]*job{},
		known: map[lovagejob.Key]bool{}, stats: map[string]int{},
	}
	wo.table.late = 60
	if seed%2 == 1 && skew < 60 { // keys of clocks that are far ahead stay young here for as long
		wo.maxRecords = 300 // the load makes about 100 within MinRecordAge, and 300 long before the lifetime of keys ends
	}
	for _, name := range []string{"kandla-a", "kandla-b", "kandla-c", "suva-a"} {
		wo.start(name)
	}
	wo.load()
	return wo
}

// start adds an instance under a new ID.
func (wo *world) start(name string) *node {
	no := &node{
		id: fmt.Sprintf("%s-%d", name, len(wo.ids)), dc: strings.Split(name, "-")[0],
		contact: map[string]time.Duration{}, misjudg: map[string]time.Duration{},
	}
	no.skew = time.Duration(wo.rng.IntN(wo.skew+1)-wo.skew/2) * time.Second
	no.le = New(Settings{
		Instance: no.id, DataCentre: no.dc, Rand: newRand(uint64(len(wo.ids))), KeyLifetime: 3 * time.Minute,
		AnswerRetention: 10 * time.Second, MaxBatchKeys: 3, MaxChunkRecords: 4, ScanInterval: 10 * time.Second,
		MaxRecords: wo.maxRecords, MinRecordAge: 20 * time.Second,
	})
	no.cleaner = NewCleaner(CleanerSettings{Instance: no.id, DataCentre: no.dc})
	wo.after(time.Minute, func() { wo.clean(no) })
	wo.nodes[no.id] = no
	wo.ids = append(wo.ids, no.id)
	wo.tick(no)
	wo.heartbeat(no)
	return no
}

func (wo *world) tick(no *node) {
	if no.dead {
		return
	}
	if !no.paused {
		wo.step(no, &Tick{})
	}
	wo.after(100*time.Millisecond, func() { wo.tick(no) })
}

// heartbeat tells an instance its view of the others, and the others its ranges.
func (wo *world) heartbeat(no *node) {
	if no.dead {
		return
	}
	wo.after(time.Second, func() { wo.heartbeat(no) })
	if no.paused {
		return
	}
	var members []Member
	for _, id := range wo.ids {
		other := wo.nodes[id]
		if other == no {
			continue
		}
		if wo.connected(no.id, id) && !other.paused {
			no.contact[id] = wo.now
		}
		me := Member{ID: id, DataCentre: other.dc, State: MemberLive, RoundTrip: 3 * time.Millisecond}
		silent := wo.now - no.contact[id]
		switch {
		case no.misjudg[id] > wo.now || silent >= 6*time.Second || other.dead && silent >= time.Second:
			me.State = MemberGone
		case silent >= 3*time.Second:
			me.State = MemberSuspect
		}
		me.Leaving = other.le.draining
		if silent < time.Minute {
			members = append(members, me)
		}
		heard := &RangesReceived{Peer: no.id, Ranges: no.le.Ranges()}
		wo.send(no.id, id, func() { wo.step(other, heard) }, func() {})
	}
	no.members = members
	wo.step(no, &MembersChanged{Members: members})
}

// load keeps callers busy: new jobs, resubmissions of recent ones elsewhere, and of old ones.
func (wo *world) load() {
	wo.after(time.Duration(50+wo.rng.IntN(400))*time.Millisecond, wo.load)
	if wo.idle {
		return
	}
	no := wo.anyNode(wo.rng.IntN)
	before := len(wo.keys)
	wo.step(no, &Mint{Count: 2, Repeatable: wo.rng.IntN(3) == 0})
	for _, key := range wo.keys[before:] {
		if wo.rng.IntN(4) > 0 {
			wo.submitAt(no, key, wo.print(key), 0)
		}
	}
	for _, recent := range []int{8, 30, 200, 10_000} {
		if n := len(wo.keys); n > 0 {
			key := wo.keys[n-1-wo.rng.IntN(min(n, recent))]
			wo.submitAt(wo.anyNode(wo.rng.IntN), key, wo.print(key), wo.rng.IntN(2))
		}
	}
}

// fail records the first violation.
func (wo *world) fail(format string, args ...any) {
	if wo.violation == "" {
		wo.violation = fmt.Sprintf("at %s: ", wo.now) + fmt.Sprintf(format, args...)
	}
}

func (wo *world) job(key lovagejob.Key) *job {
	jo := wo.jobs[key]
	if jo == nil {
		jo = &job{body: "result of " + key.String()}
		wo.jobs[key] = jo
	}
	return jo
}

// admitted checks invariants 1 and 5: no key is admitted twice, by whichever instance; and invariant 4.
func (wo *world) admitted(no *node, key lovagejob.Key) {
	jo := wo.job(key)
	if jo.admittedBy != "" {
		wo.fail("invariant 5: key %s is admitted by %s and by %s", key, jo.admittedBy, no.id)
	}
	if jo.saidNotRun {
		wo.fail("invariant 4: key %s is admitted by %s after a caller was told that it never starts", key, no.id)
	}
	jo.admittedBy = no.id
	sk, _ := shorten(key)
	if re, ok := no.le.ranges[rangeOf(key)].store.get(sk); ok {
		jo.print = re.fingerprint
	}
	wo.stats["admitted"]++
	if wo.history != nil {
		wo.history.admitted(no, key, jo.body)
	}
	wo.after(time.Duration(20+wo.rng.IntN(3000))*time.Millisecond, func() { wo.endJob(no, key, false) })
}

// endJob is dispatch's last word on a key.
func (wo *world) endJob(no *node, key lovagejob.Key, cancel bool) {
	jo := wo.job(key)
	if no.dead || jo.ended {
		return
	}
	jo.ended, jo.endedAt = true, wo.now
	ans := lovagejob.Answer{Key: key, Outcome: lovagejob.Complete, Tasks: 1, Started: 1}
	switch roll := wo.rng.IntN(10); {
	case cancel:
		ans.Outcome = lovagejob.Cancelled
	case roll == 0:
		ans.Outcome, ans.Started, jo.refused = lovagejob.NotRun, 0, true
	case roll == 1:
		ans.Outcome, ans.Reason = lovagejob.Failed, "task 0 failed"
	default:
		ans.Results = []lovagejob.TaskResult{{Body: []byte(jo.body)}}
	}
	if wo.history != nil {
		wo.history.ended(key, jo.refused)
	}
	wo.step(no, &JobEnded{Key: key, Answer: ans})
}

// replied checks invariants 3 and 4 and that a final answer never changes.
func (wo *world) replied(no *node, re Reply) {
	qu := wo.asked[re.Request]
	if qu == nil || qu.answered {
		wo.fail("request %d at %s is answered twice", re.Request, no.id)
		return
	}
	qu.answered = true
	ans := re.Answer
	if wo.history != nil {
		wo.history.reply(re)
	}
	wo.stats["reply "+string(ans.Outcome)]++
	if ans.Key != qu.key {
		wo.fail("invariant 3: a request for %s gets an answer for %s", qu.key, ans.Key)
	}
	if re.Fault == "" {
		wo.checkCopy(no, re)
	}
	if re.Fault != "" || !ans.Outcome.Final() {
		return
	}
	jo := wo.job(ans.Key)
	if ans.Outcome == lovagejob.NotRun || ans.Outcome == lovagejob.Cancelled && ans.Started == 0 {
		jo.saidNotRun = true
		if jo.admittedBy != "" && !jo.refused {
			wo.fail("invariant 4: %s says %s of %s, which was admitted by %s", no.id, ans.Outcome, ans.Key, jo.admittedBy)
		}
	}
	if qu.submit && jo.print != 0 && qu.print != jo.print {
		wo.fail("invariant 3: a submission of %s with other content gets the answer %s", qu.key, ans.Outcome)
	}
	if jo.final.Outcome != "" && jo.final.Outcome != ans.Outcome {
		wo.fail("the answer to %s changes from %s to %s", qu.key, jo.final.Outcome, ans.Outcome)
	}
	if len(ans.Results) > 0 && string(ans.Results[0].Body) != jo.body {
		wo.fail("invariant 3: the answer to %s holds %q", qu.key, ans.Results[0].Body)
	}
	jo.final = ans
}

func (wo *world) minted(co Minted) {
	for _, key := range co.Keys {
		if wo.known[key] {
			wo.fail("key %s is minted twice", key)
		}
		wo.known[key] = true
		wo.keys = append(wo.keys, key)
	}
}

// request sends a caller's request to an instance.
func (wo *world) request(no *node, qu question, event func(request uint64) Event) {
	wo.nextRequest++
	qu.at = no
	wo.asked[wo.nextRequest] = &qu
	if wo.history != nil {
		wo.history.request(wo.nextRequest, &qu)
	}
	wo.step(no, event(wo.nextRequest))
	if wo.rng.IntN(30) == 0 && !qu.answered && !no.paused {
		qu.answered = true // the caller has left; an answer would be one to nobody
		wo.step(no, &RequestAbandoned{Request: wo.nextRequest})
	}
}

// forwarded carries a request to its first target that can be reached.
func (wo *world) forwarded(no *node, fo Forward) {
	qu := wo.asked[fo.Request]
	if qu == nil || qu.answered {
		wo.fail("request %d at %s is forwarded after its answer", fo.Request, no.id)
		return
	}
	qu.answered = true
	wo.stats["forward"]++
	for _, id := range fo.Targets {
		if wo.connected(no.id, id) {
			next := *qu
			next.answered = false
			wo.send(no.id, id, func() {
				target := wo.nodes[id]
				if next.submit {
					wo.submitAt(target, next.key, next.print, 1)
				} else {
					wo.askAt(target, next.key, 1)
				}
			}, func() {})
			return
		}
	}
}

func (wo *world) submitAt(no *node, key lovagejob.Key, print uint64, hops int) {
	wait := time.Duration(wo.rng.IntN(4000)) * time.Millisecond
	wo.request(no, question{key: key, print: print, submit: true, until: wo.now + wait}, func(request uint64) Event {
		return &Submit{Request: request, Key: key, Fingerprint: print, Hops: hops, WaitUntil: wo.clock(no).Add(wait)}
	})
}

func (wo *world) askAt(no *node, key lovagejob.Key, hops int) {
	wo.request(no, question{key: key, until: wo.now + time.Second}, func(request uint64) Event {
		return &Query{Request: request, Key: key, Hops: hops, WaitUntil: wo.clock(no).Add(time.Second)}
	})
}

// unanswered checks that every request at an instance that still runs has been answered by its time.
func (wo *world) unanswered() {
	for ; wo.checked < wo.nextRequest; wo.checked++ {
		qu := wo.asked[wo.checked+1]
		if wo.now <= qu.until+30*time.Second {
			break
		}
		if !qu.answered && !qu.at.dead && !qu.at.paused {
			wo.fail("request %d for %s at %s has had no answer since %s", wo.checked+1, qu.key, qu.at.id, qu.until)
		}
	}
}

// recover ends every fault and checks that each instance soon mints keys of both kinds and completes their jobs.
func (wo *world) recover() {
	wo.loss, wo.slow, wo.cut = 0, 0, map[[2]string]bool{}
	wo.run(25 * time.Second) // pauses, outages and restarts end by themselves
	wo.table.down, wo.table.doubt = false, 0
	wo.run(25 * time.Second)
	for _, id := range wo.ids {
		no := wo.nodes[id]
		if no.dead || no.le.draining || no.le.atCapacity() { // full of young keys and of jobs whose end nobody tells
			if !no.dead && !no.le.draining {
				wo.stats["full at the end"]++
			}
			continue
		}
		for _, repeatable := range []bool{true, false} {
			before := len(wo.keys)
			wo.step(no, &Mint{Count: 1, Repeatable: repeatable})
			if len(wo.keys) == before {
				wo.fail("%s mints no key after every fault has ended", id)
				return
			}
			key := wo.keys[before]
			wo.submitAt(no, key, 1, 0)
			wo.run(8 * time.Second)
			if wo.job(key).final.Outcome == "" && !wo.job(key).ended {
				wo.fail("%s does not run key %s after every fault has ended", id, key)
				return
			}
		}
	}
	before := wo.unresolved()
	wo.run(10 * time.Second)
	for rg, what := range wo.unresolved() {
		if what == before[rg] {
			wo.fail("range %s is stuck for 10 s: %+v", rg.id, what)
		}
	}
	wo.unanswered()
}

// unresolved returns, for each range of each instance, the attempt or the submission that waits for a table change.
func (wo *world) unresolved() map[*keyRange]any {
	out := map[*keyRange]any{}
	for _, no := range wo.nodes {
		for _, rg := range no.le.ranges {
			switch {
			case no.dead || no.le.draining:
			case rg.update != nil:
				out[rg] = rg.update
			case len(rg.blocked) > 0:
				out[rg] = rg.blocked[0]
			case rg.owner != nil && rg.owner.stopped:
				out[rg] = "stopped"
			}
		}
	}
	return out
}
