package lovagehistory

import (
	"bytes"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

// newEntry returns an entry with the given call and response times; ret is 0 if there was no response.
func newEntry(call, ret int64, op Operation, result Result) Entry {
	return Entry{Call: call, Return: ret, Operation: op, Result: result}
}

func startEntry(call, ret int64, task int, digest string) Entry {
	return newEntry(call, ret, Operation{Kind: Start, Key: "k", Task: task, Content: digest}, Result{})
}

func submitEntry(call, ret int64, content, outcome string, results ...string) Entry {
	return newEntry(call, ret, Operation{Kind: Submit, Key: "k", Content: content},
		Result{Outcome: outcome, Key: "k", Tasks: 2, Started: len(results), Results: results})
}

func askEntry(call, ret int64, outcome string, results ...string) Entry {
	return newEntry(call, ret, Operation{Kind: Ask, Key: "k"},
		Result{Outcome: outcome, Key: "k", Tasks: 2, Started: len(results), Results: results})
}

func writeEntry(call, ret int64, name string, expected int64, content string, outcome WriteOutcome, revision int64) Entry {
	return newEntry(call, ret, Operation{Kind: ConfigWrite, Name: name, Revision: expected, Content: content},
		Result{WriteOutcome: outcome, Revision: revision})
}

func configReadEntry(call int64, name string, revision int64, content string) Entry {
	return newEntry(call, call+1, Operation{Kind: ConfigRead, Name: name}, Result{Revision: revision, Content: content})
}

func applyEntry(call int64, instance, name string, revision int64, content string) Entry {
	return newEntry(call, call+1, Operation{Kind: ConfigApply, Instance: instance, Name: name},
		Result{Revision: revision, Content: content})
}

func ownerEntry(kind Kind, call, ret, epoch int64, instance string, outcome WriteOutcome) Entry {
	return newEntry(call, ret, Operation{Kind: kind, Range: "r", Epoch: epoch, Instance: instance},
		Result{WriteOutcome: outcome})
}

func ownerReadEntry(call, epoch int64, instance string) Entry {
	return newEntry(call, call+1, Operation{Kind: OwnerRead, Range: "r"}, Result{Epoch: epoch, Instance: instance})
}

// Checks that each model accepts a valid history. In each case, the extra entry violates one of the model's properties,
// and the model must reject the history with this entry.
func TestModels(t *testing.T) {
	job := []Entry{
		submitEntry(1, 50, "c", "complete", "d0", "d1"), // the caller waits for the final answer
		submitEntry(5, 12, "c", "pending"),              // resubmitted to another instance
		submitEntry(13, 14, "c", "unknown"),
		startEntry(10, 20, 0, "d0"), startEntry(11, 30, 1, "d1"),
		askEntry(60, 61, "complete", "d0", "d1"), askEntry(90, 91, "unknown"), askEntry(92, 0, ""),
	}
	notRun := []Entry{submitEntry(1, 9, "c", "notRun"), askEntry(10, 11, "notRun"), askEntry(12, 13, "unknown")}
	config := []Entry{
		writeEntry(1, 5, "a", 0, "x", Committed, 1), writeEntry(2, 6, "b", 0, "y", Committed, 2),
		writeEntry(10, 12, "a", 1, "z", Indeterminate, 0),
		writeEntry(13, 15, "a", 1, "v", Refused, 3), // the indeterminate write took effect
		configReadEntry(20, "a", 3, "z"),
		applyEntry(21, "i", "a", 1, "x"), applyEntry(30, "i", "a", 3, "z"), applyEntry(31, "j", "b", 2, "y"),
		writeEntry(40, 0, "b", 2, "w", "", 0),
		configReadEntry(50, "b", 2, "y"), configReadEntry(60, "b", 4, "w"), // the pending write takes effect
	}
	deleted := []Entry{
		writeEntry(1, 5, "a", 0, "x", Committed, 1), writeEntry(10, 12, "a", 1, "", Committed, 2), // deleted
		writeEntry(13, 14, "a", 1, "y", Refused, 0), writeEntry(13, 14, "a", 0, "", Refused, 0),
		applyEntry(20, "i", "a", 2, ""), configReadEntry(21, "a", 0, ""),
		writeEntry(30, 32, "a", 0, "z", Committed, 3), applyEntry(40, "i", "a", 3, "z"), // created again
	}
	ownership := []Entry{
		ownerEntry(Acquire, 1, 3, 0, "a", Committed),
		ownerEntry(OwnerAction, 4, 5, 1, "a", ""), ownerEntry(Renew, 6, 7, 1, "a", Committed),
		ownerEntry(Acquire, 8, 9, 1, "b", Indeterminate),
		ownerEntry(Acquire, 8, 12, 1, "c", Refused), ownerReadEntry(14, 2, "b"),
		ownerEntry(OwnerAction, 15, 16, 1, "a", ""), // a former owner acts under its own epoch
		ownerEntry(OwnerAction, 15, 16, 2, "b", ""), ownerEntry(Renew, 17, 18, 1, "a", Refused),
	}
	for _, tt := range []struct {
		name  string
		check func([]Entry) error
		valid []Entry
		extra Entry
	}{
		{"a task starts twice", CheckJobs, job, startEntry(70, 71, 1, "d1")},
		{"a complete answer without a start", CheckJobs, job[1:3], askEntry(60, 61, "complete", "d0", "d1")},
		{"results of another job", CheckJobs, job, askEntry(62, 63, "complete", "d0", "other")},
		{"a partial answer", CheckJobs, job[:0], askEntry(62, 63, "failed", "d0")},
		{"the outcome changes", CheckJobs, job, askEntry(62, 63, "failed")},
		{"pending after a final answer", CheckJobs, job, askEntry(62, 63, "pending")},
		{"not run of a started job", CheckJobs, job[1:5], askEntry(62, 63, "notRun")},
		{"a start after not run", CheckJobs, notRun, startEntry(70, 0, 0, "d0")},
		{
			"a start after cancelled before any start", CheckJobs,
			[]Entry{askEntry(1, 2, "cancelled")},
			startEntry(70, 71, 0, "d0"),
		},
		{"the answer of other content", CheckJobs, job, submitEntry(62, 63, "other", "complete", "d0", "d1")},
		{
			"the answer to another key", CheckJobs, job,
			newEntry(62, 63, Operation{Kind: Ask, Key: "k"}, Result{Outcome: "unknown", Key: "l"}),
		},
		{"an outcome that does not exist", CheckJobs, job[1:3], askEntry(62, 63, "done")},

		{"a write over another revision", CheckConfiguration, config, writeEntry(70, 71, "a", 1, "q", Committed, 5)},
		{
			"a write without effect that is applied", CheckConfiguration,
			slices.Concat(config, []Entry{writeEntry(62, 63, "a", 3, "u", NoEffect, 0)}), applyEntry(70, "i", "a", 4, "u"),
		},
		{"a gap in the revisions", CheckConfiguration, config, writeEntry(70, 71, "a", 3, "q", Committed, 6)},
		{"a refusal although the precondition holds", CheckConfiguration, config, writeEntry(70, 71, "a", 3, "q", Refused, 3)},
		{"a refusal with a wrong revision", CheckConfiguration, config, writeEntry(70, 71, "a", 1, "q", Refused, 2)},
		{"a lost update", CheckConfiguration, config, configReadEntry(70, "a", 1, "x")},
		{"an instance applies an older revision", CheckConfiguration, config, applyEntry(70, "i", "a", 1, "x")},
		{"an instance applies content that was never committed", CheckConfiguration, config, applyEntry(70, "j", "a", 3, "v")},
		{"an instance is ahead of the head", CheckConfiguration, config, applyEntry(70, "j", "a", 9, "z")},

		{"a resource missing without a deletion", CheckConfiguration, deleted, applyEntry(50, "i", "a", 3, "")},
		{"a deleted resource shown again", CheckConfiguration, deleted, applyEntry(50, "i", "a", 2, "x")},
		{"a change of a deleted resource", CheckConfiguration, deleted[:6], writeEntry(50, 51, "a", 1, "q", Committed, 3)},
		{
			"a deletion of a resource that does not exist", CheckConfiguration, deleted[:6],
			writeEntry(50, 51, "a", 0, "", Committed, 3),
		},

		{"two holders of an epoch", CheckOwnership, ownership, ownerEntry(Acquire, 20, 21, 1, "c", Committed)},
		{"an action under the epoch of another holder", CheckOwnership, ownership, ownerEntry(OwnerAction, 20, 21, 2, "a", "")},
		{"an action under an epoch without a holder", CheckOwnership, ownership, ownerEntry(OwnerAction, 20, 0, 3, "b", "")},
		{"a renewal by a former holder", CheckOwnership, ownership, ownerEntry(Renew, 20, 21, 1, "a", Committed)},
		{"a renewal by the holder refused", CheckOwnership, ownership, ownerEntry(Renew, 20, 21, 2, "b", Refused)},
		{
			"an acquisition with the current epoch refused", CheckOwnership, ownership,
			ownerEntry(Acquire, 20, 21, 2, "c", Refused),
		},
		{"the owner of an older epoch read", CheckOwnership, ownership, ownerReadEntry(20, 1, "a")},
	} {
		t.Run(tt.name, func(t *testing.T) {
			must.NoError(t, tt.check(tt.valid))
			invalid := append(slices.Clone(tt.valid), tt.extra)
			must.ErrorContains(t, tt.check(invalid), "no order of these operations")
		})
	}
}

// Checks that no records of concurrent clients are lost or mixed up, and that pending operations of a killed process
// are kept.
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
	truncated := files[1].String() + `{"id":"q-9`
	entries, err := Read(&files[0], strings.NewReader(truncated))
	must.NoError(t, err)
	must.Len(t, 2*8*50, entries)
	for _, en := range entries {
		must.Eq(t, en.Operation.Task == 49, en.Return == 0)
		must.True(t, en.Return == 0 || en.Return >= en.Call && en.Result.Tasks == en.Operation.Task)
	}
	must.Error(t, CheckJobs(entries)) // eight goroutines recorded a start of each task
	_, err = Read(strings.NewReader(`{"id":"q-9` + "\n" + `{"id":"q-1","call":1,"operation":{"kind":"start"}}` + "\n"))
	must.ErrorContains(t, err, "line 1")
	_, err = Read(strings.NewReader(`{"id":"q-1","return":1}` + "\n"))
	must.ErrorContains(t, err, "no call")
}
