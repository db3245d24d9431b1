package lovagedomain

import (
	"slices"
	"strconv"
	"strings"
)

// DefaultDomainSlots is the number of slots above which a group of pools is split. A process can start 17,774 tasks a
// second, and 4,096 slots with tasks of 300 ms need 13,650 starts a second.
const DefaultDomainSlots = 4096

// Worker is a declared worker.
type Worker struct {
	ID    string
	Slots int
}

// Pool is a declared pool. The workers of a pool without services are in no domain.
type Pool struct {
	Name       string
	DataCentre string
	Region     string // empty: the common region of all pools that declare none
	Services   []string
	Workers    []Worker
}

// Domain is a set of workers for which one instance decides.
type Domain struct {
	// ID has one of four forms: service, region/service, service/dataCentre/n or region/service/dataCentre/n. The
	// service is the first of the group's services by name. The last two forms are for parts of a split group.
	ID          string
	Region      string
	DataCentres []string // data centres that have workers of the domain, sorted
	Services    []string // services that have workers in the domain, sorted
	Workers     []string // IDs of the workers, sorted
	Slots       int
}

// Layout is the division of all workers into domains. It must not be changed.
type Layout struct {
	Domains          []Domain         // sorted by ID; each has at least one worker
	Slots            int              // sum over all domains
	domainsByService map[string][]int // ascending indexes into Domains
}

// ForService returns the indexes of the domains that have workers of the service, in ascending order.
func (la *Layout) ForService(service string) []int { return la.domainsByService[service] }

// poolWorker is a worker and the index of its pool.
type poolWorker struct {
	Worker
	pool int
}

// Divide divides the workers of the pools into domains. A worker that several pools declare belongs to the
// pool that sorts last by name. A domainSlots below 1 counts as DefaultDomainSlots.
func Divide(pools []Pool, domainSlots int) *Layout {
	if domainSlots < 1 {
		domainSlots = DefaultDomainSlots
	}
	pools = slices.Clone(pools)
	slices.SortFunc(pools, func(a, b Pool) int { return strings.Compare(a.Name, b.Name) })
	la := &Layout{domainsByService: make(map[string][]int)}
	workers := workersByPool(pools)
	for _, gr := range groupPools(pools) {
		la.addGroup(pools, gr, workers, domainSlots)
	}
	slices.SortFunc(la.Domains, func(a, b Domain) int { return strings.Compare(a.ID, b.ID) })
	for i := range la.Domains {
		la.Slots += la.Domains[i].Slots
		for _, name := range la.Domains[i].Services {
			la.domainsByService[name] = append(la.domainsByService[name], i)
		}
	}
	return la
}

// workersByPool returns the workers of each pool. A worker belongs only to the last pool that declares it.
func workersByPool(pools []Pool) [][]poolWorker {
	last := make(map[string]int)
	for i := range pools {
		for _, wo := range pools[i].Workers {
			last[wo.ID] = i
		}
	}
	out := make([][]poolWorker, len(pools))
	for i := range pools {
		for _, wo := range pools[i].Workers {
			if po, ok := last[wo.ID]; ok && po == i {
				out[i] = append(out[i], poolWorker{Worker: wo, pool: i})
				delete(last, wo.ID)
			}
		}
	}
	return out
}

// group is a set of pools of one region that share services, directly or through other pools of the group.
type group struct {
	name  string // first of the group's services by name; unique within the region
	pools []int
}

// groupPools groups the pools of each region that share services. It leaves out pools without services.
func groupPools(pools []Pool) []group {
	type regionService struct{ region, service string }
	parent := make([]int, len(pools))
	for i := range parent {
		parent[i] = i
	}
	root := func(i int) int {
		for parent[i] != i {
			parent[i] = parent[parent[i]]
			i = parent[i]
		}
		return i
	}
	first := make(map[regionService]int)
	for i := range pools {
		for _, name := range pools[i].Services {
			rs := regionService{pools[i].Region, name}
			if other, ok := first[rs]; ok {
				parent[root(i)] = root(other)
			} else {
				first[rs] = i
			}
		}
	}
	var out []group
	index := make(map[int]int) // index in out of each group, by its root pool
	for i := range pools {
		if len(pools[i].Services) == 0 {
			continue
		}
		ro := root(i)
		at, ok := index[ro]
		if !ok {
			at = len(out)
			index[ro] = at
			out = append(out, group{name: pools[i].Services[0]})
		}
		out[at].pools = append(out[at].pools, i)
		out[at].name = min(out[at].name, slices.Min(pools[i].Services))
	}
	return out
}

func (la *Layout) addGroup(pools []Pool, gr group, workers [][]poolWorker, domainSlots int) {
	var all []poolWorker
	slots := 0
	for _, po := range gr.pools {
		all = append(all, workers[po]...)
		for _, wo := range workers[po] {
			slots += wo.Slots
		}
	}
	region := pools[gr.pools[0]].Region
	id := gr.name
	if region != "" {
		id = region + "/" + id
	}
	if slots <= domainSlots {
		la.addDomain(id, pools, all)
		return
	}
	byDataCentre := make(map[string][]poolWorker)
	for _, wo := range all {
		dc := pools[wo.pool].DataCentre
		byDataCentre[dc] = append(byDataCentre[dc], wo)
	}
	for dc, dcWorkers := range byDataCentre {
		la.splitDataCentre(id+"/"+dc, pools, dcWorkers, domainSlots)
	}
}

// splitDataCentre assigns the workers of one data centre to ceil(slots / domainSlots) domains by rendezvous hashing.
func (la *Layout) splitDataCentre(prefix string, pools []Pool, dcWorkers []poolWorker, domainSlots int) {
	slots := 0
	for _, wo := range dcWorkers {
		slots += wo.Slots
	}
	n := (slots + domainSlots - 1) / domainSlots
	ids, hashes := make([]string, n), make([]uint64, n)
	for i := range n {
		ids[i] = prefix + "/" + strconv.Itoa(i)
		hashes[i] = hashOf(ids[i])
	}
	parts := make([][]poolWorker, n)
	for _, wo := range dcWorkers {
		hash, best, bestScore := hashOf(wo.ID), 0, uint64(0)
		for i, he := range hashes {
			if sc := score(he, hash); sc > bestScore {
				best, bestScore = i, sc
			}
		}
		parts[best] = append(parts[best], wo)
	}
	for i, id := range ids {
		la.addDomain(id, pools, parts[i])
	}
}

// addDomain adds a domain unless it has no workers.
func (la *Layout) addDomain(id string, pools []Pool, workers []poolWorker) {
	if len(workers) == 0 {
		return
	}
	do := Domain{ID: id, Region: pools[workers[0].pool].Region, Workers: make([]string, 0, len(workers))}
	seen := make(map[int]bool)
	for _, wo := range workers {
		do.Workers = append(do.Workers, wo.ID)
		do.Slots += wo.Slots
		if !seen[wo.pool] {
			seen[wo.pool] = true
			do.DataCentres = append(do.DataCentres, pools[wo.pool].DataCentre)
			do.Services = append(do.Services, pools[wo.pool].Services...)
		}
	}
	slices.Sort(do.Workers)
	slices.Sort(do.DataCentres)
	slices.Sort(do.Services)
	do.DataCentres, do.Services = slices.Compact(do.DataCentres), slices.Compact(do.Services)
	la.Domains = append(la.Domains, do)
}
