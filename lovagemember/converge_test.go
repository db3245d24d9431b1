package lovagemember

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lovagestack/lovageplatform"
)

// TestViewsConverge checks that instances do not disagree permanently about who shares the slots. Instances stop, restart and
// lose contact at random while the list is stale. 7 s after the last fault, without another read of the list, each running
// instance must see exactly the running ones as sharing.
func TestViewsConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const n = 5
		ids := make([]string, n)
		cores := make([]*Core, n)
		running := make([]bool, n)
		var list ListRead
		for i := range ids {
			ids[i] = fmt.Sprintf("i%d", i)
			list.Instances = append(list.Instances, listedInstance(ids[i]))
		}
		now := startTime
		startCore := func(i int) {
			cores[i], running[i] = newCore(ids[i]), true
			cores[i].Step(now, list, nil)
		}
		for i := range ids {
			startCore(i)
		}
		cut := make(map[[2]int]bool)
		runSecond := func() {
			now = now.Add(time.Second)
			for i := range ids {
				if !running[i] {
					continue
				}
				cores[i].Step(now, Tick{}, nil)
				hb := heartbeatFrom(ids[i])
				hb.KnownPeers = cores[i].KnownPeers()
				for j := range ids {
					if i != j && running[j] && !cut[[2]int{i, j}] {
						cores[j].Step(now, hb, nil)
					}
				}
			}
		}
		for range rapid.IntRange(0, 40).Draw(rt, "seconds") {
			i, j := rapid.IntRange(0, n-1).Draw(rt, "i"), rapid.IntRange(0, n-1).Draw(rt, "j")
			switch rapid.IntRange(0, 5).Draw(rt, "fault") {
			case 0:
				running[i] = false
			case 1:
				if !running[i] {
					startCore(i)
				}
			case 2:
				cut[[2]int{i, j}] = true // one way only
			case 3:
				delete(cut, [2]int{i, j})
			case 4:
				if running[i] {
					stale := ListRead{slices.Clone(list.Instances[:j])}
					stale.Instances = append(stale.Instances, lovageplatform.Instance{ID: "old", Kind: "entry", DataCentre: "kandla"})
					cores[i].Step(now, stale, nil)
				}
			}
			runSecond()
		}
		clear(cut)
		for range 7 {
			runSecond()
		}
		var want []string
		for i, id := range ids {
			if running[i] {
				want = append(want, id)
			}
		}
		for i, id := range ids {
			if !running[i] {
				continue
			}
			if got := cores[i].memberView()[0].SharingIDs(); !slices.Equal(got, want) {
				rt.Fatalf("%s sees %v, running are %v", id, got, want)
			}
		}
	})
}
