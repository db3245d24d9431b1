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
// centre while no relays are used. Fewer heartbeats reduce the control cost of an idle instance, which is proportional
// to the number of peers. Nothing that must happen within a second depends on peers in other data centres. With an
// interval of 1 s, these peers get a heartbeat every 2 s; a peer is suspect only after 3 s.
const remoteHeartbeatFactor = 2

// topologyRefresh is the interval at which a heartbeat contains the topology (key ranges and known peers) even if it
// has not changed. When each heartbeat contained the topology, the bytes sent grew with the square of the number of
// instances.
const topologyRefresh = 20 * time.Second

// heartbeatTarget is the control loop's state for a peer to which this instance sends heartbeats.
type heartbeatTarget struct {
	instance          string // ID of the process at the address; a new process has acknowledged nothing
	nextDue           time.Time
	ackedTopologyHash uint64
	ackedTopologyAt   time.Time // when the peer acknowledged the topology
	ackedChange       uint64    // number of the last summary change that the peer has acknowledged
	summaryRefreshDue time.Time // when full summaries are sent again
	inCurrentRound    bool      // the peer is a target in this round; otherwise this state is dropped
}

// heartbeatRound holds the data that the heartbeats of one round share.
type heartbeatRound struct {
	lo           *controlLoop
	brief        *lovagemessage.Heartbeat // without topology and summaries
	full         *lovagemessage.Heartbeat // brief with the topology
	topologyHash uint64
	summaryCache map[lovagemember.SummaryScope][]*versionedSummary
}

func (lo *controlLoop) newHeartbeatRound() *heartbeatRound {
	ro := &heartbeatRound{
		lo: lo, brief: lo.heartbeatMessage(), summaryCache: make(map[lovagemember.SummaryScope][]*versionedSummary),
	}
	ro.full, ro.topologyHash = lo.withTopology(ro.brief)
	if lo.in.isRelay.Load() {
		lo.recordOwnRanges()
	}
	return ro
}

// sendDueHeartbeats sends, once per interval, the due heartbeats to the connected peers. It also connects the seeds and
// drops expired submissions and expansions.
func (lo *controlLoop) sendDueHeartbeats() {
	if lo.now.Before(lo.nextHeartbeatAt) {
		return
	}
	lo.nextHeartbeatAt = lo.now.Add(lo.in.settings.Heartbeat.Interval)
	lo.dropExpiredSubmissions()
	lo.dropUnneededExpansions()
	lo.connectSeeds()
	ro := lo.newHeartbeatRound()
	for address := range lo.heartbeatTargets() {
		if lo.in.mesh.Connected(address) {
			ro.send(address)
		}
	}
	for address, ht := range lo.heartbeatTargetStates {
		if !ht.inCurrentRound {
			delete(lo.heartbeatTargetStates, address)
		}
		ht.inCurrentRound = false
	}
}

// sessionOpened reports a new session with a peer. This instance sends the peer a heartbeat at once, because the peer's
// reply names the leaving workers. Otherwise a process that has just started would send tasks to these workers until
// the next round.
type sessionOpened struct{ peer string }

func (so *sessionOpened) apply(lo *controlLoop) {
	lo.stepMember(lovagemember.SessionUp{Instance: so.peer})
	ro := lo.newHeartbeatRound()
	for address := range lo.heartbeatTargets() {
		if lo.in.mesh.Instance(address) == so.peer {
			delete(lo.heartbeatTargetStates, address) // so that a heartbeat is due at once
			ro.send(address)
		}
	}
}

// heartbeatTargets returns the addresses of the peers with which this instance exchanges heartbeats. A seed's ID is not
// known before its first heartbeat, so all seeds are included except those in releasedAddresses.
func (lo *controlLoop) heartbeatTargets() map[string]struct{} {
	targets := make(map[string]struct{}, len(lo.members.members))
	for _, seed := range lo.in.settings.Peers.Seeds {
		if address := seed.String(); !lo.releasedAddresses[address] {
			targets[address] = struct{}{}
		}
	}
	for id, me := range lo.members.members {
		if me.State != lovagemember.Gone && lo.membership.ExchangesHeartbeats(id) {
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
	ht := lo.heartbeatTargetStates[address]
	if ht == nil || ht.instance != instance {
		ht = &heartbeatTarget{instance: instance}
		lo.heartbeatTargetStates[address] = ht
	}
	ht.inCurrentRound = true
	// A heartbeat counts as due half an interval early, so that jitter of the timer does not delay the heartbeat by a
	// round. A change of the topology is sent in the next round in any case, because a peer answers "unknown" for keys
	// of ranges that it does not know.
	if ht.ackedTopologyHash == ro.topologyHash && lo.now.Add(lo.in.settings.Heartbeat.Interval/2).Before(ht.nextDue) {
		return
	}
	interval := lo.in.settings.Heartbeat.Interval
	if dc := lo.members.dataCentres[instance]; dc != "" && dc != lo.in.settings.DataCentre && !lo.in.usesRelays.Load() {
		interval *= remoteHeartbeatFactor
	}
	ht.nextDue = lo.now.Add(interval)
	if !lo.now.Before(ht.summaryRefreshDue) {
		ht.ackedChange, ht.summaryRefreshDue = 0, lo.now.Add(summaryRefresh)
	}
	msg := ro.brief
	if ht.ackedTopologyHash != ro.topologyHash || lo.now.Sub(ht.ackedTopologyAt) >= topologyRefresh {
		msg = ro.full
	}
	summaries := ro.summaries(instance, ht.ackedChange)
	hs := &heartbeatSender{
		in: lo.in, address: address, deadline: lo.now.Add(lo.in.settings.Heartbeat.Interval), hasTopology: msg == ro.full,
		topologyHash: ro.topologyHash, lastChange: lo.deltas.lastChange, summaries: summaries,
	}
	lo.in.counts.heartbeatsSent.Inc(1)
	lo.in.counts.summariesSent.Inc(int64(len(hs.summaries)))
	hs.req = &lovagemessage.Request{Body: &lovagemessage.Request_Heartbeat{Heartbeat: withSummaries(msg, hs.summaries)}}
	go hs.run()
}

// withSummaries returns a shallow copy of msg with the summaries, or msg itself if there are none.
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

// withTopology returns a copy of the heartbeat with the key ranges and known peers, and a hash of both.
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
	for _, pe := range lo.membership.KnownPeers() {
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
		LeavingWorkers: lo.membership.LeavingWorkers(), Relays: lo.in.usesRelays.Load(), CallerAddress: lo.in.callerAddress,
		Domains: lo.domainLoads(&load),
	}
}

// heartbeatSender sends one heartbeat to one peer and reports the reply to the control loop.
type heartbeatSender struct {
	in           *Instance
	address      string
	req          *lovagemessage.Request
	deadline     time.Time
	hasTopology  bool // req contains the topology
	topologyHash uint64
	lastChange   uint64 // number of the last summary change when req was built
	summaries    []*lovagemessage.DataCentreSummary
}

func (hs *heartbeatSender) run() {
	ctx, cancel := context.WithDeadline(hs.in.lifetimeContext(), hs.deadline)
	defer cancel()
	res, err := hs.in.callPeer(ctx, hs.address, hs.req)
	if err != nil {
		hs.in.counts.heartbeatsFailed.Inc(1)
		return
	}
	if hs.hasTopology || len(hs.summaries) > 0 {
		hs.in.control.post(ctx, hs)
	}
	// The reply shows that the process now at the address is alive. That process need not have the expected ID: a
	// restarted process has a new ID, and the platform's list contains names instead of IDs.
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
	if !hs.in.isIntroduced() {
		hs.in.control.post(ctx, &introductionStep{address: hs.address})
	}
}

// apply records that the peer has acknowledged the topology and the summaries in the heartbeat.
func (hs *heartbeatSender) apply(lo *controlLoop) {
	ht := lo.heartbeatTargetStates[hs.address]
	if ht == nil {
		return
	}
	if hs.hasTopology {
		ht.ackedTopologyHash, ht.ackedTopologyAt = hs.topologyHash, lo.now
	}
	if len(hs.summaries) > 0 {
		ht.ackedChange = max(ht.ackedChange, hs.lastChange)
	}
}

type heartbeatReceived struct {
	from    string
	msg     *lovagemessage.Heartbeat
	replies chan any
}

func (hr *heartbeatReceived) apply(lo *controlLoop) {
	msg := hr.msg
	received := lovagemember.HeartbeatReceived{
		Instance: hr.from, DataCentre: msg.GetDataCentre(), Address: msg.GetAddress(), Leaving: msg.GetLeaving(),
		LeavingWorkers: msg.GetLeavingWorkers(), CallerAddress: msg.GetCallerAddress(), UsesRelays: msg.GetRelays(),
		Details: memberSummary(msg),
	}
	for _, ps := range msg.GetKnownPeers() {
		if ps.GetInstance() != lo.in.id {
			received.KnownPeers = append(received.KnownPeers, lovagemember.Peer{
				Instance: ps.GetInstance(), DataCentre: ps.GetDataCentre(), Address: ps.GetAddress(), Leaving: ps.GetLeaving(),
				CallerAddress: ps.GetCallerAddress(),
			})
		}
	}
	lo.stepMember(received)
	lo.in.domainRouter.recordLoads(msg.GetDomains(), lo.now)
	lo.rangesReceived(msg.GetDataCentre(), hr.from, msg.GetRanges())
	(&summariesReceived{msg.GetSummaries()}).apply(lo)
	rp := &lovagemessage.HeartbeatReply{
		AppliedRevision: lo.in.store.Revision(), LeavingWorkers: lo.membership.LeavingWorkers(), Relays: lo.in.usesRelays.Load(),
	}
	if len(msg.GetSummaries()) > 0 && lo.membership.RepliesWithSummary(hr.from) {
		rp.Summaries = lo.localSummaries()
		lo.in.counts.summariesSent.Inc(int64(len(rp.Summaries)))
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
