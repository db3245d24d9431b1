package lovagebench

import (
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"lovagestack/lovageapi"
	"lovagestack/lovagejob"
	"lovagestack/lovageload"
)

// smallOptions returns options for four variants and all scenarios, with about a second per row.
func smallOptions() Options {
	op := QuickOptions()
	op.Variants = []Variant{op.Variants[0], op.Variants[2], op.Variants[3], op.Variants[6]}
	op.Parallel, op.Loads = 4, []float64{0.4}
	op.WarmUp, op.RowWarmUp, op.Measured = 500*time.Millisecond, 100*time.Millisecond, time.Second
	op.Services = op.Services[:3]
	op.MaxTasks = 20
	return op
}

// Checks that each row of smallOptions has complete jobs and useful messages, no task started twice and no partial
// answer. The test does not check times.
func TestMeasurementRunsAndKeepsTheInvariants(t *testing.T) {
	re, err := Run(t.Context(), smallOptions(), io.Discard)
	must.NoError(t, err)
	must.SliceEmpty(t, re.Violations())
	must.SliceLen(t, 4*(1+len(Scenarios())), re.Rows)
	for _, ro := range re.Rows {
		must.Positive(t, ro.Report.Jobs)
		must.Positive(t, ro.Report.Outcomes["complete"], must.Sprintf("%s, %s", ro.Variant.Name, ro.Point))
		must.Positive(t, ro.Report.Messages.Useful)
		if ro.Variant.OwnerAddress {
			must.Positive(t, ro.Counters["caller_direct"], must.Sprint(ro.Point, ": ", ro.Counters))
		}
		if ro.Variant.NoKey && ro.Point == loadName(0.4) {
			must.Positive(t, ro.Counters["lovage_forwards_total"])
		}
	}
	var out bytes.Buffer
	must.NoError(t, re.Write(&out))
	must.StrContains(t, out.String(), "violations of an invariant: 0")
}

// Checks that checkAnswer reports partial answers, mixed-up results and results of failed jobs.
func TestCheckAnswerFindsViolations(t *testing.T) {
	key, err := lovagejob.ParseKey("kandla.12.7.1796381234567.5f0c9a1be2d34c77")
	must.NoError(t, err)
	result := func(i int, task string) lovageapi.ResultReply {
		return lovageapi.ResultReply{Task: i, Status: 200, Body: []byte(`{"task":"` + key.String() + "/" + task + `"}`)}
	}
	for _, tc := range []struct {
		name    string
		outcome lovagejob.Outcome
		results []lovageapi.ResultReply
		want    string
	}{
		{"whole", lovagejob.Complete, []lovageapi.ResultReply{result(0, "0"), result(1, "1")}, ""},
		{"partial", lovagejob.Complete, []lovageapi.ResultReply{result(0, "0")}, "complete with 1 results for 2 tasks"},
		{"crossed", lovagejob.Complete, []lovageapi.ResultReply{result(0, "1"), result(1, "0")}, "result 0 of job"},
		{"failed with results", lovagejob.Failed, []lovageapi.ResultReply{result(0, "0")}, "is failed and has 1 results"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ca := newCallers(&deployment{op: smallOptions()})
			ca.checkAnswer(key, &lovageapi.AnswerReply{Key: key, Outcome: tc.outcome, Results: tc.results}, 2)
			if tc.want == "" {
				must.SliceEmpty(t, ca.violations)
				return
			}
			must.StrContains(t, strings.Join(ca.violations, "\n"), tc.want)
		})
	}
}

// Checks that checkStarts reports a task started twice, a start of a job answered as not run, and a missing start.
func TestCheckStartsFindsViolations(t *testing.T) {
	op := smallOptions()
	de := &deployment{op: op}
	defer func() {
		for _, wo := range de.workers {
			wo.Close()
		}
	}()
	de.setUpPlatform()
	must.NoError(t, de.startWorkers())
	ca := newCallers(de)
	started, err := lovagejob.ParseKey("kandla.12.7.1796381234567.5f0c9a1be2d34c77")
	must.NoError(t, err)
	missing, err := lovagejob.ParseKey("kandla.12.7.1796381234567.6f0c9a1be2d34c77")
	must.NoError(t, err)
	for _, wo := range de.workers[:2] {
		client := lovageload.NewHTTPTarget(nil).Client
		must.NoError(t, callWorker(t.Context(), client, wo.Instance().Address, started.String()+"/0", `{"runTime":"0s"}`))
	}
	ca.notRunKeys = []lovagejob.Key{started}
	ca.completeTaskCounts[missing] = 1
	text := strings.Join(ca.checkStarts(), "\n")
	must.StrContains(t, text, "was started 2 times")
	must.StrContains(t, text, "answered as not run but its task 0 was started")
	must.StrContains(t, text, "is complete without a start of task 0")
}

// Checks that medians and targets are computed from the rows of the right variants.
func TestWriteMediansAndTargets(t *testing.T) {
	va := Variants()
	baseline := va[slices.IndexFunc(va, func(va Variant) bool { return va.Baseline })]
	re := &Report{Options: Options{Variants: []Variant{va[0], baseline}, Loads: []float64{0.6}}}
	row := func(va Variant, seed uint64, mean float64) {
		re.Rows = append(re.Rows, &Row{Variant: va, Point: "load 0.6", Seed: seed, Report: &lovageload.Report{
			Jobs: 10, Tasks: 100, Outcomes: map[string]int64{"complete": 10},
			ResponseOverIdeal: lovageload.Quantiles{Mean: mean, P99: 3}, Messages: lovageload.Messages{Refused: 4},
		}})
	}
	for i, mean := range []float64{1.3, 1.05, 1.2} {
		row(va[0], uint64(i), mean)
		row(baseline, uint64(i), mean+1)
	}
	var out bytes.Buffer
	must.NoError(t, re.Write(&out))
	for _, want := range []string{
		"mean response over ideal     1.2000, at most 1.10: MISSED", "wasted messages per task     0.0400, at most 0.05: met",
		"mean 1.200 to 2.200: met, p99 3.000 to 3.000: MISSED", "complete 30",
	} {
		must.StrContains(t, out.String(), want)
	}
}

// Checks that the owner and the replica of each range are running instances. The platform lists instances under other
// IDs than their processes use. A listed ID once counted as a live member, got a part of the slots and became a
// replica.
func TestReplicasAreRunningInstances(t *testing.T) {
	de, err := newDeployment(t.Context(), smallOptions(), Variants()[0])
	must.NoError(t, err)
	defer de.close()
	processes := map[string]bool{}
	for _, in := range de.instances {
		processes[in.entry.ID()] = true
	}
	// Instances mint keys before their ranges have replicas, so the test waits. The deadline only prevents a hang.
	for replicas, deadline := 0, time.Now().Add(time.Minute); replicas == 0; {
		must.True(t, time.Now().Before(deadline), must.Sprint("no range got a replica"))
		rows, err := de.memory.Scan(t.Context(), "range/")
		must.NoError(t, err)
		for _, row := range rows {
			var value struct{ Owner, Replica string }
			must.NoError(t, json.Unmarshal(row.Value, &value))
			must.True(t, processes[value.Owner], must.Sprintf("owner %q of %s", value.Owner, row.Key))
			if value.Replica != "" {
				replicas++
				must.True(t, processes[value.Replica], must.Sprintf("replica %q of %s", value.Replica, row.Key))
			}
		}
	}
}
