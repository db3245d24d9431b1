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

// duo is an owner and its replica over a network and a table without faults.
type duo struct {
	now     time.Time
	table   *fakeTable
	owner   *Ledger
	other   *Ledger
	held    []SendAccept // accepts of the owner that the caller of step delivers
	minted  []lovagejob.Key
	longest time.Duration // longest single step
}

func newDuo() *duo {
	du := &duo{now: time.UnixMilli(1_796_000_000_000).UTC(), table: newFakeTable()}
	du.owner = New(Settings{Instance: "a", DataCentre: "kandla", Rand: newRand(1), MaxRecords: 2_000_000})
	du.other = New(Settings{Instance: "b", DataCentre: "kandla", Rand: newRand(2), MaxRecords: 2_000_000})
	du.step(du.owner, &MembersChanged{Members: []Member{{ID: "b", DataCentre: "kandla", State: MemberLive}}})
	du.step(du.other, &MembersChanged{Members: []Member{{ID: "a", DataCentre: "kandla", State: MemberLive}}})
	for range 40 {
		du.tick(100 * time.Millisecond)
	}
	return du
}

func (du *duo) tick(d time.Duration) {
	du.now = du.now.Add(d)
	du.step(du.owner, &Tick{})
	du.step(du.other, &Tick{})
}

// step applies an event and everything that follows from it, except for accepts.
func (du *duo) step(le *Ledger, ev Event) {
	peer, id := du.other, "a"
	if le == du.other {
		peer, id = du.owner, "b"
	}
	at := time.Now()
	out := le.Step(du.now, ev, nil)
	du.longest = max(du.longest, time.Since(at))
	for _, co := range out {
		switch co := co.(type) {
		case ReadTable:
			du.step(le, &TableRead{ID: co.ID, Rows: du.table.scan(co.Prefix)})
		case CommitTable:
			du.step(le, du.table.commit(co))
		case SendTransfer:
			du.step(peer, &PeerTransfer{Peer: id, Chunk: co.Chunk})
			du.step(le, &TransferReplied{
				Peer: co.Peer, Range: co.Chunk.Range.Range, TransferID: co.Chunk.TransferID, Chunk: co.Chunk.Index, Accepted: true,
			})
		case SendResult:
			du.step(peer, &PeerResult{Peer: id, Range: co.Range, Records: co.Records})
			du.step(le, &ResultReplied{Peer: co.Peer, Range: co.Range, Batch: co.Batch, Accepted: true})
		case SendAccept:
			du.held = append(du.held, co)
		case Minted:
			du.minted = co.Keys
		}
	}
}

// acknowledge delivers the held accepts and their acknowledgements.
func (du *duo) acknowledge() {
	for len(du.held) > 0 {
		sa := du.held[0]
		du.held = du.held[1:]
		du.step(du.other, &PeerAccept{Peer: "a", Range: sa.Range, Epoch: sa.Epoch, Keys: sa.Keys})
		du.step(du.owner, &AcceptReplied{Peer: "b", Range: sa.Range, Batch: sa.Batch, Accepted: true, Epoch: sa.Epoch})
	}
}

// round mints 1,000 keys, submits, acknowledges and ends them, and returns the time that each part took.
func (du *duo) round(tb testing.TB) (submit, ack, end time.Duration) {
	du.tick(500 * time.Millisecond)
	du.step(du.owner, &Mint{Count: 1000})
	must.Len(tb, 1000, du.minted)
	at := time.Now()
	for i, key := range du.minted {
		du.step(du.owner, &Submit{Request: uint64(i), Key: key, Fingerprint: 1, WaitUntil: du.now.Add(time.Second)})
	}
	submit, at = time.Since(at), time.Now()
	du.acknowledge()
	ack, at = time.Since(at), time.Now()
	ans := lovagejob.Answer{
		Outcome: lovagejob.Complete, Tasks: 1, Started: 1, Results: []lovagejob.TaskResult{{Body: []byte("ok")}},
	}
	for _, key := range du.minted {
		du.step(du.owner, &JobEnded{Key: key, Answer: ans})
	}
	return submit, ack, time.Since(at)
}

func heapBytes() uint64 {
	runtime.GC()
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return ms.HeapAlloc
}

// BenchmarkKeysKept reports what a remembered key costs, in memory at the owner and its replica together, and in time
// per submission, acknowledged key (both instances) and ended key.
func BenchmarkKeysKept(b *testing.B) {
	for _, kept := range []int{1000, 10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprint(kept), func(b *testing.B) {
			before := heapBytes()
			du := newDuo()
			for du.owner.RecordCount() < kept {
				du.round(b)
			}
			// Full answers and copies are over after a minute; the rest stays for the key's lifetime.
			du.tick(61 * time.Second)
			du.tick(time.Second)
			must.Eq(b, kept, du.owner.RecordCount())
			must.Eq(b, kept, du.other.RecordCount())
			perKey := float64(heapBytes()-before) / float64(2*kept)
			var submit, ack, end time.Duration
			rounds := 0
			for b.Loop() {
				s, a, e := du.round(b)
				submit, ack, end, rounds = submit+s, ack+a, end+e, rounds+1
			}
			perOperation := func(d time.Duration) float64 { return float64(d.Nanoseconds()) / float64(1000*rounds) }
			b.ReportMetric(perKey, "B/key")
			b.ReportMetric(perOperation(submit), "ns/submit")
			b.ReportMetric(perOperation(ack), "ns/ack")
			b.ReportMetric(perOperation(end), "ns/end")
			b.ReportMetric(0, "ns/op")
			runtime.KeepAlive(du)
		})
	}
}

// BenchmarkTick reports the cost of a tick, with the reads and renewals that are due, by the number of instances
// known. Each instance owns three ranges.
func BenchmarkTick(b *testing.B) {
	for _, instances := range []int{6, 20, 50, 100} {
		b.Run(fmt.Sprint(instances), func(b *testing.B) {
			si := newSingle(Settings{ReplicatedRanges: -1})
			var members []Member
			for i := range instances - 1 {
				id := fmt.Sprintf("m%d", i)
				members = append(members, Member{ID: id, DataCentre: "kandla", State: MemberLive})
				value, err := json.Marshal(instanceRow{DataCentre: "kandla", Renewal: 1})
				must.NoError(b, err)
				si.table.rows[instancePrefix+id] = lovageplatform.Row{Key: instancePrefix + id, Value: value, Version: 1}
				for j := range 3 {
					rid := RangeID{DataCentre: "kandla", Index: 3*i + j}.String()
					row := RangeRow{Owner: id, Epoch: 1, CompleteSince: 1}
					si.table.rows[rid] = lovageplatform.Row{Key: rid, Value: row.encode(), Version: 1}
				}
			}
			si.step(&MembersChanged{Members: members})
			si.settle()
			must.Eq(b, 3*(instances-1)+1, len(si.le.order))
			b.ReportAllocs()
			for b.Loop() {
				si.tick(100 * time.Millisecond)
			}
		})
	}
}

// BenchmarkReplicaChange reports the time to drop a replica and to add it again (Rules D and E), with the transfer of
// every record, and the longest time for which one step holds up the control loop meanwhile.
func BenchmarkReplicaChange(b *testing.B) {
	for _, kept := range []int{10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprint(kept), func(b *testing.B) {
			du := newDuo()
			for du.owner.RecordCount() < kept {
				du.round(b)
			}
			du.tick(61 * time.Second)
			du.longest = 0
			for b.Loop() {
				for _, leaving := range []bool{true, false} {
					du.step(du.owner, &MembersChanged{Members: []Member{
						{ID: "b", DataCentre: "kandla", State: MemberLive, Leaving: leaving},
					}})
					du.tick(2 * time.Second)
				}
			}
			b.ReportMetric(float64(du.longest.Microseconds()), "longest-step-us")
			must.NotEq(b, "", du.owner.selectMintRange(false).owner.replica)
		})
	}
}

// BenchmarkExpiry reports the longest step while a minute's keys are dropped together.
func BenchmarkExpiry(b *testing.B) {
	for b.Loop() {
		du := newDuo()
		for du.owner.RecordCount() < 100_000 {
			du.round(b)
		}
		du.longest = 0
		for range 20 {
			du.tick(time.Minute)
		}
		must.Eq(b, 0, du.owner.RecordCount())
		b.ReportMetric(float64(du.longest.Microseconds()), "longest-step-us")
	}
}
