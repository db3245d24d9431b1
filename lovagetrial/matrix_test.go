package lovagetrial

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"
)

// cellsAtOnce bounds the cells that run in parallel. Each has about ten listeners and a few hundred goroutines.
const cellsAtOnce = 8

// matrixSeed seeds the cells and the sample of pairs.
const matrixSeed = 20261204

// pairSample is the number of cells with two faults that run unless LOVAGE_MATRIX=all.
const pairSample = 32

// runCells runs the cells and fails the test for each that shows a fault.
func runCells(t *testing.T, what string, cells []Cell, notApplicable []string) {
	var mu sync.Mutex
	var running sync.WaitGroup
	places := make(chan struct{}, cellsAtOnce)
	calls, longest := 0, time.Duration(0)
	for _, ce := range cells {
		places <- struct{}{}
		running.Go(func() {
			defer func() { <-places }()
			res := ce.Run(context.Background())
			mu.Lock()
			defer mu.Unlock()
			calls, longest = calls+res.Calls, max(longest, res.Took)
			if res.Wrong() {
				t.Errorf("cell %s: violations %v, problems %q\n%s", ce, res.Violations, res.Problems, res.Report)
			}
		})
	}
	running.Wait()
	for _, reason := range notApplicable {
		fmt.Println("not applicable:", reason)
	}
	fmt.Printf("%s: %d cells run, %d not applicable; %d requests judged, longest cell %s\n", what, len(cells),
		len(notApplicable), calls, longest.Round(time.Millisecond))
}

// seeds returns the seeds to run: more than one only if LOVAGE_MATRIX_SEEDS says so.
func seeds(t *testing.T) []uint64 {
	n := 1
	if text := os.Getenv("LOVAGE_MATRIX_SEEDS"); text != "" {
		var err error
		if n, err = strconv.Atoi(text); err != nil || n < 1 {
			t.Fatalf("LOVAGE_MATRIX_SEEDS=%q is not a positive number", text)
		}
	}
	out := make([]uint64, n)
	for i := range out {
		out[i] = matrixSeed + uint64(i)
	}
	return out
}

// Guards against a fault at any step that makes a task start twice, an answer untrue, partial or crossed, a shutdown
// cut a request, or a configuration go back.
func TestFaultMatrix(t *testing.T) {
	if testing.Short() {
		t.Skip("takes about two minutes")
	}
	var cells []Cell
	var not []string
	for _, seed := range seeds(t) {
		for _, st := range Steps() {
			for _, fa := range Faults() {
				if reason := NotApplicable(fa); reason != "" {
					not = append(not, fmt.Sprintf("%s at %s: %s", fa, st.Step, reason))
					continue
				}
				cells = append(cells, Cell{Step: st, Faults: []Fault{fa}, Seed: seed})
			}
		}
	}
	runCells(t, "fault matrix", cells, not)
}

// Guards against two faults at the same step that are each survived alone.
func TestFaultMatrixPairs(t *testing.T) {
	if testing.Short() {
		t.Skip("takes about half a minute")
	}
	var cells []Cell
	var not []string
	faults := Faults()
	for _, seed := range seeds(t) {
		for _, st := range Steps() {
			for i, first := range faults {
				for _, second := range faults[i+1:] {
					if reason := NotApplicable(first, second); reason != "" {
						not = append(not, fmt.Sprintf("%s with %s at %s: %s", first, second, st.Step, reason))
						continue
					}
					cells = append(cells, Cell{Step: st, Faults: []Fault{first, second}, Seed: seed})
				}
			}
		}
	}
	if os.Getenv("LOVAGE_MATRIX") != "all" {
		rng := rand.New(rand.NewPCG(matrixSeed, 0))
		rng.Shuffle(len(cells), func(i, j int) { cells[i], cells[j] = cells[j], cells[i] })
		cells = cells[:pairSample]
	}
	runCells(t, "fault matrix, pairs of faults", cells, not)
}
