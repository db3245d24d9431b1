package lovageadmission

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// start is the time at which the tests begin.
var start = time.Unix(1_000_000, 0)

// at returns the time some milliseconds after the start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// testSettings has room for 4 connections, of which none waits for a place, and 100 KB of bodies, 20 KB of them for small requests.
func testSettings() Settings {
	se := DefaultSettings(144, 1000)
	se.Connections, se.Queue, se.HeaderBytes, se.BodyBytes, se.SmallBytes, se.SmallRequest = 4, 0, 10<<10, 100<<10, 20<<10, 8<<10
	return se
}

// testClients opens connections that note in dropped which were dropped.
type testClients struct {
	t                          *testing.T
	ac                         *Account
	dropped, admitted, refused []string
	open                       []*Connection
}

func newTestClients(t *testing.T, se Settings) *testClients {
	tc := &testClients{t: t, ac: New(se)}
	t.Cleanup(func() {
		for _, co := range tc.open {
			co.Close(at(1_000_000))
		}
		us := tc.ac.Use()
		test.Eq(t, 0, us.Connections)
		test.Eq(t, 0, us.HeaderBytes)
		test.Eq(t, 0, us.BodyBytes)
		test.Eq(t, 0, tc.ac.largeBytes)
		test.Eq(t, 0, tc.ac.numDropped)
	})
	return tc
}

// testClient notes what it is told of its connection.
type testClient struct {
	tc   *testClients
	name string
}

func (cl *testClient) Admit()    { cl.tc.admitted = append(cl.tc.admitted, cl.name) }
func (cl *testClient) Refuse()   { cl.tc.refused = append(cl.tc.refused, cl.name) }
func (cl *testClient) Drop(bool) { cl.tc.dropped = append(cl.tc.dropped, cl.name) }

func (tc *testClients) connect(name string, now time.Time) *Connection {
	co := tc.ac.NewConnection(&testClient{tc, name})
	if co.Open(now) == PlaceRefused {
		return nil
	}
	tc.open = append(tc.open, co)
	return co
}

// body starts a body of which n bytes have arrived by the time now.
func (tc *testClients) body(name string, since, now time.Time, n int64) *Connection {
	tc.t.Helper()
	co := tc.connect(name, since)
	must.NotNil(tc.t, co)
	must.True(tc.t, co.Begin(since))
	co.StartBody(since, 0)
	must.True(tc.t, co.Grow(now, n, n), must.Sprint(name))
	return co
}

// Guards against an order of drops in which a client that sends is dropped for one that does not.
func TestOrderOfDrops(t *testing.T) {
	t.Run("the slowest stalled body first, then the oldest", func(t *testing.T) {
		tc := newTestClients(t, testSettings())
		tc.body("fast", at(0), at(100), 30<<10)
		tc.body("old", at(0), at(100), 20<<10)
		tc.body("young", at(10), at(110), 20<<10)
		co := tc.body("new", at(900), at(900), 4<<10)
		must.True(t, co.Grow(at(900), 0, 30<<10))
		must.Eq(t, []string{"old", "young"}, tc.dropped)
	})
	t.Run("a body that makes progress is not dropped for one that has just begun", func(t *testing.T) {
		tc := newTestClients(t, testSettings())
		co := tc.body("progress", at(0), at(100), 60<<10)
		must.True(t, co.Grow(at(900), 1<<10, 0))
		other := tc.body("new", at(1000), at(1000), 1<<10)
		must.False(t, other.Grow(at(1000), 0, 60<<10))
		must.SliceEmpty(t, tc.dropped)
		must.Eq(t, ReasonBodies, other.Dropped())
		must.False(t, other.Received(at(1001)))
		must.True(t, co.Received(at(1002)))
	})
	t.Run("a slow body that makes progress is dropped for a much faster one", func(t *testing.T) {
		tc := newTestClients(t, testSettings())
		slow := tc.body("slow", at(0), at(100), 60<<10)
		must.True(t, slow.Grow(at(2900), 1<<10, 0))
		fast := tc.body("fast", at(2900), at(2900), 16<<10)
		must.True(t, fast.Grow(at(3000), 16<<10, 16<<10))
		must.Eq(t, []string{"slow"}, tc.dropped)
	})
	t.Run("a request that is being served is not dropped", func(t *testing.T) {
		tc := newTestClients(t, testSettings())
		must.True(t, tc.body("served", at(0), at(100), 70<<10).Received(at(200)))
		must.False(t, tc.body("new", at(9000), at(9000), 1<<10).Grow(at(9000), 0, 70<<10))
		must.SliceEmpty(t, tc.dropped)
	})
	t.Run("connections that have sent nothing before idle ones", func(t *testing.T) {
		tc := newTestClients(t, testSettings())
		idle := tc.connect("idle", at(0))
		must.True(t, idle.Begin(at(0)))
		idle.End(at(1), false)
		idle.Idle(at(2))
		tc.connect("silent", at(100))
		header := tc.connect("header", at(200))
		must.True(t, header.Read(at(900), []byte("POST")))
		must.NotNil(t, tc.connect("a", at(1000)))
		must.NotNil(t, tc.connect("b", at(1000)))
		must.Eq(t, []string{"silent"}, tc.dropped)
		must.Nil(t, tc.connect("beyond the part for dropped ones", at(1000)))
		tc.open[1].Close(at(1000))
		must.NotNil(t, tc.connect("c", at(1000)))
		must.Eq(t, []string{"silent", "idle"}, tc.dropped)
	})
}

// Guards against large bodies that leave no room for small ones.
func TestSmallRequestsHaveTheirShare(t *testing.T) {
	tc := newTestClients(t, testSettings())
	large := tc.body("large", at(0), at(0), 80<<10)
	must.False(t, tc.body("other", at(0), at(0), 4<<10).Grow(at(0), 0, 8<<10))
	tc.open[1].Close(at(1000))
	must.True(t, tc.body("small", at(0), at(0), 8<<10).Received(at(1)))
	must.True(t, large.Received(at(1)))
}

// Guards against bodies that are never completed and hold their memory.
func TestSlowBodiesEnd(t *testing.T) {
	tc := newTestClients(t, testSettings())
	se := tc.ac.se
	slow := tc.body("slow", at(0), at(0), 1<<10)
	steady := tc.body("steady", at(0), at(0), 1<<10)
	for ms := 500; ms <= 4500; ms += 500 {
		if slow.Dropped() == ReasonNone {
			must.True(t, slow.Grow(at(ms), 100, 0))
		}
		must.True(t, steady.Grow(at(ms), se.MinRate, 0))
		tc.ac.Sweep(at(ms))
	}
	must.Eq(t, []string{"slow"}, tc.dropped)
	must.Eq(t, ReasonRate, slow.Dropped())
	tc.ac.Sweep(start.Add(se.Deadline))
	must.Eq(t, ReasonDeadline, steady.Dropped())
	tc.ac.Sweep(start.Add(2 * se.Deadline))
	must.SliceLen(t, 2, tc.dropped)
}

// Guards against bodies in chunks of a byte, which cost six bytes each, and against a limit that clients with small chunks reach.
func TestOverheadOfChunks(t *testing.T) {
	for _, tt := range []struct {
		chunk, size int64
		want        bool
	}{{1, 4000, true}, {1, 262_143, false}, {16, 262_143, true}, {1 << 10, 262_143, true}} {
		tc := newTestClients(t, DefaultSettings(144, 1000))
		co := tc.body("client", at(0), at(0), 0)
		ok := true
		for sent := int64(0); sent < tt.size && ok; sent += tt.chunk {
			must.True(t, co.Read(at(1), make([]byte, tt.chunk+5)))
			ok = co.Grow(at(1), tt.chunk, 0)
		}
		must.Eq(t, tt.want, ok, must.Sprintf("chunks of %d bytes", tt.chunk))
	}
}

// Guards against defaults that a client within the platform's limits reaches: the largest body within its response time of 1.5 s, over a
// link that stands still for 400 ms at a time, and also at a tenth of the speed with a response time of 4 s.
func TestDefaultsAdmitClientsWithinTheLimits(t *testing.T) {
	const largest = 262_144
	for _, total := range []int{1500, 4000} {
		tc := newTestClients(t, DefaultSettings(144, 3075))
		co := tc.body("client", at(0), at(0), 1)
		for ms := 400; ms <= total; ms += 400 {
			must.True(t, co.Grow(at(ms), largest*400/int64(total)-1, largest*400/int64(total)))
			tc.ac.Sweep(at(ms))
		}
		must.True(t, co.Received(at(total)))
	}
	se := DefaultSettings(144, 3075)
	const tasks, fields = 350, 20 // of a job and of a step
	test.LessEq(t, se.Job.Tasks, tasks)
	test.LessEq(t, se.Job.Steps, tasks)
	test.LessEq(t, se.Job.Values, tasks*fields+tasks*(tasks-1)/2) // each step of one task depends on all before it
	test.Greater(t, 500, se.Connections)
	for _, memory := range []int64{96, 144, 284} {
		se := DefaultSettings(memory, 100_000)
		buffers := int64(se.Connections) * (ConnectionBytes + 4*SocketBuffer)
		test.LessEq(t, memory<<20*6/10, buffers+se.BodyBytes+se.HeaderBytes-int64(se.Connections)*2*SocketBuffer)
		test.LessEq(t, memory<<20/2, int64(se.Connections)*ConnectionBytes+se.BodyBytes+se.HeaderBytes)
	}
	test.Eq(t, minConnections, DefaultSettings(144, 100).Connections)
}

// Guards against headers in progress that take many times their size.
func TestHeadersInProgress(t *testing.T) {
	se := testSettings()
	se.HeaderBytes = 17 << 10 // 17 times the lines below
	tc := newTestClients(t, se)
	short := []byte("a:\r\nb:\r\nc:\r\nd:\r\ne:\r\nf:\r\n")
	co, other := tc.connect("first", at(0)), tc.connect("second", at(0))
	for range 10 {
		must.True(t, co.Read(at(0), short))
	}
	for range 7 {
		must.True(t, other.Read(at(100), short))
	}
	must.False(t, other.Read(at(100), short))
	must.Eq(t, ReasonHeaders, other.Dropped())
	other.Close(at(100))
	third := tc.connect("third", at(900))
	for range 9 {
		must.True(t, third.Read(at(900), short))
	}
	must.Eq(t, []string{"first"}, tc.dropped)
	must.True(t, third.Begin(at(901)))
	must.Eq(t, co.headerBytes, tc.ac.Use().HeaderBytes)
	must.Greater(t, 5000, third.requestBytes)
	third.End(at(902), false)
	must.Greater(t, 5000, third.requestBytes) // while the answer is written
	third.Idle(at(903))
	must.Eq(t, 0, third.requestBytes)
}

// Guards against a request whose handler leaves its body unread and whose client then holds the connection.
func TestUnreadBodyStillHasLimits(t *testing.T) {
	tc := newTestClients(t, testSettings())
	co := tc.connect("client", at(0))
	must.True(t, co.Begin(at(0)))
	co.End(at(1), true)
	tc.ac.Sweep(start.Add(tc.ac.se.Grace + 10*time.Millisecond))
	must.Eq(t, ReasonRate, co.Dropped())
}

func TestNilConnectionAcceptsEverything(t *testing.T) {
	var co *Connection
	must.True(t, co.Begin(start))
	co.StartBody(start, 0)
	must.True(t, co.Read(start, nil))
	must.True(t, co.Grow(start, 1, 1<<40))
	must.True(t, co.Received(start))
	co.Shrink(0)
	co.End(start, true)
	co.Idle(start)
	co.Close(start)
	must.Eq(t, ReasonNone, co.Dropped())
	must.True(t, co.FitsJob(JobSize{Steps: 512, Tasks: 350}))
	must.False(t, co.FitsJob(JobSize{Steps: 513}))
	must.Nil(t, FromContext(t.Context()))
}
