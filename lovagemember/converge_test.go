package lovagemember

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lovagestack/lovageplatform"
)

// Guards against instances that disagree for good about who shares the slots. Instances end, start again and lose
// contact at random while the list is stale; 7 s after the last of that, each running instance has to see exactly the
// running ones as live, and the ended ones as gone. The list that finds new instances is only read before.
func TestViewsConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const n = 5
		ids := make([]string, n)
		cores := make([]*Core, n)
		up := make([]bool, n)
		var list ListRead
		for i := range ids {
			ids[i] = fmt.Sprintf("i%d", i)
			list.Instances = append(list.Instances, entry(ids[i]))
		}
		now := start
		begin := func(i int) {
			cores[i], up[i] = newCore(ids[i]), true
			cores[i].Step(now, list, nil)
		}
		for i := range ids {
			begin(i)
		}
		cut := make(map[[2]int]bool)
		second := func() {
			now = now.Add(time.Second)
			for i := range ids {
				if !up[i] {
					continue
				}
				cores[i].Step(now, Tick{}, nil)
				hb := heartbeat(ids[i])
				hb.KnownPeers = cores[i].KnownPeers()
				for j := range ids {
					if i != j && up[j] && !cut[[2]int{i, j}] {
						cores[j].Step(now, hb, nil)
					}
				}
			}
		}
		for range rapid.IntRange(0, 40).Draw(rt, "seconds") {
			i, j := rapid.IntRange(0, n-1).Draw(rt, "i"), rapid.IntRange(0, n-1).Draw(rt, "j")
			switch rapid.IntRange(0, 5).Draw(rt, "fault") {
			case 0:
				up[i] = false
			case 1:
				if !up[i] {
					begin(i)
				}
			case 2:
				cut[[2]int{i, j}] = true // one way only
			case 3:
				delete(cut, [2]int{i, j})
			case 4:
				if up[i] {
					stale := ListRead{slices.Clone(list.Instances[:j])}
					stale.Instances = append(stale.Instances, lovageplatform.Instance{ID: "old", Kind: "entry", DataCentre: "kandla"})
					cores[i].Step(now, stale, nil)
				}
			}
			second()
		}
		clear(cut)
		for range 7 {
			second()
		}
		var want []string
		for i, id := range ids {
			if up[i] {
				want = append(want, id)
			}
		}
		for i, id := range ids {
			if !up[i] {
				continue
			}
			if got := cores[i].view()[0].SharingIDs(); !slices.Equal(got, want) {
				rt.Fatalf("%s sees %v, running are %v", id, got, want)
			}
		}
	})
}
