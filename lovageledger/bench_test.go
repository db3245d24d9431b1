package lovageledger

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"lovagestack/lovagejob"
	"lovagestack/lovageplatform"
)

// ledgerPair is an owner and its replica with a network and a table that never fail.
type ledgerPair struct {
	now         time.Time
	table       *fakeTable
	owner       *Ledger
	replica     *Ledger
	heldAccepts []SendAccept // kept by step until acknowledge delivers them
	minted      []lovagejob.Key
	longestStep time.Duration
}

func newLedgerPair() *ledgerPair {
	lp := &ledgerPair{now: time.UnixMilli(1_796_000_000_000).UTC(), table: newFakeTable()}
	lp.owner = New(Settings{Instance: "a", DataCentre: "kandla", Rand: newRand(1), MaxRecords: 2_000_000})
	lp.replica = New(Settings{Instance: "b", DataCentre: "kandla", Rand: newRand(2), MaxRecords: 2_000_000})
	lp.step(lp.owner, &MembersChanged{Members: []Member{{ID: "b", DataCentre: "kandla", State: MemberLive}}})
	lp.step(lp.replica, &MembersChanged{Members: []Member{{ID: "a", DataCentre: "kandla", State: MemberLive}}})
	for range 40 {
		lp.tick(100 * time.Millisecond)
	}
	return lp
}

func (lp *ledgerPair) tick(d time.Duration) {
	lp.now = lp.now.Add(d)
	lp.step(lp.owner, &Tick{})
	lp.step(lp.replica, &Tick{})
}

// step applies an event and carries out all resulting commands except SendAccept.
func (lp *ledgerPair) step(le *Ledger, ev Event) {
	peer, id := lp.replica, "a"
	if le == lp.replica {
		peer, id = lp.owner, "b"
	}
	at := time.Now()
	out := le.Step(lp.now, ev, nil)
	lp.longestStep = max(lp.longestStep, time.Since(at))
	for _, co := range out {
		switch co := co.(type) {
		case ReadTable:
			lp.step(le, &TableRead{ID: co.ID, Rows: lp.table.scan(co.Prefix)})
		case CommitTable:
			lp.step(le, lp.table.commit(co))
		case SendTransfer:
			lp.step(peer, &PeerTransfer{Peer: id, Chunk: co.Chunk})
			lp.step(le, &TransferReplied{
				Peer: co.Peer, Range: co.Chunk.Range.Range, TransferID: co.Chunk.TransferID, Chunk: co.Chunk.Index, Accepted: true,
			})
		case SendResult:
			lp.step(peer, &PeerResult{Peer: id, Range: co.Range, Records: co.Records})
			lp.step(le, &ResultReplied{Peer: co.Peer, Range: co.Range, Batch: co.Batch, Accepted: true})
		case SendAccept:
			lp.heldAccepts = append(lp.heldAccepts, co)
		case Minted:
			lp.minted = co.Keys
		}
	}
}

// acknowledge delivers the held accepts and their acknowledgements.
func (lp *ledgerPair) acknowledge() {
	for len(lp.heldAccepts) > 0 {
		sa := lp.heldAccepts[0]
		lp.heldAccepts = lp.heldAccepts[1:]
		lp.step(lp.replica, &PeerAccept{Peer: "a", Range: sa.Range, Epoch: sa.Epoch, Keys: sa.Keys})
		lp.step(lp.owner, &AcceptReplied{Peer: "b", Range: sa.Range, Batch: sa.Batch, Accepted: true, Epoch: sa.Epoch})
	}
}

// runRound mints 1,000 keys, submits, acknowledges and ends them, and returns the time that each of these steps took.
func (lp *ledgerPair) runRound(tb testing.TB) (submit, ack, end time.Duration) {
	lp.tick(500 * time.Millisecond)
	lp.step(lp.owner, &Mint{Count: 1000})
	must.Len(tb, 1000, lp.minted)
	at := time.Now()
	for i, key := range lp.minted {
		lp.step(lp.owner, &Submit{Request: uint64(i), Key: key, Fingerprint: 1, WaitUntil: lp.now.Add(time.Second)})
	}
	submit, at = time.Since(at), time.Now()
	lp.acknowledge()
	ack, at = time.Since(at), time.Now()
	ans := lovagejob.Answer{
		Outcome: lovagejob.Complete, Tasks: 1, Started: 1, Results: []lovagejob.TaskResult{{Body: []byte("ok")}},
	}
	for _, key := range lp.minted {
		lp.step(lp.owner, &JobEnded{Key: key, Answer: ans})
	}
	return submit, ack, time.Since(at)
}

func heapBytes() uint64 {
	runtime.GC()
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return ms.HeapAlloc
}

// BenchmarkRecordCost reports the memory of a record, averaged over the owner and the replica, and the time per
// submission, per acknowledged key (at both instances) and per ended key.
func BenchmarkRecordCost(b *testing.B) {
	for _, records := range []int{1000, 10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprint(records), func(b *testing.B) {
			before := heapBytes()
			lp := newLedgerPair()
			for lp.owner.RecordCount() < records {
				lp.runRound(b)
			}
			// Full answers and queued results are dropped after a minute; the records stay for the key's lifetime.
			lp.tick(61 * time.Second)
			lp.tick(time.Second)
			must.Eq(b, records, lp.owner.RecordCount())
			must.Eq(b, records, lp.replica.RecordCount())
			perKey := float64(heapBytes()-before) / float64(2*records)
			var submit, ack, end time.Duration
			rounds := 0
			for b.Loop() {
				s, a, e := lp.runRound(b)
				submit, ack, end, rounds = submit+s, ack+a, end+e, rounds+1
			}
			perOperation := func(d time.Duration) float64 { return float64(d.Nanoseconds()) / float64(1000*rounds) }
			b.ReportMetric(perKey, "B/key")
			b.ReportMetric(perOperation(submit), "ns/submit")
			b.ReportMetric(perOperation(ack), "ns/ack")
			b.ReportMetric(perOperation(end), "ns/end")
			b.ReportMetric(0, "ns/op")
			runtime.KeepAlive(lp)
		})
	}
}

// BenchmarkTick reports the cost of a tick, including the reads and renewals that are due, for different numbers of
// known instances. Each instance owns three ranges.
func BenchmarkTick(b *testing.B) {
	for _, instances := range []int{6, 20, 50, 100} {
		b.Run(fmt.Sprint(instances), func(b *testing.B) {
			sl := newSingleLedger(Settings{ReplicatedRanges: -1})
			var members []Member
			for i := range instances - 1 {
				id := fmt.Sprintf("m%d", i)
				members = append(members, Member{ID: id, DataCentre: "kandla", State: MemberLive})
				value, err := json.Marshal(instanceRow{DataCentre: "kandla", Renewal: 1})
				must.NoError(b, err)
				sl.table.rows[instancePrefix+id] = lovageplatform.Row{Key: instancePrefix + id, Value: value, Version: 1}
				for j := range 3 {
					rid := RangeID{DataCentre: "kandla", Index: 3*i + j}.String()
					row := RangeRow{Owner: id, Epoch: 1, CompleteSince: 1}
					sl.table.rows[rid] = lovageplatform.Row{Key: rid, Value: row.encode(), Version: 1}
				}
			}
			sl.step(&MembersChanged{Members: members})
			sl.settle()
			must.Eq(b, 3*(instances-1)+1, len(sl.ledger.rangeIDs))
			b.ReportAllocs()
			for b.Loop() {
				sl.tick(100 * time.Millisecond)
			}
		})
	}
}

// BenchmarkReplicaChange reports the time to drop a replica and to add it again (Rules D and E), including the transfer
// of every record, and the longest time for which one step blocks the control loop.
func BenchmarkReplicaChange(b *testing.B) {
	for _, records := range []int{10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprint(records), func(b *testing.B) {
			lp := newLedgerPair()
			for lp.owner.RecordCount() < records {
				lp.runRound(b)
			}
			lp.tick(61 * time.Second)
			lp.longestStep = 0
			for b.Loop() {
				for _, leaving := range []bool{true, false} {
					lp.step(lp.owner, &MembersChanged{Members: []Member{
						{ID: "b", DataCentre: "kandla", State: MemberLive, Leaving: leaving},
					}})
					lp.tick(2 * time.Second)
				}
			}
			b.ReportMetric(float64(lp.longestStep.Microseconds()), "longest-step-us")
			must.NotEq(b, "", lp.owner.selectMintRange(false).owner.replica)
		})
	}
}

// BenchmarkExpiry reports the longest step while the keys of a whole minute expire.
func BenchmarkExpiry(b *testing.B) {
	for b.Loop() {
		lp := newLedgerPair()
		for lp.owner.RecordCount() < 100_000 {
			lp.runRound(b)
		}
		lp.longestStep = 0
		for range 20 {
			lp.tick(time.Minute)
		}
		must.Eq(b, 0, lp.owner.RecordCount())
		b.ReportMetric(float64(lp.longestStep.Microseconds()), "longest-step-us")
	}
}
