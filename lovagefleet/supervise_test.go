package lovagefleet

import (
	"bufio"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"lovagestack/lovagepool"
	"lovagestack/lovagetrace"
)

func TestPanickedLoopIsRestarted(t *testing.T) {
	// Guards against an instance that stays up without serving jobs after a panic in loop.
	de := deploy(t)
	no := de.nodes["east-1"]
	no.post(func(time.Time) { panic("test panic") })
	de.await("the loop is counted as restarted", 5*time.Second, func() bool {
		return no.counts.With("servicesRestarted").Count() == 1
	})
	an := no.Submit(t.Context(), testWork(randomID(), 2, 10*time.Millisecond))
	test.Eq(t, lovagepool.Completed, an.Outcome, test.Sprint(an.Reason))
}

// readSpans returns the spans that all instances have written, by trace ID and span name.
func readSpans(t *testing.T, dir string) map[string]map[string][]lovagetrace.SpanRecord {
	t.Helper()
	spans := map[string]map[string][]lovagetrace.SpanRecord{}
	files, err := filepath.Glob(filepath.Join(dir, "*"))
	must.NoError(t, err)
	for _, name := range files {
		file, err := os.Open(name)
		must.NoError(t, err)
		lines := bufio.NewScanner(file)
		for lines.Scan() {
			var li lovagetrace.SpanRecord
			must.NoError(t, json.Unmarshal(lines.Bytes(), &li))
			if spans[li.TraceID] == nil {
				spans[li.TraceID] = map[string][]lovagetrace.SpanRecord{}
			}
			spans[li.TraceID][li.Name] = append(spans[li.TraceID][li.Name], li)
		}
		must.NoError(t, lines.Err())
		must.NoError(t, file.Close())
	}
	return spans
}

func TestRequestSpans(t *testing.T) {
	// Guards against spans of a job that are missing from its trace, are written by the wrong instance or have the wrong
	// parent.
	de := deployWith(t, &deployment{spanDir: t.TempDir()})
	owner := de.owner("east")
	other := map[string]string{"east-1": "east-2", "east-2": "east-1"}[owner]
	de.await("jobs stay in their data centre", 5*time.Second, func() bool {
		no := de.nodes[other]
		ow, _ := no.chooseOwner("s", nil)
		_, workers := no.capacity(ow, "s")
		return ow.ID == owner && workers > 0
	})
	id := randomID()
	must.Eq(t, lovagepool.Completed, de.nodes[other].Submit(t.Context(), testWork(id, 2, 10*time.Millisecond)).Outcome)
	var hops map[string][]lovagetrace.SpanRecord
	de.await("the spans are written", 5*time.Second, func() bool {
		for _, trace := range readSpans(t, de.spanDir) {
			for _, li := range trace["callerRequest"] {
				if li.Attributes["job"] == id && len(trace["workerCall"]) == 2 && len(trace["peerHop"]) == 1 {
					hops = trace
					return true
				}
			}
		}
		return false
	})
	test.Eq(t, other, hops["callerRequest"][0].Instance)
	test.Eq(t, "completed", hops["callerRequest"][0].Attributes["outcome"])
	test.Eq(t, other, hops["peerHop"][0].Instance)
	test.Eq(t, hops["callerRequest"][0].SpanID, hops["peerHop"][0].ParentSpanID)
	must.Len(t, 1, hops["queueWait"])
	test.Eq(t, owner, hops["queueWait"][0].Instance)
	test.Eq(t, hops["peerHop"][0].SpanID, hops["queueWait"][0].ParentSpanID)
	for _, li := range hops["workerCall"] {
		test.Eq(t, owner, li.Instance)
		test.Eq(t, hops["peerHop"][0].SpanID, li.ParentSpanID)
	}
}
