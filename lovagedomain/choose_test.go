package lovagedomain

import (
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// TestChoose checks that the chosen domain has workers of the service, that a domain with workers in the data centre is
// preferred if it has less than one queued task per slot, and that the less loaded one of two domains is chosen.
func TestChoose(t *testing.T) {
	la := Divide([]Pool{
		{Name: "a", DataCentre: "dc0", Services: []string{"s", "t"}, Workers: []Worker{{"w0", 8}, {"w1", 8}}},
		{Name: "b", DataCentre: "dc1", Services: []string{"s"}, Workers: []Worker{{"w2", 8}}},
		{Name: "c", DataCentre: "dc2", Services: []string{"s"}, Workers: []Worker{{"w3", 8}}},
		{Name: "d", DataCentre: "dc2", Services: []string{"u"}, Workers: []Worker{{"w4", 8}}},
	}, 16)
	var ids []string
	for _, do := range la.Domains {
		ids = append(ids, do.ID)
	}
	must.Eq(t, []string{"s/dc0/0", "s/dc1/0", "s/dc2/0", "u"}, ids)
	rng := rand.New(rand.NewPCG(1, 1))
	for _, tt := range []struct {
		name, service, dataCentre string
		loads                     map[string]Load
		want                      map[int]bool
	}{
		{"only one", "t", "dc2", nil, map[int]bool{0: true}},
		{"no service", "", "dc2", nil, map[int]bool{0: true}},
		{"unknown service", "x", "dc2", nil, map[int]bool{0: true}},
		{"near", "s", "dc1", nil, map[int]bool{1: true}},
		{"local and loaded", "s", "dc1", map[string]Load{"s/dc1/0": {8, 0, 7}}, map[int]bool{1: true}},
		{"local and full", "s", "dc1", map[string]Load{"s/dc1/0": {8, 0, 8}}, map[int]bool{0: true, 2: true}},
		{"none local", "s", "dc9", nil, map[int]bool{0: true, 1: true, 2: true}},
		{"worst of all", "s", "dc9", map[string]Load{"s/dc2/0": {8, 0, 3}}, map[int]bool{0: true, 1: true}},
		{"no usable slot", "s", "dc2", map[string]Load{"s/dc2/0": {}}, map[int]bool{0: true, 1: true}},
		{"free slots", "s", "dc9", map[string]Load{"s/dc2/0": {8, 1, 0}, "s/dc1/0": {8, 2, 0}}, map[int]bool{0: true, 1: true}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			got := map[int]bool{}
			for range 200 {
				got[la.Choose(tt.service, tt.dataCentre, func(id string) (Load, bool) { lo, ok := tt.loads[id]; return lo, ok }, rng)] = true
			}
			must.Eq(t, tt.want, got)
		})
	}
	must.Eq(t, -1, Divide(nil, 1).Choose("s", "dc0", nil, rng))
}

// TestQuotaShare checks that a single deciding instance gets the whole quota, and that the shares of several add up to
// the quota, give or take one task each.
func TestQuotaShare(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		quota := rapid.IntRange(1, 1<<30).Draw(rt, "quota")
		slots := rapid.SliceOfN(rapid.IntRange(1, 1<<24), 1, 9).Draw(rt, "slots")
		all, sum := 0, 0
		for _, n := range slots {
			all += n
		}
		must.Eq(rt, quota, QuotaShare(quota, all, all, 9))
		for _, n := range slots {
			share := QuotaShare(quota, n, all, len(slots))
			must.Positive(rt, share)
			must.InDelta(rt, float64(quota)*float64(n)/float64(all), float64(share), 1.001)
			sum += share
		}
		must.LessEq(rt, quota+len(slots)-1, sum)
		must.GreaterEq(rt, quota-len(slots), sum)
	})
	must.Eq(t, 0, QuotaShare(0, 5, 10, 3))
	must.Eq(t, 33, QuotaShare(100, 0, 10, 3))
	must.Eq(t, 1, QuotaShare(2, 0, 10, 3))
	must.Eq(t, 5, QuotaShare(5, 0, 0, 0))
}
