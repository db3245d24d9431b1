package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"lovagestack/lovagelog"
)

// explainCommand prints the lines about a job from the logs of all instances.
type explainCommand struct {
	Job   string   `arg:"positional,required" placeholder:"ID" help:"the job's ID, as its caller chose it"`
	Files []string `arg:"positional" placeholder:"FILE" help:"logs of instances; standard input without any"`
}

func (*explainCommand) help() string {
	return `Lines are printed in order of time. The last line "answered" says what the caller got; docs/OPERATIONS.md tells how to
read the lines before it. Exit status 1 means that no line is about the job.`
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
	return exitOK
}
