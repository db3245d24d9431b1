package main

import (
	"context"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"lovagestack/lovagebench"
)

type benchCommand struct {
	Quick     bool          `arg:"--quick" help:"a few seconds per row; shows that everything runs, its times say little"`
	Parallel  int           `arg:"--parallel" placeholder:"N" help:"variants measured side by side"`
	Seeds     []uint64      `arg:"--seeds" placeholder:"SEED" help:"rows hold the medians over these seeds"`
	Loads     []float64     `arg:"--loads" placeholder:"LOAD" help:"shares of the slots' capacity"`
	Measured  time.Duration `arg:"--measured" placeholder:"DURATION" help:"time in which the jobs of a row are sent"`
	Variants  []string      `arg:"--variants" placeholder:"NAME" help:"one or more names; the first is the one that the targets are for"`
	NoFaults  bool          `arg:"--no-faults" help:"leave the scenarios out"`
	NoLatency bool          `arg:"--no-latency" help:"loopback without the latency that the users state"`
	Report    string        `arg:"--report" placeholder:"FILE" help:"write all rows with their counters to a JSON file"`
}

// help describes exit status and variants.
func (*benchCommand) help() string {
	var names []string
	for _, va := range lovagebench.Variants() {
		names = append(names, `"`+va.Name+`"`)
	}
	return `The whole measurement runs in real time inside this process, on loopback. Exit status 1 means that a task was
started twice or an answer was wrong; times never make the command fail.

Variants: ` + strings.Join(names, ", ")
}

// options returns the selected options.
func (cmd *benchCommand) options() (lovagebench.Options, error) {
	op := lovagebench.FullOptions()
	if cmd.Quick {
		op = lovagebench.QuickOptions()
	}
	if len(cmd.Variants) > 0 {
		op.Variants = nil
		for _, name := range cmd.Variants {
			variants := lovagebench.Variants()
			i := slices.IndexFunc(variants, func(va lovagebench.Variant) bool { return va.Name == name })
			if i < 0 {
				return op, errors.Newf("--variants: unknown variant %q", name)
			}
			op.Variants = append(op.Variants, variants[i])
		}
	}
	for _, load := range cmd.Loads {
		if load <= 0 || load > 2 {
			return op, errors.Newf("--loads: %g is not between 0 and 2", load)
		}
	}
	if cmd.Parallel < 0 || cmd.Measured < 0 {
		return op, errors.New("--parallel and --measured must not be negative")
	}
	if cmd.Parallel > 0 {
		op.Parallel = cmd.Parallel
	}
	if cmd.Measured > 0 {
		op.Measured = cmd.Measured
	}
	if len(cmd.Seeds) > 0 {
		op.Seeds = cmd.Seeds
	}
	if len(cmd.Loads) > 0 {
		op.Loads = cmd.Loads
	}
	if cmd.NoLatency {
		op.Latency = lovagebench.Latency{}
	}
	if cmd.NoFaults {
		op.Scenarios = nil
	}
	return op, nil
}

func (cmd *benchCommand) run(ctx context.Context, en *environment) int {
	op, err := cmd.options()
	if err != nil {
		return en.fail(exitBadInput, err)
	}
	re, err := lovagebench.Run(ctx, op, en.stderr)
	if err != nil {
		return en.fail(exitFailed, errors.Wrap(err, "measure"))
	}
	if cmd.Report != "" {
		if err := writeReport(cmd.Report, re); err != nil {
			return en.fail(exitFailed, err)
		}
	}
	write := re.Write
	if en.json {
		write = re.WriteJSON
	}
	if err := write(en.stdout); err != nil {
		return en.fail(exitFailed, err)
	}
	if len(re.Violations()) > 0 {
		return exitFailed
	}
	return exitOK
}

func writeReport(name string, re *lovagebench.Report) error {
	file, err := os.Create(name)
	if err != nil {
		return errors.Wrap(err, "write the report")
	}
	return errors.CombineErrors(re.WriteJSON(file), errors.Wrap(file.Close(), "write the report"))
}
