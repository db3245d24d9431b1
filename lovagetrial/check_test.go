package lovagetrial

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"lovagestack/lovageapi"
	"lovagestack/lovagejob"
	"lovagestack/lovageresource"
)

const keyA, keyB = "kandla.1.1.1796381234567.a", "kandla.1.1.1796381234567.b"

var baseTime = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// completeSubmission returns the record of a submission of two tasks with a correct answer.
func completeSubmission(key string) CallRecord {
	ke, _ := lovagejob.ParseKey(key)
	cr := CallRecord{
		Operation: OpSubmit, Process: "p", Key: key, Payloads: []int{10, 11},
		Invoked: baseTime, Returned: baseTime.Add(time.Second),
		Answer: lovageapi.AnswerReply{Key: ke, Outcome: lovagejob.Complete, Tasks: 2, Started: 2},
	}
	for i := range 2 {
		body, _ := json.Marshal(map[string]any{"task": fmt.Sprintf("%s/%d", key, i), "payloadBytes": 10 + i})
		cr.Answer.Results = append(cr.Answer.Results, lovageapi.ResultReply{Task: i, Worker: "w", Status: 200, Body: body})
	}
	return cr
}

func validEvidence() Evidence {
	team := func(revision int64, weight float64) []lovageresource.Resource {
		return []lovageresource.Resource{{
			Kind: lovageresource.KindTeam, Name: "gate", Revision: revision, Spec: lovageresource.Team{Weight: weight},
		}}
	}
	read := func(name string, second int, revision int64, weight float64) ReadRecord {
		return ReadRecord{
			InstanceName: name, Process: name, Invoked: baseTime.Add(time.Duration(second) * time.Second),
			Returned: baseTime.Add(time.Duration(second)*time.Second + 1), Revision: revision, Resources: team(revision, weight),
		}
	}
	write := func(base, revision int64) WriteRecord {
		return WriteRecord{Process: "p", Resource: team(base, 1)[0], Result: lovageresource.WriteResult{
			Outcome: lovageresource.WriteAccepted, Revision: revision,
		}}
	}
	return Evidence{
		StartCounts: map[string]int{keyA + "/0": 1, keyA + "/1": 1},
		Calls:       []CallRecord{completeSubmission(keyA)},
		Writes:      []WriteRecord{write(1, 2), write(2, 3)},
		Reads:       []ReadRecord{read("k1", 0, 2, 1), read("k1", 2, 3, 2), read("k2", 3, 3, 2)},
	}
}

// Checks that Check finds each violation: each case corrupts one fact of valid evidence.
func TestCheckFindsEachViolation(t *testing.T) {
	must.Len(t, 0, Check(validEvidence()))
	lastCall := func(ev *Evidence) *CallRecord { return &ev.Calls[len(ev.Calls)-1] }
	for _, tc := range []struct {
		name      string
		invariant int
		problem   string
		corrupt   func(ev *Evidence)
	}{
		{"double start", 1, "2 times", func(ev *Evidence) { ev.StartCounts[keyA+"/1"] = 2 }},
		{"fewer results than tasks", 2, "1 results for 2", func(ev *Evidence) {
			lastCall(ev).Answer.Results = lastCall(ev).Answer.Results[:1]
		}},
		{"results in a failed answer", 2, "not complete", func(ev *Evidence) {
			lastCall(ev).Answer.Outcome = lovagejob.Failed
		}},
		{"complete without a start", 2, "only 1 of 2", func(ev *Evidence) { delete(ev.StartCounts, keyA+"/1") }},
		{"fewer tasks than submitted", 2, "3 tasks were submitted", func(ev *Evidence) {
			lastCall(ev).Payloads = []int{10, 11, 12}
		}},
		{"answer of another key", 3, "belongs to key", func(ev *Evidence) {
			lastCall(ev).Answer.Key = completeSubmission(keyB).Answer.Key
		}},
		{"result of another key", 3, "is that of task", func(ev *Evidence) {
			lastCall(ev).Answer.Results[1] = completeSubmission(keyB).Answer.Results[1]
		}},
		{"results in another order", 3, "is that of task", func(ev *Evidence) {
			results := lastCall(ev).Answer.Results
			results[0], results[1] = results[1], results[0]
		}},
		{"another payload", 3, "bytes of payload", func(ev *Evidence) { lastCall(ev).Payloads[0] = 99 }},
		{"untrue notRun", 4, "were started, contrary to the answer", func(ev *Evidence) {
			cr := completeSubmission(keyA)
			cr.Answer.Outcome, cr.Answer.Results = lovagejob.NotRun, nil
			ev.Calls = []CallRecord{cr}
		}},
		{"changed outcome", 2, "the answer changed", func(ev *Evidence) {
			cr := completeSubmission(keyA)
			cr.Answer.Outcome, cr.Answer.Results = lovagejob.Failed, nil
			ev.Calls = append(ev.Calls, cr)
		}},
		{"changed results", 2, "the results changed", func(ev *Evidence) {
			cr := completeSubmission(keyA)
			cr.Answer.Results[0].Worker = "v"
			ev.Calls = append(ev.Calls, cr)
		}},
		{"pending after the end", 2, "pending again", func(ev *Evidence) {
			cr := completeSubmission(keyA)
			cr.Answer.Outcome, cr.Answer.Results, cr.Invoked = lovagejob.Pending, nil, baseTime.Add(time.Minute)
			ev.Calls = append(ev.Calls, cr)
		}},
		{"shutdown that cuts", 7, "cut 1 requests", func(ev *Evidence) {
			ev.Shutdowns = []ShutdownRecord{{Process: "p", CutRequests: 1}}
		}},
		{"request lost in a shutdown", 7, "cut: ", func(ev *Evidence) {
			lastCall(ev).Err = fmt.Errorf("EOF")
			ev.Shutdowns = []ShutdownRecord{{Process: "p", Began: baseTime.Add(1), Ended: baseTime.Add(time.Minute)}}
		}},
		{"request lost after a shutdown began", 7, "cut: ", func(ev *Evidence) {
			lastCall(ev).Err = fmt.Errorf("EOF")
			lastCall(ev).Written = baseTime.Add(time.Millisecond)
			ev.Shutdowns = []ShutdownRecord{{Process: "p", Began: baseTime.Add(-1), AcceptedUntil: baseTime.Add(2 * time.Millisecond)}}
		}},
		{"task started for a leaving worker", 6, "got task", func(ev *Evidence) {
			ev.LeavingWorkers = []LeavingRecord{{Worker: "w", Since: baseTime, Limit: time.Second}}
			ev.Offers = []Offer{{Worker: "w", Task: keyA + "/0", At: baseTime.Add(time.Second + 1)}}
		}},
		{"task refused by a leaving worker", 6, "got task", func(ev *Evidence) {
			ev.LeavingWorkers = []LeavingRecord{{Worker: "w", Since: baseTime, Limit: time.Second}}
			ev.Offers = []Offer{{Worker: "w", Task: keyA + "/0", At: baseTime.Add(time.Second + 1), Refused: true}}
		}},
		{"cancelled with an unreported start", 4, "2 tasks were started", func(ev *Evidence) {
			cr := completeSubmission(keyA)
			cr.Answer.Outcome, cr.Answer.Results, cr.Answer.Started = lovagejob.Cancelled, nil, 1
			ev.Calls = []CallRecord{cr}
		}},
		{"start after cancelled", 4, "a task was started at", func(ev *Evidence) {
			cr := completeSubmission(keyA)
			cr.Answer.Outcome, cr.Answer.Results = lovagejob.Cancelled, nil
			ev.Calls = []CallRecord{cr}
			ev.Offers = []Offer{{Worker: "w", Task: keyA + "/1", At: cr.Returned.Add(startAfterCancelLimit + 1)}}
		}},
		{"reverted revision", 8, "went back from revision 3", func(ev *Evidence) {
			re := ev.Reads[0]
			re.Invoked, re.Returned = baseTime.Add(time.Minute), baseTime.Add(time.Minute+1)
			ev.Reads = append(ev.Reads, re)
		}},
		{"resource missing without a deletion", 8, "went back from revision 3 to 0", func(ev *Evidence) {
			ev.Reads = append(ev.Reads, ReadRecord{
				InstanceName: "k2", Process: "k2",
				Invoked: baseTime.Add(time.Minute), Returned: baseTime.Add(time.Minute + 1), Revision: 4,
			})
		}},
		{"created twice without a deletion between", 8, "two changes of revision 0", func(ev *Evidence) {
			for i := range ev.Writes {
				ev.Writes[i].Resource.Revision = 0
			}
			de := ev.Writes[1]
			de.Deleted, de.Resource.Revision, de.Result.Revision = true, 3, 4
			ev.Writes = append(ev.Writes, de)
		}},
		{"revision with two specs", 8, "elsewhere", func(ev *Evidence) {
			ev.Reads[2].Resources[0].Spec = lovageresource.Team{Weight: 9}
		}},
		{"both racing changes accepted", 8, "two changes of revision 1", func(ev *Evidence) {
			ev.Writes[1].Resource.Revision = 1
		}},
		{"revision accepted twice", 8, "accepted twice", func(ev *Evidence) { ev.Writes[1].Result.Revision = 2 }},
		{"watch with a gap", 8, "shows 6 after 4", func(ev *Evidence) {
			ev.Watches = []WatchRecord{{Process: "p", FromRevision: 3, Revisions: []int64{4, 6}}}
		}},
		{"not in force in time", 8, "not in force", func(ev *Evidence) {
			ev.InForce = []InForceRecord{{Revision: 3, Missing: []string{"k2"}}}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ev := validEvidence()
			tc.corrupt(&ev)
			found := false
			for _, vi := range Check(ev) {
				found = found || vi.Invariant == tc.invariant && strings.Contains(vi.Problem, tc.problem)
			}
			must.True(t, found, must.Sprintf("not found; found only %v", Check(ev)))
		})
	}
}
