package lovagetrial

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"lovagestack/lovagejob"
)

// Violation is one fact that contradicts an invariant of docs/design.md.
type Violation struct {
	Invariant int
	Problem   string
}

// String names the invariant and the problem.
func (vi Violation) String() string { return fmt.Sprintf("invariant %d: %s", vi.Invariant, vi.Problem) }

// checker collects the violations in an Evidence.
type checker struct {
	ev  Evidence
	out []Violation
}

func (ch *checker) add(invariant int, format string, args ...any) {
	ch.out = append(ch.out, Violation{invariant, fmt.Sprintf(format, args...)})
}

// Check returns every violation of the invariants that the evidence shows.
func Check(ev Evidence) []Violation {
	ch := &checker{ev: ev}
	ch.checkStarts()
	started := ch.startsByKey()
	for i := range ev.Calls {
		if ev.Calls[i].Err == nil {
			ch.checkAnswer(&ev.Calls[i], started)
		}
	}
	ch.checkFinal()
	ch.checkCancelled(started)
	ch.checkLeaving()
	ch.checkShutdowns()
	ch.checkWrites()
	ch.checkReads()
	ch.checkWatches()
	for _, in := range ev.InForce {
		if len(in.Missing) > 0 {
			ch.add(8, "revision %d was not in force at %q within %s", in.Revision, in.Missing, in.Limit)
		}
	}
	return ch.out
}

// checkStarts judges invariants 1 and 5, which say the same of start counts: a key's tasks start at most once,
// whatever was submitted where.
func (ch *checker) checkStarts() {
	for _, task := range slices.Sorted(maps.Keys(ch.ev.Starts)) {
		if n := ch.ev.Starts[task]; n > 1 {
			ch.add(1, "task %s was started %d times", task, n)
		}
	}
}

// startsByKey returns the number of tasks of each key that were started.
func (ch *checker) startsByKey() map[string]int {
	out := map[string]int{}
	for task, n := range ch.ev.Starts {
		if key, _, ok := strings.Cut(task, "/"); ok && n > 0 {
			out[key]++
		}
	}
	return out
}

// checkAnswer judges one answer by invariants 2, 3 and 4.
func (ch *checker) checkAnswer(cr *CallRecord, started map[string]int) {
	an := &cr.Answer
	if an.Key.String() != cr.Key {
		ch.add(3, "the answer belongs to key %s: %s", an.Key, cr)
	}
	if an.Outcome == lovagejob.NotRun && started[cr.Key] > 0 {
		ch.add(4, "%d tasks were started although: %s", started[cr.Key], cr)
	}
	if an.Outcome != lovagejob.Complete {
		if len(an.Results) > 0 {
			ch.add(2, "%d results in an answer that is not complete: %s", len(an.Results), cr)
		}
		return
	}
	if started[cr.Key] < an.Tasks {
		ch.add(2, "only %d of %d tasks were started although: %s", started[cr.Key], an.Tasks, cr)
	}
	if cr.Payloads != nil && an.Tasks != len(cr.Payloads) {
		ch.add(2, "%d tasks were submitted: %s", len(cr.Payloads), cr)
	}
	if len(an.Results) == 0 {
		return // results are kept for a limited time; the outcome alone is whole
	}
	if len(an.Results) != an.Tasks {
		ch.add(2, "%d results for %d tasks: %s", len(an.Results), an.Tasks, cr)
		return
	}
	ch.checkResults(cr)
}

// checkResults compares what the workers say they ran with what was submitted.
func (ch *checker) checkResults(cr *CallRecord) {
	for i, re := range cr.Answer.Results {
		var echo struct {
			Task         string
			PayloadBytes int
		}
		if err := json.Unmarshal(re.Body, &echo); err != nil {
			ch.add(3, "the result of task %d is not that of a worker: %v: %s", i, err, cr)
			continue
		}
		if want := fmt.Sprintf("%s/%d", cr.Key, i); re.Task != i || echo.Task != want {
			ch.add(3, "result %d is that of task %q, numbered %d: %s", i, echo.Task, re.Task, cr)
		}
		if i < len(cr.Payloads) && echo.PayloadBytes != cr.Payloads[i] {
			ch.add(3, "task %d ran with %d bytes of payload instead of %d: %s", i, echo.PayloadBytes, cr.Payloads[i], cr)
		}
	}
}

// checkFinal compares the answers to each key: once one is final, no later one says anything else, except that it is
// not known.
func (ch *checker) checkFinal() {
	finals := map[string]*CallRecord{}
	for i := range ch.ev.Calls {
		cr := &ch.ev.Calls[i]
		if cr.Err != nil || !cr.Answer.Outcome.Final() {
			continue
		}
		first := finals[cr.Key]
		if first == nil {
			finals[cr.Key] = cr
			continue
		}
		if first.Answer.Outcome != cr.Answer.Outcome {
			ch.add(2, "the answer changed: %s, then %s", first, cr)
			continue
		}
		if len(first.Answer.Results) > 0 && len(cr.Answer.Results) > 0 && !sameResults(first, cr) {
			ch.add(2, "the results changed: %s, then %s", first, cr)
		}
	}
	for i := range ch.ev.Calls {
		cr := &ch.ev.Calls[i]
		first := finals[cr.Key]
		if first != nil && cr.Err == nil && cr.Answer.Outcome == lovagejob.Pending && cr.Invoked.After(first.Returned) {
			ch.add(2, "an ended job is pending again: %s, then %s", first, cr)
		}
	}
}

func sameResults(a, b *CallRecord) bool {
	x, err := json.Marshal(a.Answer.Results)
	if err != nil {
		return false
	}
	y, err := json.Marshal(b.Answer.Results)
	return err == nil && string(x) == string(y)
}

// checkWrites judges that racing operators cannot both replace the same revision.
func (ch *checker) checkWrites() {
	type base struct {
		kind, name string
		revision   int64
	}
	revisions, bases := map[int64]*WriteRecord{}, map[base]*WriteRecord{}
	for i := range ch.ev.Writes {
		wr := &ch.ev.Writes[i]
		if wr.Err != nil || wr.Result.Outcome != "accepted" {
			continue
		}
		if other := revisions[wr.Result.Revision]; other != nil {
			ch.add(8, "revision %d was accepted twice: at %s and %s", wr.Result.Revision, other.Process, wr.Process)
		}
		revisions[wr.Result.Revision] = wr
		ba := base{string(wr.Resource.Kind), wr.Resource.Name, wr.Resource.Revision}
		if other := bases[ba]; other != nil {
			ch.add(8, "%s %q: two changes of revision %d were accepted: %d and %d", ba.kind, ba.name, ba.revision,
				other.Result.Revision, wr.Result.Revision)
		}
		bases[ba] = wr
	}
}

// shownState is the newest that an instance has shown.
type shownState struct {
	read      *ReadRecord
	resources map[string]int64 // revision by kind and name
}

// checkReads judges that no instance, restarted or not, goes back, and that a revision means the same everywhere.
// Operators of this package delete nothing, so a resource that is missing later has gone back too.
func (ch *checker) checkReads() {
	reads := slices.Clone(ch.ev.Reads)
	slices.SortStableFunc(reads, func(a, b ReadRecord) int { return a.Returned.Compare(b.Returned) })
	shown := map[string]shownState{}
	specs := map[string]string{}
	for i := range reads {
		re := &reads[i]
		ch.checkSpecs(re, specs)
		before, ok := shown[re.Name]
		if ok && re.Invoked.Before(before.read.Returned) {
			continue // concurrent reads have no order
		}
		now := shownState{read: re, resources: map[string]int64{}}
		for _, it := range re.Resources {
			now.resources[string(it.Kind)+"/"+it.Name] = it.Revision
		}
		if ok {
			if re.Revision < before.read.Revision {
				ch.add(8, "%s went back from revision %d (%s, %s) to %d (%s, %s)", re.Name, before.read.Revision,
					before.read.Process, stamp(before.read.Returned), re.Revision, re.Process, stamp(re.Returned))
			}
			for name, revision := range before.resources {
				if now.resources[name] < revision {
					ch.add(8, "%s: %s went back from revision %d to %d", re.Name, name, revision, now.resources[name])
				}
			}
		}
		shown[re.Name] = now
	}
}

// checkWatches judges that a watch has no gaps and does not go back.
func (ch *checker) checkWatches() {
	for _, wa := range ch.ev.Watches {
		last := wa.From
		for _, revision := range wa.Revisions {
			if revision != last+1 {
				ch.add(8, "the watch at %s from revision %d shows %d after %d", wa.Process, wa.From, revision, last)
			}
			last = revision
		}
	}
}

// checkSpecs judges that one revision of a resource is the same wherever it is read and as it was accepted.
func (ch *checker) checkSpecs(re *ReadRecord, specs map[string]string) {
	for _, it := range re.Resources {
		spec, err := json.Marshal(it.Spec)
		if err != nil {
			ch.add(8, "%s: %s %q cannot be encoded: %v", re.Name, it.Kind, it.Name, err)
			continue
		}
		at := fmt.Sprintf("%s/%s at revision %d", it.Kind, it.Name, it.Revision)
		if other, ok := specs[at]; ok && other != string(spec) {
			ch.add(8, "%s: %s is %s, elsewhere %s", re.Name, at, spec, other)
		}
		specs[at] = string(spec)
	}
}

func stamp(t time.Time) string { return t.Format("05.000") }
