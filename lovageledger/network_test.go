package lovageledger

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"lovagestack/lovageplatform"
)

// fakeTable is an in-memory implementation of the platform's table.
type fakeTable struct {
	rows              map[string]lovageplatform.Row
	operations        map[string]int64 // versions of the rows operation/<instance>, by instance
	down              bool
	ambiguousPercent  int // percentage of commits whose outcome is ambiguous
	lateCommitPercent int // percentage of ambiguous commits that may take effect later
}

func newFakeTable() *fakeTable {
	return &fakeTable{rows: map[string]lovageplatform.Row{}, operations: map[string]int64{}}
}

func (ft *fakeTable) scan(prefix string) []lovageplatform.Row {
	var out []lovageplatform.Row
	for key, row := range ft.rows {
		if strings.HasPrefix(key, prefix) {
			out = append(out, row)
		}
	}
	slices.SortFunc(out, func(a, b lovageplatform.Row) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// commit applies the transaction if its checks hold.
func (ft *fakeTable) commit(co CommitTable) *TableCommitted {
	result := &TableCommitted{ID: co.ID, State: Committed, Versions: map[string]int64{}}
	for _, ch := range co.Transaction.Checks {
		row := ft.rows[ch.Key]
		if id, found := strings.CutPrefix(ch.Key, OperationPrefix); found {
			row.Version = ft.operations[id]
		}
		if row.Version != ch.Version {
			result.State = Conflict
			row.Key = ch.Key
			result.Conflicts = append(result.Conflicts, row)
		}
	}
	if result.State == Conflict {
		return result
	}
	for _, wr := range co.Transaction.Writes {
		if wr.Delete {
			delete(ft.rows, wr.Key)
			delete(ft.operations, strings.TrimPrefix(wr.Key, OperationPrefix))
			continue
		}
		row := lovageplatform.Row{Key: wr.Key, Value: wr.Value, Version: ft.rows[wr.Key].Version + 1}
		ft.rows[wr.Key] = row
		result.Versions[wr.Key] = row.Version
	}
	return result
}

type scheduledEvent struct {
	at  time.Duration
	seq int
	run func()
}

type eventQueue []scheduledEvent

func (eq eventQueue) Len() int { return len(eq) }
func (eq eventQueue) Less(i, j int) bool {
	return eq[i].at < eq[j].at || eq[i].at == eq[j].at && eq[i].seq < eq[j].seq
}
func (eq eventQueue) Swap(i, j int) { eq[i], eq[j] = eq[j], eq[i] }
func (eq *eventQueue) Push(x any)   { *eq = append(*eq, x.(scheduledEvent)) }
func (eq *eventQueue) Pop() any {
	last := (*eq)[len(*eq)-1]
	*eq = (*eq)[:len(*eq)-1]
	return last
}

type simInstance struct {
	id, dataCentre string
	ledger         *Ledger
	cleaner        *Cleaner
	members        []Member
	clockSkew      time.Duration
	stopped        bool
	paused         bool
	queuedEvents   []Event // events that arrived while paused
	drained        bool
	lastContact    map[string]time.Duration // by peer: time at which the peer was last reachable
	misjudgedUntil map[string]time.Duration // by peer: time until which this instance wrongly considers the peer gone
}

// schedule schedules an action after a delay.
func (sim *simulation) schedule(d time.Duration, do func()) {
	sim.lastEventSeq++
	heap.Push(&sim.events, scheduledEvent{at: sim.now + d, seq: sim.lastEventSeq, run: do})
}

// advance advances the time and runs the actions that become due.
func (sim *simulation) advance(d time.Duration) {
	end := sim.now + d
	for len(sim.events) > 0 && sim.events[0].at <= end && sim.violation == "" {
		se := heap.Pop(&sim.events).(scheduledEvent)
		sim.now = max(sim.now, se.at)
		se.run()
	}
	sim.now = max(sim.now, end)
}

// connected reports whether two instances run and the link between them is not cut.
func (sim *simulation) connected(a, b string) bool {
	na, nb := sim.instances[a], sim.instances[b]
	return na != nil && nb != nil && !na.stopped && !nb.stopped && !sim.cutLinks[linkKey(a, b)]
}

func linkKey(a, b string) [2]string { return [2]string{min(a, b), max(a, b)} }

// send delivers a message, possibly late, twice or never. It calls lost to report that the sender's call failed.
func (sim *simulation) send(from, to string, deliver func(), lost func()) {
	delay := time.Duration(1+sim.rng.IntN(4)) * time.Millisecond
	if sim.rng.IntN(100) < sim.slowPercent {
		delay = time.Duration(sim.rng.IntN(8000)) * time.Millisecond
	}
	if sim.rng.IntN(100) < sim.lossPercent || !sim.connected(from, to) {
		if sim.rng.IntN(2) == 0 {
			sim.schedule(time.Second, lost)
		}
		return
	}
	arrive := func() {
		if sim.connected(from, to) {
			deliver()
		}
	}
	sim.schedule(delay, arrive)
	if sim.rng.IntN(100) < sim.lossPercent {
		sim.schedule(delay+time.Duration(sim.rng.IntN(3000))*time.Millisecond, arrive)
	}
}

// step applies an event to an instance and carries out the resulting commands.
func (sim *simulation) step(in *simInstance, ev Event) {
	if in.stopped {
		return
	}
	if in.paused {
		in.queuedEvents = append(in.queuedEvents, ev)
		return
	}
	out := in.ledger.Step(sim.clock(in), ev, nil)
	if sim.mutate != nil {
		out = sim.mutate(sim, in, out)
	}
	for _, co := range out {
		sim.execute(in, co)
	}
}

// clock returns the wall-clock time of an instance, which may differ from that of other instances by minutes.
func (sim *simulation) clock(in *simInstance) time.Time {
	return time.UnixMilli(1_796_000_000_000).Add(sim.now + in.clockSkew).UTC()
}

func (sim *simulation) execute(in *simInstance, co Command) {
	switch co := co.(type) {
	case Admit:
		sim.observeAdmit(in, co.Key)
	case Reply:
		sim.observeReply(in, co)
	case Forward:
		sim.deliverForward(in, co)
	case Minted:
		sim.observeMinted(co)
	case CancelJob:
		sim.schedule(20*time.Millisecond, func() { sim.endJob(in, co.Key, true) })
	case ReadTable:
		sim.readTable(in, co)
	case CommitTable:
		sim.commitTable(in, co)
	case Drained:
		in.drained = true
	case WakeAt:
		sim.schedule(co.At.Sub(sim.clock(in)), func() { sim.step(in, &Wake{}) })
	default:
		sim.peerCommand(in, co)
	}
}

// peerCommand delivers a command's message to another instance, or the reply to the instance that called.
func (sim *simulation) peerCommand(in *simInstance, co Command) {
	switch co := co.(type) {
	case SendAccept:
		reply := &AcceptReplied{Peer: co.Peer, Range: co.Range, Batch: co.Batch}
		sim.callPeer(in, co.Peer, reply, func(call uint64) Event {
			return &PeerAccept{Call: call, Peer: in.id, Range: co.Range, Epoch: co.Epoch, Keys: co.Keys}
		})
	case SendResult:
		reply := &ResultReplied{Peer: co.Peer, Range: co.Range, Batch: co.Batch}
		sim.callPeer(in, co.Peer, reply, func(call uint64) Event {
			return &PeerResult{Call: call, Peer: in.id, Range: co.Range, Records: co.Records}
		})
	case SendTransfer:
		reply := &TransferReplied{
			Peer: co.Peer, Range: co.Chunk.Range.Range, TransferID: co.Chunk.TransferID, Chunk: co.Chunk.Index,
		}
		sim.callPeer(in, co.Peer, reply, func(call uint64) Event {
			return &PeerTransfer{Call: call, Peer: in.id, Chunk: co.Chunk}
		})
	case ReplyAccept:
		sim.answerCall(in, co.Call, func(ev Event) {
			reply := ev.(*AcceptReplied)
			reply.Accepted, reply.Epoch = co.Accepted, co.Epoch
		})
	case ReplyResult:
		sim.answerCall(in, co.Call, func(ev Event) { ev.(*ResultReplied).Accepted = co.Accepted })
	case ReplyTransfer:
		sim.answerCall(in, co.Call, func(ev Event) { ev.(*TransferReplied).Accepted = co.Accepted })
	default:
		panic(fmt.Sprintf("command %T", co))
	}
}

// openCall is a call between instances that has not been answered.
type openCall struct {
	from  *simInstance
	reply Event
}

func (sim *simulation) callPeer(from *simInstance, to string, reply Event, request func(call uint64) Event) {
	sim.send(from.id, to, func() {
		sim.lastCall++
		sim.openCalls[sim.lastCall] = openCall{from: from, reply: cloneReply(reply)}
		sim.step(sim.instances[to], request(sim.lastCall))
	}, func() { sim.step(from, failedReply(reply)) })
}

func (sim *simulation) answerCall(in *simInstance, call uint64, fill func(Event)) {
	oc := sim.openCalls[call]
	delete(sim.openCalls, call)
	fill(oc.reply)
	sim.send(in.id, oc.from.id,
		func() { sim.step(oc.from, cloneReply(oc.reply)) }, func() { sim.step(oc.from, failedReply(oc.reply)) })
}

func cloneReply(ev Event) Event {
	switch ev := ev.(type) {
	case *AcceptReplied:
		c := *ev
		return &c
	case *ResultReplied:
		c := *ev
		return &c
	case *TransferReplied:
		c := *ev
		return &c
	}
	return ev
}

func failedReply(ev Event) Event {
	ev = cloneReply(ev)
	switch ev := ev.(type) {
	case *AcceptReplied:
		ev.Failed, ev.Accepted = true, false
	case *ResultReplied:
		ev.Failed, ev.Accepted = true, false
	case *TransferReplied:
		ev.Failed, ev.Accepted = true, false
	}
	return ev
}

func (sim *simulation) readTable(in *simInstance, co ReadTable) {
	if sim.table.down {
		sim.schedule(300*time.Millisecond, func() { sim.step(in, &TableRead{ID: co.ID, Failed: true}) })
		return
	}
	sim.schedule(sim.tableDelay(), func() {
		rows := sim.table.scan(co.Prefix)
		sim.schedule(sim.tableDelay(), func() { sim.step(in, &TableRead{ID: co.ID, Rows: rows}) })
	})
}

func (sim *simulation) tableDelay() time.Duration {
	if sim.rng.IntN(100) < sim.slowPercent {
		return time.Duration(sim.rng.IntN(4000)) * time.Millisecond
	}
	return time.Duration(1+sim.rng.IntN(10)) * time.Millisecond
}

// commitTable carries out a transaction like the table writer, or with an ambiguous outcome and perhaps a late effect.
// The row operation/<instance> keeps a transaction from taking effect after a later one of the same instance.
func (sim *simulation) commitTable(in *simInstance, co CommitTable) {
	ft := sim.table
	operation := ft.operations[in.id]
	what := "renew"
	if try := in.ledger.table.inFlight.update; try != nil {
		what = string(try.kind)
	}
	if ft.down || sim.rng.IntN(100) < ft.ambiguousPercent {
		state, delay := Ambiguous, time.Second
		if sim.misreportAmbiguous {
			state, delay = Conflict, 50*time.Millisecond
		}
		sim.schedule(delay, func() { sim.step(in, &TableCommitted{ID: co.ID, State: state}) })
		if sim.rng.IntN(100) < ft.lateCommitPercent {
			effectAfter := time.Duration(sim.rng.IntN([]int{2500, 20_000}[sim.rng.IntN(2)])) * time.Millisecond
			if ft.ambiguousPercent == 100 {
				effectAfter = delay + time.Duration(sim.rng.IntN(1500))*time.Millisecond
			}
			sim.schedule(effectAfter, func() {
				if !ft.down && ft.operations[in.id] == operation && ft.commit(co).State == Committed {
					sim.recordTableChange(co, Committed)
					ft.operations[in.id]++
					sim.stats["late "+what]++
				}
			})
		}
		return
	}
	sim.schedule(sim.tableDelay(), func() {
		result := ft.commit(co)
		sim.recordTableChange(co, result.State)
		if result.State == Committed {
			ft.operations[in.id]++
			sim.stats["done "+what]++
		} else {
			sim.stats["conflict "+what]++
		}
		if sim.rng.IntN(2) == 0 {
			result.Conflicts = nil
		}
		sim.schedule(sim.tableDelay(), func() { sim.step(in, result) })
	})
}

func (sim *simulation) recordTableChange(co CommitTable, state CommitState) {
	if sim.history != nil {
		sim.history.recordCommit(co, state)
	}
}

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 17)) }
