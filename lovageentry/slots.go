package lovageentry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"lovagestack/lovagedispatch"
	"lovagestack/lovagemessage"
)

// slotsTimeout bounds one message about slots. The core gives an unanswered ask up after the same time; the lender
// holds an ask for a little less when it has no free slot.
const slotsTimeout = time.Second

// slotsCall asks a peer for slots. run makes the call and reports the loan to the control loop.
type slotsCall struct {
	lo      *controlLoop
	cm      lovagedispatch.AskSlots
	address string
	asked   time.Time
	lent    lovagedispatch.SlotsLent
}

func (lo *controlLoop) askSlots(cm lovagedispatch.AskSlots) {
	lo.in.counts.slotsAsks.Inc(1)
	sc := &slotsCall{lo: lo, cm: cm, address: lo.members.address(cm.To), asked: lo.now}
	go sc.run()
}

func (sc *slotsCall) run() {
	sc.lent = lovagedispatch.SlotsLent{From: sc.cm.To, Ask: sc.cm.Ask}
	ctx, cancel := context.WithTimeout(sc.lo.in.running(), slotsTimeout)
	defer cancel()
	res, err := sc.lo.in.call(ctx, sc.address, &lovagemessage.Request{Body: &lovagemessage.Request_SlotsAsk{
		SlotsAsk: &lovagemessage.SlotsAsk{
			Service: sc.cm.Service, Slots: int32(sc.cm.Slots), UntilMillisAhead: time.Until(sc.cm.Until).Milliseconds(),
		},
	}})
	if err == nil {
		msg := res.GetSlotsLend()
		sc.lent.Loan = uint64(msg.GetLoan())
		sc.lent.Slots = toSlots(msg.GetSlots())
		// Counted from the time of the request, so that the loan ends here before it ends at the lender.
		sc.lent.Until = sc.asked.Add(time.Duration(msg.GetMillisAhead()) * time.Millisecond)
	}
	sc.lo.post(sc.lo.in.running(), sc)
}

func (sc *slotsCall) apply(lo *controlLoop) { lo.stepCore(sc.lent) }

// slotsAsked is a peer's request for slots.
type slotsAsked struct {
	from    string
	msg     *lovagemessage.SlotsAsk
	replies chan any
}

func (sa *slotsAsked) apply(lo *controlLoop) {
	lo.lastCall++
	lo.calls[lo.lastCall] = sa.replies
	lo.stepCore(lovagedispatch.SlotsAsked{
		From: sa.from, Ask: lo.lastCall, Service: sa.msg.GetService(), Slots: int(sa.msg.GetSlots()),
		Until: lo.now.Add(time.Duration(sa.msg.GetUntilMillisAhead()) * time.Millisecond),
	})
}

// lendSlots answers a slotsAsked; the ask's number is that of the call.
func (lo *controlLoop) lendSlots(cm lovagedispatch.LendSlots) {
	lo.answerCall(cm.Ask, &lovagemessage.SlotsLend{
		Slots: fromSlots(cm.Slots), Loan: int64(cm.Loan), MillisAhead: max(0, cm.Until.Sub(lo.now).Milliseconds()),
	})
}

func (in *Instance) handleSlotsAsk(ctx context.Context, from string, msg *lovagemessage.SlotsAsk) (*lovagemessage.Response, error) {
	sa := &slotsAsked{from: from, msg: msg, replies: make(chan any, 1)}
	if !in.control.post(ctx, sa) {
		return nil, ctx.Err()
	}
	select {
	case rp := <-sa.replies:
		lend, ok := rp.(*lovagemessage.SlotsLend)
		if !ok {
			return nil, errors.Newf("reply of type %T to a request for slots", rp)
		}
		return &lovagemessage.Response{Body: &lovagemessage.Response_SlotsLend{SlotsLend: lend}}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// slotsReturn gives slots back to a peer. Losing it does no harm, see lovagedispatch.ReturnSlots.
type slotsReturn struct {
	in      *Instance
	address string
	msg     *lovagemessage.SlotsReturn
}

func (lo *controlLoop) returnSlots(cm lovagedispatch.ReturnSlots) {
	sr := &slotsReturn{
		in: lo.in, address: lo.members.address(cm.To),
		msg: &lovagemessage.SlotsReturn{Loan: int64(cm.Loan), Slots: fromSlots(cm.Slots)},
	}
	lo.in.counts.slotsReturns.Inc(1)
	go sr.run()
}

func (sr *slotsReturn) run() {
	ctx, cancel := context.WithTimeout(sr.in.running(), slotsTimeout)
	defer cancel()
	_, _ = sr.in.call(ctx, sr.address, &lovagemessage.Request{Body: &lovagemessage.Request_SlotsReturn{SlotsReturn: sr.msg}})
}

// coreEvent is an event of the dispatch core that comes from another goroutine than the control loop's.
type coreEvent struct {
	in *Instance
	ev lovagedispatch.Event
}

// run hands the event to the control loop, which must not wait for its own queue.
func (ce *coreEvent) run() { ce.in.control.post(ce.in.running(), ce) }

func (ce *coreEvent) apply(lo *controlLoop) { lo.stepCore(ce.ev) }

func (in *Instance) handleSlotsReturn(ctx context.Context, from string, msg *lovagemessage.SlotsReturn) (*lovagemessage.Response, error) {
	ev := lovagedispatch.SlotsReturned{From: from, Loan: uint64(msg.GetLoan()), Slots: toSlots(msg.GetSlots())}
	if !in.control.post(ctx, &coreEvent{in: in, ev: ev}) {
		return nil, ctx.Err()
	}
	return &lovagemessage.Response{Body: &lovagemessage.Response_SlotsReturn{SlotsReturn: &lovagemessage.SlotsReturnReply{}}}, nil
}

func fromSlots(slots []lovagedispatch.LentSlots) []*lovagemessage.LentSlots {
	out := make([]*lovagemessage.LentSlots, len(slots))
	for i, ls := range slots {
		out[i] = &lovagemessage.LentSlots{Worker: ls.Worker, Slots: int32(ls.Slots)}
	}
	return out
}

func toSlots(msgs []*lovagemessage.LentSlots) []lovagedispatch.LentSlots {
	out := make([]lovagedispatch.LentSlots, len(msgs))
	for i, msg := range msgs {
		out[i] = lovagedispatch.LentSlots{Worker: msg.GetWorker(), Slots: int(msg.GetSlots())}
	}
	return out
}
