package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"lovagestack/lovageapi"
	"lovagestack/lovageconfig"
	"lovagestack/lovageresource"
)

// fail prints an error and returns the given exit status.
func (en *environment) fail(status int, err error) int {
	_, _ = fmt.Fprintln(en.stderr, "lovagestack:", err)
	return status
}

// failCall prints the error of an API call and returns the exit status for it. mayWrite says whether the call may have
// changed anything.
func (en *environment) failCall(err error, mayWrite bool) int {
	var re *lovageapi.ReplyError
	switch {
	case errors.As(err, &re) && len(re.Findings) > 0:
		en.printFindings(re.Findings)
		return exitBadInput
	case errors.As(err, &re) && (re.Status == 400 || re.Status == 413):
		return en.fail(exitBadInput, err)
	case errors.As(err, &re) || errors.Is(err, lovageapi.ErrNotSent) || !mayWrite:
		return en.fail(exitFailed, err)
	}
	return en.fail(exitUnknown, errors.Wrap(err, "the request may have been processed"))
}

// printFindings prints one finding per line to standard error, or a JSON object to standard output.
func (en *environment) printFindings(findings []lovageconfig.Finding) {
	if en.json {
		en.printJSON(map[string]any{"findings": findings})
		return
	}
	for _, fi := range findings {
		_, _ = fmt.Fprintln(en.stderr, fi)
	}
}

func (en *environment) printJSON(value any) int {
	enc := json.NewEncoder(en.stdout)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(value); err != nil {
		return en.fail(exitFailed, errors.Wrap(err, "write the output"))
	}
	return exitOK
}

type table struct{ tw *tabwriter.Writer }

func newTable(w io.Writer, columns ...string) *table {
	ta := &table{tw: tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
	ta.row(columns...)
	return ta
}

func (ta *table) row(cells ...string) {
	for i := range cells {
		cells[i] = strings.NewReplacer("\t", " ", "\n", " ").Replace(cells[i])
	}
	_, _ = fmt.Fprintln(ta.tw, strings.Join(cells, "\t"))
}

func (ta *table) flush() { _ = ta.tw.Flush() }

// writeExitStatus returns the exit status of a write.
func writeExitStatus(outcome lovageresource.WriteOutcome) int {
	switch outcome {
	case lovageresource.WriteAccepted, lovageresource.WriteUnchanged:
		return exitOK
	case lovageresource.WriteConflict:
		return exitConflict
	case lovageresource.WriteUnavailable:
		return exitFailed
	case lovageresource.WriteAmbiguous:
	}
	return exitUnknown
}
