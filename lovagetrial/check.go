package lovagetrial

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"lovagestack/lovagejob"
)

// Violation is one violation of an invariant of docs/design.md.
type Violation struct {
	Invariant int
	Problem   string
}

// String returns "invariant N: problem".
func (vi Violation) String() string { return fmt.Sprintf("invariant %d: %s", vi.Invariant, vi.Problem) }

type checker struct {
	ev         Evidence
	violations []Violation
}

func (ch *checker) addViolation(invariant int, format string, args ...any) {
	ch.violations = append(ch.violations, Violation{invariant, fmt.Sprintf(format, args...)})
}

// Check returns every violation of the invariants that the evidence shows.
func Check(ev Evidence) []Violation {
	ch := &checker{ev: ev}
	ch.checkStarts()
	startedByKey := ch.startedTasks()
	for i := range ev.Calls {
		if ev.Calls[i].Err == nil {
			ch.checkAnswer(&ev.Calls[i], startedByKey)
		}
	}
	ch.checkFinalAnswers()
	ch.checkCancelled(startedByKey)
	ch.checkLeaving()
	ch.checkShutdowns()
	ch.checkWrites()
	ch.checkReads()
	ch.checkWatches()
	for _, in := range ev.InForce {
		if len(in.Missing) > 0 {
			ch.addViolation(8, "revision %d was not in force at %q within %s", in.Revision, in.Missing, in.Limit)
		}
	}
	return ch.violations
}

// checkStarts checks invariants 1 and 5. Both require that each task starts at most once, however often and wherever its
// job was submitted.
func (ch *checker) checkStarts() {
	for _, task := range slices.Sorted(maps.Keys(ch.ev.StartCounts)) {
		if n := ch.ev.StartCounts[task]; n > 1 {
			ch.addViolation(1, "task %s was started %d times", task, n)
		}
	}
}

// startedTasks returns, by key, the number of tasks that were started.
func (ch *checker) startedTasks() map[string]int {
	out := map[string]int{}
	for task, n := range ch.ev.StartCounts {
		if key, _, ok := strings.Cut(task, "/"); ok && n > 0 {
			out[key]++
		}
	}
	return out
}

// checkAnswer checks one answer: only a complete one has results, for all tasks or none (invariant 2), it belongs to the
// key (invariant 3), and no task was started if it is "not run" (invariant 4).
func (ch *checker) checkAnswer(cr *CallRecord, startedByKey map[string]int) {
	an := &cr.Answer
	if an.Key.String() != cr.Key {
		ch.addViolation(3, "the answer belongs to key %s: %s", an.Key, cr)
	}
	if an.Outcome == lovagejob.NotRun && startedByKey[cr.Key] > 0 {
		ch.addViolation(4, "%d tasks were started, contrary to the answer: %s", startedByKey[cr.Key], cr)
	}
	if an.Outcome != lovagejob.Complete {
		if len(an.Results) > 0 {
			ch.addViolation(2, "%d results in an answer that is not complete: %s", len(an.Results), cr)
		}
		return
	}
	if startedByKey[cr.Key] < an.Tasks {
		ch.addViolation(2, "only %d of %d tasks were started, contrary to the answer: %s", startedByKey[cr.Key], an.Tasks, cr)
	}
	if cr.Payloads != nil && an.Tasks != len(cr.Payloads) {
		ch.addViolation(2, "%d tasks were submitted: %s", len(cr.Payloads), cr)
	}
	if len(an.Results) == 0 {
		return // instances keep results for a limited time, then only the outcome
	}
	if len(an.Results) != an.Tasks {
		ch.addViolation(2, "%d results for %d tasks: %s", len(an.Results), an.Tasks, cr)
		return
	}
	ch.checkResults(cr)
}

// checkResults compares the tasks and payload lengths in the workers' replies with the submitted ones.
func (ch *checker) checkResults(cr *CallRecord) {
	for i, re := range cr.Answer.Results {
		var echo struct {
			Task         string
			PayloadBytes int
		}
		if err := json.Unmarshal(re.Body, &echo); err != nil {
			ch.addViolation(3, "the result of task %d is not that of a worker: %v: %s", i, err, cr)
			continue
		}
		if want := fmt.Sprintf("%s/%d", cr.Key, i); re.Task != i || echo.Task != want {
			ch.addViolation(3, "result %d is that of task %q, numbered %d: %s", i, echo.Task, re.Task, cr)
		}
		if i < len(cr.Payloads) && echo.PayloadBytes != cr.Payloads[i] {
			ch.addViolation(3, "task %d ran with %d bytes of payload instead of %d: %s", i, echo.PayloadBytes, cr.Payloads[i], cr)
		}
	}
}

// checkFinalAnswers checks that all final answers to a key have the same outcome and, if they have results, the same
// results. A request sent after a final answer must not get "pending".
func (ch *checker) checkFinalAnswers() {
	firstFinal := map[string]*CallRecord{}
	for i := range ch.ev.Calls {
		cr := &ch.ev.Calls[i]
		if cr.Err != nil || !cr.Answer.Outcome.Final() {
			continue
		}
		first := firstFinal[cr.Key]
		if first == nil {
			firstFinal[cr.Key] = cr
			continue
		}
		if first.Answer.Outcome != cr.Answer.Outcome {
			ch.addViolation(2, "the answer changed: %s, then %s", first, cr)
			continue
		}
		if len(first.Answer.Results) > 0 && len(cr.Answer.Results) > 0 && !sameResults(first, cr) {
			ch.addViolation(2, "the results changed: %s, then %s", first, cr)
		}
	}
	for i := range ch.ev.Calls {
		cr := &ch.ev.Calls[i]
		first := firstFinal[cr.Key]
		if first != nil && cr.Err == nil && cr.Answer.Outcome == lovagejob.Pending && cr.Invoked.After(first.Returned) {
			ch.addViolation(2, "an ended job is pending again: %s, then %s", first, cr)
		}
	}
}

func sameResults(a, b *CallRecord) bool {
	encodedA, err := json.Marshal(a.Answer.Results)
	if err != nil {
		return false
	}
	encodedB, err := json.Marshal(b.Answer.Results)
	return err == nil && string(encodedA) == string(encodedB)
}
