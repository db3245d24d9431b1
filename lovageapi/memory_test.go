package lovageapi

import (
	"runtime"
	"strings"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"lovagestack/lovageconfig"
)

// Guards against bodies that take much more memory than is reserved for them when they are decoded and checked and their faults are reported.
func TestDecodedBodiesKeepTheirMemory(t *testing.T) {
	const (
		maxTasks = 350
		// allotted per reserved byte, with what is garbage at once: lists and maps double, and the faults are sorted and listed
		garbageFactor = 4
	)
	repeat := func(head, part, tail string, size int) []byte {
		return []byte(head + strings.Repeat(part, (size-len(head)-len(tail))/len(part)) + tail)
	}
	for _, tt := range []struct {
		name string
		body []byte
	}{
		{"empty tasks", repeat(`{"tasks":[{}`, `,{}`, `]}`, 4<<20)},
		{"tiny tasks", repeat(`{"tasks":[{}`, `,{"payload":1}`, `]}`, 4<<20)},
		{"tasks near the limit", repeat(`{"tasks":[{}`, `,{"payload":1}`, `]}`, maxTasks*maxExtraTasks*14)},
		{"unknown keys", repeat(`{"tasks":[{}`, `,{"x":1}`, `]}`, 1<<20)},
		{"unknown keys of one object", repeat(`{"a":1`, `,"b":1`, `}`, 1<<20)},
		{"numbers for tasks", repeat(`{"tasks":[1`, `,1`, `]}`, 1<<20)},
		{"long key around a list", repeat(`{"`+strings.Repeat("k", 64<<10)+`":[1`, `,1`, `]}`, 1<<20)},
		{"long key around a short list", repeat(`{"`+strings.Repeat("k", 8<<10)+`":[1`, `,1`, `]}`, 32<<10)},
		{"deep lists", repeat(`{"a":`, `[`, ``, 1<<20)},
		{"wide list at depth", []byte(`{"a":` + strings.Repeat("[", 400) + "1" + strings.Repeat(",1", 400_000) + strings.Repeat("]", 400) + `}`)},
		{"list of lists", repeat(`{"a":[[]`, `,[]`, `]}`, 1<<20)},
		{"list of objects", repeat(`{"a":[{}`, `,{}`, `]}`, 1<<20)},
		{"escapes", repeat(`{"service":"`, `\u0000`, `","x":1}`, 1<<20)},
		{"long time", repeat(`{"deadline":"`, `\u0000`, `"}`, 4<<20)},
		{"long number", repeat(`{"declaredCores":`, `9`, `}`, 1<<20)},
		{"lines", repeat(`{"x":1`, "\n", `}`, 1<<20)},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var reserved int64
			reserve := func(n int64) bool {
				reserved += n
				return true
			}
			before := allotted()
			req, findings, err := decodeJob(tt.body, maxTasks, reserve)
			must.NoError(t, err)
			if len(findings) == 0 {
				_, findings = req.submission(testClock(), DefaultSettings().Limits)
			}
			used := allotted() - before
			must.SliceNotEmpty(t, findings)
			budget := reserved + 4*int64(len(tt.body))
			t.Logf("%d bytes: %d allotted, %d reserved, %d findings", len(tt.body), used, budget, len(findings))
			test.LessEq(t, garbageFactor*budget, used)
			test.LessEq(t, lovageconfig.ParseJSONMemory(len(tt.body))+elementBytes*maxTasks*maxExtraTasks, reserved)
		})
	}
}

// allotted returns the memory that has been allotted since the start.
func allotted() int64 {
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return int64(ms.TotalAlloc)
}
