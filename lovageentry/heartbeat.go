package lovageentry

import (
	"context"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"lovagestack/lovagemember"
	"lovagestack/lovagemessage"
)

// remoteHeartbeatFactor is the number of heartbeat intervals between two heartbeats to an instance of another data
// centre. Idle control cost is proportional to the number of peers, and nothing that must happen within a second
// depends on peers in other data centres. Twice the interval of 1 s stays below the 3 s after which a peer is suspect.
const remoteHeartbeatFactor = 2

// topologyRefresh is the time after which the ranges and known peers are sent to a peer again although they have not
// changed. With unchanged ones in each heartbeat, the bytes sent grew with the square of the number of instances.
const topologyRefresh = 20 * time.Second

// heartbeatTarget is the state that the control loop keeps for a peer that it sends heartbeats to.
type heartbeatTarget struct {
	instance        string // the process at the address; a restarted one has acknowledged nothing
	due             time.Time
	ackedTopology   uint64    // hash of the ranges and peers that the target has acknowledged
	ackedTopologyAt time.Time // when it acknowledged them
	ackedChange     uint64    // last change of the summaries' contents that the target has acknowledged
	summariesDue    time.Time // when all contents are sent to it again
	active          bool      // is a target in this round
}

// heartbeatRound holds the data that the heartbeats of one round share.
type heartbeatRound struct {
	lo           *controlLoop
	brief        *lovagemessage.Heartbeat
	full         *lovagemessage.Heartbeat
	topology     uint64
	summaryCache map[lovagemember.SummaryScope][]*versionedSummary
}

func (lo *controlLoop) newHeartbeatRound() *heartbeatRound {
	ro := &heartbeatRound{
		lo: lo, brief: lo.heartbeatMessage(), summaryCache: make(map[lovagemember.SummaryScope][]*versionedSummary),
	}
	ro.full, ro.topology = lo.withTopology(ro.brief)
	if lo.in.isRelay.Load() {
		lo.recordOwnRanges()
	}
	return ro
}

// heartbeatIfDue sends the instance's state to every peer that is not gone and whose heartbeat is due.
func (lo *controlLoop) heartbeatIfDue() {
	if lo.now.Before(lo.nextHeartbeat) {
		return
	}
	lo.nextHeartbeat = lo.now.Add(lo.in.settings.Heartbeat.Interval)
	lo.dropExpiredSubmissions()
	lo.dropUnneededExpansions()
	lo.connectSeeds()
	ro := lo.newHeartbeatRound()
	for address := range lo.heartbeatTargets() {
		if lo.in.mesh.Connected(address) {
			ro.send(address)
		}
	}
	for address, ht := range lo.heartbeats {
		if !ht.active {
			delete(lo.heartbeats, address)
		}
		ht.active = false
	}
}

// sessionOpened is a new session with a peer. The peer gets a heartbeat at once, because its reply names the leaving
// workers: until the next round a process that has just started would give them tasks.
type sessionOpened struct{ peer string }

func (so *sessionOpened) apply(lo *controlLoop) {
	lo.stepMember(lovagemember.SessionUp{Instance: so.peer})
	ro := lo.newHeartbeatRound()
	for address := range lo.heartbeatTargets() {
		if lo.in.mesh.Instance(address) == so.peer {
			delete(lo.heartbeats, address) // it is due again
			ro.send(address)
		}
	}
}

// heartbeatTargets returns the addresses of the peers with which heartbeats are exchanged. The ID of a seed is not
// known before its first heartbeat, so seeds are targets by address alone.
func (lo *controlLoop) heartbeatTargets() map[string]struct{} {
	targets := make(map[string]struct{}, len(lo.members.members))
	for _, seed := range lo.in.settings.Peers.Seeds {
		if address := seed.String(); !lo.releasedAddresses[address] {
			targets[address] = struct{}{}
		}
	}
	for id, me := range lo.members.members {
		if me.State != lovagemember.Gone && lo.member.ExchangesHeartbeats(id) {
			targets[me.Address] = struct{}{}
		}
	}
	delete(targets, "")
	delete(targets, lo.in.peerAddress)
	return targets
}

// send sends a heartbeat to the instance at an address if one is due.
func (ro *heartbeatRound) send(address string) {
	lo := ro.lo
	instance := lo.in.mesh.Instance(address)
	ht := lo.heartbeats[address]
	if ht == nil || ht.instance != instance {
		ht = &heartbeatTarget{instance: instance}
		lo.heartbeats[address] = ht
	}
	ht.active = true
	// Half an interval of slack keeps the timer's jitter from skipping a round. A change of the ranges is sent in the
	// next round in any case, because a peer answers "unknown" for keys of ranges that it does not know.
	if ht.ackedTopology == ro.topology && lo.now.Add(lo.in.settings.Heartbeat.Interval/2).Before(ht.due) {
		return
	}
	interval := lo.in.settings.Heartbeat.Interval
	if dc := lo.members.dataCentres[instance]; dc != "" && dc != lo.in.settings.DataCentre && !lo.in.usesRelays.Load() {
		interval *= remoteHeartbeatFactor
	}
	ht.due = lo.now.Add(interval)
	if !lo.now.Before(ht.summariesDue) {
		ht.ackedChange, ht.summariesDue = 0, lo.now.Add(summaryRefresh)
	}
	msg := ro.brief
	if ht.ackedTopology != ro.topology || lo.now.Sub(ht.ackedTopologyAt) >= topologyRefresh {
		msg = ro.full
	}
	summaries := ro.summaries(instance, ht.ackedChange)
	hs := &heartbeatSender{
		in: lo.in, address: address, deadline: lo.now.Add(lo.in.settings.Heartbeat.Interval), full: msg == ro.full,
		topology: ro.topology, lastChange: lo.deltas.lastChange, summaries: summaries,
	}
	lo.in.counts.heartbeats.Inc(1)
	lo.in.counts.summaries.Inc(int64(len(hs.summaries)))
	hs.req = &lovagemessage.Request{Body: &lovagemessage.Request_Heartbeat{Heartbeat: withSummaries(msg, hs.summaries)}}
	go hs.run()
}

// withSummaries returns the heartbeat with summaries. It shares everything else with msg.
func withSummaries(msg *lovagemessage.Heartbeat, summaries []*lovagemessage.DataCentreSummary) *lovagemessage.Heartbeat {
	if len(summaries) == 0 {
		return msg
	}
	out := &lovagemessage.Heartbeat{}
	re := out.ProtoReflect()
	msg.ProtoReflect().Range(func(fd protoreflect.FieldDescriptor, va protoreflect.Value) bool {
		re.Set(fd, va)
		return true
	})
	out.Summaries = summaries
	return out
}

// withTopology returns the heartbeat with the ranges and known peers added, and a hash of these.
func (lo *controlLoop) withTopology(brief *lovagemessage.Heartbeat) (*lovagemessage.Heartbeat, uint64) {
	full, ok := proto.Clone(brief).(*lovagemessage.Heartbeat)
	if !ok {
		return brief, 0
	}
	di := xxhash.New()
	for _, rs := range lo.ledger.Ranges() {
		full.Ranges = append(full.Ranges, fromRange(rs))
		_, _ = fmt.Fprintln(di, rs)
	}
	for _, pe := range lo.member.KnownPeers() {
		full.KnownPeers = append(full.KnownPeers, &lovagemessage.PeerState{
			Instance: pe.Instance, DataCentre: pe.DataCentre, Address: pe.Address, Leaving: pe.Leaving,
			CallerAddress: pe.CallerAddress,
		})
		_, _ = fmt.Fprintln(di, pe)
	}
	return full, di.Sum64()
}

func (lo *controlLoop) heartbeatMessage() *lovagemessage.Heartbeat {
	load := lo.core.Load()
	return &lovagemessage.Heartbeat{
		Instance: lo.in.id, DataCentre: lo.in.settings.DataCentre, Address: lo.in.peerAddress, Leaving: lo.draining,
		Ready: lo.in.isReady(), AppliedRevision: lo.in.store.Revision(),
		LeavingWorkers: lo.member.LeavingWorkers(), Relays: lo.in.usesRelays.Load(), CallerAddress: lo.in.callerAddress,
		Domains: lo.domainLoads(&load),
	}
}

// heartbeatSender sends one heartbeat to one peer and reports the reply to the control loop.
type heartbeatSender struct {
	in         *Instance
	address    string
	req        *lovagemessage.Request
	deadline   time.Time
	full       bool   // req holds the topology
	topology   uint64 // its hash
	lastChange uint64 // last change of the summaries' contents
	summaries  []*lovagemessage.DataCentreSummary
}

func (hs *heartbeatSender) run() {
	ctx, cancel := context.WithDeadline(hs.in.lifetimeContext(), hs.deadline)
	defer cancel()
	res, err := hs.in.call(ctx, hs.address, hs.req)
	if err != nil {
		hs.in.counts.heartbeatsFailed.Inc(1)
		return
	}
	if hs.full || len(hs.summaries) > 0 {
		hs.in.control.post(ctx, hs)
	}
	// The reply shows that the process now at the address is alive, which need not be the one that was
	// expected there: a restarted process has a new ID, and the platform's list has names instead of IDs.
	peer := hs.in.mesh.Instance(hs.address)
	if peer == "" {
		return
	}
	hb := res.GetHeartbeat()
	hs.in.syncer.ObserveRevision(peer, hb.GetAppliedRevision())
	hs.in.control.post(ctx, &memberEvent{lovagemember.PeerReplied{Instance: peer, UsesRelays: hb.GetRelays()}})
	if workers := hb.GetLeavingWorkers(); len(workers) > 0 {
		hs.in.control.post(ctx, &memberEvent{lovagemember.LeavingWorkersReceived{From: peer, Workers: workers}})
	}
	if len(hb.GetSummaries()) > 0 {
		hs.in.control.post(ctx, &summariesReceived{hb.GetSummaries()})
	}
}

// apply records that the peer has received the topology and the summaries.
func (hs *heartbeatSender) apply(lo *controlLoop) {
	ht := lo.heartbeats[hs.address]
	if ht == nil {
		return
	}
	if hs.full {
		ht.ackedTopology, ht.ackedTopologyAt = hs.topology, lo.now
	}
	if len(hs.summaries) > 0 {
		ht.ackedChange = max(ht.ackedChange, hs.lastChange)
	}
}

// heartbeatReceived is a heartbeat of a peer.
type heartbeatReceived struct {
	from    string
	msg     *lovagemessage.Heartbeat
	replies chan any
}

func (hr *heartbeatReceived) apply(lo *controlLoop) {
	msg := hr.msg
	seen := lovagemember.HeartbeatReceived{
		Instance: hr.from, DataCentre: msg.GetDataCentre(), Address: msg.GetAddress(), Leaving: msg.GetLeaving(),
		LeavingWorkers: msg.GetLeavingWorkers(), CallerAddress: msg.GetCallerAddress(), UsesRelays: msg.GetRelays(),
		Details: memberSummary(msg),
	}
	for _, ps := range msg.GetKnownPeers() {
		if ps.GetInstance() != lo.in.id {
			seen.KnownPeers = append(seen.KnownPeers, lovagemember.Peer{
				Instance: ps.GetInstance(), DataCentre: ps.GetDataCentre(), Address: ps.GetAddress(), Leaving: ps.GetLeaving(),
				CallerAddress: ps.GetCallerAddress(),
			})
		}
	}
	lo.stepMember(seen)
	lo.in.domainRouter.recordLoads(msg.GetDomains(), lo.now)
	lo.rangesReceived(msg.GetDataCentre(), hr.from, msg.GetRanges())
	(&summariesReceived{msg.GetSummaries()}).apply(lo)
	rp := &lovagemessage.HeartbeatReply{
		AppliedRevision: lo.in.store.Revision(), LeavingWorkers: lo.member.LeavingWorkers(), Relays: lo.in.usesRelays.Load(),
	}
	if len(msg.GetSummaries()) > 0 && lo.member.RepliesWithSummary(hr.from) {
		rp.Summaries = lo.localSummaries()
		lo.in.counts.summaries.Inc(int64(len(rp.Summaries)))
	}
	hr.replies <- rp
}

func (in *Instance) handleHeartbeat(ctx context.Context, from string, msg *lovagemessage.Heartbeat) (*lovagemessage.Response, error) {
	in.syncer.ObserveRevision(from, msg.GetAppliedRevision())
	hr := &heartbeatReceived{from: from, msg: msg, replies: make(chan any, 1)}
	if !in.control.post(ctx, hr) {
		return nil, ctx.Err()
	}
	select {
	case rp := <-hr.replies:
		hb, _ := rp.(*lovagemessage.HeartbeatReply)
		return &lovagemessage.Response{Body: &lovagemessage.Response_Heartbeat{Heartbeat: hb}}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
