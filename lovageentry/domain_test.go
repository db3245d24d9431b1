package lovageentry

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"lovagestack/lovageconfig"
	"lovagestack/lovagedispatch"
	"lovagestack/lovagejob"
	"lovagestack/lovagemember"
	"lovagestack/lovagemessage"
	"lovagestack/lovageplatform"
	"lovagestack/lovageresource"
)

// newTestLoop returns the control loop of an instance in the data centre kandla. The loop is not running.
func newTestLoop(t testing.TB) *controlLoop {
	t.Helper()
	settings := lovageconfig.Defaults()
	settings.ID, settings.DataCentre = "kandla-1", "kandla"
	settings.Addresses.Peer = netip.MustParseAddrPort("127.0.0.1:0")
	in, err := New(Options{Settings: settings, Platform: lovageplatform.NewMemory(), Seed: 1})
	must.NoError(t, err)
	t.Cleanup(in.Kill)
	in.id = "kandla-1" // without the random suffix, so that hashes of the ID are the same in each run
	in.control.dispatchTimer = time.NewTimer(time.Hour)
	return in.control
}

// newPool returns a pool with one worker, whose ID is "w-" and the pool's name.
func newPool(name, dc, region string, accelerators int64, services ...string) lovageresource.Resource {
	return lovageresource.Resource{Kind: lovageresource.KindPool, Name: name, Revision: 1, Spec: lovageresource.Pool{
		DataCentre: dc, Region: region, Services: services, Workers: []lovageresource.Worker{{
			ID: "w-" + name, Address: netip.MustParseAddrPort("127.0.0.1:9"), Slots: 8, Connections: 8, Accelerators: accelerators,
		}},
	}}
}

func (lo *controlLoop) applyResources(t testing.TB, list ...lovageresource.Resource) {
	t.Helper()
	_, err := lo.in.store.RestoreResources(list, 1)
	must.NoError(t, err)
	(&resourceWatcher{in: lo.in}).load().apply(lo)
}

// setMembers gives the loop a membership view in which this instance has the state and each data centre in others has
// one live instance.
func (lo *controlLoop) setMembers(state lovagemember.State, others ...string) {
	byName := map[string][]lovagemember.Member{"kandla": {{Instance: lo.in.id, State: state}}}
	for _, dc := range others {
		byName[dc] = append(byName[dc], lovagemember.Member{Instance: dc + "-9", State: lovagemember.Live})
	}
	var view []lovagemember.DataCentre
	for _, name := range []string{"kandla", "lami", "suva"} {
		view = append(view, lovagemember.DataCentre{Name: name, Members: byName[name]})
	}
	lo.membersChanged(lovagemember.MembersChanged{DataCentres: view})
}

// usableWorkerIDs returns the sorted IDs of the workers that the dispatch core may use, with " leaving" after the IDs
// of leaving workers.
func (lo *controlLoop) usableWorkerIDs() []string {
	out := []string{}
	for _, wo := range lo.usableWorkers() {
		out = append(out, wo.ID+map[bool]string{true: " leaving"}[wo.Leaving])
	}
	slices.Sort(out)
	return out
}

var testPools = []lovageresource.Resource{
	newPool("a", "kandla", "west", 0, "ticket"),
	newPool("b", "lami", "west", 0, "price"),
	newPool("c", "suva", "east", 0, "price"),
	newPool("d", "lami", "east", 2, "ticket"),
	newPool("e", "suva", "east", 0, "proof"),
	newPool("f", "lami", "west", 0, "price", "paper"),
}

// An instance must have workers for a job that it must dispatch. It must use workers of other domains only if its own
// cannot run the job, and workers of other regions only if its own region has none that can.
func TestUsableWorkers(t *testing.T) {
	lo := newTestLoop(t)
	lo.applyResources(t, testPools...)
	lo.setMembers(lovagemember.Live, "lami", "suva")
	must.Eq(t, []string{"w-a"}, lo.usableWorkerIDs())
	ticket := lovagejob.Submission{Service: "ticket"}
	must.False(t, lo.expandFor(&ticket))
	for _, tt := range []struct {
		service      string
		accelerators int64
		want         []string
	}{
		{"price", 0, []string{"w-a", "w-b", "w-f"}}, // w-b and w-f are in this instance's region
		{"paper", 0, []string{"w-a", "w-f"}},        // w-b of the same domain does not run paper
		{"proof", 0, []string{"w-a", "w-e"}},        // no proof worker in the region
		{"price", 1, []string{"w-a"}},               // no price worker has an accelerator
		{"nothing", 0, []string{"w-a"}},             // no pool runs the service
		{"ticket", 2, []string{"w-a", "w-d"}},       // no such worker in the region
		{"ticket", 3, []string{"w-a"}},              // no worker has 3 accelerators
		{"ticket", 0, []string{"w-a"}},              // w-a can run the job
	} {
		clear(lo.domains.expansions)
		sub := lovagejob.Submission{Service: tt.service, DeclaredAccelerators: tt.accelerators}
		must.Eq(t, len(tt.want) > 1, lo.expandFor(&sub), must.Sprint(tt))
		must.False(t, lo.expandFor(&sub), must.Sprint("second call"))
		must.Eq(t, tt.want, lo.usableWorkerIDs(), must.Sprint(tt))
	}
	// Workers of other domains stay usable while a job needs them, and for expansionRetention afterwards.
	sub := lovagejob.Submission{Service: "proof"}
	lo.jobsByKey[lovagejob.Key{Range: 1}] = &job{sub: &sub}
	lo.setMembers(lovagemember.Live, "suva") // lami has no instance left, so this one now decides for a domain of lami
	must.Eq(t, 2, lo.domains.decidedCount())
	must.SliceContains(t, lo.usableWorkerIDs(), "w-e")
	lo.now = lo.now.Add(time.Hour)
	lo.dropUnneededExpansions()
	must.SliceContains(t, lo.usableWorkerIDs(), "w-e")
	clear(lo.jobsByKey)
	lo.dropUnneededExpansions()
	must.SliceContains(t, lo.usableWorkerIDs(), "w-e")
	lo.now = lo.now.Add(expansionRetention)
	lo.dropUnneededExpansions()
	must.SliceNotContains(t, lo.usableWorkerIDs(), "w-e")
}

// An instance must remember that a worker is leaving, even if it learned that while another instance decided for the
// worker. A leaving instance must keep its workers and must not be chosen to mint keys.
func TestLeavingWorkerOfAnotherDomain(t *testing.T) {
	lo := newTestLoop(t)
	lo.applyResources(t, testPools...)
	lo.setMembers(lovagemember.Live, "lami", "suva")
	lo.runMemberCommand(lovagemember.WorkerLeaving{Worker: "w-c", Source: lovagemember.FromPeer})
	lo.setMembers(lovagemember.Live) // the instances of lami and suva are gone
	must.Eq(t, []string{"w-a", "w-b", "w-c leaving", "w-d", "w-e", "w-f"}, lo.usableWorkerIDs())
	lo.setMembers(lovagemember.Leaving)
	must.Eq(t, []string{"w-a", "w-b", "w-c leaving", "w-d", "w-e", "w-f"}, lo.usableWorkerIDs())
	must.SliceEmpty(t, lo.in.domainRouter.choose("price", lo.now), must.Sprint("keys of a leaving instance"))
}

// The deciding instances must not be recomputed when only a peer's state or address has changed. That is more frequent
// than a change of the resources or of the live members.
func TestDecidingRecomputedOnlyOnChange(t *testing.T) {
	lo := newTestLoop(t)
	lo.applyResources(t, testPools...)
	lo.setMembers(lovagemember.Live, "lami", "suva")
	layout, deciding := lo.in.domainRouter.layout, lo.in.domainRouter.candidates
	view := []lovagemember.DataCentre{{Name: "kandla", Members: []lovagemember.Member{{Instance: lo.in.id, State: lovagemember.Live}}}}
	for _, dc := range []string{"lami", "suva"} {
		view = append(view, lovagemember.DataCentre{Name: dc, Members: []lovagemember.Member{
			{Instance: dc + "-8", State: lovagemember.Gone}, {Instance: dc + "-9", State: lovagemember.Suspect, Address: "127.0.0.1:8"},
		}})
	}
	lo.membersChanged(lovagemember.MembersChanged{DataCentres: view})
	lo.heartbeatMessage()
	must.True(t, layout == lo.in.domainRouter.layout && &deciding[0] == &lo.in.domainRouter.candidates[0])
	lo.setMembers(lovagemember.Live, "lami")
	must.True(t, layout == lo.in.domainRouter.layout && &deciding[0] != &lo.in.domainRouter.candidates[0])
}

// Callers must not be routed to an instance that does not decide for their service. An instance must send its estimates
// only to the instances that decide next for its domains, also during its shutdown.
func TestDecidesByService(t *testing.T) {
	lo := newTestLoop(t)
	lo.applyResources(t, testPools...)
	lo.setMembers(lovagemember.Live, "lami", "suva")
	must.True(t, lo.in.domainRouter.decides(lo.in.id, ""))
	must.True(t, lo.in.domainRouter.decides(lo.in.id, "ticket"))
	must.False(t, lo.in.domainRouter.decides(lo.in.id, "proof"))
	must.True(t, lo.in.domainRouter.decides("suva-9", "proof"))
	must.Eq(t, []string{"lami-9", "suva-9"}, lo.estimateTargets())
	lo.setMembers(lovagemember.Leaving, "lami")
	must.False(t, lo.in.domainRouter.decides(lo.in.id, ""))
	must.Eq(t, []string{"lami-9"}, lo.estimateTargets())
	lo = newTestLoop(t)
	lo.applyResources(t, newPool("e", "suva", "east", 0, "proof"))
	lo.setMembers(lovagemember.Live, "suva")
	must.SliceEmpty(t, lo.estimateTargets())
}

// The domain loads in a heartbeat must contain the queued tasks of each service once.
func TestDomainLoads(t *testing.T) {
	lo := newTestLoop(t)
	lo.applyResources(t, append(testPools, lovageresource.Resource{
		Kind: lovageresource.KindService, Name: "price", Revision: 1, Spec: lovageresource.DefaultService(),
	})...)
	lo.setMembers(lovagemember.Live)
	lo.stepCore(lovagedispatch.WorkerLeaving{Worker: "w-e"})
	load := lovagedispatch.Load{Services: []lovagedispatch.ServiceLoad{
		{Service: "price", QueuedTasks: 7}, {Service: "ticket", QueuedTasks: 20}, {Service: "nothing", QueuedTasks: 9},
	}}
	got := map[string]string{}
	for _, dl := range lo.domainLoads(&load) {
		got[dl.GetDomain()] = fmt.Sprint(dl.GetSlots(), dl.GetFreeSlots(), dl.GetQueuedTasks())
	}
	must.Eq(t, map[string]string{
		"west/ticket": "8 8 10", "west/paper": "16 16 4", "east/price": "8 8 2", "east/ticket": "8 8 10", "east/proof": "0 0 0",
	}, got)
	must.MapContainsKey(t, lo.in.domainRouter.loads, "west/paper", must.Sprint("choose must know the loads of the own domains"))
}

// An instance must mint no keys for a service that it does not know yet, because it would refuse the jobs of these keys
// for good.
func TestNoKeysForUnknownService(t *testing.T) {
	in := newTestLoop(t).in
	endedContext, cancel := context.WithCancel(context.Background())
	cancel() // makes a request to the control loop fail, because the loop does not run
	res, err := in.handleMint(endedContext, &lovagemessage.Mint{Count: 1, Service: "price"})
	must.NoError(t, err)
	must.SliceEmpty(t, res.GetMint().GetKeys())
	_, err = in.handleMint(endedContext, &lovagemessage.Mint{Count: 1})
	must.ErrorIs(t, err, context.Canceled)
}

// Without valid load reports, both domains must be chosen. A report of queued tasks must direct all choices to the
// other domain until the report expires. A back-off must last for decidingBackOff.
func TestReportedLoadsExpire(t *testing.T) {
	lo := newTestLoop(t)
	lo.applyResources(t, newPool("b", "lami", "west", 0, "price"), newPool("c", "suva", "east", 0, "price"))
	lo.setMembers(lovagemember.Live, "lami", "suva")
	dr := lo.in.domainRouter
	suvaChoices := func(now time.Time) (n int) {
		for range 100 {
			if dr.choose("price", now)[0] == "suva-9" {
				n++
			}
		}
		return n
	}
	must.Between(t, 20, suvaChoices(lo.now), 80)
	dr.recordLoads([]*lovagemessage.DomainLoad{{Domain: "west/price", Slots: 8, QueuedTasks: 3}}, lo.now)
	must.Eq(t, 100, suvaChoices(lo.now))
	must.Between(t, 20, suvaChoices(lo.now.Add(dr.loadTTL+time.Second)), 80)
	dr.startBackOff("suva-9", lo.now)
	must.True(t, dr.inBackOff("suva-9", lo.now.Add(decidingBackOff-1)))
	must.False(t, dr.inBackOff("suva-9", lo.now.Add(decidingBackOff)))
}

// Guards against a worker that left, was replaced under the same ID, and gets no tasks any more.
func TestWorkerThatRegistersAnewIsUsed(t *testing.T) {
	lo := newTestLoop(t)
	lo.now = time.Now()
	lo.applyResources(t, newPool("a", "kandla", "", 0, "ticket"))
	lo.setMembers(lovagemember.Live)
	freeSlotsAfter := func(states ...string) int {
		var list []lovageplatform.Instance
		for _, state := range states {
			list = append(list, lovageplatform.Instance{
				ID: "w-a", DataCentre: "kandla", Kind: lovageplatform.KindWorker, Address: "127.0.0.1:9", State: state,
			})
		}
		lo.stepMember(lovagemember.ListRead{Instances: list})
		return lo.core.Load().FreeSlots
	}
	must.Eq(t, 8, freeSlotsAfter(lovageplatform.StateLive))
	must.Eq(t, 0, freeSlotsAfter(lovageplatform.StateLeaving))
	must.Eq(t, 0, freeSlotsAfter(lovageplatform.StateLive)) // the list lags
	must.Eq(t, 0, freeSlotsAfter())
	must.Eq(t, 8, freeSlotsAfter(lovageplatform.StateLive))
}
