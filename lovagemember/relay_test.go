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

// cluster runs several cores in virtual time. Messages and dials take no time. A stopped node either does not answer or
// refuses connections.
type cluster struct {
	now               time.Time
	nodes             []*node
	nodesByID         map[string]*node
	platformList      ListRead
	isCut             func(a, b *node) bool // whether messages between two nodes are lost, in both directions
	dropNext          [2]string             // sender and receiver whose next heartbeat is lost
	pendingHeartbeats []func()
	onLeaving         func(no *node, worker string)
}

type node struct {
	*Core
	id, dataCentre string
	running        bool
	refusesDials   bool // refuses connections while it is not running
	heartbeatPhase int  // step within a second at which it sends heartbeats
	meshInstances  int
	sessions       map[string]bool // requested sessions, by instance ID
}

const clusterStep = 100 * time.Millisecond

func newCluster(sizes, meshLimits []int, phase func() int) *cluster {
	cl := &cluster{now: startTime, nodesByID: map[string]*node{}, isCut: func(_, _ *node) bool { return false }}
	for d, n := range sizes {
		for i := range n {
			no := &node{id: fmt.Sprintf("d%d-%d", d, i), dataCentre: fmt.Sprintf("d%d", d), heartbeatPhase: phase()}
			no.meshInstances = meshLimits[len(cl.nodes)%len(meshLimits)]
			cl.nodes = append(cl.nodes, no)
			cl.nodesByID[no.id] = no
			cl.platformList.Instances = append(cl.platformList.Instances, lovageplatform.Instance{
				ID: no.id, DataCentre: no.dataCentre, Kind: lovageplatform.KindEntry, Address: no.id + ":1",
				State: lovageplatform.StateLive,
			})
		}
	}
	for _, no := range cl.nodes {
		cl.start(no)
	}
	return cl
}

func (cl *cluster) start(no *node) {
	no.Core = New(Settings{Instance: no.id, DataCentre: no.dataCentre, Address: no.id + ":1", MeshInstances: no.meshInstances})
	no.running, no.sessions = true, map[string]bool{}
	cl.deliver(no, PoolsChanged{[]DeclaredWorker{{Worker: "w"}}})
	cl.deliver(no, cl.platformList)
}

func (cl *cluster) deliver(no *node, ev Event) {
	for _, cmd := range no.Step(cl.now, ev, nil) {
		switch cmd := cmd.(type) {
		case DialPeer:
			no.sessions[cmd.Instance] = true
		case DropPeer:
			delete(no.sessions, cmd.Instance)
		case ReleasePeer:
			delete(no.sessions, cmd.Instance)
		case WorkerLeaving:
			if cl.onLeaving != nil {
				cl.onLeaving(no, cmd.Worker)
			}
		case SendHeartbeats:
			for _, id := range cmd.Instances {
				cl.pendingHeartbeats = append(cl.pendingHeartbeats, func() { cl.heartbeat(no, cl.nodesByID[id]) })
			}
		}
	}
}

func (cl *cluster) heartbeat(no, to *node) {
	if !no.running || cl.isCut(no, to) || !to.running && !to.refusesDials {
		return
	}
	if cl.dropNext == [2]string{no.id, to.id} {
		cl.dropNext = [2]string{}
		return
	}
	if !to.running {
		cl.deliver(no, SessionDown{Instance: to.id, Refused: true})
		return
	}
	hb := HeartbeatReceived{
		Instance: no.id, DataCentre: no.dataCentre, Address: no.id + ":1", LeavingWorkers: no.LeavingWorkers(),
		KnownPeers: no.KnownPeers(), UsesRelays: no.Role().UsesRelays,
	}
	summaries := no.Summaries(no.SummaryScopeFor(to.id))
	cl.deliver(to, hb)
	for _, su := range summaries {
		cl.deliver(to, SummaryReceived{su})
	}
	cl.deliver(no, PeerReplied{to.id, to.Role().UsesRelays})
	cl.deliver(no, LeavingWorkersReceived{From: to.id, Workers: to.LeavingWorkers()})
	if len(summaries) > 0 && to.RepliesWithSummary(no.id) {
		cl.deliver(no, SummaryReceived{to.localSummary()})
	}
}

// advance moves the time forward in steps and calls check, if any, after each.
func (cl *cluster) advance(d time.Duration, check func()) {
	for range d / clusterStep {
		cl.now = cl.now.Add(clusterStep)
		for _, no := range cl.nodes {
			if !no.running {
				continue
			}
			cl.deliver(no, Tick{})
			if int(cl.now.Sub(startTime)/clusterStep)%10 != no.heartbeatPhase {
				continue
			}
			for _, to := range cl.nodes {
				if no.sessions[to.id] {
					cl.heartbeat(no, to)
				}
			}
		}
		for len(cl.pendingHeartbeats) > 0 {
			next := cl.pendingHeartbeats[0]
			cl.pendingHeartbeats = cl.pendingHeartbeats[1:]
			next()
		}
		if check != nil {
			check()
		}
	}
}

// drawCluster draws a deployment that uses relays; in a mixed deployment, some instances do not.
func drawCluster(rt *rapid.T, mixed bool) *cluster {
	sizes := rapid.SliceOfN(rapid.IntRange(1, 4), 2, 4).Draw(rt, "sizes")
	meshLimits := []int{1}
	if mixed {
		meshLimits = rapid.SliceOfN(rapid.SampledFrom([]int{1, 100}), 1, 5).Draw(rt, "mesh")
	}
	return newCluster(sizes, meshLimits, func() int { return rapid.IntRange(0, 9).Draw(rt, "phase") })
}

// drawNode draws a node.
func (cl *cluster) drawNode(rt *rapid.T, name string) *node {
	return cl.nodes[rapid.IntRange(0, len(cl.nodes)-1).Draw(rt, name)]
}

// requireViews requires that each running instance sees the running ones as Live and the others as Gone, Unheard or not at all.
func (cl *cluster) requireViews(rt *rapid.T, when string) {
	for _, no := range cl.nodes {
		for _, other := range cl.nodes {
			st := stateOf(no.Core, other.id)
			if no.running && (other.running && st != Live || !other.running && st != Gone && st != "" && st != Unheard) {
				rt.Fatalf("%s: %s sees %s as %q, running: %v", when, no.id, other.id, st, other.running)
			}
		}
	}
}

// TestViewsConvergeWithRelays checks that instances do not disagree permanently or suspect each other without a fault.
// Instances and relays stop, restart and lose contact; some or all use relays.
func TestViewsConvergeWithRelays(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cl := drawCluster(rt, rapid.Bool().Draw(rt, "mixed"))
		cl.advance(5*time.Second, nil)
		// A single lost heartbeat must not make the state of an instance Suspect.
		cl.dropNext = [2]string{cl.drawNode(rt, "from").id, cl.drawNode(rt, "to").id}
		cl.advance(5*time.Second, func() { cl.requireViews(rt, "before any fault") })
		cuts := map[[2]string]bool{}
		cl.isCut = func(a, b *node) bool {
			return cuts[[2]string{a.id, b.id}] || cuts[[2]string{b.id, a.id}] ||
				cuts[[2]string{a.dataCentre, b.dataCentre}] || cuts[[2]string{b.dataCentre, a.dataCentre}]
		}
		for range rapid.IntRange(1, 8).Draw(rt, "faults") {
			a, b := cl.drawNode(rt, "a"), cl.drawNode(rt, "b")
			switch rapid.IntRange(0, 4).Draw(rt, "fault") {
			case 0:
				a.running, a.refusesDials = false, rapid.Bool().Draw(rt, "refuses")
			case 1:
				if relay := cl.nodesByID[a.relayID]; relay != nil {
					relay.running, relay.refusesDials = false, rapid.Bool().Draw(rt, "refuses")
				}
			case 2:
				if !a.running {
					cl.start(a)
				}
			case 3:
				cuts[[2]string{a.id, b.id}] = true
			default:
				if a.dataCentre != b.dataCentre {
					cuts[[2]string{a.dataCentre, b.dataCentre}] = true
				}
			}
			cl.advance(time.Duration(rapid.IntRange(0, 12).Draw(rt, "seconds"))*time.Second, nil)
		}
		clear(cuts)
		for _, no := range cl.nodes { // the list lags: it still shows stopped instances
			if no.running {
				cl.deliver(no, cl.platformList)
			}
		}
		cl.advance(20*time.Second, nil)
		cl.advance(3*time.Second, func() { cl.requireViews(rt, "after the faults") })
	})
}

// TestFailureDetectionTime checks that the instances see a stopped one as no longer live after 3 s and as gone after 6 s, in
// other data centres after 5 s and 8 s, also if its relay stops too. No running instance may be seen as gone.
func TestFailureDetectionTime(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cl := drawCluster(rt, false)
		cl.advance(10*time.Second+time.Duration(rapid.IntRange(0, 9).Draw(rt, "offset"))*clusterStep, nil)
		ended := map[string]bool{}
		stop := func(no *node) { no.running, ended[no.id] = false, true }
		failed := cl.drawNode(rt, "dead")
		if rapid.Bool().Draw(rt, "relayToo") {
			stop(cl.nodesByID[failed.relayID])
		}
		stop(failed)
		at := cl.now
		cl.advance(12*time.Second, func() {
			for _, no := range cl.nodes {
				if !no.running {
					continue
				}
				for _, other := range cl.nodes {
					st, took := stateOf(no.Core, other.id), cl.now.Sub(at)
					suspect, gone := 3*time.Second, 6*time.Second
					if other.dataCentre != no.dataCentre {
						suspect, gone = 5*time.Second, 8*time.Second
					}
					switch {
					case ended[other.id] && (took >= suspect && st == Live || took >= gone && st != Gone):
						rt.Fatalf("%s sees %s as %q %s after it stopped", no.id, other.id, st, took)
					case !ended[other.id] && st == Gone:
						rt.Fatalf("%s sees %s as gone %s after the stop of %v", no.id, other.id, took, ended)
					}
				}
			}
		})
	})
}

// TestLeavingWorkerPropagatesThroughRelaysIn3s checks that every instance stops using a leaving worker within 3 s, with
// or without relays on the path, also when one message is lost.
func TestLeavingWorkerPropagatesThroughRelaysIn3s(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		mixed, lossy := rapid.Bool().Draw(rt, "mixed"), rapid.Bool().Draw(rt, "lossy")
		cl := drawCluster(rt, mixed)
		cl.advance(10*time.Second, nil)
		notified := map[string]bool{}
		cl.onLeaving = func(no *node, _ string) { notified[no.id] = true }
		first := cl.drawNode(rt, "first")
		if lossy {
			cl.dropNext = [2]string{cl.drawNode(rt, "from").id, cl.drawNode(rt, "to").id}
		}
		cl.deliver(first, WorkerReplied{Worker: "w", Leaving: true})
		if relay := cl.nodesByID[first.relayID]; !mixed && !lossy {
			cl.advance(clusterStep, nil) // relays inform other data centres in this step; those in first's may wait for a heartbeat
			for _, no := range cl.nodes {
				must.True(rt, notified[no.id] || no.dataCentre == first.dataCentre,
					must.Sprintf("%s was not notified at once by %s", no.id, relay.id))
			}
		}
		cl.advance(3*time.Second-2*clusterStep, nil)
		for _, no := range cl.nodes {
			must.True(rt, notified[no.id], must.Sprintf("%s was not notified within 3 s of what %s found", no.id, first.id))
		}
	})
}

// TestSessionsWithRelays checks that instances have sessions with the others of their data centre, relays also with the other
// relays, and that each data centre ends up with one relay.
func TestSessionsWithRelays(t *testing.T) {
	cl := newCluster([]int{3, 3, 3, 3}, []int{1}, func() int { return 0 })
	cl.advance(10*time.Second, nil)
	relays := 0
	for _, no := range cl.nodes {
		want := 2
		if no.Role().IsRelay {
			want, relays = 2+3, relays+1
		}
		must.MapLen(t, want, no.sessions, must.Sprintf("%s: %v", no.id, no.sessions))
		must.True(t, no.Role().UsesRelays)
	}
	must.Eq(t, 4, relays)
}

// TestReportsMerge checks that an older report does not replace a newer one and that a report does not override direct
// contact.
func TestReportsMerge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		co := New(Settings{Instance: "a", DataCentre: "kandla", Address: "a:1", MeshInstances: 1})
		now := startTime.Add(time.Hour)
		newest, direct := time.Time{}, time.Time{}
		want := -1
		for i := range rapid.IntRange(1, 30).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(rt, "millis")) * time.Millisecond)
			if rapid.IntRange(0, 5).Draw(rt, "own") == 0 {
				stepAfterTicks(co, now, HeartbeatReceived{Instance: "b", DataCentre: "navlakhi", Address: "b:1", Details: i})
				newest, direct, want = now, now, i
			} else {
				age := time.Duration(rapid.IntRange(0, 5000).Draw(rt, "age")) * time.Millisecond
				st := rapid.SampledFrom([]State{Live, Suspect, Leaving, Gone}).Draw(rt, "state")
				before := stateOf(co, "b")
				heard := !direct.IsZero() && now.Sub(direct) < 3*time.Second
				stepAfterTicks(co, now, SummaryReceived{Summary{DataCentre: "navlakhi", Relay: "r", Members: []Report{
					{Instance: "b", Address: "b:1", State: st, Age: age, Details: i},
				}}})
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

// TestReportCompletesRepliedPeer guards against a peer whose data centre and address stay unknown. A peer that uses
// relays only replies to the heartbeats of full-mesh instances in other data centres, and a reply names neither. These
// instances then never counted the peer and never switched to relays.
func TestReportCompletesRepliedPeer(t *testing.T) {
	co := New(Settings{Instance: "a", DataCentre: "kandla", Address: "a:1", MeshInstances: 2})
	co.Step(startTime, SessionUp{"b"}, nil)
	co.Step(startTime, PeerReplied{Instance: "b", UsesRelays: true}, nil)
	co.Step(startTime, heartbeatFrom("c"), nil)
	must.False(t, co.Role().UsesRelays)
	co.Step(startTime.Add(time.Second), PeerReplied{Instance: "b", UsesRelays: true}, nil)
	co.Step(startTime.Add(time.Second), SummaryReceived{Summary{DataCentre: "navlakhi", Relay: "r", Members: []Report{
		{Instance: "b", Address: "b:1", State: Live, Age: 500 * time.Millisecond, Details: 1},
	}}}, nil)
	must.Eq(t, Live, stateOf(co, "b"))
	must.True(t, co.Role().UsesRelays)
}

// TestSummariesCarryDetails checks that a summary keeps the details that other packages add to heartbeats, and the age of
// each report.
func TestSummariesCarryDetails(t *testing.T) {
	co := New(Settings{Instance: "a", DataCentre: "kandla", Address: "a:1", MeshInstances: 1})
	co.Step(startTime, HeartbeatReceived{
		Instance: "b", DataCentre: "kandla", Address: "b:1", CallerAddress: "b:2", LeavingWorkers: []string{"w"}, Details: 7,
	}, nil)
	cmds := co.Step(startTime, SummaryReceived{Summary{DataCentre: "navlakhi", Relay: "r", Members: []Report{
		{
			Instance: "c", Address: "c:1", State: Leaving, Age: time.Second, LeavingWorkers: []string{"v"}, Details: 8,
			CallerAddress: "c:2",
		},
	}}}, nil)
	must.SliceContains(t, cmds, Command(ReportApplied{"c", "navlakhi", time.Second, 8}))
	must.Eq(t, []string{"v"}, leavingWorkersIn(cmds))
	stepAfterTicks(co, startTime.Add(2*time.Second), Tick{})
	own := co.localSummary().Members
	must.Eq(t, Report{"b", "b:1", Live, 2 * time.Second, []string{"w"}, 7, "b:2"},
		own[slices.IndexFunc(own, func(re Report) bool { return re.Instance == "b" })])
	must.Eq(t, []Summary{{"navlakhi", "a", []Report{
		{"c", "c:1", Leaving, 3 * time.Second, []string{"v"}, 8, "c:2"},
	}}}, co.remoteSummaries())
}
