package lovageentry

import (
	"fmt"
	"net/netip"
	"testing"

	"lovagestack/lovagedispatch"
	"lovagestack/lovagemember"
	"lovagestack/lovageresource"
)

// benchPools spreads the workers, with 8 slots each, over 14 pools, one per data centre, in 7 regions. All run one
// service.
func benchPools(workers int) []lovageresource.Resource {
	specs := make([]lovageresource.Pool, 14)
	for i := range workers {
		sp := &specs[i%14]
		sp.Workers = append(sp.Workers, lovageresource.Worker{
			ID: fmt.Sprintf("worker-%d", i), Address: netip.MustParseAddrPort("127.0.0.1:9"), Slots: 8, Connections: 8,
		})
	}
	out := make([]lovageresource.Resource, 14)
	for i, sp := range specs {
		sp.DataCentre, sp.Region, sp.Services = fmt.Sprintf("dc-%d", i), fmt.Sprintf("r-%d", i/2), []string{"ticket"}
		if i == 0 {
			sp.DataCentre = "kandla"
		}
		out[i] = lovageresource.Resource{Kind: lovageresource.KindPool, Name: fmt.Sprintf("p-%d", i), Revision: 1, Spec: sp}
	}
	return out
}

// benchView returns a membership view of n instances in 14 data centres. If lastGone is set, the last instance is gone.
func benchView(lo *controlLoop, n int, lastGone bool) lovagemember.MembersChanged {
	view := make([]lovagemember.DataCentre, 14)
	for i := range view {
		view[i].Name = fmt.Sprintf("dc-%d", i)
	}
	view[0] = lovagemember.DataCentre{Name: "kandla", Members: []lovagemember.Member{{Instance: lo.in.id, State: lovagemember.Live}}}
	for i := 1; i < n; i++ {
		me := lovagemember.Member{Instance: fmt.Sprintf("instance-%d", i), State: lovagemember.Live}
		if lastGone && i == n-1 {
			me.State = lovagemember.Gone
		}
		view[i%14].Members = append(view[i%14].Members, me)
	}
	return lovagemember.MembersChanged{DataCentres: view}
}

// BenchmarkMembersChanged measures how long the control loop is busy when an instance joins or fails.
func BenchmarkMembersChanged(b *testing.B) {
	for _, workers := range []int{48, 300, 1_100, 15_000} {
		for _, instances := range []int{6, 48, 100} {
			b.Run(fmt.Sprintf("workers=%d/instances=%d", workers, instances), func(b *testing.B) {
				lo := newTestLoop(b)
				lo.applyResources(b, benchPools(workers)...)
				lastGone := false
				for b.Loop() {
					lo.membersChanged(benchView(lo, instances, lastGone))
					lastGone = !lastGone
				}
				b.ReportMetric(float64(lo.domains.decidedCount()), "domains")
			})
		}
	}
}

// BenchmarkDomainLoads measures the time that computing the domain loads adds to a round of heartbeats.
func BenchmarkDomainLoads(b *testing.B) {
	for _, workers := range []int{48, 300, 1_100, 15_000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			lo := newTestLoop(b)
			lo.applyResources(b, benchPools(workers)...)
			lo.membersChanged(benchView(lo, 1, false))
			load := lovagedispatch.Load{Services: []lovagedispatch.ServiceLoad{{Service: "ticket", QueuedTasks: 9}}}
			for b.Loop() {
				lo.domainLoads(&load)
			}
			b.ReportMetric(float64(lo.domains.decidedCount()), "domains")
		})
	}
}

// BenchmarkResourcesApplied measures the two parts of a resource change. load runs outside the control loop, apply on
// it.
func BenchmarkResourcesApplied(b *testing.B) {
	for _, workers := range []int{48, 300, 1_100, 15_000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			lo := newTestLoop(b)
			lo.applyResources(b, benchPools(workers)...)
			lo.membersChanged(benchView(lo, 48, false))
			rw := &resourceWatcher{in: lo.in}
			var rl *resourcesLoaded
			b.Run("load", func(b *testing.B) {
				for b.Loop() {
					rl = rw.load()
				}
			})
			b.Run("apply", func(b *testing.B) {
				for b.Loop() {
					rl.apply(lo)
				}
			})
		})
	}
}
