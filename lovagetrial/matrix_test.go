package lovagetrial

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"
)

// cellsPerProcessor limits the cells that run in parallel: 12 on six cores. Each cell has about ten listeners and a few
// hundred goroutines.
const cellsPerProcessor = 2

// matrixSeed is the first seed of the cells and the seed of the samples.
const matrixSeed = 20261204

// pairSampleSize is the number of cells with two faults that run unless LOVAGE_MATRIX=all.
const pairSampleSize = 32

// Default sample sizes. Cells with faults at two steps are sampled unless LOVAGE_MATRIX=all, those with three faults
// always.
const (
	twoStepSampleSize    = 32
	threeFaultSampleSize = 24
)

// runCells runs each cell as a subtest, which fails if the cell has a violation or a problem.
func runCells(t *testing.T, title string, cells []Cell, notApplicable map[string]int) {
	var mu sync.Mutex
	var cellGroup sync.WaitGroup
	permits := make(chan struct{}, cellsPerProcessor*runtime.GOMAXPROCS(0))
	// Cells with silent connections start first: they wait for up to 20 s. Started last, they would run alone.
	slices.SortStableFunc(cells, func(a, b Cell) int {
		return cmp.Compare(countSilentFaults(b), countSilentFaults(a))
	})
	judgedRequests, ran, longestCell := 0, 0, CellResult{}
	for _, ce := range cells {
		permits <- struct{}{}
		cellGroup.Go(func() {
			defer func() { <-permits }()
			t.Run(ce.String(), func(t *testing.T) {
				res := ce.Run(context.Background())
				mu.Lock()
				defer mu.Unlock()
				ran++
				judgedRequests += res.JudgedCalls
				if res.Duration > longestCell.Duration {
					longestCell = res
				}
				if res.Failed() {
					t.Errorf("cell %s: violations %v, problems %q\n%s", ce, res.Violations, res.Problems, res.Report)
				}
			})
		})
	}
	cellGroup.Wait()
	skipped := 0
	for _, reason := range slices.Sorted(maps.Keys(notApplicable)) {
		fmt.Printf("not applicable, %d cells: %s\n", notApplicable[reason], reason)
		skipped += notApplicable[reason]
	}
	fmt.Printf("%s: %d cells run, %d not applicable; %d requests judged, longest cell %s\n", title, ran,
		skipped, judgedRequests, longestCell.Duration.Round(time.Millisecond))
}

func countSilentFaults(ce Cell) int {
	n := 0
	for _, fa := range []Fault{FaultSilentConnection, FaultCallersSilent} {
		if ce.hasAnyFault(fa) {
			n++
		}
	}
	return n
}

// matrixSeeds returns the seeds to run: one, or as many as LOVAGE_MATRIX_SEEDS says.
func matrixSeeds(t *testing.T) []uint64 {
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

// Checks that after a fault at any step no task starts twice, no answer is untrue, partial or that of another job, no
// shutdown cuts a request, and no configuration goes back to an older revision.
func TestFaultMatrix(t *testing.T) {
	if testing.Short() {
		t.Skip("takes about two minutes")
	}
	var li cellList
	for _, seed := range matrixSeeds(t) {
		for _, st := range Steps() {
			for _, fa := range Faults() {
				li.add(Cell{Step: st, Faults: []Fault{fa}, Seed: seed})
			}
		}
	}
	runCells(t, "fault matrix", li.cells, li.notApplicable)
}

// Checks that two faults at the same step violate no invariant together.
func TestFaultMatrixPairs(t *testing.T) {
	if testing.Short() {
		t.Skip("takes about half a minute")
	}
	var li cellList
	faults := Faults()
	for _, seed := range matrixSeeds(t) {
		for _, st := range Steps() {
			for i, first := range faults {
				for _, second := range faults[i+1:] {
					li.add(Cell{Step: st, Faults: []Fault{first, second}, Seed: seed})
				}
			}
		}
	}
	if os.Getenv("LOVAGE_MATRIX") != "all" {
		li.cells = drawSample(li.cells, pairSampleSize)
	}
	runCells(t, "fault matrix, pairs of faults", li.cells, li.notApplicable)
}

// cellList collects the cells of a test and counts those that cannot occur.
type cellList struct {
	cells         []Cell
	notApplicable map[string]int // number of cells that cannot occur, by reason
}

func (li *cellList) add(ce Cell) {
	reason := ce.NotApplicable()
	if reason == "" {
		li.cells = append(li.cells, ce)
		return
	}
	if li.notApplicable == nil {
		li.notApplicable = make(map[string]int)
	}
	li.notApplicable[reason]++
}

// drawSample returns up to n random cells, drawn with matrixSeed.
func drawSample(cells []Cell, n int) []Cell {
	rng := rand.New(rand.NewPCG(matrixSeed, 0))
	rng.Shuffle(len(cells), func(i, j int) { cells[i], cells[j] = cells[j], cells[i] })
	return cells[:min(n, len(cells))]
}

// Checks that a second fault at a later step violates no invariant, while the first fault lasts or right after its end.
func TestFaultMatrixSteps(t *testing.T) {
	if testing.Short() {
		t.Skip("takes about a quarter of a minute")
	}
	var li cellList
	faults := Faults()
	for _, seed := range matrixSeeds(t) {
		for _, first := range Steps() {
			for _, second := range Steps() {
				for _, fa := range faults {
					for _, fb := range faults {
						li.add(Cell{Step: first, Faults: []Fault{fa}, LaterStages: []Stage{{second, []Fault{fb}}}, Seed: seed})
					}
				}
			}
		}
	}
	if os.Getenv("LOVAGE_MATRIX") != "all" {
		li.cells = drawSample(li.cells, sampleSize(t, twoStepSampleSize))
	}
	runCells(t, "fault matrix, faults at two steps", li.cells, li.notApplicable)
}

// Checks that three faults at the same step violate no invariant together.
func TestFaultMatrixThree(t *testing.T) {
	mode := os.Getenv("LOVAGE_MATRIX")
	if mode != "all" && mode != "three" {
		t.Skip("runs with LOVAGE_MATRIX=three or all")
	}
	var li cellList
	faults := Faults()
	for _, seed := range matrixSeeds(t) {
		for _, st := range Steps() {
			for i, first := range faults {
				for k, second := range faults[i+1:] {
					for _, third := range faults[i+k+2:] {
						li.add(Cell{Step: st, Faults: []Fault{first, second, third}, Seed: seed})
					}
				}
			}
		}
	}
	runCells(t, "fault matrix, three faults", drawSample(li.cells, sampleSize(t, threeFaultSampleSize)), li.notApplicable)
}

// sampleSize returns LOVAGE_MATRIX_SAMPLE if it is set, or else standard.
func sampleSize(t *testing.T, standard int) int {
	text := os.Getenv("LOVAGE_MATRIX_SAMPLE")
	if text == "" {
		return standard
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 {
		t.Fatalf("LOVAGE_MATRIX_SAMPLE=%q is not a positive number", text)
	}
	return n
}
