package lovageentry

import (
	"fmt"
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"lovagestack/lovagemember"
	"lovagestack/lovagemessage"
)

// controlBench is one instance among others, of which only the messages exist.
type controlBench struct {
	core     *lovagemember.Core
	id, dc   string
	received [][]byte // requests of a second
	targets  []string
	now      time.Time
	sent     int
	book     deltaTracker
	told     uint64 // last change that the others have confirmed
}

func benchHeartbeat(id, dc string) *lovagemessage.Heartbeat {
	return &lovagemessage.Heartbeat{
		Instance: id, DataCentre: dc, Address: "10.1.0.11:7003", Ready: true, AppliedRevision: 8200, CallerAddress: "10.1.0.11:7001",
		Domains: []*lovagemessage.DomainLoad{{Domain: "kandla/0", Slots: 384, FreeSlots: 100}},
	}
}

func seenHeartbeat(msg *lovagemessage.Heartbeat, address string) lovagemember.HeartbeatReceived {
	return lovagemember.HeartbeatReceived{
		Instance: msg.GetInstance(), DataCentre: msg.GetDataCentre(), Address: address, UsesRelays: msg.GetRelays(), Details: memberSummary(msg),
	}
}

// newControlBench returns an instance of the first data centre that has or has not the role of its relay.
func newControlBench(b *testing.B, instances, dataCentres int, relays, relay bool) *controlBench {
	mesh := 1000
	if relays {
		mesh = 1
	}
	now := time.Unix(1_796_000_000, 0)
	type place struct{ id, dc string }
	var places []place
	for i := range instances {
		dc := fmt.Sprintf("dc%d", i%dataCentres)
		places = append(places, place{fmt.Sprintf("%s-%d-5f0c9a", dc, i), dc})
	}
	cores := make([]*lovagemember.Core, instances)
	for i, pl := range places {
		cores[i] = lovagemember.New(lovagemember.Settings{Instance: pl.id, DataCentre: pl.dc, Address: pl.id + ":1", MeshInstances: mesh})
		for j, other := range places {
			if i != j {
				cores[i].Step(now, seenHeartbeat(benchHeartbeat(other.id, other.dc), other.id+":1"), nil)
			}
		}
	}
	now = now.Add(4 * time.Second) // what was heard of other data centres is old
	at := -1
	for i, pl := range places {
		for j, other := range places {
			if i != j && pl.dc == other.dc {
				cores[i].Step(now, seenHeartbeat(benchHeartbeat(other.id, other.dc), other.id+":1"), nil)
			}
		}
		if at < 0 && pl.dc == "dc0" && (!relays || cores[i].Role().IsRelay == relay) {
			at = i
		}
	}
	if at < 0 {
		b.Skip("each instance is the relay of its data centre")
	}
	for i := range places { // summaries reach relays first, and with a second round all instances
		for j := range places {
			if i != j && cores[j].SummaryScopeFor(places[i].id) == lovagemember.LocalSummary {
				for _, su := range cores[j].Summaries(lovagemember.LocalSummary) {
					cores[i].Step(now, lovagemember.SummaryReceived{Summary: toSummary(fromSummary(&su, benchHeartbeat(places[j].id, places[j].dc)))}, nil)
				}
			}
		}
	}
	cb := &controlBench{core: cores[at], id: places[at].id, dc: places[at].dc, now: now, book: newDeltaTracker()}
	others := newDeltaTracker()
	for j, other := range places {
		if j == at || !cores[j].ExchangesHeartbeats(cb.id) {
			continue
		}
		if other.dc != cb.dc && !relays && j%2 == 0 {
			continue // every other heartbeat between data centres is left out
		}
		cb.targets = append(cb.targets, other.id)
		msg := benchHeartbeat(other.id, other.dc)
		msg.Relays, msg.Address = relays, other.id+":1"
		for _, su := range cores[j].Summaries(cores[j].SummaryScopeFor(cb.id)) {
			full := fromSummary(&su, msg)
			cb.book.complete(full)
			msg.Summaries = append(msg.Summaries, others.newVersionedSummary(full).since(math.MaxUint64))
		}
		data, err := proto.Marshal(&lovagemessage.Request{Body: &lovagemessage.Request_Heartbeat{Heartbeat: msg}})
		if err != nil {
			b.Fatal(err)
		}
		cb.received = append(cb.received, data)
	}
	return cb
}

// second does the control work of a second without the transport: ticks, heartbeats and replies in both directions.
func (cb *controlBench) second(b *testing.B) {
	encode := func(msg proto.Message) []byte {
		data, err := proto.Marshal(msg)
		if err != nil {
			b.Fatal(err)
		}
		cb.sent += len(data)
		return data
	}
	cb.now = cb.now.Add(time.Second)
	var out []lovagemember.Command
	for range time.Second / tickInterval {
		out = cb.core.Step(cb.now, lovagemember.Tick{}, out[:0])
	}
	reply := &lovagemessage.Response{Body: &lovagemessage.Response_Heartbeat{Heartbeat: &lovagemessage.HeartbeatReply{AppliedRevision: 8200}}}
	for _, data := range cb.received {
		req := &lovagemessage.Request{}
		if err := proto.Unmarshal(data, req); err != nil {
			b.Fatal(err)
		}
		msg := req.GetHeartbeat()
		out = cb.core.Step(cb.now, seenHeartbeat(msg, msg.GetAddress()), out[:0])
		for _, su := range msg.GetSummaries() {
			out = cb.core.Step(cb.now, lovagemember.SummaryReceived{Summary: toSummary(cb.book.complete(su))}, out[:0])
		}
		encode(reply)
	}
	own := benchHeartbeat(cb.id, cb.dc)
	built := map[lovagemember.SummaryScope][]*lovagemessage.DataCentreSummary{}
	for _, id := range cb.targets {
		kind := cb.core.SummaryScopeFor(id)
		if _, ok := built[kind]; !ok {
			built[kind] = nil
			for _, su := range cb.core.Summaries(kind) {
				built[kind] = append(built[kind], cb.book.newVersionedSummary(fromSummary(&su, own)).since(cb.told))
			}
		}
		encode(&lovagemessage.Request{Body: &lovagemessage.Request_Heartbeat{Heartbeat: withSummaries(own, built[kind])}})
		out = cb.core.Step(cb.now, lovagemember.PeerReplied{Instance: id, UsesRelays: true}, out[:0])
	}
	cb.told = cb.book.lastChange
}

// BenchmarkControlSecond measures the control work of a second of one instance with messages encoded and decoded, but
// without sessions, and the bytes of its requests and replies.
func BenchmarkControlSecond(b *testing.B) {
	for _, si := range []struct{ instances, dataCentres int }{{6, 3}, {14, 3}, {28, 7}, {48, 14}, {100, 14}, {140, 14}} {
		for _, role := range []struct {
			name          string
			relays, relay bool
		}{{"mesh", false, false}, {"plain", true, false}, {"relay", true, true}} {
			b.Run(fmt.Sprintf("instances=%d,dataCentres=%d,role=%s", si.instances, si.dataCentres, role.name), func(b *testing.B) {
				cb := newControlBench(b, si.instances, si.dataCentres, role.relays, role.relay)
				cb.second(b) // tells the contents of summaries, which then do not change
				cb.sent = 0
				seconds := 0
				b.ReportAllocs()
				for b.Loop() {
					cb.second(b)
					seconds++
				}
				b.ReportMetric(float64(cb.sent)/float64(seconds), "sentB/s")
				b.ReportMetric(float64(len(cb.targets)), "targets")
				b.ReportMetric(b.Elapsed().Seconds()/float64(seconds)*100, "%core")
			})
		}
	}
}
