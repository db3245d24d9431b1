package lovagehistory

import (
	"fmt"
	"slices"
	"strings"

	"github.com/anishathalye/porcupine"

	"lovagestack/lovagejob"
)

// jobState is what is true of one key.
type jobState struct {
	started string // "task:digest;" of each task that has started, in order of the tasks
	count   int    // number of tasks that have started
	never   bool   // a caller was told that nothing has started or ever will
	final   string // the outcome of the first final answer
	content string // digest of the submission that the final answer was given to
}

// CheckJobs checks, for each key on its own, that no task starts twice, that every answer belongs to its request's key
// and content, that a final answer never changes, that a complete answer holds exactly the results of its started
// tasks, and that nothing starts, before or after, under a key of which a caller was told that nothing ever does.
func CheckJobs(entries []Entry) error {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{jobState{}} },
		Step: step(stepJob),
	}
	return check(entries, model.ToModel(), []Kind{Submit, Ask, Cancel, Start},
		func(op *Operation) string { return op.Key })
}

func stepJob(st jobState, op *Operation, out *output) []jobState {
	if op.Kind == Start {
		return st.start(op)
	}
	if !out.seen || out.Outcome == "" {
		return []jobState{st}
	}
	if out.Key != op.Key {
		return nil // a crossed answer
	}
	outcome := lovagejob.Outcome(out.Outcome)
	switch {
	case outcome == lovagejob.Unknown:
		return []jobState{st}
	case outcome == lovagejob.Pending:
		if st.final != "" {
			return nil // pending after the end
		}
		return []jobState{st}
	case !outcome.Final(), st.final != "" && st.final != out.Outcome:
		return nil
	}
	if op.Kind == Submit {
		if st.content != "" && st.content != op.Content {
			return nil // the answer of a submission with other content
		}
		st.content = op.Content
	}
	st.final = out.Outcome
	switch {
	case outcome == lovagejob.NotRun, outcome == lovagejob.Cancelled && out.Started == 0:
		if st.count > 0 {
			return nil
		}
		st.never = true
	case outcome == lovagejob.Complete && st.count != out.Tasks:
		return nil
	case outcome == lovagejob.Complete && len(out.Results) > 0 && st.started != joined(out.Results):
		return nil
	case outcome != lovagejob.Complete && len(out.Results) > 0:
		return nil // a partial answer
	}
	return []jobState{st}
}

func (st jobState) start(op *Operation) []jobState {
	if st.never {
		return nil
	}
	prefix := fmt.Sprintf("%03d:", op.Task)
	entries := strings.SplitAfter(st.started, ";")
	entries = entries[:len(entries)-1] // the last part is what follows the last separator, which is nothing
	at, _ := slices.BinarySearch(entries, prefix)
	if at < len(entries) && strings.HasPrefix(entries[at], prefix) {
		return nil // a second start
	}
	st.started = strings.Join(slices.Insert(entries, at, prefix+op.Content+";"), "")
	st.count++
	return []jobState{st}
}

func joined(results []string) string {
	var bu strings.Builder
	for task, digest := range results {
		fmt.Fprintf(&bu, "%03d:%s;", task, digest)
	}
	return bu.String()
}
