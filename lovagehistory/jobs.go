package lovagehistory

import (
	"fmt"
	"slices"
	"strings"

	"github.com/anishathalye/porcupine"

	"lovagestack/lovagejob"
)

// jobState is the model state of one key.
type jobState struct {
	encodedStarts  string // "task:digest;" for each started task, sorted by task
	startedCount   int
	toldNotStarted bool   // a caller was told that no task has started or ever will
	finalOutcome   string // outcome of the first final answer
	finalContent   string // digest of the submission that received the final answer
}

// CheckJobs checks, for each key separately, that
//   - no task starts twice;
//   - every answer matches the key and content of its request;
//   - a final outcome never changes;
//   - a complete answer holds exactly the results of the started tasks;
//   - if an answer says that no task starts, no task of the key starts before or after that answer.
func CheckJobs(entries []Entry) error {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{jobState{}} },
		Step: adaptStep(stepJob),
	}
	return checkPartitions(entries, model.ToModel(), []Kind{Submit, Ask, Cancel, Start},
		func(op *Operation) string { return op.Key })
}

func stepJob(st jobState, op *Operation, out *output) []jobState {
	if op.Kind == Start {
		return st.start(op)
	}
	if !out.hasResponse || out.Outcome == "" {
		return []jobState{st}
	}
	if out.Key != op.Key {
		return nil // the answer belongs to another key
	}
	outcome := lovagejob.Outcome(out.Outcome)
	switch {
	case outcome == lovagejob.Unknown:
		return []jobState{st}
	case outcome == lovagejob.Pending:
		if st.finalOutcome != "" {
			return nil // pending after a final answer
		}
		return []jobState{st}
	case !outcome.Final(), st.finalOutcome != "" && st.finalOutcome != out.Outcome:
		return nil
	}
	if op.Kind == Submit {
		if st.finalContent != "" && st.finalContent != op.Content {
			return nil // the answer belongs to a submission with other content
		}
		st.finalContent = op.Content
	}
	st.finalOutcome = out.Outcome
	switch {
	case outcome == lovagejob.NotRun, outcome == lovagejob.Cancelled && out.Started == 0:
		if st.startedCount > 0 {
			return nil
		}
		st.toldNotStarted = true
	case outcome == lovagejob.Complete && st.startedCount != out.Tasks:
		return nil
	case outcome == lovagejob.Complete && len(out.Results) > 0 && st.encodedStarts != encodeStarts(out.Results):
		return nil
	case outcome != lovagejob.Complete && len(out.Results) > 0:
		return nil // only a complete answer has results
	}
	return []jobState{st}
}

func (st jobState) start(op *Operation) []jobState {
	if st.toldNotStarted {
		return nil
	}
	prefix := fmt.Sprintf("%03d:", op.Task)
	starts := strings.SplitAfter(st.encodedStarts, ";")
	starts = starts[:len(starts)-1] // the part after the last separator is empty
	index, _ := slices.BinarySearch(starts, prefix)
	if index < len(starts) && strings.HasPrefix(starts[index], prefix) {
		return nil // the task has already started
	}
	st.encodedStarts = strings.Join(slices.Insert(starts, index, prefix+op.Content+";"), "")
	st.startedCount++
	return []jobState{st}
}

func encodeStarts(results []string) string {
	var bu strings.Builder
	for task, digest := range results {
		fmt.Fprintf(&bu, "%03d:%s;", task, digest)
	}
	return bu.String()
}
