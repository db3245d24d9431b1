package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/cockroachdb/errors"

	"lovagestack/lovagelog"
)

// explainCommand prints the lines about a job from the logs of all instances.
type explainCommand struct {
	Job   string   `arg:"positional,required" placeholder:"ID" help:"the job's ID, as its caller chose it"`
	Files []string `arg:"positional" placeholder:"FILE" help:"logs of instances; standard input without any"`
}

func (*explainCommand) help() string {
	return `Lines are printed in order of time. The last line "answered" says what the caller got, and a sentence after the lines repeats it;
docs/OPERATIONS.md tells how to read the lines before it. Records of many jobs are printed as lines of their own, at the time at
which they were written, up to a second after the decision. Exit status 1 means that no line is about the job.`
}

func (ec *explainCommand) run(_ context.Context, en *environment) int {
	sources := []io.Reader{en.stdin}
	if len(ec.Files) > 0 {
		sources = nil
	}
	for _, name := range ec.Files {
		fi, err := os.Open(name)
		if err != nil {
			return en.fail(exitBadInput, err)
		}
		defer func() { _ = fi.Close() }()
		sources = append(sources, fi)
	}
	lines, err := lovagelog.JobLines(ec.Job, sources...)
	if err != nil {
		return en.fail(exitFailed, err)
	}
	if len(lines) == 0 {
		return en.fail(exitFailed, errors.Newf("no log line is about job %s", ec.Job))
	}
	for _, li := range lines {
		if _, err := fmt.Fprintln(en.stdout, li.Time.UTC().Format("15:04:05.000"), li.Text); err != nil {
			return en.fail(exitFailed, err)
		}
	}
	if text := describeAnswer(lines); text != "" {
		if _, err := fmt.Fprintln(en.stdout, text); err != nil {
			return en.fail(exitFailed, err)
		}
	}
	return exitOK
}

// describeAnswer says in a sentence where the job waited, for how long, and why it ended as it did, by the last line "answered". It
// returns "" if there is none.
func describeAnswer(lines []lovagelog.Line) string {
	for i := len(lines) - 1; i >= 0; i-- {
		var answer struct {
			Kind       string  `json:"msg"`
			Outcome    string  `json:"outcome"`
			Reason     string  `json:"reason"`
			Queue      string  `json:"queue"`
			Owner      string  `json:"owner"`
			Late       bool    `json:"late"`
			TookMillis float64 `json:"tookMs"`
		}
		_, object, _ := strings.Cut(lines[i].Text, "{")
		if json.Unmarshal([]byte("{"+object), &answer) != nil {
			continue
		}
		if answer.Kind != "answered" {
			continue
		}
		outcome := answer.Outcome
		if answer.Late {
			outcome += ", late,"
		}
		sentence := fmt.Sprintf("%s after %.0f ms in queue %s", outcome, answer.TookMillis, answer.Queue)
		if answer.Owner != "" {
			sentence += " at " + answer.Owner
		}
		if answer.Reason != "" {
			sentence += ": " + answer.Reason
		}
		return sentence
	}
	return ""
}
