package lovagetrial

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"lovagestack/lovagehistory"
	"lovagestack/lovagejob"
)

// historySeeds are the seeds in CI. LOVAGE_HISTORY_SEEDS sets others, such as "100-200", and LOVAGE_HISTORY_DURATION the
// duration of each run, such as "20s".
var historySeeds = []uint64{1, 2, 3, 4, 5}

const (
	historyDuration    = 5 * time.Second
	historyHangTimeout = time.Minute // added to the duration; only a run that hangs takes longer
)

func seedsAndDuration(t *testing.T) ([]uint64, time.Duration) {
	t.Helper()
	seeds, duration := historySeeds, historyDuration
	if text := os.Getenv("LOVAGE_HISTORY_SEEDS"); text != "" {
		var first, last uint64
		n, err := fmt.Sscanf(text, "%d-%d", &first, &last)
		must.NoError(t, err, must.Sprintf("LOVAGE_HISTORY_SEEDS=%s, read %d numbers", text, n))
		seeds = nil
		for seed := first; seed <= last; seed++ {
			seeds = append(seeds, seed)
		}
	}
	if text := os.Getenv("LOVAGE_HISTORY_DURATION"); text != "" {
		var err error
		duration, err = time.ParseDuration(text)
		must.NoError(t, err)
	}
	return seeds, duration
}

// runHistory runs a trial and returns its history, which must pass all checks.
func runHistory(t *testing.T, op HistoryOptions) []lovagehistory.Entry {
	t.Helper()
	ht, err := NewHistoryTrial(op)
	must.NoError(t, err)
	t.Cleanup(ht.Deployment.Close)
	ctx, cancel := context.WithTimeout(context.Background(), op.Duration+historyHangTimeout)
	defer cancel()
	errRun := ht.Run(ctx)
	judgeStart := time.Now()
	entries, err := ht.Judge()
	ranges, unseen := ht.History.RangeCounts()
	t.Logf("seed %d: %s; %d key ranges, %d epochs without a seen holder; judged in %s",
		op.Seed, HistorySummary(entries), ranges, unseen, time.Since(judgeStart).Round(time.Millisecond))
	if err != nil || errRun != nil {
		t.Logf("faults:\n%s\n%s", ht.FaultLog(), ht.Deployment.Report())
		t.Logf("record: %s", ht.saveRecord(t))
	}
	must.NoError(t, errRun)
	must.NoError(t, err)
	return entries
}

// saveRecord writes the history to a file that the test does not delete.
func (ht *HistoryTrial) saveRecord(t *testing.T) string {
	file := filepath.Join(os.TempDir(), fmt.Sprintf("lovage-history-%d-%d.jsonl", ht.History.workload.Seed, os.Getpid()))
	must.NoError(t, os.WriteFile(file, ht.History.recorded.Bytes(), 0o600))
	return file
}

// Checks that no task starts twice, no answer is wrong or changes, no configuration change is lost or reverted, and no
// epoch has two owners, in concurrent runs with faults that no test with one client covers.
func TestConcurrentHistories(t *testing.T) {
	seeds, duration := seedsAndDuration(t)
	total := 0
	for _, seed := range seeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			entries := runHistory(t, HistoryOptions{Seed: seed, Duration: duration})
			total += len(entries)
			for _, kind := range []lovagehistory.Kind{
				lovagehistory.Submit, lovagehistory.Ask, lovagehistory.Cancel, lovagehistory.Start,
				lovagehistory.ConfigWrite, lovagehistory.ConfigApply, lovagehistory.Acquire, lovagehistory.OwnerAction,
			} {
				must.True(t, slices.ContainsFunc(entries, func(en lovagehistory.Entry) bool {
					return en.Operation.Kind == kind
				}), must.Sprintf("nothing of kind %q was recorded", kind))
			}
		})
	}
	t.Logf("%d operations in %d runs", total, len(seeds))
}

// findEntry returns the index of the first entry that matches.
func findEntry(t *testing.T, entries []lovagehistory.Entry, match func(en *lovagehistory.Entry) bool) int {
	t.Helper()
	for i := range entries {
		if match(&entries[i]) {
			return i
		}
	}
	t.Fatal("the run recorded no entry that the test needs")
	return 0
}

// Checks that CheckHistory does not accept every history. Each case changes, adds or removes one entry of a real run,
// and CheckHistory must fail.
func TestChangedHistoryIsRejected(t *testing.T) {
	entries := runHistory(t, HistoryOptions{Seed: 1, Duration: 2 * time.Second, Faults: []PlannedFault{
		{Kind: HistoryKill, Start: 500 * time.Millisecond, Duration: 300 * time.Millisecond},
	}})
	isComplete := func(en *lovagehistory.Entry) bool {
		return en.Operation.Kind == lovagehistory.Submit && en.Result.Outcome == string(lovagejob.Complete) &&
			len(en.Result.Results) > 0
	}
	ofKind := func(kind lovagehistory.Kind) func(en *lovagehistory.Entry) bool {
		return func(en *lovagehistory.Entry) bool { return en.Operation.Kind == kind }
	}
	for _, tc := range []struct {
		name   string
		model  string
		change func(t *testing.T, entries []lovagehistory.Entry) []lovagehistory.Entry
	}{
		{"a second start", "jobs", func(t *testing.T, changed []lovagehistory.Entry) []lovagehistory.Entry {
			duplicate := changed[findEntry(t, changed, ofKind(lovagehistory.Start))]
			duplicate.ID += "-again"
			return append(changed, duplicate)
		}},
		{"a start that is missing", "jobs", func(t *testing.T, changed []lovagehistory.Entry) []lovagehistory.Entry {
			key := changed[findEntry(t, changed, isComplete)].Operation.Key
			i := findEntry(t, changed, func(e *lovagehistory.Entry) bool {
				return e.Operation.Kind == lovagehistory.Start && e.Operation.Key == key
			})
			return slices.Delete(changed, i, i+1)
		}},
		{"complete turned into notRun", "jobs", func(t *testing.T, changed []lovagehistory.Entry) []lovagehistory.Entry {
			re := &changed[findEntry(t, changed, isComplete)].Result
			re.Outcome, re.Results, re.Started = string(lovagejob.NotRun), nil, 0
			return changed
		}},
		{"the result of another job", "jobs", func(t *testing.T, changed []lovagehistory.Entry) []lovagehistory.Entry {
			re := &changed[findEntry(t, changed, isComplete)].Result
			re.Results = slices.Clone(re.Results)
			re.Results[0] = "kandla.1.1.1.1/0"
			return changed
		}},
		{"a configuration read that goes back", "configuration", func(t *testing.T, changed []lovagehistory.Entry) []lovagehistory.Entry {
			i := len(changed) - 1
			for changed[i].Operation.Kind != lovagehistory.ConfigApply || changed[i].Return == 0 {
				i--
			}
			changed[i].Result.Revision, changed[i].Result.Content = 4, ""
			return changed
		}},
		{"a second change of a revision", "configuration", func(t *testing.T, changed []lovagehistory.Entry) []lovagehistory.Entry {
			duplicate := changed[findEntry(t, changed, func(e *lovagehistory.Entry) bool {
				return e.Operation.Kind == lovagehistory.ConfigWrite && e.Operation.Revision > 0 &&
					e.Result.WriteOutcome == lovagehistory.Committed
			})]
			duplicate.ID += "-again"
			duplicate.Operation.Content = "another"
			duplicate.Result.Revision++
			return append(changed, duplicate)
		}},
		{"a second holder of an epoch", "ownership", func(t *testing.T, changed []lovagehistory.Entry) []lovagehistory.Entry {
			duplicate := changed[findEntry(t, changed, ofKind(lovagehistory.Acquire))]
			duplicate.ID += "-again"
			duplicate.Operation.Instance = "another"
			return append(changed, duplicate)
		}},
		{"a key of an epoch that nobody holds", "ownership", func(t *testing.T, changed []lovagehistory.Entry) []lovagehistory.Entry {
			changed[findEntry(t, changed, ofKind(lovagehistory.OwnerAction))].Operation.Epoch += 100
			return changed
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			err := CheckHistory(tc.change(t, slices.Clone(entries)))
			must.ErrorContains(t, err, tc.model)
			must.ErrorContains(t, err, "no order of these operations")
		})
	}
}
