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

// checkTimeout bounds the search for an order of one partition. The search is exponential in the operations that
// overlap; the partitions of a test run take milliseconds.
const checkTimeout = time.Minute

// maxShown is the number of operations that an error shows.
const maxShown = 40

// check judges the operations of the given kinds, each partition on its own. The error names the partition and shows
// its operations.
func check(entries []Entry, model porcupine.Model, kinds []Kind, partition func(*Operation) string) error {
	parts := map[string][]porcupine.Operation{}
	for i := range entries {
		en := &entries[i]
		if !slices.Contains(kinds, en.Operation.Kind) {
			continue
		}
		name := partition(&en.Operation)
		parts[name] = append(parts[name], porcupine.Operation{
			Input: &en.Operation, Output: outputOf(en), Call: en.Call, Return: en.end(), Metadata: en.ID,
		})
	}
	for _, name := range slices.Sorted(maps.Keys(parts)) {
		switch porcupine.CheckOperationsTimeout(model, parts[name], checkTimeout) {
		case porcupine.Ok:
		case porcupine.Unknown:
			return errors.Newf("%q: no verdict on %d operations within %s", name, len(parts[name]), checkTimeout)
		case porcupine.Illegal:
			return errors.Newf("%q: no order of these operations is right:\n%s", name, describe(parts[name]))
		}
	}
	return nil
}

// output is a response together with whether one was seen.
type output struct {
	Result
	seen bool
}

func outputOf(en *Entry) *output { return &output{Result: en.Result, seen: en.Return != 0} }

func describe(ops []porcupine.Operation) string {
	var bu strings.Builder
	for i, op := range ops {
		if i == maxShown {
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

// step adapts a typed step function of a model that may have several next states.
func step[S any](next func(S, *Operation, *output) []S) func(state, input, out any) []any {
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
