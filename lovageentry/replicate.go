package lovageentry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"lovagestack/lovagejob"
	"lovagestack/lovageledger"
	"lovagestack/lovagemessage"
)

// replicationTimeout limits one call of the ledger to a peer. The ledger repeats a failed call, even if the peer may
// have handled it.
const replicationTimeout = 2 * time.Second

// ledgerCall is a call of the ledger to a peer. The method run makes the call and reports the outcome to the control
// loop.
type ledgerCall struct {
	lo           *controlLoop
	address      string
	req          *lovagemessage.Request
	replyToEvent func(res *lovagemessage.Response, err error) lovageledger.Event // converts the peer's reply
	outcome      lovageledger.Event
}

func (lc *ledgerCall) run() {
	ctx, cancel := context.WithTimeout(lc.lo.in.lifetimeContext(), replicationTimeout)
	defer cancel()
	var res *lovagemessage.Response
	err := errors.New("the peer's address is not known")
	if lc.address != "" {
		res, err = lc.lo.in.callPeer(ctx, lc.address, lc.req)
	}
	lc.outcome = lc.replyToEvent(res, err)
	lc.lo.post(lc.lo.in.lifetimeContext(), lc)
}

func (lc *ledgerCall) apply(lo *controlLoop) { lo.stepLedger(lc.outcome) }

func (lo *controlLoop) sendAccept(cm lovageledger.SendAccept) {
	msg := &lovagemessage.Accept{DataCentre: cm.Range.DataCentre, Range: int32(cm.Range.Index), Epoch: cm.Epoch}
	for _, ak := range cm.Keys {
		msg.Keys = append(msg.Keys, &lovagemessage.AcceptKey{Key: ak.Key.String(), Fingerprint: ak.Fingerprint})
	}
	lo.in.counts.acceptBatches.Inc(1)
	lc := &ledgerCall{
		lo: lo, address: lo.members.address(cm.Peer),
		req: &lovagemessage.Request{Body: &lovagemessage.Request_Accept{Accept: msg}},
		replyToEvent: func(res *lovagemessage.Response, err error) lovageledger.Event {
			return &lovageledger.AcceptReplied{
				Peer: cm.Peer, Range: cm.Range, Batch: cm.Batch, Failed: err != nil || res.GetAccept() == nil,
				Accepted: res.GetAccept().GetAccepted(), Epoch: res.GetAccept().GetEpoch(),
			}
		},
	}
	go lc.run()
}

func (lo *controlLoop) sendResult(cm lovageledger.SendResult) {
	msg := &lovagemessage.ResultCopy{
		DataCentre: cm.Range.DataCentre, Range: int32(cm.Range.Index), Records: fromRecords(cm.Records),
	}
	lo.in.counts.resultCopies.Inc(1)
	lc := &ledgerCall{
		lo: lo, address: lo.members.address(cm.Peer),
		req: &lovagemessage.Request{Body: &lovagemessage.Request_ResultCopy{ResultCopy: msg}},
		replyToEvent: func(res *lovagemessage.Response, err error) lovageledger.Event {
			return &lovageledger.ResultReplied{
				Peer: cm.Peer, Range: cm.Range, Batch: cm.Batch, Failed: err != nil || res.GetResultCopy() == nil,
				Accepted: res.GetFault() == "",
			}
		},
	}
	go lc.run()
}

func (lo *controlLoop) sendTransfer(cm lovageledger.SendTransfer) {
	ch := cm.Chunk
	if ch.HandOver {
		lo.in.reportStep(StepHandOver)
	}
	msg := &lovagemessage.Transfer{
		Range: fromRange(ch.Range), Records: fromRecords(ch.Records), Transfer: ch.TransferID, Chunk: int32(ch.Index),
		Last: ch.Last, Owner: ch.HandOver, DroppedBefore: unixMilli(ch.DroppedBefore),
	}
	lc := &ledgerCall{
		lo: lo, address: lo.members.address(cm.Peer),
		req: &lovagemessage.Request{Body: &lovagemessage.Request_Transfer{Transfer: msg}},
		replyToEvent: func(res *lovagemessage.Response, err error) lovageledger.Event {
			return &lovageledger.TransferReplied{
				Peer: cm.Peer, Range: ch.Range.Range, TransferID: ch.TransferID, Chunk: ch.Index, Failed: err != nil,
				Accepted: res.GetTransfer().GetAccepted(),
			}
		},
	}
	go lc.run()
}

// ledgerRequest is a peer's request to the ledger. newEvent gets a call number. The ledger's reply command contains the
// same number.
type ledgerRequest struct {
	newEvent func(call uint64) lovageledger.Event // returns the event for the ledger
	replies  chan any
}

func (lr *ledgerRequest) apply(lo *controlLoop) {
	lo.lastPeerCallID++
	lo.peerCallReplies[lo.lastPeerCallID] = lr.replies
	lo.stepLedger(lr.newEvent(lo.lastPeerCallID))
}

// replyToCall passes the ledger's reply to the handler that waits for it.
func (lo *controlLoop) replyToCall(call uint64, reply any) {
	if replies, ok := lo.peerCallReplies[call]; ok {
		delete(lo.peerCallReplies, call)
		replies <- reply
	}
}

func (in *Instance) callLedger(ctx context.Context, newEvent func(call uint64) lovageledger.Event) (any, error) {
	lr := &ledgerRequest{newEvent: newEvent, replies: make(chan any, 1)}
	if !in.control.post(ctx, lr) {
		return nil, ctx.Err()
	}
	select {
	case rp := <-lr.replies:
		return rp, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (in *Instance) handleAccept(ctx context.Context, from string, msg *lovagemessage.Accept) (*lovagemessage.Response, error) {
	keys := make([]lovageledger.AcceptKey, 0, len(msg.GetKeys()))
	for _, ak := range msg.GetKeys() {
		key, err := lovagejob.ParseKey(ak.GetKey())
		if err != nil {
			return nil, errors.Wrap(err, "decode an accept")
		}
		keys = append(keys, lovageledger.AcceptKey{Key: key, Fingerprint: ak.GetFingerprint()})
	}
	id := lovageledger.RangeID{DataCentre: msg.GetDataCentre(), Index: int(msg.GetRange())}
	rp, err := in.callLedger(ctx, func(call uint64) lovageledger.Event {
		return &lovageledger.PeerAccept{Call: call, Peer: from, Range: id, Epoch: msg.GetEpoch(), Keys: keys}
	})
	if err != nil {
		return nil, err
	}
	ra, _ := rp.(lovageledger.ReplyAccept)
	return &lovagemessage.Response{Body: &lovagemessage.Response_Accept{
		Accept: &lovagemessage.AcceptReply{Accepted: ra.Accepted, Epoch: ra.Epoch},
	}}, nil
}

func (in *Instance) handleTransfer(ctx context.Context, from string, msg *lovagemessage.Transfer) (*lovagemessage.Response, error) {
	records, err := toRecords(msg.GetRecords())
	if err != nil {
		return nil, err
	}
	chunk := lovageledger.TransferChunk{
		TransferID: msg.GetTransfer(), Index: int(msg.GetChunk()), Last: msg.GetLast(), HandOver: msg.GetOwner(),
		Range: toRange(msg.GetRange()), DroppedBefore: fromUnixMilli(msg.GetDroppedBefore()), Records: records,
	}
	rp, err := in.callLedger(ctx, func(call uint64) lovageledger.Event {
		return &lovageledger.PeerTransfer{Call: call, Peer: from, Chunk: chunk}
	})
	if err != nil {
		return nil, err
	}
	rt, _ := rp.(lovageledger.ReplyTransfer)
	return &lovagemessage.Response{Body: &lovagemessage.Response_Transfer{
		Transfer: &lovagemessage.TransferReply{Accepted: rt.Accepted},
	}}, nil
}

func (in *Instance) handleResultCopy(ctx context.Context, from string, msg *lovagemessage.ResultCopy) (*lovagemessage.Response, error) {
	records, err := toRecords(msg.GetRecords())
	if err != nil {
		return nil, err
	}
	id := lovageledger.RangeID{DataCentre: msg.GetDataCentre(), Index: int(msg.GetRange())}
	rp, err := in.callLedger(ctx, func(call uint64) lovageledger.Event {
		return &lovageledger.PeerResult{Call: call, Peer: from, Range: id, Records: records}
	})
	if err != nil {
		return nil, err
	}
	out := &lovagemessage.Response{Body: &lovagemessage.Response_ResultCopy{ResultCopy: &lovagemessage.ResultCopyReply{}}}
	if rr, _ := rp.(lovageledger.ReplyResult); !rr.Accepted {
		out.Fault = faultRangeNotHeld
	}
	return out, nil
}

// faultRangeNotHeld is the fault in the reply to a ResultCopy for a range that this instance neither owns nor
// replicates for the sender.
const faultRangeNotHeld = "rangeNotKept"

func fromRecords(records []lovageledger.Record) []*lovagemessage.Record {
	out := make([]*lovagemessage.Record, len(records))
	for i := range records {
		rec := &records[i]
		out[i] = &lovagemessage.Record{Key: rec.Key.String(), State: string(rec.State), Fingerprint: rec.Fingerprint}
		if rec.State == lovageledger.StateEnded {
			out[i].Answer = lovagemessage.FromAnswer(&rec.Answer)
		}
	}
	return out
}

func toRecords(msgs []*lovagemessage.Record) ([]lovageledger.Record, error) {
	out := make([]lovageledger.Record, len(msgs))
	for i, msg := range msgs {
		key, err := lovagejob.ParseKey(msg.GetKey())
		if err != nil {
			return nil, errors.Wrap(err, "decode a record")
		}
		out[i] = lovageledger.Record{
			Key: key, State: lovageledger.RecordState(msg.GetState()), Fingerprint: msg.GetFingerprint(),
		}
		switch out[i].State {
		case lovageledger.StateAccepted:
		case lovageledger.StateEnded:
			if out[i].Answer, err = lovagemessage.ToAnswer(msg.GetAnswer()); err != nil {
				return nil, err
			}
		default:
			return nil, errors.Newf("decode a record: state %q is not known", msg.GetState())
		}
	}
	return out, nil
}

func fromRange(rs lovageledger.RangeState) *lovagemessage.RangeState {
	return &lovagemessage.RangeState{
		DataCentre: rs.Range.DataCentre, Range: int32(rs.Range.Index), Epoch: rs.Row.Epoch, CompleteSince: rs.Row.CompleteSince,
		Owner: rs.Row.Owner, Replica: rs.Row.Replica, Version: rs.Version,
	}
}

func toRange(msg *lovagemessage.RangeState) lovageledger.RangeState {
	return lovageledger.RangeState{
		Range: lovageledger.RangeID{DataCentre: msg.GetDataCentre(), Index: int(msg.GetRange())},
		Row: lovageledger.RangeRow{
			Owner: msg.GetOwner(), Replica: msg.GetReplica(), Epoch: msg.GetEpoch(), CompleteSince: msg.GetCompleteSince(),
		},
		Version: msg.GetVersion(),
	}
}
