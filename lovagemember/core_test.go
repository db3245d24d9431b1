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

var startTime = time.Unix(1_796_000_000, 0)

func listedInstance(id string) lovageplatform.Instance {
	return lovageplatform.Instance{
		ID: id, DataCentre: "kandla", Kind: lovageplatform.KindEntry, Address: id + ":1", State: lovageplatform.StateLive,
	}
}

func listedWorker(id, state string) lovageplatform.Instance {
	return lovageplatform.Instance{
		ID: id, DataCentre: "kandla", Kind: lovageplatform.KindWorker, Address: id + ":1", State: state,
	}
}

func heartbeatFrom(id string) HeartbeatReceived {
	return HeartbeatReceived{Instance: id, DataCentre: "kandla", Address: id + ":1"}
}

func newCore(id string) *Core {
	return New(Settings{Instance: id, DataCentre: "kandla", Address: id + ":1"})
}

// stepAfterTicks applies the event after the ticks that the program sends until then.
func stepAfterTicks(co *Core, now time.Time, ev Event) (out []Command) {
	for at := co.lastStepAt; !at.IsZero() && at.Before(now); at = at.Add(500 * time.Millisecond) {
		out = co.Step(at, Tick{}, out)
	}
	return co.Step(now, ev, out)
}

func stateOf(co *Core, id string) State {
	for _, da := range co.memberView() {
		for _, me := range da.Members {
			if me.Instance == id {
				return me.State
			}
		}
	}
	return ""
}

func leavingWorkersIn(cmds []Command) []string {
	var out []string
	for _, cmd := range cmds {
		if le, ok := cmd.(WorkerLeaving); ok {
			out = append(out, le.Worker)
		}
	}
	return out
}

// TestPeerState checks the state of a peer after events and silence: a running peer must keep its slots, a gone one lose them.
func TestPeerState(t *testing.T) {
	type step struct {
		after time.Duration
		ev    Event
		want  State
	}
	for name, steps := range map[string][]step{
		"listed only": {
			{0, ListRead{[]lovageplatform.Instance{listedInstance("b")}}, Unheard}, {time.Hour, Tick{}, Unheard},
		},
		"named by a peer": {
			{0, HeartbeatReceived{Instance: "c", KnownPeers: []Peer{{Instance: "b", DataCentre: "kandla"}}}, Unheard},
		},
		"silent": {
			{0, heartbeatFrom("b"), Live},
			{2999 * time.Millisecond, Tick{}, Live},
			{time.Millisecond, Tick{}, Suspect},
			{2999 * time.Millisecond, Tick{}, Suspect},
			{time.Millisecond, Tick{}, Gone},
			{0, heartbeatFrom("b"), Live},
		},
		"traffic": {
			{0, heartbeatFrom("b"), Live}, {5 * time.Second, PeerReplied{Instance: "b"}, Live}, {2 * time.Second, Tick{}, Live},
		},
		"list outage": {
			{0, ListRead{[]lovageplatform.Instance{listedInstance("b")}}, Unheard},
			{0, heartbeatFrom("b"), Live},
			{time.Hour, Tick{}, Gone},
			{0, SessionUp{"b"}, Live},
		},
		"refused": {
			{0, heartbeatFrom("b"), Live},
			{0, SessionDown{Instance: "b"}, Live},
			{0, SessionDown{"b", true}, Suspect},
			{time.Second, Tick{}, Gone},
			{0, SessionUp{"b"}, Live},
		},
		"leaving": {
			{0, HeartbeatReceived{Instance: "b", DataCentre: "kandla", Leaving: true}, Leaving}, {0, heartbeatFrom("b"), Live},
		},
		"leaving by list": {
			{0, heartbeatFrom("b"), Live},
			{0, ListRead{[]lovageplatform.Instance{{ID: "b", Kind: "entry", State: "leaving"}}}, Leaving},
		},
		"missing from list": {{0, heartbeatFrom("b"), Live}, {0, ListRead{}, Live}},
	} {
		t.Run(name, func(t *testing.T) {
			co, now := newCore("a"), startTime
			for i, st := range steps {
				now = now.Add(st.after)
				stepAfterTicks(co, now, st.ev)
				must.Eq(t, st.want, stateOf(co, "b"), must.Sprintf("step %d", i))
			}
		})
	}
}

// TestLeavingMarkIsSticky checks that a lagging list does not clear a worker's leaving mark and that a new registration does.
func TestLeavingMarkIsSticky(t *testing.T) {
	live := ListRead{[]lovageplatform.Instance{listedWorker("w", lovageplatform.StateLive)}}
	for name, tc := range map[string]struct {
		before, after []Event
		want          State
	}{
		"lagging list says live":      {[]Event{live}, []Event{live, live}, Leaving},
		"registered again":            {[]Event{live}, []Event{live, ListRead{}, live}, Live},
		"first listed after the mark": {nil, []Event{ListRead{}, live}, Leaving},
		"listed, missing and back":    {nil, []Event{live, ListRead{}, live}, Live},
		"missing, back as leaving": {
			[]Event{live}, []Event{ListRead{}, ListRead{[]lovageplatform.Instance{listedWorker("w", "leaving")}}, live}, Leaving,
		},
		"pool declared again": {
			[]Event{live}, []Event{PoolsChanged{}, PoolsChanged{[]DeclaredWorker{{Worker: "w"}}}}, Leaving,
		},
		"a peer repeats it after a new registration": {
			[]Event{live, LeavingWorkersReceived{"b", []string{"w"}}},
			[]Event{ListRead{}, live, LeavingWorkersReceived{"b", []string{"w"}}},
			Live,
		},
		"a peer newly reports it": {
			[]Event{live}, []Event{ListRead{}, live, LeavingWorkersReceived{"b", []string{"w"}}}, Leaving,
		},
	} {
		t.Run(name, func(t *testing.T) {
			co := newCore("a")
			co.Step(startTime, PoolsChanged{[]DeclaredWorker{{Worker: "w"}}}, nil)
			for _, ev := range tc.before {
				co.Step(startTime, ev, nil)
			}
			co.Step(startTime, WorkerReplied{Worker: "w", Leaving: true}, nil)
			for _, ev := range tc.after {
				co.Step(startTime, ev, nil)
			}
			view := co.workerView()
			for i := range view { // these depend on whether the list names the worker; see TestWorkerAddressFromList
				view[i].DataCentre, view[i].Address = "", ""
			}
			must.Eq(t, []Worker{{Worker: "w", State: tc.want}}, view)
		})
	}
}

// TestLeavingMarkOutlivesItsSource checks that a leaving mark outlives the instance that set it. Otherwise an instance that
// starts later gives the worker tasks until the worker's own reply marks it.
func TestLeavingMarkOutlivesItsSource(t *testing.T) {
	for name, tc := range map[string]struct {
		ended Event
		want  []string
	}{
		"source is live": {Tick{}, nil},
		"source is leaving": {
			HeartbeatReceived{Instance: "b", DataCentre: "kandla", Leaving: true, LeavingWorkers: []string{"w"}}, []string{"w"},
		},
		"source is refused": {SessionDown{"b", true}, []string{"w"}},
	} {
		t.Run(name, func(t *testing.T) {
			co := newCore("a")
			co.Step(startTime, HeartbeatReceived{Instance: "b", DataCentre: "kandla", LeavingWorkers: []string{"w"}}, nil)
			co.Step(startTime, tc.ended, nil)
			must.Eq(t, tc.want, co.LeavingWorkers())
		})
	}
}

// TestWorkerAddressFromList checks that a worker whose pool names no address gets the one of the list, and that the
// change is announced once.
func TestWorkerAddressFromList(t *testing.T) {
	co := newCore("a")
	co.Step(startTime, PoolsChanged{[]DeclaredWorker{{Worker: "v", DataCentre: "kandla", Address: "v:9"}, {Worker: "w"}}}, nil)
	list := ListRead{[]lovageplatform.Instance{listedWorker("v", "live"), listedWorker("w", "live"), listedWorker("x", "live")}}
	must.Eq(t, []Command{WorkersChanged{[]Worker{
		{Worker: "v", DataCentre: "kandla", Address: "v:9", State: Live},
		{Worker: "w", DataCentre: "kandla", Address: "w:1", State: Live},
	}}}, co.Step(startTime, list, nil))
	must.SliceEmpty(t, co.Step(startTime, list, nil))
}

// TestDialling checks that each session is requested, requested only once, and dropped when it is no longer needed.
func TestDialling(t *testing.T) {
	co := newCore("a")
	moved := listedInstance("b")
	moved.Address = "b:2"
	must.SliceContains(t,
		co.Step(startTime, ListRead{[]lovageplatform.Instance{listedInstance("a"), listedInstance("b")}}, nil),
		Command(DialPeer{"b", "b:1"}))
	must.SliceEmpty(t, co.Step(startTime, ListRead{[]lovageplatform.Instance{listedInstance("a"), listedInstance("b")}}, nil))
	cmds := co.Step(startTime, ListRead{[]lovageplatform.Instance{moved}}, nil)
	must.SliceContains(t, cmds, Command(DropPeer{"b", "b:1"}))
	must.SliceContains(t, cmds, Command(DialPeer{"b", "b:2"}))
	co.Step(startTime, ListRead{}, nil)
	must.SliceContains(t, stepAfterTicks(co, startTime.Add(time.Minute), Tick{}), Command(DropPeer{"b", "b:2"}))
	must.Eq(t, "", string(stateOf(co, "b")))
}

// TestKnownPeers checks that heartbeats name exactly the instances with which there was contact.
func TestKnownPeers(t *testing.T) {
	co := newCore("a")
	co.Step(startTime, ListRead{[]lovageplatform.Instance{listedInstance("unheard")}}, nil)
	var want []string
	for i := range 10 {
		id := fmt.Sprintf("b%d", i)
		co.Step(startTime, heartbeatFrom(id), nil)
		want = append(want, id)
	}
	var got []string
	for _, pe := range co.KnownPeers() {
		got = append(got, pe.Instance)
	}
	must.Eq(t, want, got)
}

// TestViewProperties checks that the view is sorted, gives no share to an instance without contact, depends only on the
// events, and equals the last one that was announced.
func TestViewProperties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ids := []string{"a", "b", "c", "d"}
		core, replay := newCore("a"), newCore("a")
		heard := map[string]bool{"a": true}
		now := startTime
		var announced []DataCentre
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "millis")) * time.Millisecond)
			id := rapid.SampledFrom(ids).Draw(rt, "id")
			var ev Event
			switch rapid.IntRange(0, 6).Draw(rt, "event") {
			case 0:
				ev = ListRead{[]lovageplatform.Instance{listedInstance(id), listedWorker(id, "leaving")}}
			case 1:
				hb := heartbeatFrom(id)
				hb.KnownPeers = []Peer{{Instance: rapid.SampledFrom(ids).Draw(rt, "known"), DataCentre: "navlakhi"}}
				hb.LeavingWorkers = []string{"w" + id}
				ev, heard[id] = hb, true
			case 2:
				ev, heard[id] = SessionUp{id}, true
			case 3:
				ev = SessionDown{id, rapid.Bool().Draw(rt, "refused")}
			case 4:
				ev = PoolsChanged{[]DeclaredWorker{{Worker: "w" + id}, {Worker: "wa"}}}
			case 5:
				ev = WorkerReplied{"w" + id, rapid.Bool().Draw(rt, "leaving")}
			default:
				ev = Tick{}
			}
			cmds := core.Step(now, ev, nil)
			if replayed := replay.Step(now, ev, nil); fmt.Sprint(replayed) != fmt.Sprint(cmds) {
				rt.Fatalf("commands differ: %v and %v", cmds, replayed)
			}
			for _, cmd := range cmds {
				if mc, ok := cmd.(MembersChanged); ok {
					announced = mc.DataCentres
				}
			}
			checkView(rt, core.memberView(), announced, heard)
		}
	})
}

func checkView(rt *rapid.T, view, announced []DataCentre, heard map[string]bool) {
	if fmt.Sprint(view) != fmt.Sprint(announced) {
		rt.Fatalf("view is %v, announced was %v", view, announced)
	}
	for _, da := range view {
		live := da.SharingIDs()
		if !slices.IsSorted(live) {
			rt.Fatalf("%s: %v is not sorted", da.Name, live)
		}
		for _, id := range live {
			if !heard[id] {
				rt.Fatalf("%s has a share without any contact", id)
			}
		}
	}
}

// TestLeavingWorkerPropagatesIn3s checks that every instance stops using a leaving worker within 3 s, whichever source
// reports it first, while the list lags or is unreachable.
func TestLeavingWorkerPropagatesIn3s(t *testing.T) {
	const step = 100 * time.Millisecond
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(2, 6).Draw(rt, "instances")
		cores := make([]*Core, n)
		phase := make([]int, n) // step within a second at which an instance sends heartbeats
		notified := make([]bool, n)
		for i := range cores {
			cores[i] = newCore(fmt.Sprintf("i%d", i))
			phase[i] = rapid.IntRange(0, 9).Draw(rt, "phase")
			cores[i].Step(startTime, PoolsChanged{[]DeclaredWorker{{Worker: "w"}}}, nil)
			cores[i].Step(startTime, ListRead{[]lovageplatform.Instance{listedWorker("w", "live")}}, nil)
		}
		first := rapid.IntRange(0, n-1).Draw(rt, "first")
		byList := rapid.Bool().Draw(rt, "byList")
		listWorks := rapid.Bool().Draw(rt, "listWorks")
		for k := range 30 {
			now := startTime.Add(time.Duration(k) * step)
			do := func(i int, ev Event) {
				for _, id := range leavingWorkersIn(cores[i].Step(now, ev, nil)) {
					if id != "w" || notified[i] {
						rt.Fatalf("instance %d: unexpected or repeated WorkerLeaving for %s", i, id)
					}
					notified[i] = true
				}
			}
			if k == 0 && byList {
				do(first, ListRead{[]lovageplatform.Instance{listedWorker("w", "leaving")}})
			} else if k == 0 {
				do(first, WorkerReplied{Worker: "w", Leaving: true})
			}
			for i := range cores {
				do(i, Tick{})
				if listWorks && k%20 == phase[i] { // the lagging list still shows it as live
					do(i, ListRead{[]lovageplatform.Instance{listedWorker("w", "live")}})
				}
				if k%10 != phase[i] {
					continue
				}
				hb := heartbeatFrom(fmt.Sprintf("i%d", i))
				hb.LeavingWorkers = cores[i].LeavingWorkers()
				for j := range cores {
					do(j, hb)
				}
			}
		}
		if slices.Contains(notified, false) {
			rt.Fatalf("notified after 3 s: %v", notified)
		}
	})
}

// Guards against an instance that was late or paused and takes its own silence for that of all peers.
func TestOwnLatenessIsNotSilenceOfPeers(t *testing.T) {
	co, now := newCore("a"), startTime
	co.Step(now, heartbeatFrom("b"), nil)
	co.Step(now, Tick{}, nil)
	now = now.Add(10 * time.Second) // no step in between
	co.Step(now, Tick{}, nil)
	must.Eq(t, Live, stateOf(co, "b"))
	for range 6 * 20 {
		now = now.Add(50 * time.Millisecond)
		co.Step(now, Tick{}, nil)
	}
	must.Eq(t, Gone, stateOf(co, "b"))
}
