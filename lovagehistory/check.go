package lovagehistory

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/errors"
)

// checkTimeout is the time limit for the linearizability check of one partition. The duration of a check is
// exponential in the number of overlapping operations. A partition of a test run takes milliseconds.
const checkTimeout = time.Minute

// maxShownOperations is the maximum number of operations listed in an error.
const maxShownOperations = 40

// checkPartitions checks the operations of the given kinds against the model, separately for each partition that
// partitionOf names. An error names the partition and lists its operations.
func checkPartitions(entries []Entry, model porcupine.Model, kinds []Kind, partitionOf func(*Operation) string) error {
	partitions := map[string][]porcupine.Operation{}
	for i := range entries {
		en := &entries[i]
		if !slices.Contains(kinds, en.Operation.Kind) {
			continue
		}
		name := partitionOf(&en.Operation)
		partitions[name] = append(partitions[name], porcupine.Operation{
			Input: &en.Operation, Output: outputOf(en), Call: en.Call, Return: en.latestEffect(), Metadata: en.ID,
		})
	}
	for _, name := range slices.Sorted(maps.Keys(partitions)) {
		switch porcupine.CheckOperationsTimeout(model, partitions[name], checkTimeout) {
		case porcupine.Ok:
		case porcupine.Unknown:
			return errors.Newf("%q: check of %d operations inconclusive after %s", name, len(partitions[name]), checkTimeout)
		case porcupine.Illegal:
			return errors.Newf("%q: no order of these operations is right:\n%s", name, formatOperations(partitions[name]))
		}
	}
	return nil
}

// output is the result of an operation, zero if no response was recorded.
type output struct {
	Result
	hasResponse bool
}

func outputOf(en *Entry) *output { return &output{Result: en.Result, hasResponse: en.Return != 0} }

func formatOperations(ops []porcupine.Operation) string {
	var bu strings.Builder
	for i, op := range ops {
		if i == maxShownOperations {
			bu.WriteString("...\n")
			break
		}
		line, err := json.Marshal(struct{ Call, Return, Operation, Result any }{op.Call, op.Return, op.Input, op.Output})
		if err != nil {
			line = []byte(err.Error())
		}
		bu.Write(line)
		bu.WriteByte('\n')
	}
	return bu.String()
}

// adaptStep adapts a typed step function to porcupine. next returns all possible next states, or none for a violation.
func adaptStep[S any](next func(S, *Operation, *output) []S) func(state, input, out any) []any {
	return func(state, input, out any) []any {
		st, okState := state.(S)
		op, okInput := input.(*Operation)
		ou, okOutput := out.(*output)
		if !okState || !okInput || !okOutput {
			return nil
		}
		var states []any
		for _, s := range next(st, op, ou) {
			states = append(states, s)
		}
		return states
	}
}
