package lovagedomain

import (
	"fmt"
	"testing"
)

// benchPools spreads workers of 8 slots over 14 data centres in 7 regions, with one group per region.
func benchPools(workers int) []Pool {
	pools := make([]Pool, 14)
	for i := range pools {
		pools[i] = Pool{
			Name: fmt.Sprintf("p%d", i), DataCentre: fmt.Sprintf("dc%d", i), Region: fmt.Sprintf("r%d", i/2), Services: []string{"s"},
		}
	}
	for i := range workers {
		po := &pools[i%len(pools)]
		po.Workers = append(po.Workers, Worker{ID: fmt.Sprintf("worker-%d", i), Slots: 8})
	}
	return pools
}

func benchMembers(n int) []Member {
	out := make([]Member, n)
	for i := range out {
		out[i] = Member{ID: fmt.Sprintf("instance-%d", i), DataCentre: fmt.Sprintf("dc%d", i%14)}
	}
	return out
}

// BenchmarkDivide measures Divide, which runs at each change of the resources.
func BenchmarkDivide(b *testing.B) {
	for _, workers := range []int{48, 300, 1_100, 15_000} {
		for name, pools := range map[string][]Pool{"regions": benchPools(workers), "oneDataCentre": onePool(workers)} {
			b.Run(fmt.Sprintf("%s/workers=%d", name, workers), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					Divide(pools, DefaultDomainSlots)
				}
			})
		}
	}
}

// BenchmarkCandidates measures Candidates, which runs at each change of the live members.
func BenchmarkCandidates(b *testing.B) {
	for _, workers := range []int{48, 300, 1_100, 15_000} {
		la := Divide(benchPools(workers), DefaultDomainSlots)
		for _, members := range []int{6, 48, 100} {
			b.Run(fmt.Sprintf("workers=%d/instances=%d", workers, members), func(b *testing.B) {
				all := benchMembers(members)
				b.ReportAllocs()
				for b.Loop() {
					la.Candidates(all, 2)
				}
				b.ReportMetric(float64(len(la.Domains)), "domains")
			})
		}
	}
}
