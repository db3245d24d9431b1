package lovagedomain

import (
	"math"
	"math/rand/v2"
	"slices"
)

// Load is the reported load of a domain.
type Load struct {
	Slots       int // slots of workers that may get tasks
	FreeSlots   int
	QueuedTasks int
}

// queuedPerSlot returns the queued tasks per slot.
func (lo Load) queuedPerSlot() float64 {
	if lo.Slots <= 0 {
		return math.Inf(1)
	}
	return float64(lo.QueuedTasks) / float64(lo.Slots)
}

// lessLoadedThan reports whether the load has fewer queued tasks per slot than the other. If both have equally many, the
// one with the larger fraction of free slots is less loaded.
func (lo Load) lessLoadedThan(other Load) bool {
	a, b := lo.queuedPerSlot(), other.queuedPerSlot()
	if a != b {
		return a < b
	}
	return float64(lo.FreeSlots)*float64(other.Slots) > float64(other.FreeSlots)*float64(lo.Slots)
}

// Choose returns the index of the domain in which to mint keys for the service, or -1 if there are no domains. If several
// domains have workers of the service, Choose draws two of them at random and returns the less loaded one. It draws only
// among the domains with workers in the data centre and less than one queued task per slot, if there are any. If no
// domain has workers of the service, or service is empty, Choose returns index 0.
//
// The function loads returns the last reported load of a domain, and false if there is none. The domain then counts as
// idle with all its slots free.
func (la *Layout) Choose(service, dataCentre string, loads func(domain string) (Load, bool), rng *rand.Rand) int {
	domains := la.domainsByService[service]
	if len(domains) == 0 {
		if len(la.Domains) == 0 {
			return -1
		}
		return 0
	}
	if len(domains) == 1 {
		return domains[0]
	}
	loadOf := func(do int) Load {
		if lo, ok := loads(la.Domains[do].ID); ok {
			return lo
		}
		return Load{Slots: la.Domains[do].Slots, FreeSlots: la.Domains[do].Slots}
	}
	var local []int
	for _, do := range domains {
		if slices.Contains(la.Domains[do].DataCentres, dataCentre) && loadOf(do).queuedPerSlot() < 1 {
			local = append(local, do)
		}
	}
	if len(local) > 0 {
		domains = local
	}
	i := rng.IntN(len(domains))
	if len(domains) == 1 {
		return domains[i]
	}
	j := rng.IntN(len(domains) - 1)
	if j >= i {
		j++
	}
	if loadOf(domains[j]).lessLoadedThan(loadOf(domains[i])) {
		return domains[j]
	}
	return domains[i]
}
