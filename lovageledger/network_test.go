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

// fakeTable is the platform's table.
type fakeTable struct {
	rows       map[string]lovageplatform.Row
	operations map[string]int64 // version of the row operation/<instance>
	down       bool
	doubt      int // percentage of commits whose outcome is ambiguous
	late       int // percentage of ambiguous commits that land late, if at all
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

// occurrence is something that happens at a time in the simulated world.
type occurrence struct {
	at  time.Duration
	seq int
	do  func()
}

type agenda []occurrence

func (ag agenda) Len() int { return len(ag) }
func (ag agenda) Less(i, j int) bool {
	return ag[i].at < ag[j].at || ag[i].at == ag[j].at && ag[i].seq < ag[j].seq
}
func (ag agenda) Swap(i, j int) { ag[i], ag[j] = ag[j], ag[i] }
func (ag *agenda) Push(x any)   { *ag = append(*ag, x.(occurrence)) }
func (ag *agenda) Pop() any {
	last := (*ag)[len(*ag)-1]
	*ag = (*ag)[:len(*ag)-1]
	return last
}

// node is one instance of the simulated world.
type node struct {
	id, dc  string
	le      *Ledger
	cleaner *Cleaner
	members []Member
	skew    time.Duration
	dead    bool
	paused  bool
	held    []Event // events that arrived while paused
	drained bool
	contact map[string]time.Duration // last time that the other instance was reachable
	misjudg map[string]time.Duration // until when the other instance is taken for gone
}

// after schedules something; the delay is counted from now.
func (wo *world) after(d time.Duration, do func()) {
	wo.seq++
	heap.Push(&wo.agenda, occurrence{at: wo.now + d, seq: wo.seq, do: do})
}

// run lets time pass.
func (wo *world) run(d time.Duration) {
	end := wo.now + d
	for len(wo.agenda) > 0 && wo.agenda[0].at <= end && wo.violation == "" {
		oc := heap.Pop(&wo.agenda).(occurrence)
		wo.now = max(wo.now, oc.at)
		oc.do()
	}
	wo.now = max(wo.now, end)
}

// connected reports whether a message can pass between two instances now.
func (wo *world) connected(a, b string) bool {
	na, nb := wo.nodes[a], wo.nodes[b]
	return na != nil && nb != nil && !na.dead && !nb.dead && !wo.cut[pair(a, b)]
}

func pair(a, b string) [2]string { return [2]string{min(a, b), max(a, b)} }

// send delivers a message, perhaps late, twice or never. It reports by lost() that the sender's call failed.
func (wo *world) send(from, to string, deliver func(), lost func()) {
	delay := time.Duration(1+wo.rng.IntN(4)) * time.Millisecond
	if wo.rng.IntN(100) < wo.slow {
		delay = time.Duration(wo.rng.IntN(8000)) * time.Millisecond
	}
	if wo.rng.IntN(100) < wo.loss || !wo.connected(from, to) {
		if wo.rng.IntN(2) == 0 {
			wo.after(time.Second, lost)
		}
		return
	}
	arrive := func() {
		if wo.connected(from, to) {
			deliver()
		}
	}
	wo.after(delay, arrive)
	if wo.rng.IntN(100) < wo.loss {
		wo.after(delay+time.Duration(wo.rng.IntN(3000))*time.Millisecond, arrive)
	}
}

// step gives an event to an instance and carries out its commands.
func (wo *world) step(no *node, ev Event) {
	if no.dead {
		return
	}
	if no.paused {
		no.held = append(no.held, ev)
		return
	}
	out := no.le.Step(wo.clock(no), ev, nil)
	if wo.breakRule != nil {
		out = wo.breakRule(wo, no, out)
	}
	for _, co := range out {
		wo.command(no, co)
	}
}

// clock returns the wall clock of an instance, which may differ from the others' by minutes.
func (wo *world) clock(no *node) time.Time {
	return time.UnixMilli(1_796_000_000_000).Add(wo.now + no.skew).UTC()
}

func (wo *world) command(no *node, co Command) {
	switch co := co.(type) {
	case Admit:
		wo.admitted(no, co.Key)
	case Reply:
		wo.replied(no, co)
	case Forward:
		wo.forwarded(no, co)
	case Minted:
		wo.minted(co)
	case CancelJob:
		wo.after(20*time.Millisecond, func() { wo.endJob(no, co.Key, true) })
	case ReadTable:
		wo.read(no, co)
	case CommitTable:
		wo.commit(no, co)
	case Drained:
		no.drained = true
	case WakeAt:
		wo.after(co.At.Sub(wo.clock(no)), func() { wo.step(no, &Wake{}) })
	default:
		wo.peerCommand(no, co)
	}
}

// peerCommand carries a message to another instance and its reply back.
func (wo *world) peerCommand(no *node, co Command) {
	switch co := co.(type) {
	case SendAccept:
		reply := &AcceptReplied{Peer: co.Peer, Range: co.Range, Batch: co.Batch}
		wo.call(no, co.Peer, reply, func(call uint64) Event {
			return &PeerAccept{Call: call, Peer: no.id, Range: co.Range, Epoch: co.Epoch, Keys: co.Keys}
		})
	case SendResult:
		reply := &ResultReplied{Peer: co.Peer, Range: co.Range, Batch: co.Batch}
		wo.call(no, co.Peer, reply, func(call uint64) Event {
			return &PeerResult{Call: call, Peer: no.id, Range: co.Range, Records: co.Records}
		})
	case SendTransfer:
		reply := &TransferReplied{
			Peer: co.Peer, Range: co.Chunk.Range.Range, TransferID: co.Chunk.TransferID, Chunk: co.Chunk.Index,
		}
		wo.call(no, co.Peer, reply, func(call uint64) Event {
			return &PeerTransfer{Call: call, Peer: no.id, Chunk: co.Chunk}
		})
	case ReplyAccept:
		wo.answerCall(no, co.Call, func(ev Event) {
			reply := ev.(*AcceptReplied)
			reply.Accepted, reply.Epoch = co.Accepted, co.Epoch
		})
	case ReplyResult:
		wo.answerCall(no, co.Call, func(ev Event) { ev.(*ResultReplied).Accepted = co.Accepted })
	case ReplyTransfer:
		wo.answerCall(no, co.Call, func(ev Event) { ev.(*TransferReplied).Accepted = co.Accepted })
	default:
		panic(fmt.Sprintf("command %T", co))
	}
}

// openCall is a call between instances whose reply is due.
type openCall struct {
	from  *node
	reply Event
}

func (wo *world) call(from *node, to string, reply Event, request func(call uint64) Event) {
	wo.send(from.id, to, func() {
		wo.calls++
		wo.open[wo.calls] = openCall{from: from, reply: clone(reply)}
		wo.step(wo.nodes[to], request(wo.calls))
	}, func() { wo.step(from, failed(reply)) })
}

func (wo *world) answerCall(no *node, call uint64, fill func(Event)) {
	oc := wo.open[call]
	delete(wo.open, call)
	fill(oc.reply)
	wo.send(no.id, oc.from.id, func() { wo.step(oc.from, clone(oc.reply)) }, func() { wo.step(oc.from, failed(oc.reply)) })
}

func clone(ev Event) Event {
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

func failed(ev Event) Event {
	ev = clone(ev)
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

func (wo *world) read(no *node, co ReadTable) {
	if wo.table.down {
		wo.after(300*time.Millisecond, func() { wo.step(no, &TableRead{ID: co.ID, Failed: true}) })
		return
	}
	wo.after(wo.tableDelay(), func() {
		rows := wo.table.scan(co.Prefix)
		wo.after(wo.tableDelay(), func() { wo.step(no, &TableRead{ID: co.ID, Rows: rows}) })
	})
}

func (wo *world) tableDelay() time.Duration {
	if wo.rng.IntN(100) < wo.slow {
		return time.Duration(wo.rng.IntN(4000)) * time.Millisecond
	}
	return time.Duration(1+wo.rng.IntN(10)) * time.Millisecond
}

// commit carries out a transaction of the table writer, whose row operation/<instance> keeps a transaction from
// landing after a later one of the same instance.
func (wo *world) commit(no *node, co CommitTable) {
	ft := wo.table
	operation := ft.operations[no.id]
	what := "renew"
	if try := no.le.table.inFlight.update; try != nil {
		what = string(try.kind)
	}
	if ft.down || wo.rng.IntN(100) < ft.doubt {
		state, delay := Ambiguous, time.Second
		if wo.breakTable {
			state, delay = Conflict, 50*time.Millisecond
		}
		wo.after(delay, func() { wo.step(no, &TableCommitted{ID: co.ID, State: state}) })
		if wo.rng.IntN(100) < ft.late {
			landing := time.Duration(wo.rng.IntN([]int{2500, 20_000}[wo.rng.IntN(2)])) * time.Millisecond
			if ft.doubt == 100 {
				landing = delay + time.Duration(wo.rng.IntN(1500))*time.Millisecond
			}
			wo.after(landing, func() {
				if !ft.down && ft.operations[no.id] == operation && ft.commit(co).State == Committed {
					wo.tableChanged(co, Committed)
					ft.operations[no.id]++
					wo.stats["late "+what]++
				}
			})
		}
		return
	}
	wo.after(wo.tableDelay(), func() {
		result := ft.commit(co)
		wo.tableChanged(co, result.State)
		if result.State == Committed {
			ft.operations[no.id]++
			wo.stats["done "+what]++
		} else {
			wo.stats["conflict "+what]++
		}
		if wo.rng.IntN(2) == 0 {
			result.Conflicts = nil
		}
		wo.after(wo.tableDelay(), func() { wo.step(no, result) })
	})
}

func (wo *world) tableChanged(co CommitTable, state CommitState) {
	if wo.history != nil {
		wo.history.committed(co, state)
	}
}

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 17)) }
