package lovagehistory

import (
	"bytes"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

// at is an operation that was called and answered at the given times; 0 for ret means that it had no response.
func at(call, ret int64, op Operation, result Result) Entry {
	return Entry{Call: call, Return: ret, Operation: op, Result: result}
}

func started(call, ret int64, task int, digest string) Entry {
	return at(call, ret, Operation{Kind: Start, Key: "k", Task: task, Content: digest}, Result{})
}

func submitted(call, ret int64, content, outcome string, results ...string) Entry {
	return at(call, ret, Operation{Kind: Submit, Key: "k", Content: content},
		Result{Outcome: outcome, Key: "k", Tasks: 2, Started: len(results), Results: results})
}

func asked(call, ret int64, outcome string, results ...string) Entry {
	return at(call, ret, Operation{Kind: Ask, Key: "k"},
		Result{Outcome: outcome, Key: "k", Tasks: 2, Started: len(results), Results: results})
}

func written(call, ret int64, name string, expected int64, content string, state WriteOutcome, revision int64) Entry {
	return at(call, ret, Operation{Kind: ConfigWrite, Name: name, Revision: expected, Content: content},
		Result{WriteOutcome: state, Revision: revision})
}

func read(call int64, name string, revision int64, content string) Entry {
	return at(call, call+1, Operation{Kind: ConfigRead, Name: name}, Result{Revision: revision, Content: content})
}

func applied(call int64, instance, name string, revision int64, content string) Entry {
	return at(call, call+1, Operation{Kind: ConfigApply, Instance: instance, Name: name},
		Result{Revision: revision, Content: content})
}

func owning(kind Kind, call, ret, epoch int64, instance string, state WriteOutcome) Entry {
	return at(call, ret, Operation{Kind: kind, Range: "r", Epoch: epoch, Instance: instance}, Result{WriteOutcome: state})
}

func owner(call, epoch int64, instance string) Entry {
	return at(call, call+1, Operation{Kind: OwnerRead, Range: "r"}, Result{Epoch: epoch, Instance: instance})
}

// Guards against a model that rejects right histories, and for each property against one that cannot reject a wrong
// one. An entry of "also" is added to the right history, which must make it wrong.
func TestModels(t *testing.T) {
	job := []Entry{
		submitted(1, 50, "c", "complete", "d0", "d1"), // waits for the end
		submitted(5, 12, "c", "pending"),              // resubmitted elsewhere
		submitted(13, 14, "c", "unknown"),
		started(10, 20, 0, "d0"), started(11, 30, 1, "d1"),
		asked(60, 61, "complete", "d0", "d1"), asked(90, 91, "unknown"), asked(92, 0, ""),
	}
	refused := []Entry{submitted(1, 9, "c", "notRun"), asked(10, 11, "notRun"), asked(12, 13, "unknown")}
	config := []Entry{
		written(1, 5, "a", 0, "x", Committed, 1), written(2, 6, "b", 0, "y", Committed, 2),
		written(10, 12, "a", 1, "z", Indeterminate, 0), written(13, 15, "a", 1, "v", Refused, 3), // the unclear one won
		read(20, "a", 3, "z"),
		applied(21, "i", "a", 1, "x"), applied(30, "i", "a", 3, "z"), applied(31, "j", "b", 2, "y"),
		written(40, 0, "b", 2, "w", "", 0), read(50, "b", 2, "y"), read(60, "b", 4, "w"), // took effect late
	}
	deleted := []Entry{
		written(1, 5, "a", 0, "x", Committed, 1), written(10, 12, "a", 1, "", Committed, 2), // deleted
		written(13, 14, "a", 1, "y", Refused, 0), written(13, 14, "a", 0, "", Refused, 0),
		applied(20, "i", "a", 2, ""), read(21, "a", 0, ""),
		written(30, 32, "a", 0, "z", Committed, 3), applied(40, "i", "a", 3, "z"), // created again
	}
	ranges := []Entry{
		owning(Acquire, 1, 3, 0, "a", Committed), owning(OwnerAction, 4, 5, 1, "a", ""), owning(Renew, 6, 7, 1, "a", Committed),
		owning(Acquire, 8, 9, 1, "b", Indeterminate), owning(Acquire, 8, 12, 1, "c", Refused), owner(14, 2, "b"),
		owning(OwnerAction, 15, 16, 1, "a", ""), // an old holder under its own epoch
		owning(OwnerAction, 15, 16, 2, "b", ""), owning(Renew, 17, 18, 1, "a", Refused),
	}
	for _, tc := range []struct {
		name  string
		check func([]Entry) error
		right []Entry
		also  Entry
	}{
		{"a task starts twice", CheckJobs, job, started(70, 71, 1, "d1")},
		{"a complete answer without a start", CheckJobs, job[1:3], asked(60, 61, "complete", "d0", "d1")},
		{"results of another job", CheckJobs, job, asked(62, 63, "complete", "d0", "other")},
		{"a partial answer", CheckJobs, job[:0], asked(62, 63, "failed", "d0")},
		{"the outcome changes", CheckJobs, job, asked(62, 63, "failed")},
		{"pending after the end", CheckJobs, job, asked(62, 63, "pending")},
		{"not run of a started job", CheckJobs, job[1:5], asked(62, 63, "notRun")},
		{"a start after not run", CheckJobs, refused, started(70, 0, 0, "d0")},
		{"a start after cancelled before any start", CheckJobs, []Entry{asked(1, 2, "cancelled")}, started(70, 71, 0, "d0")},
		{"the answer of other content", CheckJobs, job, submitted(62, 63, "other", "complete", "d0", "d1")},
		{"crossed answers", CheckJobs, job, at(62, 63, Operation{Kind: Ask, Key: "k"}, Result{Outcome: "unknown", Key: "l"})},
		{"an outcome that does not exist", CheckJobs, job[1:3], asked(62, 63, "done")},

		{"a write over another revision", CheckConfiguration, config, written(70, 71, "a", 1, "q", Committed, 5)},
		{
			"a write without effect that is applied", CheckConfiguration,
			slices.Concat(config, []Entry{written(62, 63, "a", 3, "u", NoEffect, 0)}), applied(70, "i", "a", 4, "u"),
		},
		{"a gap in the revisions", CheckConfiguration, config, written(70, 71, "a", 3, "q", Committed, 6)},
		{"a refusal without cause", CheckConfiguration, config, written(70, 71, "a", 3, "q", Refused, 3)},
		{"a refusal with a wrong revision", CheckConfiguration, config, written(70, 71, "a", 1, "q", Refused, 2)},
		{"a lost update", CheckConfiguration, config, read(70, "a", 1, "x")},
		{"an instance goes back", CheckConfiguration, config, applied(70, "i", "a", 1, "x")},
		{"an instance applies what was never committed", CheckConfiguration, config, applied(70, "j", "a", 3, "v")},
		{"an instance is ahead of the head", CheckConfiguration, config, applied(70, "j", "a", 9, "z")},

		{"a resource missing without a deletion", CheckConfiguration, deleted, applied(50, "i", "a", 3, "")},
		{"a deleted resource shown again", CheckConfiguration, deleted, applied(50, "i", "a", 2, "x")},
		{"a change of a deleted resource", CheckConfiguration, deleted[:6], written(50, 51, "a", 1, "q", Committed, 3)},
		{"a deletion of what does not exist", CheckConfiguration, deleted[:6], written(50, 51, "a", 0, "", Committed, 3)},

		{"two holders of an epoch", CheckOwnership, ranges, owning(Acquire, 20, 21, 1, "c", Committed)},
		{"an act under another's epoch", CheckOwnership, ranges, owning(OwnerAction, 20, 21, 2, "a", "")},
		{"an act under an epoch that nobody holds", CheckOwnership, ranges, owning(OwnerAction, 20, 0, 3, "b", "")},
		{"a renewal by an old holder", CheckOwnership, ranges, owning(Renew, 20, 21, 1, "a", Committed)},
		{"a renewal refused without cause", CheckOwnership, ranges, owning(Renew, 20, 21, 2, "b", Refused)},
		{"an acquisition refused without cause", CheckOwnership, ranges, owning(Acquire, 20, 21, 2, "c", Refused)},
		{"the owner goes back", CheckOwnership, ranges, owner(20, 1, "a")},
	} {
		t.Run(tc.name, func(t *testing.T) {
			must.NoError(t, tc.check(tc.right))
			wrong := append(slices.Clone(tc.right), tc.also)
			must.ErrorContains(t, tc.check(wrong), "no order of these operations")
		})
	}
}

// Guards against records that are lost or mixed up between concurrent clients, and against a killed process whose
// open operations are forgotten.
func TestRecorder(t *testing.T) {
	var files [2]bytes.Buffer
	var wg sync.WaitGroup
	for i, source := range []string{"p", "q"} {
		re := NewRecorder(source, &files[i])
		for range 8 {
			wg.Go(func() {
				for task := range 50 {
					done := re.Begin(Operation{Kind: Start, Key: source, Task: task})
					if task != 49 {
						done(Result{Tasks: task})
					}
				}
			})
		}
		wg.Wait()
		must.NoError(t, re.Err())
	}
	cut := files[1].String() + `{"id":"q-9`
	entries, err := Read(&files[0], strings.NewReader(cut))
	must.NoError(t, err)
	must.Len(t, 2*8*50, entries)
	for _, en := range entries {
		must.Eq(t, en.Operation.Task == 49, en.Return == 0)
		must.True(t, en.Return == 0 || en.Return >= en.Call && en.Result.Tasks == en.Operation.Task)
	}
	must.Error(t, CheckJobs(entries)) // each task was started by eight clients
	_, err = Read(strings.NewReader(`{"id":"q-9` + "\n" + `{"id":"q-1","call":1,"operation":{"kind":"start"}}` + "\n"))
	must.ErrorContains(t, err, "line 1")
	_, err = Read(strings.NewReader(`{"id":"q-1","return":1}` + "\n"))
	must.ErrorContains(t, err, "no call")
}
