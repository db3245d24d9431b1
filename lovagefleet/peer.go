package lovagefleet

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"lovagestack/lovagejob"
	"lovagestack/lovagemessage"
	"lovagestack/lovagepeer"
	"lovagestack/lovagepool"
)

const (
	// reportInterval is how often an owner checks whether it has a new load report for the other owners.
	reportInterval = 50 * time.Millisecond
	// unchangedReportInterval is how often an owner sends an unchanged report to the other owners: half of MaxReportAge, so
	// that their copies stay valid if one message is lost.
	unchangedReportInterval = lovagepool.MaxReportAge / 2
	// peerReportInterval is how often an owner sends its reports to all peers, owners or not.
	peerReportInterval = 500 * time.Millisecond
)

// serviceReports holds a peer's last load reports, by service.
type serviceReports map[string]lovagepool.LoadReport

// sentReports holds the load reports sent last, so that unchanged ones are sent less often.
type sentReports struct {
	services   map[string]lovagepool.LoadReport
	toAllAt    time.Time // when last sent to all peers
	toOwnersAt time.Time // when last sent to the other owners
}

// Handle serves a request of another instance.
func (no *Node) Handle(ctx context.Context, from string, req *lovagemessage.Request) (*lovagemessage.Response, error) {
	switch body := req.GetBody().(type) {
	case *lovagemessage.Request_Place:
		return no.servePlace(no.tracer.ExtractRequest(ctx, req), body.Place)
	case *lovagemessage.Request_Withdraw:
		if err := no.serveWithdraw(ctx, body.Withdraw.GetRef()); err != nil {
			return nil, err
		}
	case *lovagemessage.Request_Renew:
		no.serveRenew(ctx, body.Renew)
	case *lovagemessage.Request_CancelJob:
		oc := no.serveCancelJob(ctx, from, body.CancelJob)
		return &lovagemessage.Response{Body: &lovagemessage.Response_CancelJob{
			CancelJob: &lovagemessage.CancelJobReply{Outcome: string(oc)},
		}}, nil
	case *lovagemessage.Request_NoteCancelled:
		no.serveNoteCancelled(body.NoteCancelled)
	case *lovagemessage.Request_Standing:
		if newer := no.serveLoadReport(from, body.Standing); len(newer) > 0 {
			return &lovagemessage.Response{Body: &lovagemessage.Response_Standing{
				Standing: &lovagemessage.StandingReply{Evacuations: newer},
			}}, nil
		}
	case *lovagemessage.Request_TakeOver:
		ok := no.serveTakeOver(ctx, body.TakeOver.GetDomain(), from)
		return &lovagemessage.Response{Body: &lovagemessage.Response_TakeOver{
			TakeOver: &lovagemessage.TakeOverReply{Accepted: ok},
		}}, nil
	case *lovagemessage.Request_AskConfiguration:
		return no.serveConfiguration()
	default:
		return nil, errors.Newf("unexpected request %s", lovagepeer.Kind(req))
	}
	return &lovagemessage.Response{Body: &lovagemessage.Response_Empty{Empty: &lovagemessage.Empty{}}}, nil
}

func (no *Node) servePlace(ctx context.Context, pl *lovagemessage.Place) (*lovagemessage.Response, error) {
	jo := jobFromMessage(pl)
	jo.WantedAt = wantedAt(ctx, pl)
	if err := jo.Work.Validate(); err != nil {
		return nil, err
	}
	fi, err := no.submitLocal(ctx, jo, newAcceptCheck(ctx, pl))
	if err != nil {
		return nil, err
	}
	return &lovagemessage.Response{Body: &lovagemessage.Response_Place{Place: finishToReply(fi)}}, nil
}

// fetchConfiguration applies the configuration of a peer that has reported a newer version.
func (no *Node) fetchConfiguration(address string) {
	defer no.fetchingConfig.Store(false)
	ctx, cancel := context.WithTimeout(no.ctx, storeTimeout)
	defer cancel()
	resp, err := no.mesh.Call(ctx, address, &lovagemessage.Request{
		Body: &lovagemessage.Request_AskConfiguration{AskConfiguration: &lovagemessage.AskConfiguration{}},
	})
	if err != nil {
		no.countEvent("configurationNotCopied")
		return
	}
	cc := resp.GetConfigurationCopy()
	var co Configuration
	if err := json.Unmarshal(cc.GetJson(), &co); err != nil || co.Version != cc.GetVersion() {
		no.countEvent("configurationNotCopied")
		no.log.Warn("unreadable configuration of a peer", zap.String("address", address), errorField(err))
		return
	}
	no.countEvent("configurationCopied")
	no.applyConfiguration(&co)
}

func (no *Node) serveConfiguration() (*lovagemessage.Response, error) {
	co := no.config.Load()
	if co == nil {
		return nil, errors.New("no configuration is known")
	}
	data, err := json.Marshal(co)
	if err != nil {
		return nil, errors.Wrap(err, "encode the configuration")
	}
	return &lovagemessage.Response{Body: &lovagemessage.Response_ConfigurationCopy{
		ConfigurationCopy: &lovagemessage.ConfigurationCopy{Version: co.Version, Json: data},
	}}, nil
}

// errUnknownJob is the reply to a Withdraw of a job that this process does not know. Runs that an earlier process of this
// instance started may still be active.
var errUnknownJob = errors.New("the job is not known here")

// serveWithdraw cancels a job and waits until none of its runs is active.
func (no *Node) serveWithdraw(ctx context.Context, ref string) error {
	stopped, known := make(chan bool, 1), make(chan bool, 1)
	no.post(func(now time.Time) {
		ok := no.pool.Cancel(now, ref)
		if ok {
			no.stopWaiters[ref] = append(no.stopWaiters[ref], stopped)
		}
		if wa := no.jobWaiters[ref]; ok && wa != nil { // the pool does not answer a cancelled job; its request would stay in progress
			delete(no.jobWaiters, ref)
			wa.result <- lovagepool.FinishJob{Ref: ref, Outcome: lovagepool.Cancelled, Reason: "withdrawn by the instance that sent it"}
		}
		known <- ok
	})
	select {
	case ok := <-known:
		if !ok {
			return errUnknownJob
		}
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-stopped:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// serveLoadReport records a peer's load report, and returns the evacuations that this instance knows better than the peer.
func (no *Node) serveLoadReport(from string, st *lovagemessage.Standing) []*lovagemessage.Evacuation {
	services := serviceReports{}
	reports := map[string]lovagepool.LoadReport{}
	for _, se := range st.GetServices() {
		services[se.GetService()] = loadReportFromMessage(se)
		if !st.GetLeaving() {
			reports[se.GetService()] = loadReportFromMessage(se) // a copy, which the pool modifies
		}
	}
	events, newer := no.evacuations.applyReport(time.Now(), st)
	no.noteEvacuations(events, from)
	no.peerReports.Store(from, services)
	no.jobHolders.Store(from, time.Now())
	address := st.GetAddress()
	if known, ok := no.peerAddresses.Load(from); ok {
		address = known.(string)
	} else if address != "" {
		no.peerAddresses.Store(from, address) // this instance has not read the sender's row yet
	}
	for _, do := range st.GetDomains() {
		no.updateOwner(do.GetDomain(), ownerRef{ID: from, Address: address, fence: do.GetFence()})
	}
	if st.GetConfigurationVersion() > no.configVersion() && no.fetchingConfig.CompareAndSwap(false, true) {
		go no.fetchConfiguration(address)
	}
	no.post(func(now time.Time) {
		if len(reports) > 0 {
			no.pool.SetPeer(now, from, reports)
		} else {
			no.pool.RemovePeer(from)
		}
		if len(st.GetReleased())+len(st.GetReleasedDomains()) > 0 {
			no.noteReleased(now, from, st.GetReleased(), st.GetReleasedDomains())
		}
	})
	return newer
}

// noteReleased records that a domain's previous owner has released workers, or all workers of domains, to this instance, which
// then uses them.
func (no *Node) noteReleased(now time.Time, from string, workers, domains []string) {
	for name, ar := range no.awaitedReleases {
		if ar.previousOwner != from {
			continue
		}
		if slices.Contains(domains, name) {
			delete(no.awaitedReleases, name)
			continue
		}
		for _, id := range workers {
			ar.released[id] = true
		}
	}
	no.refreshWorkers(now)
}

// endAwaitedReleases stops waiting for the releases of an instance whose process has ended.
func (no *Node) endAwaitedReleases(now time.Time, instance string) {
	for name, ar := range no.awaitedReleases {
		if ar.previousOwner == instance {
			delete(no.awaitedReleases, name)
		}
	}
	no.refreshWorkers(now)
}

// reportLoop sends load reports and confirmations of sent jobs to the peers.
func (no *Node) reportLoop(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	var renewedAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		no.post(no.sendReports)
		if now := time.Now(); now.Sub(renewedAt) >= renewalInterval-reportInterval/2 {
			renewedAt = now
			no.post(no.sendRenewals)
		}
	}
}

// sendReports sends an owner's load reports to the other owners if they have changed or would soon be too old, and to all
// peers every peerReportInterval.
func (no *Node) sendReports(now time.Time) {
	if len(no.fenceByDomain) == 0 {
		no.ownReports.Store(nil)
		no.reportHeldJobs(now)
		return
	}
	services := map[string]lovagepool.LoadReport{}
	for _, wo := range no.registeredWorkers() {
		if _, ok := services[wo.Service]; !ok {
			services[wo.Service] = no.pool.LoadReport(now, wo.Service)
		}
	}
	toAll := now.Sub(no.sentReports.toAllAt) >= peerReportInterval
	if !toAll && now.Sub(no.sentReports.toOwnersAt) < unchangedReportInterval &&
		maps.EqualFunc(services, no.sentReports.services, lovagepool.LoadReport.Equal) {
		return
	}
	no.sentReports.services, no.sentReports.toOwnersAt = services, now
	no.ownReports.Store(&services)
	if toAll {
		no.sentReports.toAllAt = now
	}
	st := &lovagemessage.Standing{
		Instance: no.self.ID, DataCentre: no.self.DataCentre, Leaving: no.leaving.Load(),
		Address: no.self.Address, ConfigurationVersion: no.configVersion(),
	}
	for name, se := range services {
		st.Services = append(st.Services, loadReportToMessage(name, se))
	}
	for name, fence := range no.fenceByDomain {
		if no.acceptedHandOver(name) == nil {
			st.Domains = append(st.Domains, &lovagemessage.OwnedDomain{Domain: name, Fence: fence})
		}
	}
	no.evacuations.addTo(st)
	for _, address := range no.reportTargets(toAll) {
		go no.sendReport(address, st)
	}
}

// loadReportToMessage encodes a load report; loadReportFromMessage is its inverse.
func loadReportToMessage(service string, lr lovagepool.LoadReport) *lovagemessage.ServiceStanding {
	ss := &lovagemessage.ServiceStanding{
		Service: service, Workers: int32(lr.Workers), Rate: lr.Rate, BacklogMicros: lr.Backlog.Microseconds(),
	}
	for _, fc := range lr.Free {
		ss.Free = append(ss.Free, &lovagemessage.FreePlaces{Factor: fc.Slowdown, Tasks: int32(fc.Tasks)})
	}
	return ss
}

func loadReportFromMessage(ss *lovagemessage.ServiceStanding) lovagepool.LoadReport {
	lr := lovagepool.LoadReport{
		Workers: int(ss.GetWorkers()), Rate: ss.GetRate(), Backlog: time.Duration(ss.GetBacklogMicros()) * time.Microsecond,
	}
	for _, fp := range ss.GetFree() {
		lr.Free = append(lr.Free, lovagepool.FreeCapacity{Slowdown: fp.GetFactor(), Tasks: int(fp.GetTasks())})
	}
	return lr
}

// reportTargets returns the addresses of the connected owners and, if all is set, of all other connected peers.
func (no *Node) reportTargets(all bool) []string {
	var list []string
	seen := map[string]bool{no.self.Address: true}
	add := func(address string) {
		if address != "" && !seen[address] && no.mesh.Connected(address) {
			seen[address] = true
			list = append(list, address)
		}
	}
	no.ownerByDomain.Range(func(_, value any) bool {
		add(value.(ownerRef).Address)
		return true
	})
	if all {
		no.peerAddresses.Range(func(_, value any) bool {
			add(value.(string))
			return true
		})
	}
	return list
}

func (no *Node) sendReport(address string, st *lovagemessage.Standing) {
	ctx, cancel := context.WithTimeout(no.ctx, pingTimeout)
	defer cancel()
	resp, err := no.mesh.Call(ctx, address, &lovagemessage.Request{Body: &lovagemessage.Request_Standing{Standing: st}})
	if err != nil {
		no.countEvent("standingNotSent")
		return
	}
	no.noteEvacuations(no.evacuations.applyReply(time.Now(), resp.GetStanding()), address)
}

// sendReleased tells a domain's new owner which workers this instance has released, or that it has released all workers of a
// domain, also those that are not registered now. If the message is lost, the new owner uses the workers after releaseTimeout.
func (no *Node) sendReleased(address string, workers, domains []string) {
	no.sendReport(address, &lovagemessage.Standing{
		Instance: no.self.ID, DataCentre: no.self.DataCentre, Released: workers, ReleasedDomains: domains,
	})
	no.post(func(time.Time) { no.unsentReleases-- })
}

// offload asks another owner to run tasks, and passes their outcomes to the pool. decidedAt is a reading of the boot clock.
func (no *Node) offload(cm lovagepool.Offload, decidedAt time.Duration) {
	address, ok := no.peerAddresses.Load(cm.Peer)
	if !ok {
		no.post(func(now time.Time) { no.pool.HandleOffloadReply(now, cm.Ref, nil, false, true) })
		return
	}
	ctx, cancel := context.WithDeadline(no.ctx, cm.Work.Deadline.Add(answerGrace))
	defer cancel()
	pl := jobToMessage(cm.Ref, cm.Work, cm.Tasks)
	pl.AnySpeed, pl.SentMicros, pl.WantedMicros = cm.AnySpeed, decidedAt.Microseconds(), no.offloadWantedMicros(cm)
	no.sent.add(cm.Ref, sentJob{address: address.(string), sentAt: decidedAt, deadline: bootTime(cm.Work.Deadline), offload: true})
	resp, err := no.tracedCall(ctx, address.(string), &lovagemessage.Request{Body: &lovagemessage.Request_Place{Place: pl}})
	no.sent.remove(cm.Ref)
	notSent := errors.Is(err, lovagepeer.ErrNotSent)
	results := finishFromReply(resp.GetPlace()).Results
	if err != nil && !notSent {
		no.countEvent("offloadLost")
		results = no.resolveOffload(address.(string), cm)
	}
	no.post(func(now time.Time) {
		no.pool.HandleOffloadReply(now, cm.Ref, results, err == nil || results != nil, notSent)
	})
}

// sessionLossTimeout is the longest time that a peer takes to notice the loss of a session.
const sessionLossTimeout = pingInterval + pingInterval/4 + pingTimeout + 100*time.Millisecond

// resolveOffload cancels offloaded tasks whose reply was lost, and returns their outcomes once none is running. It returns nil
// if the peer has restarted, or stays unreachable for sessionLossTimeout and so has noticed the loss itself. The pool then
// waits until the runs' leases have expired.
func (no *Node) resolveOffload(address string, cm lovagepool.Offload) []lovagepool.OffloadResult {
	ctx, cancel := context.WithTimeout(no.ctx, sessionLossTimeout)
	defer cancel()
	for ctx.Err() == nil {
		err := no.callWithdraw(ctx, address, cm.Ref)
		if err == nil {
			results := make([]lovagepool.OffloadResult, len(cm.Tasks))
			for i, ot := range cm.Tasks {
				results[i] = lovagepool.OffloadResult{OffloadedTask: ot, Outcome: lovagepool.RunLapsed}
			}
			return results
		}
		if errors.Is(err, lovagepeer.ErrRemote) && !errors.Is(err, lovagepeer.ErrNotSent) {
			return nil
		}
		sleep(ctx, ownerRetryInterval)
	}
	return nil
}

func (no *Node) cancelOffload(peer, ref string) {
	if address, ok := no.peerAddresses.Load(peer); ok {
		no.withdrawJob(address.(string), ref)
	}
}

// jobToMessage encodes a job, or some of its tasks, for another instance.
func jobToMessage(ref string, wo *lovagejob.Workload, offloaded []lovagepool.OffloadedTask) *lovagemessage.Place {
	pl := &lovagemessage.Place{
		Ref: ref, Id: wo.ID, Queue: wo.Queue, Service: wo.Service, Spec: wo.Spec, Priority: int32(wo.Priority),
		MaxAttempts: int32(wo.MaxAttempts), SlackFactor: wo.SlackFactor, TargetLatencyMicros: wo.TargetLatency.Microseconds(),
		AgeMicros: time.Since(wo.Arrived).Microseconds(), RemainingMicros: time.Until(wo.Deadline).Microseconds(),
		ConfigVersion: wo.ConfigVersion,
	}
	for _, st := range wo.Steps {
		ws := &lovagemessage.WorkStep{
			Count: int32(st.Count), MilliCores: st.Resources.MilliCores, MemoryMb: st.Resources.MemoryMB,
			Accelerators: st.Resources.Accelerators, RunTimeMicros: st.RunTime.Microseconds(),
			Constraint: st.Constraint, Affinity: st.Affinity,
			AntiAffinity: int32(st.AntiAffinity), Checkpointed: st.Checkpointed, Image: st.Image,
		}
		for _, de := range st.DependsOn {
			ws.DependsOn = append(ws.DependsOn, int32(de))
		}
		pl.Steps = append(pl.Steps, ws)
	}
	for _, ot := range offloaded {
		pl.Lent = append(pl.Lent, &lovagemessage.LentTask{Step: int32(ot.Step), Index: int32(ot.Index), Attempt: int32(ot.Attempt)})
	}
	return pl
}

// jobFromMessage is the inverse of jobToMessage; it converts times to this instance's clock.
func jobFromMessage(pl *lovagemessage.Place) *lovagepool.Job {
	now := time.Now()
	wo := &lovagejob.Workload{
		ID: pl.GetId(), Queue: pl.GetQueue(), Service: pl.GetService(), ConfigVersion: pl.GetConfigVersion(),
		Spec: pl.GetSpec(), BestEffort: true, Priority: int(pl.GetPriority()), MaxAttempts: int(pl.GetMaxAttempts()),
		SlackFactor: pl.GetSlackFactor(), TargetLatency: time.Duration(pl.GetTargetLatencyMicros()) * time.Microsecond,
		Arrived:  now.Add(-time.Duration(pl.GetAgeMicros()) * time.Microsecond),
		Deadline: now.Add(time.Duration(pl.GetRemainingMicros()) * time.Microsecond),
	}
	for _, ws := range pl.GetSteps() {
		st := lovagejob.Step{
			Count: int(ws.GetCount()),
			Resources: lovagejob.Resources{
				MilliCores: ws.GetMilliCores(), MemoryMB: ws.GetMemoryMb(), Accelerators: ws.GetAccelerators(),
			},
			RunTime: time.Duration(ws.GetRunTimeMicros()) * time.Microsecond, Constraint: ws.GetConstraint(),
			Affinity: ws.GetAffinity(), AntiAffinity: int(ws.GetAntiAffinity()), Checkpointed: ws.GetCheckpointed(),
			Image: ws.GetImage(),
		}
		for _, de := range ws.GetDependsOn() {
			st.DependsOn = append(st.DependsOn, int(de))
		}
		wo.Steps = append(wo.Steps, st)
	}
	jo := &lovagepool.Job{Ref: pl.GetRef(), Work: wo, AnySpeed: pl.GetAnySpeed(), Forwarded: pl.GetPassedOn()}
	for _, ot := range pl.GetLent() {
		jo.Offloaded = append(jo.Offloaded, lovagepool.OffloadedTask{
			Step: int(ot.GetStep()), Index: int(ot.GetIndex()), Attempt: int(ot.GetAttempt()),
		})
	}
	return jo
}

func finishToReply(fi lovagepool.FinishJob) *lovagemessage.PlaceReply {
	pr := &lovagemessage.PlaceReply{
		Outcome: string(fi.Outcome), Reason: fi.Reason, RetryMillis: fi.RetryIn.Milliseconds(), To: fi.To,
	}
	for _, en := range fi.Results {
		pr.Ends = append(pr.Ends, &lovagemessage.LentEnd{
			Step: int32(en.Step), Index: int32(en.Index), Attempt: int32(en.Attempt), How: string(en.Outcome),
		})
	}
	return pr
}

func finishFromReply(pr *lovagemessage.PlaceReply) lovagepool.FinishJob {
	fi := lovagepool.FinishJob{
		Outcome: lovagepool.Outcome(pr.GetOutcome()), Reason: pr.GetReason(),
		RetryIn: time.Duration(pr.GetRetryMillis()) * time.Millisecond, To: pr.GetTo(),
	}
	for _, en := range pr.GetEnds() {
		fi.Results = append(fi.Results, lovagepool.OffloadResult{
			OffloadedTask: lovagepool.OffloadedTask{Step: int(en.GetStep()), Index: int(en.GetIndex()), Attempt: int(en.GetAttempt())},
			Outcome:       lovagepool.RunOutcome(en.GetHow()),
		})
	}
	return fi
}
