package lovageentry

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"lovagestack/lovagemember"
	"lovagestack/lovagemessage"
)

// A receiver must complete brief reports with the sender's addresses and domain loads, even after lost messages or
// acknowledgements. The sender must not repeat acknowledged fields, and the receiver must drop reports on former
// members.
func TestBriefReportsAreCompleted(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sender, receiver := newDeltaTracker(), newDeltaTracker()
		acked := uint64(0)
		loads, callers := [3]int32{}, [3]string{}
		for range rapid.IntRange(1, 20).Draw(rt, "rounds") {
			full := &lovagemessage.DataCentreSummary{DataCentre: "kandla", Relay: "kandla-0"}
			for i := range loads {
				if rapid.IntRange(0, 3).Draw(rt, "change") == 0 {
					loads[i] = int32(rapid.IntRange(0, 3).Draw(rt, "load"))
					callers[i] = rapid.SampledFrom([]string{"", "10.1.0.1:1", "10.1.0.2:1"}).Draw(rt, "caller")
				}
				full.Members = append(full.Members, &lovagemessage.MemberSummary{
					Instance: fmt.Sprint(i), Address: "10.1.0.1:3", CallerAddress: callers[i], AgeMillis: int64(rapid.IntRange(0, 9).Draw(rt, "age")),
					AppliedRevision: int64(rapid.IntRange(1, 9).Draw(rt, "revision")),
					Domains:         []*lovagemessage.DomainLoad{{Domain: "d", Slots: loads[i]}}, LeavingWorkers: []string{"w"},
				})
			}
			versioned := sender.newVersionedSummary(full)
			sent := versioned.since(acked)
			if rapid.IntRange(0, 4).Draw(rt, "lost") == 0 {
				continue
			}
			if got := receiver.complete(sent); !proto.Equal(got, full) {
				rt.Fatalf("received %v, sent %v", got, full)
			}
			if rapid.IntRange(0, 4).Draw(rt, "unconfirmed") > 0 {
				acked = sender.lastChange
				must.Eq(rt, "", versioned.since(acked).GetMembers()[0].GetAddress())
			}
		}
		receiver.dropUnknown(map[string]lovagemember.Member{"1": {}})
		must.MapLen(rt, min(1, len(receiver.received)), receiver.received)
	})
}

// Checks that rangesSince returns exactly the changed rows of one data centre, and that an older row does not replace a
// newer one.
func TestRangesSince(t *testing.T) {
	row := func(n int32, version int64) *lovagemessage.RangeState {
		return &lovagemessage.RangeState{DataCentre: "kandla", Range: n, Version: version}
	}
	dt := newDeltaTracker()
	dt.recordRanges("kandla", row(0, 1), row(1, 5))
	dt.recordRanges("navlakhi", row(2, 1))
	change := dt.lastChange
	must.Len(t, 2, dt.rangesSince("kandla", 0))
	must.Len(t, 1, dt.rangesSince("navlakhi", 0))
	dt.recordRanges("kandla", row(0, 2), row(1, 4))
	must.Eq(t, []int64{2}, []int64{dt.rangesSince("kandla", change)[0].GetVersion()})
	must.Len(t, 1, dt.rangesSince("kandla", change))
	must.SliceEmpty(t, dt.rangesSince("kandla", dt.lastChange))
}
