package lovagedomain

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of the property tests unless a flag gives one, so that the verdict does not vary between
// runs.
func TestMain(m *testing.M) {
	flag.Parse()
	if fl := flag.Lookup("rapid.seed"); fl.Value.String() == fl.DefValue && fl.Value.Set("20261204") != nil {
		panic("flag rapid.seed")
	}
	os.Exit(m.Run())
}

func drawPools(rt *rapid.T) []Pool {
	randomName := func(label string, prefix string, n int) string {
		return fmt.Sprintf("%s%d", prefix, rapid.IntRange(0, n-1).Draw(rt, label))
	}
	pools := make([]Pool, rapid.IntRange(0, 8).Draw(rt, "pools"))
	for i := range pools {
		pools[i] = Pool{Name: fmt.Sprintf("p%d", i), DataCentre: randomName("dataCentre", "dc", 3)}
		if rapid.Bool().Draw(rt, "hasRegion") {
			pools[i].Region = randomName("region", "r", 2)
		}
		for range rapid.IntRange(1, 3).Draw(rt, "services") {
			pools[i].Services = append(pools[i].Services, randomName("service", "s", 6))
		}
		slots := rapid.IntRange(1, 12).Draw(rt, "slots")
		for j := range rapid.IntRange(0, 30).Draw(rt, "workers") {
			pools[i].Workers = append(pools[i].Workers, Worker{ID: fmt.Sprintf("w%d-%d", i, j), Slots: slots})
		}
		if i > 0 && rapid.IntRange(0, 4).Draw(rt, "twice") == 0 { // workers that the previous pool declares, too
			pools[i].Workers = append(pools[i].Workers, pools[i-1].Workers...)
			pools[i].Workers = append(pools[i].Workers, pools[i].Workers...) // and this one declares its workers twice
		}
	}
	return pools
}

// groupOf returns the pools that are joined with pool i, by following common services until nothing is added.
func groupOf(pools []Pool, i int) map[int]bool {
	in := map[int]bool{i: true}
	for grown := true; grown; {
		grown = false
		for a := range pools {
			for b := range in {
				common := slices.ContainsFunc(pools[a].Services, func(s string) bool { return slices.Contains(pools[b].Services, s) })
				if !in[a] && common && pools[a].Region == pools[b].Region {
					in[a], grown = true, true
				}
			}
		}
	}
	return in
}

// TestDivide checks that each worker is in exactly one domain and that no domain spans regions or groups. Only groups with
// more slots than the limit may be split, by data centre, and into no more domains than needed.
func TestDivide(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		pools := drawPools(rt)
		limit := rapid.IntRange(1, 200).Draw(rt, "domainSlots")
		if whole := Divide(pools, 1<<30).Domains; len(whole) > 0 && rapid.Bool().Draw(rt, "fits") {
			limit = whole[0].Slots // a group of exactly this size is not split
		}
		la := Divide(pools, limit)
		poolOf, slotsOf := map[string]int{}, map[string]int{}
		for i := range pools {
			for _, wo := range pools[i].Workers {
				poolOf[wo.ID], slotsOf[wo.ID] = i, wo.Slots
			}
		}
		domainOf, ids, total := map[string]int{}, map[string]bool{}, 0
		for d, do := range la.Domains {
			must.False(rt, ids[do.ID], must.Sprint(do.ID))
			ids[do.ID] = true
			must.Positive(rt, len(do.Workers))
			slots, services := 0, []string{}
			for _, id := range do.Workers {
				_, twice := domainOf[id]
				must.False(rt, twice, must.Sprint(id))
				domainOf[id] = d
				slots += slotsOf[id]
				po := &pools[poolOf[id]]
				must.Eq(rt, do.Region, po.Region)
				must.SliceContains(rt, do.DataCentres, po.DataCentre)
				must.True(rt, groupOf(pools, poolOf[do.Workers[0]])[poolOf[id]], must.Sprint("another group"))
				services = append(services, po.Services...)
			}
			slices.Sort(services)
			must.Eq(rt, slices.Compact(services), do.Services)
			must.Eq(rt, slots, do.Slots)
			total += slots
			for _, name := range do.Services {
				must.SliceContains(rt, la.ForService(name), d)
			}
		}
		must.Eq(rt, len(poolOf), len(domainOf))
		must.Eq(rt, total, la.Slots)
		checkGroups(rt, pools, la, limit, poolOf, slotsOf, domainOf)
	})
}

func checkGroups(rt *rapid.T, pools []Pool, la *Layout, limit int, poolOf, slotsOf, domainOf map[string]int) {
	for i := range pools {
		group := groupOf(pools, i)
		slots, domains, slotsInDC := 0, map[int]bool{}, map[string]int{}
		for id, po := range poolOf {
			if group[po] {
				slots += slotsOf[id]
				domains[domainOf[id]] = true
				slotsInDC[pools[po].DataCentre] += slotsOf[id]
			}
		}
		if slots <= limit {
			must.LessEq(rt, 1, len(domains))
			continue
		}
		domainsInDC := map[string]int{}
		for d := range domains {
			must.Len(rt, 1, la.Domains[d].DataCentres)
			domainsInDC[la.Domains[d].DataCentres[0]]++
		}
		for dc, n := range domainsInDC { // a domain that would get no worker is left out
			must.LessEq(rt, (slotsInDC[dc]+limit-1)/limit, n)
		}
	}
}

// TestInputOrderDoesNotMatter checks that domains and candidates do not depend on the order of the inputs or of a map.
func TestInputOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		pools := drawPools(rt)
		limit := rapid.IntRange(1, 200).Draw(rt, "domainSlots")
		members := testMembers(rapid.IntRange(0, 9).Draw(rt, "members"))
		la := Divide(pools, limit)
		candidates := la.Candidates(members, 2)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		rng.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
		shuffled := slices.Clone(pools)
		for i := range shuffled {
			po := &shuffled[i]
			po.Services, po.Workers = slices.Clone(po.Services), slices.Clone(po.Workers)
			rng.Shuffle(len(po.Services), func(i, j int) { po.Services[i], po.Services[j] = po.Services[j], po.Services[i] })
			rng.Shuffle(len(po.Workers), func(i, j int) { po.Workers[i], po.Workers[j] = po.Workers[j], po.Workers[i] })
		}
		rng.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		again := Divide(shuffled, limit)
		must.Eq(rt, la, again)
		must.Eq(rt, candidates, again.Candidates(members, 2))
	})
}

func testMembers(n int) []Member {
	out := make([]Member, n)
	for i := range out {
		out[i] = Member{ID: fmt.Sprintf("dc%d-%d", i%3, i), DataCentre: fmt.Sprintf("dc%d", i%3)}
	}
	return out
}

// onePool returns a pool of n workers of 8 slots in one data centre.
func onePool(n int) []Pool {
	po := Pool{Name: "p", DataCentre: "dc0", Services: []string{"s"}}
	for i := range n {
		po.Workers = append(po.Workers, Worker{ID: fmt.Sprintf("w%d", i), Slots: 8})
	}
	return []Pool{po}
}

// TestSplitMovesFewWorkers checks that workers move only into the added domain when a group is split into one domain
// more. Conversely, only the workers of a removed domain move. With rendezvous hashing into n domains, 1/n of the workers
// move on average. The test allows twice as many.
func TestSplitMovesFewWorkers(t *testing.T) {
	const workers = 2000
	pools := onePool(workers)
	for n := 2; n <= 30; n++ {
		limit := func(n int) int { return (8*workers + n - 1) / n }
		fewer, more := Divide(pools, limit(n)), Divide(pools, limit(n+1))
		must.Len(t, n, fewer.Domains)
		must.Len(t, n+1, more.Domains)
		domainBefore := map[string]string{}
		for _, do := range fewer.Domains {
			for _, id := range do.Workers {
				domainBefore[id] = do.ID
			}
		}
		moved, addedDomain := 0, fmt.Sprintf("s/dc0/%d", n)
		for _, do := range more.Domains {
			must.Less(t, 2*workers/len(more.Domains), len(do.Workers), must.Sprint(do.ID))
			for _, id := range do.Workers {
				if domainBefore[id] != do.ID {
					moved++
					must.Eq(t, addedDomain, do.ID)
				}
			}
		}
		must.Positive(t, moved)
		must.Less(t, 2*workers/(n+1), moved)
	}
}

// TestCandidatesAreStable checks that members in the domain's data centres come first, and that the removal of a member
// does not change the order of the other candidates. Otherwise the next candidate would not take over from a
// removed one.
func TestCandidatesAreStable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		la := Divide(drawPools(rt), rapid.IntRange(1, 100).Draw(rt, "domainSlots"))
		members := testMembers(rapid.IntRange(1, 12).Draw(rt, "members"))
		removed := rapid.IntRange(0, len(members)-1).Draw(rt, "removed")
		rest := slices.Delete(slices.Clone(members), removed, removed+1)
		before, after := la.Candidates(members, 3), la.Candidates(rest, 3)
		for d := range la.Domains {
			must.Len(rt, min(3, len(members)), before[d])
			left := slices.DeleteFunc(slices.Clone(before[d]), func(id string) bool { return id == members[removed].ID })
			must.True(rt, slices.Equal(left, after[d][:len(left)]), must.Sprint(before[d], after[d]))
			isLocal := func(me Member) bool { return slices.Contains(la.Domains[d].DataCentres, me.DataCentre) }
			if i := slices.IndexFunc(members, func(me Member) bool { return me.ID == before[d][0] }); !isLocal(members[i]) {
				must.False(rt, slices.ContainsFunc(members, isLocal), must.Sprint("a member in another data centre decides"))
			}
		}
	})
}

// TestCandidatesAreSpread checks that the domains are spread evenly over the instances.
func TestCandidatesAreSpread(t *testing.T) {
	la := Divide(onePool(15_000), 120) // 1,000 domains
	counts := map[string]int{}
	members := make([]Member, 10)
	for i := range members {
		members[i] = Member{ID: fmt.Sprintf("dc0-%d", i), DataCentre: "dc0"}
	}
	for _, ids := range la.Candidates(members, 1) {
		counts[ids[0]]++
	}
	must.MapLen(t, 10, counts)
	for id, n := range counts {
		must.Between(t, 60, n, 150, must.Sprint(id))
	}
}
