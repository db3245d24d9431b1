package lovageadmission

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// serve makes the connection serve a request.
func (tc *testClients) serve(co *Connection, now time.Time) {
	tc.t.Helper()
	must.True(tc.t, co.Read(now, []byte("GET")))
	must.True(tc.t, co.Begin(now))
}

// answer ends the request, and tells whether the connection may stay.
func (tc *testClients) answer(co *Connection, now time.Time) bool {
	co.End(now, false)
	co.Idle(now)
	return co.Dropped() == ReasonNone
}

// Guards against places that go to those who come more often: connections get them in the order in which they have come.
func TestPlacesInOrder(t *testing.T) {
	se := testSettings()
	se.Queue = 2
	tc := newTestClients(t, se)
	var served []*Connection
	for i := range se.Connections {
		co := tc.connect(fmt.Sprint("served ", i), at(0))
		tc.serve(co, at(0))
		must.True(t, co.MayStay())
		served = append(served, co)
	}
	first, second := tc.connect("first", at(10)), tc.connect("second", at(20))
	must.Nil(t, tc.connect("beyond the queue", at(30)))
	must.False(t, served[0].MayStay())
	must.SliceEmpty(t, tc.admitted)

	must.False(t, tc.answer(served[0], at(40)))
	must.Eq(t, ReasonTurn, served[0].Dropped())
	must.Eq(t, []string{"first"}, tc.admitted)
	must.NotNil(t, tc.connect("third", at(50)))
	served[0].Close(at(60))
	must.False(t, tc.answer(served[1], at(70)))
	must.Eq(t, []string{"first", "second"}, tc.admitted)
	tc.serve(first, at(70))
	tc.serve(second, at(70))
	served[1].Close(at(80))
	tc.ac.Sweep(at(60).Add(se.QueueTime))
	must.Eq(t, []string{"third"}, tc.refused)
	must.True(t, tc.answer(served[2], at(2000)))
	must.SliceLen(t, 2, tc.dropped)
}

// Guards against a connection that is refused and still takes part of the queue, or a queue that is longer than its limit.
func TestRefusedConnectionsKeepTheirPartOfTheQueue(t *testing.T) {
	se := testSettings()
	se.Connections, se.Queue = 1, 1
	tc := newTestClients(t, se)
	tc.serve(tc.connect("served", at(0)), at(0))
	waiting := tc.connect("waiting", at(0))
	must.Eq(t, 1, tc.ac.Use().Waiting)
	tc.ac.Sweep(at(0).Add(se.QueueTime))
	must.Eq(t, ReasonQueue, waiting.Dropped())
	must.Nil(t, tc.connect("other", at(2000)))
	done := make(chan struct{})
	go func() {
		defer close(done)
		tc.ac.AwaitQueue(make(chan struct{}))
	}()
	waiting.Close(at(2000))
	<-done
	must.NotNil(t, tc.connect("other", at(2001)))
}

// Guards against clients that do not take their answers and keep their places and their memory.
func TestClientsThatDoNotReadAreDroppedFirst(t *testing.T) {
	tc := newTestClients(t, testSettings())
	stalled := tc.body("stalled", at(0), at(0), 20<<10)
	owing := tc.body("owing", at(0), at(0), 60<<10)
	must.True(t, owing.Received(at(1)))
	must.False(t, tc.body("early", at(0), at(0), 1<<10).Grow(at(1), 0, 30<<10))
	owing.Writing(at(1))
	must.True(t, tc.body("new", at(400), at(400), 1<<10).Reserve(at(501), 30<<10))
	must.Eq(t, []string{"owing"}, tc.dropped)
	must.Eq(t, ReasonNone, stalled.Dropped())
	owing.Written()
	owing.Close(at(502))
}

// Guards against requests that are refused for lack of memory while their headers take it without account.
func TestRefusedHeaderKeepsItsMemory(t *testing.T) {
	se := testSettings()
	se.BodyBytes, se.SmallBytes = 5<<10, 1<<10
	tc := newTestClients(t, se)
	refused := tc.connect("refused", at(0))
	must.True(t, refused.Read(at(0), make([]byte, 9<<10)))
	must.False(t, refused.Begin(at(1)))
	must.False(t, tc.connect("other", at(2)).Read(at(2), make([]byte, 3<<10)))
	refused.Shrink(0)
	must.True(t, tc.connect("third", at(3)).Read(at(3), make([]byte, 3<<10)))
}

// Guards against headers of many lines, whose garbage comes faster than it is collected, and against a limit that requests one behind the other reach.
func TestHeaderLines(t *testing.T) {
	tc := newTestClients(t, DefaultSettings(144, 3075))
	co := tc.connect("pipeline", at(0))
	for range 10 {
		must.True(t, co.Read(at(0), []byte(strings.Repeat("GET / HTTP/1.1\r\nHost:a\r\n\r\n", (4<<10)/27))))
		must.True(t, co.Begin(at(0)))
		co.End(at(0), false)
		co.Idle(at(0))
	}
	many := tc.connect("many lines", at(0))
	must.True(t, many.Read(at(0), []byte(strings.Repeat("a:\r\n", 512))))
	must.False(t, many.Read(at(0), []byte("a:\r\n")))
	must.Eq(t, ReasonLines, many.Dropped())
}

// Guards against large bodies that take the part of the small ones while little of them has arrived.
func TestAnnouncedBodiesAreLargeFromTheStart(t *testing.T) {
	se := testSettings()
	se.Connections = 30
	tc := newTestClients(t, se)
	refused := 0
	for range 22 {
		co := tc.connect("large", at(0))
		must.True(t, co.Begin(at(0)))
		co.StartBody(at(0), 50<<10)
		if !co.Grow(at(0), 4<<10, 4<<10) {
			refused++
		}
	}
	must.Eq(t, 2, refused)
	must.True(t, tc.body("small", at(0), at(0), 8<<10).Received(at(1)))
}

// Guards against an answer that has no room and ends its request.
func TestReserve(t *testing.T) {
	tc := newTestClients(t, testSettings())
	co := tc.body("client", at(0), at(0), 20<<10)
	must.True(t, co.Received(at(1)))
	must.False(t, co.Reserve(at(2), 90<<10))
	must.Eq(t, ReasonNone, co.Dropped())
	must.True(t, co.Reserve(at(2), 50<<10))
	must.Eq(t, int64(70<<10), tc.ac.Use().BodyBytes)
	co.End(at(3), false)
	co.Idle(at(4))
	must.Eq(t, int64(0), tc.ac.Use().BodyBytes)
}

// crowdPlay plays a crowd that sends one request behind the other and connects again when it is closed, and ordinary callers, against an
// account. A request takes requestTime, and some are served at once. Connections for which there is no room in the queue wait in the kernel, in
// their order, up to a limit; others try again, those of the crowd at once.
type crowdPlay struct {
	ac      *Account
	now     time.Time
	events  playEvents
	backlog []*playClient
	order   int // of events at one time
	rnd     *rand.Rand
}

type playClient struct {
	play     *crowdPlay
	ordinary bool
	co       *Connection
	served   bool
	refused  bool
	tries    int
}

type playEvent struct {
	at    time.Time
	order int
	run   func()
}

type playEvents []playEvent

func (pe playEvents) Len() int { return len(pe) }
func (pe playEvents) Less(i, j int) bool {
	if !pe[i].at.Equal(pe[j].at) {
		return pe[i].at.Before(pe[j].at)
	}
	return pe[i].order < pe[j].order
}
func (pe playEvents) Swap(i, j int) { pe[i], pe[j] = pe[j], pe[i] }
func (pe *playEvents) Push(x any)   { *pe = append(*pe, x.(playEvent)) }
func (pe *playEvents) Pop() any {
	last := len(*pe) - 1
	ev := (*pe)[last]
	*pe = (*pe)[:last]
	return ev
}

const (
	// Times vary by half.
	playRequestTime = 100 * time.Millisecond
	playBacklog     = 100
	playKnock       = time.Millisecond // after which a client of the crowd connects again
	playOpening     = time.Second      // after which a dropped opening packet is sent again
	playMaxTries    = 12               // of an ordinary caller
)

func (cp *crowdPlay) vary(d time.Duration) time.Duration {
	return d/2 + time.Duration(cp.rnd.Int64N(int64(d)))
}

func (cp *crowdPlay) after(d time.Duration, run func()) {
	cp.order++
	heap.Push(&cp.events, playEvent{cp.now.Add(d), cp.order, run})
}

func (cp *crowdPlay) run(until time.Time) {
	for len(cp.events) > 0 && cp.events[0].at.Before(until) {
		ev := heap.Pop(&cp.events).(playEvent)
		cp.now = ev.at
		ev.run()
	}
}

func (cp *crowdPlay) sweep() {
	cp.ac.Sweep(cp.now)
	cp.accept()
	cp.after(250*time.Millisecond, cp.sweep)
}

// accept opens connections as the listener does.
func (cp *crowdPlay) accept() {
	for len(cp.backlog) > 0 && len(cp.ac.queue)+cp.ac.numRefused < max(cp.ac.se.Queue, 1) {
		pc := cp.backlog[0]
		cp.backlog = cp.backlog[1:]
		pc.co = cp.ac.NewConnection(pc)
		switch pc.co.Open(cp.now) {
		case PlaceGiven:
			pc.Admit()
		case PlaceRefused:
			pc.Refuse()
		case PlaceAwaited:
		}
	}
}

func (pc *playClient) connect() {
	cp := pc.play
	pc.tries++
	if len(cp.backlog) >= playBacklog {
		cp.after(cp.vary(playOpening), pc.connect)
		return
	}
	cp.backlog = append(cp.backlog, pc)
	cp.accept()
}

func (pc *playClient) Admit() { pc.play.after(0, pc.request) }

func (pc *playClient) Refuse() {
	co := pc.co
	pc.play.after(0, func() {
		co.Close(pc.play.now)
		if pc.refused = true; !pc.ordinary {
			pc.play.after(playKnock, pc.connect)
		}
		pc.play.accept()
	})
}

func (pc *playClient) Drop(bool) {}

func (pc *playClient) request() {
	cp, co := pc.play, pc.co
	if co.Dropped() != ReasonNone || !co.Read(cp.now, []byte("GET")) || !co.Begin(cp.now) {
		pc.closed()
		return
	}
	cp.after(cp.vary(playRequestTime), func() {
		pc.served = true
		co.End(cp.now, false)
		if co.Idle(cp.now); pc.ordinary || co.Dropped() != ReasonNone {
			pc.closed()
			return
		}
		pc.request()
	})
}

func (pc *playClient) closed() {
	pc.co.Close(pc.play.now)
	if !pc.ordinary {
		pc.play.after(playKnock, pc.connect)
	}
	pc.play.accept()
}

// Guards against a crowd that keeps ordinary callers out: each of them is served while the crowd is there.
func TestOrdinaryCallersBesideACrowd(t *testing.T) {
	for _, crowd := range []int{300, 1800, 6000} {
		t.Run(fmt.Sprint(crowd), func(t *testing.T) {
			cp := &crowdPlay{ac: New(DefaultSettings(144, 3075).Share(6, 8)), now: start, rnd: rand.New(rand.NewPCG(42, 0))}
			for i := range crowd {
				pc := &playClient{play: cp}
				cp.after(time.Duration(i)*time.Second/time.Duration(crowd), pc.connect)
			}
			cp.sweep()
			cp.run(at(2000))
			var ordinary []*playClient
			for i := range 75 {
				pc := &playClient{play: cp, ordinary: true}
				ordinary = append(ordinary, pc)
				cp.after(time.Duration(i)*20*time.Millisecond, pc.connect)
			}
			cp.run(at(15_000))
			tries := 0
			for i, pc := range ordinary {
				test.True(t, pc.served, test.Sprintf("ordinary caller %d was not served in %d tries", i, pc.tries))
				test.LessEq(t, playMaxTries, pc.tries)
				tries += pc.tries
			}
			t.Logf("%d tries of %d callers; %d connections, %d waiting", tries, len(ordinary), len(cp.ac.connections), len(cp.ac.queue))
		})
	}
}
