package lovagemember

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"lovagestack/lovageplatform"
)

// world steps several cores in virtual time. Messages and dials take no time; a silent machine gives no answer and an
// ended process refuses.
type world struct {
	now     time.Time
	cores   []*world1
	byID    map[string]*world1
	list    ListRead
	cut     func(a, b *world1) bool // no message passes in either direction
	lose    [2]string               // the next heartbeat from one instance to another is lost
	pending []func()
	leaving func(no *world1, worker string)
}

type world1 struct {
	*Core
	id, dc  string
	up      bool
	refuses bool // when it is down
	phase   int  // of its heartbeats, in steps
	mesh    int
	wants   map[string]bool // sessions asked for
}

const worldStep = 100 * time.Millisecond

func newWorld(sizes, mesh []int, phase func() int) *world {
	wo := &world{now: start, byID: map[string]*world1{}, cut: func(_, _ *world1) bool { return false }}
	for d, n := range sizes {
		for i := range n {
			no := &world1{id: fmt.Sprintf("d%d-%d", d, i), dc: fmt.Sprintf("d%d", d), phase: phase()}
			no.mesh = mesh[len(wo.cores)%len(mesh)]
			wo.cores = append(wo.cores, no)
			wo.byID[no.id] = no
			wo.list.Instances = append(wo.list.Instances, lovageplatform.Instance{
				ID: no.id, DataCentre: no.dc, Kind: lovageplatform.KindEntry, Address: no.id + ":1", State: lovageplatform.StateLive,
			})
		}
	}
	for _, no := range wo.cores {
		wo.begin(no)
	}
	return wo
}

func (wo *world) begin(no *world1) {
	no.Core = New(Settings{Instance: no.id, DataCentre: no.dc, Address: no.id + ":1", MeshInstances: no.mesh})
	no.up, no.wants = true, map[string]bool{}
	wo.step(no, PoolsChanged{[]DeclaredWorker{{Worker: "w"}}})
	wo.step(no, wo.list)
}

func (wo *world) step(no *world1, ev Event) {
	for _, cmd := range no.Step(wo.now, ev, nil) {
		switch cmd := cmd.(type) {
		case DialPeer:
			no.wants[cmd.Instance] = true
		case DropPeer:
			delete(no.wants, cmd.Instance)
		case ReleasePeer:
			delete(no.wants, cmd.Instance)
		case WorkerLeaving:
			if wo.leaving != nil {
				wo.leaving(no, cmd.Worker)
			}
		case SendHeartbeats:
			for _, id := range cmd.Instances {
				wo.pending = append(wo.pending, func() { wo.heartbeat(no, wo.byID[id]) })
			}
		}
	}
}

func (wo *world) heartbeat(no, to *world1) {
	if !no.up || wo.cut(no, to) || !to.up && !to.refuses {
		return
	}
	if wo.lose == [2]string{no.id, to.id} {
		wo.lose = [2]string{}
		return
	}
	if !to.up {
		wo.step(no, SessionDown{Instance: to.id, Refused: true})
		return
	}
	hb := HeartbeatReceived{
		Instance: no.id, DataCentre: no.dc, Address: no.id + ":1", LeavingWorkers: no.LeavingWorkers(),
		KnownPeers: no.KnownPeers(), UsesRelays: no.Role().UsesRelays,
	}
	summaries := no.Summaries(no.SummaryScopeFor(to.id))
	wo.step(to, hb)
	for _, su := range summaries {
		wo.step(to, SummaryReceived{su})
	}
	wo.step(no, PeerReplied{to.id, to.Role().UsesRelays})
	wo.step(no, LeavingWorkersReceived{From: to.id, Workers: to.LeavingWorkers()})
	if len(summaries) > 0 && to.RepliesWithSummary(no.id) {
		wo.step(no, SummaryReceived{to.ownSummary()})
	}
}

// run lets steps pass and calls check, if any, after each.
func (wo *world) run(d time.Duration, check func()) {
	for range d / worldStep {
		wo.now = wo.now.Add(worldStep)
		for _, no := range wo.cores {
			if !no.up {
				continue
			}
			wo.step(no, Tick{})
			if int(wo.now.Sub(start)/worldStep)%10 != no.phase {
				continue
			}
			for _, to := range wo.cores {
				if no.wants[to.id] {
					wo.heartbeat(no, to)
				}
			}
		}
		for len(wo.pending) > 0 {
			next := wo.pending[0]
			wo.pending = wo.pending[1:]
			next()
		}
		if check != nil {
			check()
		}
	}
}

// drawWorld draws a deployment that uses relays; in a mixed one some instances do not.
func drawWorld(rt *rapid.T, mixed bool) *world {
	sizes := rapid.SliceOfN(rapid.IntRange(1, 4), 2, 4).Draw(rt, "sizes")
	mesh := []int{1}
	if mixed {
		mesh = rapid.SliceOfN(rapid.SampledFrom([]int{1, 100}), 1, 5).Draw(rt, "mesh")
	}
	return newWorld(sizes, mesh, func() int { return rapid.IntRange(0, 9).Draw(rt, "phase") })
}

// pick draws an instance.
func (wo *world) pick(rt *rapid.T, name string) *world1 {
	return wo.cores[rapid.IntRange(0, len(wo.cores)-1).Draw(rt, name)]
}

// requireViews requires that each running instance sees exactly the running ones as live.
func (wo *world) requireViews(rt *rapid.T, when string) {
	for _, no := range wo.cores {
		for _, other := range wo.cores {
			st := stateOf(no.Core, other.id)
			if no.up && (other.up && st != Live || !other.up && st != Gone && st != "" && st != Unheard) {
				rt.Fatalf("%s: %s sees %s as %q, running: %v", when, no.id, other.id, st, other.up)
			}
		}
	}
}

// Guards against instances that disagree for good, or that suspect each other without a fault: instances and relays end,
// restart and lose contact, in deployments where some or all instances use relays.
func TestViewsConvergeWithRelays(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		wo := drawWorld(rt, rapid.Bool().Draw(rt, "mixed"))
		wo.run(5*time.Second, nil)
		// A single lost heartbeat is not a reason to suspect anyone.
		wo.lose = [2]string{wo.pick(rt, "from").id, wo.pick(rt, "to").id}
		wo.run(5*time.Second, func() { wo.requireViews(rt, "before any fault") })
		cuts := map[[2]string]bool{}
		wo.cut = func(a, b *world1) bool {
			return cuts[[2]string{a.id, b.id}] || cuts[[2]string{b.id, a.id}] || cuts[[2]string{a.dc, b.dc}] || cuts[[2]string{b.dc, a.dc}]
		}
		for range rapid.IntRange(1, 8).Draw(rt, "faults") {
			a, b := wo.pick(rt, "a"), wo.pick(rt, "b")
			switch rapid.IntRange(0, 4).Draw(rt, "fault") {
			case 0:
				a.up, a.refuses = false, rapid.Bool().Draw(rt, "refuses")
			case 1:
				if relay := wo.byID[a.relayID]; relay != nil {
					relay.up, relay.refuses = false, rapid.Bool().Draw(rt, "refuses")
				}
			case 2:
				if !a.up {
					wo.begin(a)
				}
			case 3:
				cuts[[2]string{a.id, b.id}] = true
			default:
				if a.dc != b.dc {
					cuts[[2]string{a.dc, b.dc}] = true
				}
			}
			wo.run(time.Duration(rapid.IntRange(0, 12).Draw(rt, "seconds"))*time.Second, nil)
		}
		clear(cuts)
		for _, no := range wo.cores { // the list still shows what ended, as it lags
			if no.up {
				wo.step(no, wo.list)
			}
		}
		wo.run(20*time.Second, nil)
		wo.run(3*time.Second, func() { wo.requireViews(rt, "after the faults") })
	})
}

// Guards against an ended instance that others count on for longer than the design page says, also while its relay ends
// with it, and against running instances that are counted as gone because a relay ended.
func TestEndIsNoticedInTime(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		wo := drawWorld(rt, false)
		wo.run(10*time.Second+time.Duration(rapid.IntRange(0, 9).Draw(rt, "offset"))*worldStep, nil)
		ended := map[string]bool{}
		end := func(no *world1) { no.up, ended[no.id] = false, true }
		dead := wo.pick(rt, "dead")
		if rapid.Bool().Draw(rt, "relayToo") {
			end(wo.byID[dead.relayID])
		}
		end(dead)
		at := wo.now
		wo.run(12*time.Second, func() {
			for _, no := range wo.cores {
				if !no.up {
					continue
				}
				for _, other := range wo.cores {
					st, took := stateOf(no.Core, other.id), wo.now.Sub(at)
					suspect, gone := 3*time.Second, 6*time.Second
					if other.dc != no.dc {
						suspect, gone = 5*time.Second, 8*time.Second
					}
					switch {
					case ended[other.id] && (took >= suspect && st == Live || took >= gone && st != Gone):
						rt.Fatalf("%s sees %s as %q %s after its end", no.id, other.id, st, took)
					case !ended[other.id] && st == Gone:
						rt.Fatalf("%s sees %s as gone %s after the end of %v", no.id, other.id, took, ended)
					}
				}
			}
		})
	})
}

// Guards against a leaving worker that some instance still uses after 3 s, through relays or past them, also when one
// message is lost.
func TestLeavingWorkerPassesRelaysIn3s(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		mixed, lossy := rapid.Bool().Draw(rt, "mixed"), rapid.Bool().Draw(rt, "lossy")
		wo := drawWorld(rt, mixed)
		wo.run(10*time.Second, nil)
		told := map[string]bool{}
		wo.leaving = func(no *world1, _ string) { told[no.id] = true }
		first := wo.pick(rt, "first")
		if lossy {
			wo.lose = [2]string{wo.pick(rt, "from").id, wo.pick(rt, "to").id}
		}
		wo.step(first, WorkerReplied{Worker: "w", Leaving: true})
		if relay := wo.byID[first.relayID]; !mixed && !lossy {
			wo.run(worldStep, nil) // of all instances, only those of the same data centre may have to wait for a heartbeat
			for _, no := range wo.cores {
				must.True(rt, told[no.id] || no.dc == first.dc, must.Sprintf("%s was not told at once by %s", no.id, relay.id))
			}
		}
		wo.run(3*time.Second-2*worldStep, nil)
		for _, no := range wo.cores {
			must.True(rt, told[no.id], must.Sprintf("%s was not told within 3 s what %s found", no.id, first.id))
		}
	})
}

// Guards against a relay that keeps sessions with more instances than the design page says, and against two relays of one
// data centre for good.
func TestSessionsWithRelays(t *testing.T) {
	wo := newWorld([]int{3, 3, 3, 3}, []int{1}, func() int { return 0 })
	wo.run(10*time.Second, nil)
	relays := 0
	for _, no := range wo.cores {
		want := 2
		if no.Role().IsRelay {
			want, relays = 2+3, relays+1
		}
		must.MapLen(t, want, no.wants, must.Sprintf("%s: %v", no.id, no.wants))
		must.True(t, no.Role().UsesRelays)
	}
	must.Eq(t, 4, relays)
}

// Guards against an older report that replaces a newer one, and against a report that changes what this instance hears
// directly.
func TestReportsMerge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		co := New(Settings{Instance: "a", DataCentre: "kandla", Address: "a:1", MeshInstances: 1})
		now := start.Add(time.Hour)
		newest, direct := time.Time{}, time.Time{}
		want := -1
		for i := range rapid.IntRange(1, 30).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(rt, "millis")) * time.Millisecond)
			if rapid.IntRange(0, 5).Draw(rt, "own") == 0 {
				co.Step(now, HeartbeatReceived{Instance: "b", DataCentre: "navlakhi", Address: "b:1", Details: i}, nil)
				newest, direct, want = now, now, i
			} else {
				age := time.Duration(rapid.IntRange(0, 5000).Draw(rt, "age")) * time.Millisecond
				st := rapid.SampledFrom([]State{Live, Suspect, Leaving, Gone}).Draw(rt, "state")
				before := stateOf(co, "b")
				heard := !direct.IsZero() && now.Sub(direct) < 3*time.Second
				co.Step(now, SummaryReceived{Summary{DataCentre: "navlakhi", Relay: "r", Members: []Report{
					{Instance: "b", Address: "b:1", State: st, Age: age, Details: i},
				}}}, nil)
				if at := now.Add(-age); at.After(newest) {
					newest = at
					if !heard && (want >= 0 || st != Gone) {
						want = i
					}
					if want < 0 {
						newest = time.Time{}
					}
				}
				if heard {
					must.Eq(rt, before, stateOf(co, "b"))
				}
			}
			if it := co.instances["b"]; it != nil {
				must.Eq(rt, any(want), it.details)
			}
		}
	})
}

// Guards against an instance that stays without data centre and address because it only replies to heartbeats: one that
// uses relays sends none to those elsewhere that do not. Instances in full mesh then never counted it and stayed so.
func TestReportsAddToReplies(t *testing.T) {
	co := New(Settings{Instance: "a", DataCentre: "kandla", Address: "a:1", MeshInstances: 2})
	co.Step(start, SessionUp{"b"}, nil)
	co.Step(start, PeerReplied{Instance: "b", UsesRelays: true}, nil)
	co.Step(start, heartbeat("c"), nil)
	must.False(t, co.Role().UsesRelays)
	co.Step(start.Add(time.Second), PeerReplied{Instance: "b", UsesRelays: true}, nil)
	co.Step(start.Add(time.Second), SummaryReceived{Summary{DataCentre: "navlakhi", Relay: "r", Members: []Report{
		{Instance: "b", Address: "b:1", State: Live, Age: 500 * time.Millisecond, Details: 1},
	}}}, nil)
	must.Eq(t, Live, stateOf(co, "b"))
	must.True(t, co.Role().UsesRelays)
}

// Guards against a summary that loses what other parts of the instance add to heartbeats, or the age of a report.
func TestSummariesCarryDetails(t *testing.T) {
	co := New(Settings{Instance: "a", DataCentre: "kandla", Address: "a:1", MeshInstances: 1})
	co.Step(start, HeartbeatReceived{
		Instance: "b", DataCentre: "kandla", Address: "b:1", CallerAddress: "b:2", LeavingWorkers: []string{"w"}, Details: 7,
	}, nil)
	cmds := co.Step(start, SummaryReceived{Summary{DataCentre: "navlakhi", Relay: "r", Members: []Report{
		{Instance: "c", Address: "c:1", State: Leaving, Age: time.Second, LeavingWorkers: []string{"v"}, Details: 8, CallerAddress: "c:2"},
	}}}, nil)
	must.SliceContains(t, cmds, Command(ReportApplied{"c", "navlakhi", time.Second, 8}))
	must.Eq(t, []string{"v"}, leavingOf(cmds))
	co.Step(start.Add(2*time.Second), Tick{}, nil)
	own := co.ownSummary().Members
	must.Eq(t, Report{"b", "b:1", Live, 2 * time.Second, []string{"w"}, 7, "b:2"}, own[slices.IndexFunc(own, func(re Report) bool { return re.Instance == "b" })])
	must.Eq(t, []Summary{{"navlakhi", "a", []Report{{"c", "c:1", Leaving, 3 * time.Second, []string{"v"}, 8, "c:2"}}}}, co.farSummaries())
}
