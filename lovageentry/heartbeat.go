package lovageentry

import (
	"context"
	"slices"
	"time"

	"lovagestack/lovagedispatch"
	"lovagestack/lovageledger"
	"lovagestack/lovagemember"
	"lovagestack/lovagemessage"
)

// heartbeatIfDue sends the instance's state to every peer that is not gone.
func (lo *controlLoop) heartbeatIfDue() {
	if lo.now.Before(lo.nextHeartbeat) {
		return
	}
	lo.nextHeartbeat = lo.now.Add(lo.in.settings.Heartbeat.Interval)
	lo.sweepOffers()
	req := &lovagemessage.Request{Body: &lovagemessage.Request_Heartbeat{Heartbeat: lo.heartbeatMessage()}}
	// Seeds are instances whose ID is not known before their first heartbeat, so they are sent one by address alone.
	targets := make(map[string]string, len(lo.members.members))
	for _, seed := range lo.in.settings.Peers.Seeds {
		targets[seed.String()] = ""
	}
	// The same holds for members that were not heard yet: the platform's list may name them differently, and a reply must
	// not bring a member to life that does not exist.
	for _, me := range lo.members.members {
		if me.State == lovagemember.Unheard {
			targets[me.Address] = ""
		}
	}
	for id, me := range lo.members.members {
		if me.State != lovagemember.Gone && me.State != lovagemember.Unheard {
			targets[me.Address] = id
		}
	}
	for address, id := range targets {
		if address == "" || address == lo.in.peerAddress || !lo.in.mesh.Connected(address) {
			continue
		}
		lo.in.counts.heartbeats.Inc(1)
		hs := &heartbeatSender{in: lo.in, peer: id, address: address, req: req, deadline: lo.nextHeartbeat}
		go hs.run()
	}
}

func (lo *controlLoop) heartbeatMessage() *lovagemessage.Heartbeat {
	msg := &lovagemessage.Heartbeat{
		Instance: lo.in.id, DataCentre: lo.in.settings.DataCentre, Address: lo.in.peerAddress, Leaving: lo.draining,
		Ready: lo.in.isReady(), AppliedRevision: lo.in.store.Revision(), Load: fromLoad(lo.core.Load()),
		LeavingWorkers: lo.leavingWorkers(),
	}
	for _, rs := range lo.ledger.Ranges() {
		msg.Ranges = append(msg.Ranges, fromRange(rs))
	}
	for id, me := range lo.members.members {
		if me.State == lovagemember.Live {
			msg.KnownPeers = append(msg.KnownPeers, &lovagemessage.PeerState{
				Instance: id, DataCentre: lo.members.dataCentres[id], Address: me.Address,
			})
		}
	}
	return msg
}

func (lo *controlLoop) leavingWorkers() []string {
	out := make([]string, 0, len(lo.members.leaving))
	for id := range lo.members.leaving {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// heartbeatSender sends one heartbeat to one peer and reports the reply to the control loop.
type heartbeatSender struct {
	in       *Instance
	peer     string
	address  string
	req      *lovagemessage.Request
	deadline time.Time
}

func (hs *heartbeatSender) run() {
	ctx, cancel := context.WithDeadline(hs.in.running(), hs.deadline)
	defer cancel()
	res, err := hs.in.call(ctx, hs.address, hs.req)
	if err != nil {
		hs.in.counts.heartbeatsFailed.Inc(1)
		return
	}
	if hs.peer == "" {
		return // a seed; its own heartbeat will tell who it is
	}
	hb := res.GetHeartbeat()
	hs.in.keeper.Reported(hs.peer, hb.GetAppliedRevision())
	hs.in.control.post(ctx, &memberEvent{lovagemember.PeerHeard{Instance: hs.peer}})
	if workers := hb.GetLeavingWorkers(); len(workers) > 0 {
		hs.in.control.post(ctx, &memberEvent{lovagemember.WorkerLeavingHeard{From: hs.peer, Workers: workers}})
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
	seen := lovagemember.HeartbeatSeen{
		Instance: hr.from, DataCentre: msg.GetDataCentre(), Address: msg.GetAddress(), Leaving: msg.GetLeaving(),
		LeavingWorkers: msg.GetLeavingWorkers(),
	}
	for _, ps := range msg.GetKnownPeers() {
		if ps.GetInstance() != lo.in.id {
			seen.KnownPeers = append(seen.KnownPeers, lovagemember.Peer{
				Instance: ps.GetInstance(), DataCentre: ps.GetDataCentre(), Address: ps.GetAddress(), Leaving: ps.GetLeaving(),
			})
		}
	}
	lo.stepMember(seen)
	lo.stepCore(lovagedispatch.PeerLoad{Instance: hr.from, Load: toLoad(msg.GetLoad())})
	if len(msg.GetRanges()) > 0 {
		heard := &lovageledger.RangesHeard{Peer: hr.from}
		for _, rs := range msg.GetRanges() {
			heard.Ranges = append(heard.Ranges, toRange(rs))
		}
		lo.stepLedger(heard)
	}
	hr.replies <- &lovagemessage.HeartbeatReply{
		AppliedRevision: lo.in.store.Revision(), LeavingWorkers: lo.leavingWorkers(),
	}
}

func (in *Instance) handleHeartbeat(ctx context.Context, from string, msg *lovagemessage.Heartbeat) (*lovagemessage.Response, error) {
	in.keeper.Reported(from, msg.GetAppliedRevision())
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

func fromLoad(ld lovagedispatch.Load) *lovagemessage.Load {
	out := &lovagemessage.Load{
		FreeSlots: int32(ld.FreeSlots), QueuedTasks: int32(ld.QueuedTasks), RunningTasks: int32(ld.RunningTasks),
	}
	for _, sl := range ld.Services {
		out.Services = append(out.Services, &lovagemessage.ServiceLoad{
			Service: sl.Service, FreeSlots: int32(sl.FreeSlots), QueuedTasks: int32(sl.QueuedTasks),
		})
	}
	return out
}

func toLoad(msg *lovagemessage.Load) lovagedispatch.Load {
	out := lovagedispatch.Load{
		FreeSlots: int(msg.GetFreeSlots()), QueuedTasks: int(msg.GetQueuedTasks()), RunningTasks: int(msg.GetRunningTasks()),
	}
	for _, sl := range msg.GetServices() {
		out.Services = append(out.Services, lovagedispatch.ServiceLoad{
			Service: sl.GetService(), FreeSlots: int(sl.GetFreeSlots()), QueuedTasks: int(sl.GetQueuedTasks()),
		})
	}
	return out
}
