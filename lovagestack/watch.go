package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"lovagestack/lovageapi"
)

type watchCommand struct {
	operatorArguments
	From *int64 `arg:"--from" placeholder:"REVISION" help:"print the changes after this revision; without it those from now on"`
}

// help implements helpProvider.
func (*watchCommand) help() string {
	return `Each change is one line; with --output json one JSON object. A broken connection is opened again and goes on
without gaps. The command ends with status 0 when it is interrupted, and with status 1 if the instance no longer keeps
the changes after the revision.`
}

// watchRetry is the pause before a broken watch is reopened.
const watchRetry = time.Second

func (cmd *watchCommand) run(ctx context.Context, en *environment) int {
	cl := cmd.client()
	defer cl.Close()
	lastRevision := int64(0)
	if cmd.From != nil {
		lastRevision = *cmd.From
	} else {
		list, err := cl.List(ctx, "")
		if err != nil {
			return en.failCall(err, false)
		}
		lastRevision = list.Revision
	}
	reported := false // whether the current interruption has been reported
	for ctx.Err() == nil {
		err := cl.Watch(ctx, lastRevision, func(line lovageapi.WatchLine) error {
			reported = false
			switch {
			case line.Change != nil:
				lastRevision = line.Change.Revision
				printChange(en, line)
			case line.Error != "":
				return &lovageapi.ReplyError{Status: http.StatusGone, ErrorReply: lovageapi.ErrorReply{Error: line.Error}}
			}
			return nil
		})
		var re *lovageapi.ReplyError
		if errors.As(err, &re) && re.Status < 500 {
			return en.failCall(err, false)
		}
		if err != nil && !reported && ctx.Err() == nil {
			reported = true
			_, _ = fmt.Fprintf(en.stderr, "lovagestack: the watch broke off after revision %d, trying again: %v\n", lastRevision, err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(watchRetry):
		}
	}
	return exitOK
}

func printChange(en *environment, line lovageapi.WatchLine) {
	ch := line.Change
	switch {
	case en.json:
		en.printJSON(ch)
	case ch.Deleted:
		_, _ = fmt.Fprintf(en.stdout, "%d  %s %s  deleted\n", ch.Revision, ch.Kind, ch.Name)
	default:
		_, _ = fmt.Fprintf(en.stdout, "%d  %s %s  %s\n", ch.Revision, ch.Kind, ch.Name, specSummary(ch.Resource))
	}
}
