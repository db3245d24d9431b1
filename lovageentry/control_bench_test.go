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

// controlBench does the control work of one instance. Prepared heartbeats simulate the peers.
type controlBench struct {
	core             *lovagemember.Core
	id, dc           string
	receivedRequests [][]byte // encoded heartbeats that arrive each second
	targetIDs        []string
	now              time.Time
	sentBytes        int
	deltas           deltaTracker
	ackedChange      uint64 // number of the last summary change that the peers have acknowledged
}

func benchHeartbeat(id, dc string) *lovagemessage.Heartbeat {
	return &lovagemessage.Heartbeat{
		Instance: id, DataCentre: dc, Address: "10.1.0.11:7003", Ready: true, AppliedRevision: 8200, CallerAddress: "10.1.0.11:7001",
		Domains: []*lovagemessage.DomainLoad{{Domain: "kandla/0", Slots: 384, FreeSlots: 100}},
	}
}

func receivedHeartbeat(msg *lovagemessage.Heartbeat, address string) lovagemember.HeartbeatReceived {
	return lovagemember.HeartbeatReceived{
		Instance: msg.GetInstance(), DataCentre: msg.GetDataCentre(), Address: address, UsesRelays: msg.GetRelays(), Details: memberSummary(msg),
	}
}

// newControlBench returns the benchmark of an instance of the data centre dc0. If usesRelays is set, isRelay selects
// whether that instance is dc0's relay.
func newControlBench(b *testing.B, instances, dataCentres int, usesRelays, isRelay bool) *controlBench {
	meshInstances := 1000
	if usesRelays {
		meshInstances = 1
	}
	now := time.Unix(1_796_000_000, 0)
	type peer struct{ id, dc string }
	var peers []peer
	for i := range instances {
		dc := fmt.Sprintf("dc%d", i%dataCentres)
		peers = append(peers, peer{fmt.Sprintf("%s-%d-5f0c9a", dc, i), dc})
	}
	cores := make([]*lovagemember.Core, instances)
	for i, pe := range peers {
		cores[i] = lovagemember.New(lovagemember.Settings{Instance: pe.id, DataCentre: pe.dc, Address: pe.id + ":1", MeshInstances: meshInstances})
		for j, other := range peers {
			if i != j {
				cores[i].Step(now, receivedHeartbeat(benchHeartbeat(other.id, other.dc), other.id+":1"), nil)
			}
		}
	}
	now = now.Add(4 * time.Second) // below, only instances of the same data centre send new heartbeats
	chosen := -1
	for i, pe := range peers {
		for j, other := range peers {
			if i != j && pe.dc == other.dc {
				cores[i].Step(now, receivedHeartbeat(benchHeartbeat(other.id, other.dc), other.id+":1"), nil)
			}
		}
		if chosen < 0 && pe.dc == "dc0" && (!usesRelays || cores[i].Role().IsRelay == isRelay) {
			chosen = i
		}
	}
	if chosen < 0 {
		b.Skip("each instance is the relay of its data centre")
	}
	// Relays get the summaries of other data centres first. The heartbeats below then contain these summaries.
	for i := range peers {
		for j := range peers {
			if i != j && cores[j].SummaryScopeFor(peers[i].id) == lovagemember.LocalSummary {
				for _, su := range cores[j].Summaries(lovagemember.LocalSummary) {
					cores[i].Step(now, lovagemember.SummaryReceived{Summary: toSummary(fromSummary(&su, benchHeartbeat(peers[j].id, peers[j].dc)))}, nil)
				}
			}
		}
	}
	cb := &controlBench{core: cores[chosen], id: peers[chosen].id, dc: peers[chosen].dc, now: now, deltas: newDeltaTracker()}
	senderDeltas := newDeltaTracker()
	for j, other := range peers {
		if j == chosen || !cores[j].ExchangesHeartbeats(cb.id) {
			continue
		}
		if other.dc != cb.dc && !usesRelays && j%2 == 0 {
			continue // without relays, an instance sends heartbeats to other data centres only every 2 s
		}
		cb.targetIDs = append(cb.targetIDs, other.id)
		msg := benchHeartbeat(other.id, other.dc)
		msg.Relays, msg.Address = usesRelays, other.id+":1"
		for _, su := range cores[j].Summaries(cores[j].SummaryScopeFor(cb.id)) {
			full := fromSummary(&su, msg)
			cb.deltas.complete(full)
			msg.Summaries = append(msg.Summaries, senderDeltas.newVersionedSummary(full).since(math.MaxUint64))
		}
		data, err := proto.Marshal(&lovagemessage.Request{Body: &lovagemessage.Request_Heartbeat{Heartbeat: msg}})
		if err != nil {
			b.Fatal(err)
		}
		cb.receivedRequests = append(cb.receivedRequests, data)
	}
	return cb
}

// runSecond does the control work of one second: ticks, heartbeats and replies in both directions, without the
// transport.
func (cb *controlBench) runSecond(b *testing.B) {
	encode := func(msg proto.Message) []byte {
		data, err := proto.Marshal(msg)
		if err != nil {
			b.Fatal(err)
		}
		cb.sentBytes += len(data)
		return data
	}
	cb.now = cb.now.Add(time.Second)
	var out []lovagemember.Command
	for range time.Second / tickInterval {
		out = cb.core.Step(cb.now, lovagemember.Tick{}, out[:0])
	}
	reply := &lovagemessage.Response{Body: &lovagemessage.Response_Heartbeat{Heartbeat: &lovagemessage.HeartbeatReply{AppliedRevision: 8200}}}
	for _, data := range cb.receivedRequests {
		req := &lovagemessage.Request{}
		if err := proto.Unmarshal(data, req); err != nil {
			b.Fatal(err)
		}
		msg := req.GetHeartbeat()
		out = cb.core.Step(cb.now, receivedHeartbeat(msg, msg.GetAddress()), out[:0])
		for _, su := range msg.GetSummaries() {
			out = cb.core.Step(cb.now, lovagemember.SummaryReceived{Summary: toSummary(cb.deltas.complete(su))}, out[:0])
		}
		encode(reply)
	}
	own := benchHeartbeat(cb.id, cb.dc)
	summaries := map[lovagemember.SummaryScope][]*lovagemessage.DataCentreSummary{}
	for _, id := range cb.targetIDs {
		scope := cb.core.SummaryScopeFor(id)
		if _, ok := summaries[scope]; !ok {
			summaries[scope] = nil
			for _, su := range cb.core.Summaries(scope) {
				summaries[scope] = append(summaries[scope], cb.deltas.newVersionedSummary(fromSummary(&su, own)).since(cb.ackedChange))
			}
		}
		encode(&lovagemessage.Request{Body: &lovagemessage.Request_Heartbeat{Heartbeat: withSummaries(own, summaries[scope])}})
		out = cb.core.Step(cb.now, lovagemember.PeerReplied{Instance: id, UsesRelays: true}, out[:0])
	}
	cb.ackedChange = cb.deltas.lastChange
}

// BenchmarkControlSecond measures one instance's control work per second, with encoding and decoding but without
// sessions. It also reports the bytes of the requests and replies that the instance sends.
func BenchmarkControlSecond(b *testing.B) {
	for _, si := range []struct{ instances, dataCentres int }{{6, 3}, {14, 3}, {28, 7}, {48, 14}, {100, 14}, {140, 14}} {
		for _, role := range []struct {
			name                string
			usesRelays, isRelay bool
		}{{"mesh", false, false}, {"plain", true, false}, {"relay", true, true}} {
			b.Run(fmt.Sprintf("instances=%d,dataCentres=%d,role=%s", si.instances, si.dataCentres, role.name), func(b *testing.B) {
				cb := newControlBench(b, si.instances, si.dataCentres, role.usesRelays, role.isRelay)
				cb.runSecond(b) // sends full summaries, which do not change afterwards
				cb.sentBytes = 0
				seconds := 0
				b.ReportAllocs()
				for b.Loop() {
					cb.runSecond(b)
					seconds++
				}
				b.ReportMetric(float64(cb.sentBytes)/float64(seconds), "sentB/s")
				b.ReportMetric(float64(len(cb.targetIDs)), "targets")
				b.ReportMetric(b.Elapsed().Seconds()/float64(seconds)*100, "%core")
			})
		}
	}
}
