package lovageadmission

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"
)

// FuzzAccount has clients do what the text says, in any order. It guards against memory that stays reserved, sums that go wrong, more
// reserved than the limits allow, and a drop of a client that makes progress in favour of one that does not.
func FuzzAccount(f *testing.F) {
	f.Add([]byte{0, 0, 0, 0, 0, 10, 1, 0, 10, 2, 0, 200, 3, 0, 255, 4, 0, 0, 6, 0, 0})
	f.Add([]byte{0, 0, 0, 0, 1, 0, 2, 0, 0, 3, 0, 0, 2, 1, 0, 3, 1, 0, 4, 0, 255, 4, 1, 255, 10, 0, 200, 4, 1, 255})
	f.Fuzz(func(t *testing.T, ops []byte) {
		se := testSettings()
		se.Queue = len(ops) % 3
		ac, now := New(se), start
		var clients [8]*Connection
		acting := -1
		for ; len(ops) >= 3; ops = ops[3:] {
			i, n := int(ops[1])%len(clients), int64(ops[2])
			co := clients[i]
			acting = i
			if co != nil && (co.state == stateQueued || co.state == stateRefused) && ops[0]%11 < 10 && ops[0]%11 != 8 {
				continue // it is not used before it has a place
			}
			switch ops[0] % 11 {
			case 0:
				if co == nil {
					co = ac.NewConnection(&fuzzClient{t, i, &acting})
					if co.Open(now) != PlaceRefused {
						clients[i] = co
					}
				}
			case 1:
				co.Read(now, bytes.Repeat(newline, int(n)))
			case 2:
				co.Begin(now) // may refuse
			case 3:
				co.StartBody(now, n*n)
			case 4:
				before := progressing(clients[:], now)
				co.Grow(now, n, n*n)
				for j := range clients {
					dropped := before[j] && clients[j].Dropped() == ReasonBodies && j != i
					if dropped && !co.progresses(now) {
						t.Error("a client that makes progress was dropped for one that does not")
					}
				}
			case 5:
				co.Received(now)
			case 6:
				co.End(now, n%2 == 0)
			case 7:
				co.Shrink(n * n)
			case 8:
				co.Close(now)
				clients[i] = nil
			case 9:
				if len(ac.queue) > 0 {
					acting = -1 // it is dropped for one that waits
				}
				co.Idle(now)
			case 10:
				now = now.Add(time.Duration(n) * 10 * time.Millisecond)
				acting = -1
				ac.Sweep(now)
			}
			checkSums(t, ac)
		}
		for _, co := range clients {
			co.Close(now)
			co.Close(now) // a second time has no effect
		}
		if us := ac.Use(); us.Connections != 0 || us.Waiting != 0 || us.HeaderBytes != 0 || us.BodyBytes != 0 || ac.largeBytes != 0 || ac.numDropped != 0 {
			t.Errorf("left after all are closed: %+v, large %d, dropped %d", us, ac.largeBytes, ac.numDropped)
		}
	})
}

type fuzzClient struct {
	t      *testing.T
	number int
	acting *int
}

func (*fuzzClient) Admit()  {}
func (*fuzzClient) Refuse() {}

func (fc *fuzzClient) Drop(bool) {
	if fc.number == *fc.acting {
		fc.t.Error("a client was dropped in its own favour")
	}
}

func progressing(clients []*Connection, now time.Time) []bool {
	out := make([]bool, len(clients))
	for i, co := range clients {
		out[i] = co != nil && co.dropped == ReasonNone && co.progresses(now)
	}
	return out
}

func checkSums(t *testing.T, ac *Account) {
	t.Helper()
	var headers, bodies pool
	var large int64
	numDropped := 0
	for i, co := range ac.connections {
		if co.index != i {
			t.Errorf("connection %d has index %d", i, co.index)
		}
		if co.dropped != ReasonNone {
			headers.leaving += co.headerBytes
			bodies.leaving += co.requestBytes
			numDropped++
			continue
		}
		headers.used += co.headerBytes
		bodies.used += co.requestBytes
		if co.isLarge(co.requestBytes) {
			large += co.requestBytes
		}
	}
	if headers != ac.headers || bodies != ac.bodies || large != ac.largeBytes || numDropped != ac.numDropped {
		t.Errorf("sums %+v %+v %d %d, kept %+v %+v %d %d",
			headers, bodies, large, numDropped, ac.headers, ac.bodies, ac.largeBytes, ac.numDropped)
	}
	if n := len(ac.queue) + ac.numRefused; n > ac.se.Queue {
		t.Errorf("%d connections wait, limit %d", n, ac.se.Queue)
	}
	if bodies.used > ac.se.BodyBytes || large > ac.se.BodyBytes-ac.se.SmallBytes || headers.used > ac.se.HeaderBytes || len(ac.connections) > ac.se.Connections+1 {
		t.Errorf("beyond the limits: %d connections, headers %+v, bodies %+v", len(ac.connections), headers, bodies)
	}
}

// FuzzScanJob guards against jobs that are larger when decoded than ScanJob says.
func FuzzScanJob(f *testing.F) {
	for _, text := range []string{
		`{"spec":"a\"b","pipeline":[{"count":4,"depends_on":[0,1],"x":{"count":9}},{},null,7,"s"],"Pipeline":[{"Count":2}]}`,
		`{"pipe\u006cine":[{"c\u006funt":3}], "pipeline" : [ ] }`, `[{"pipeline":[{}]}]`, `{"a":{"pipeline":[{}]},"pipeline":{"b":[1]}}`, `{"`, `"\`,
		`{"pipeline":[{"count":1e3},{"count":-5},{"count":9223372036854775807},{"count":9223372036854775807}]}`, `}}]]{{[[`,
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		size := ScanJob(text, "pipeline", "count")
		if size.Steps < 0 || size.Tasks < 0 || size.Values < size.Steps || size.Bytes() < 0 {
			t.Errorf("%q has the size %+v", text, size)
		}
		var job struct {
			Steps []struct {
				Count     int   `json:"count"`
				DependsOn []int `json:"depends_on"`
			} `json:"pipeline"`
		}
		if json.Unmarshal(text, &job) != nil {
			return
		}
		values := 0
		var tasks int64
		for _, st := range job.Steps {
			tasks += min(max(int64(st.Count), 0), 1<<31-1)
			values += 1 + len(st.DependsOn)
		}
		if len(job.Steps) > size.Steps || min(tasks, 1<<31-1) > size.Tasks || values > size.Values {
			t.Errorf("%q has the size %+v, decoded %d steps, %d tasks, %d values", text, size, len(job.Steps), tasks, values)
		}
	})
}
