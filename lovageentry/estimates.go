package lovageentry

import (
	"context"
	"slices"
	"time"

	"lovagestack/lovagedispatch"
	"lovagestack/lovagemessage"
)

const (
	// estimateIntervalFactor is the number of heartbeat intervals between two transmissions of learned estimates.
	estimateIntervalFactor = 5
	// estimateReceiversPerDomain is the number of successors per domain to which the deciding instance sends estimates.
	estimateReceiversPerDomain = 2
	estimateSendTimeout        = 2 * time.Second
)

// estimateCopy records which estimates one receiver has.
type estimateCopy struct {
	acknowledged lovagedispatch.Estimates
	inFlight     bool
}

// sendEstimatesIfDue sends the dispatch core's estimates of services and workers to the successors of this instance.
func (lo *controlLoop) sendEstimatesIfDue() {
	if lo.now.Before(lo.nextEstimatesAt) {
		return
	}
	lo.nextEstimatesAt = lo.now.Add(estimateIntervalFactor * lo.in.settings.Heartbeat.Interval)
	receivers := lo.estimateTargets()
	for id := range lo.estimateCopies {
		if !slices.Contains(receivers, id) {
			delete(lo.estimateCopies, id)
		}
	}
	if len(receivers) == 0 {
		return
	}
	current := lo.core.Estimates()
	for _, id := range receivers {
		ec := lo.estimateCopies[id]
		if ec == nil {
			ec = &estimateCopy{}
			lo.estimateCopies[id] = ec
		}
		if ec.inFlight {
			continue
		}
		changed := current.Since(ec.acknowledged)
		if len(changed.Services)+len(changed.Workers) == 0 {
			continue
		}
		ec.inFlight = true
		lo.in.counts.estimateCopies.Inc(1)
		es := &estimatesSender{in: lo.in, id: id, address: lo.members.address(id), estimateCopy: ec, sent: changed}
		go es.run()
	}
}

// estimateTargets returns the IDs of the instances that would decide next for the domains of this instance.
func (lo *controlLoop) estimateTargets() []string {
	var ids []string
	for i, decided := range lo.domains.decided {
		if decided {
			ids = append(ids, lo.domains.candidates[i][1:]...)
		}
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

type estimatesSender struct {
	in           *Instance
	id           string
	address      string
	estimateCopy *estimateCopy
	sent         lovagedispatch.Estimates
	failed       bool
}

func (es *estimatesSender) run() {
	ctx, cancel := context.WithTimeout(es.in.lifetimeContext(), estimateSendTimeout)
	defer cancel()
	_, err := es.in.callPeer(ctx, es.address, &lovagemessage.Request{Body: &lovagemessage.Request_Estimates{
		Estimates: fromEstimates(es.sent),
	}})
	es.failed = err != nil
	es.in.control.post(es.in.lifetimeContext(), es)
}

// apply records the estimates as acknowledged. After a failed call, the next transmission contains them again.
func (es *estimatesSender) apply(*controlLoop) {
	es.estimateCopy.inFlight = false
	if !es.failed {
		es.estimateCopy.acknowledged = es.estimateCopy.acknowledged.Merged(es.sent)
	}
}

type workersQuery struct {
	replies chan []lovagedispatch.WorkerStatus
}

func (wq *workersQuery) apply(lo *controlLoop) { wq.replies <- lo.core.Workers() }

// Workers returns the status of the workers that this instance uses, sorted by ID.
func (in *Instance) Workers(ctx context.Context) ([]lovagedispatch.WorkerStatus, error) {
	wq := &workersQuery{replies: make(chan []lovagedispatch.WorkerStatus, 1)}
	if !in.control.post(ctx, wq) {
		return nil, ctx.Err()
	}
	select {
	case ws := <-wq.replies:
		return ws, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (in *Instance) handleEstimates(ctx context.Context, msg *lovagemessage.Estimates) (*lovagemessage.Response, error) {
	ev := lovagedispatch.EstimatesReceived{Estimates: toEstimates(msg)}
	if !in.control.post(ctx, &coreEvent{in: in, ev: ev}) {
		return nil, ctx.Err()
	}
	return &lovagemessage.Response{Body: &lovagemessage.Response_Estimates{Estimates: &lovagemessage.EstimatesReply{}}}, nil
}

func fromEstimates(es lovagedispatch.Estimates) *lovagemessage.Estimates {
	out := &lovagemessage.Estimates{}
	for _, se := range es.Services {
		out.Services = append(out.Services, &lovagemessage.ServiceEstimate{
			Service: se.Service, RunTimeNanos: int64(se.RunTime), LogRunTime: se.LogRunTime,
		})
	}
	for _, we := range es.Workers {
		out.Workers = append(out.Workers, &lovagemessage.WorkerEstimate{
			Worker: we.Worker, Factor: we.Factor, Failures: int32(we.Failures), Evidence: we.Evidence, Ejections: int32(we.Ejections),
		})
	}
	return out
}

func toEstimates(msg *lovagemessage.Estimates) lovagedispatch.Estimates {
	var out lovagedispatch.Estimates
	for _, se := range msg.GetServices() {
		out.Services = append(out.Services, lovagedispatch.ServiceEstimate{
			Service: se.GetService(), RunTime: time.Duration(se.GetRunTimeNanos()), LogRunTime: se.GetLogRunTime(),
		})
	}
	for _, we := range msg.GetWorkers() {
		out.Workers = append(out.Workers, lovagedispatch.WorkerEstimate{
			Worker: we.GetWorker(), Factor: we.GetFactor(), Failures: int(we.GetFailures()), Evidence: we.GetEvidence(),
			Ejections: int(we.GetEjections()),
		})
	}
	return out
}
