package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"lovagestack/lovageapi"
	"lovagestack/lovageconfig"
	"lovagestack/lovagejob"
)

type submitCommand struct {
	Caller     string        `arg:"--caller,env:LOVAGESTACK_CALLER" default:"127.0.0.1:7001" placeholder:"ADDRESS" help:"address of an instance's caller API"`
	Service    string        `arg:"--service,required"`
	Team       string        `arg:"--team,required"`
	Deadline   time.Duration `arg:"--deadline" default:"10s" help:"how long the job may take from now on"`
	Repeatable bool          `arg:"--repeatable" help:"a second run of the job would do no harm"`
	Key        string        `arg:"--key" help:"submit again under the key of an earlier submission; without it a new key is minted"`
	RunTime    time.Duration `arg:"--run-time" help:"declared run time of one task"`
	Payload    []string      `arg:"--payload,separate" placeholder:"JSON" help:"payload of one task; may be repeated"`
	File       string        `arg:"positional" help:"file with one JSON value per task, - for standard input"`
}

// help implements helpProvider.
func (*submitCommand) help() string {
	return `The key is printed to standard error before the job is sent. While the outcome is unknown or the connection
breaks, the command asks again with the same key until the deadline is over; the job runs once in any case.`
}

// askAfterDeadline is how long the command asks for the answer after the deadline. It covers a take-over of the key's
// range from a failed owner. The take-over begins at the latest when the owner's lease of 6 s has expired.
const askAfterDeadline = 10 * time.Second

func (cmd *submitCommand) run(ctx context.Context, en *environment) int {
	tasks, err := cmd.tasks(en.stdin)
	if err != nil {
		return en.fail(exitBadInput, err)
	}
	cl := lovageapi.NewClient(cmd.Caller)
	defer cl.Close()
	deadline := time.Now().Add(cmd.Deadline)
	if cmd.Key == "" {
		req := lovagejob.MintRequest{Count: 1, Repeatable: cmd.Repeatable}
		if lovagejob.ValidName(cmd.Service) { // left out if invalid: the submission then reports all findings together
			req.Service = cmd.Service
		}
		mi, err := cl.Mint(ctx, req)
		if err == nil && len(mi.Keys) != 1 {
			err = errors.Newf("got %d keys, want one", len(mi.Keys))
		}
		if err != nil {
			return en.failCall(errors.Wrap(err, "mint a key"), false)
		}
		cmd.Key = mi.Keys[0].String()
	}
	_, _ = fmt.Fprintln(en.stderr, "key", cmd.Key)
	answer, err := cmd.submit(ctx, cl, lovageapi.JobRequest{
		Key: cmd.Key, Service: cmd.Service, Team: cmd.Team, Repeatable: cmd.Repeatable, Deadline: deadline,
		DeclaredRunTime: lovageconfig.Duration(cmd.RunTime), Tasks: tasks,
	})
	if err != nil {
		return en.failCall(errors.Wrapf(err, "submit the job with key %s", cmd.Key), true)
	}
	return printAnswer(en, &answer)
}

// tasks returns one task for each payload in the arguments and in the file.
func (cmd *submitCommand) tasks(stdin io.Reader) ([]lovageapi.TaskRequest, error) {
	var out []lovageapi.TaskRequest
	for i, text := range cmd.Payload {
		if !json.Valid([]byte(text)) {
			return nil, errors.Newf("--payload number %d is not a JSON value: %s", i+1, text)
		}
		out = append(out, lovageapi.TaskRequest{Payload: json.RawMessage(text)})
	}
	if cmd.File == "" {
		if len(out) == 0 {
			return nil, errors.New("a job needs at least one --payload or a file")
		}
		return out, nil
	}
	var data []byte
	var err error
	if cmd.File == "-" {
		data, err = io.ReadAll(stdin)
	} else {
		data, err = os.ReadFile(cmd.File)
	}
	if err != nil {
		return nil, errors.Wrapf(err, "read payloads from %q", cmd.File)
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	for {
		var payload json.RawMessage
		if err := dec.Decode(&payload); errors.Is(err, io.EOF) {
			return out, nil
		} else if err != nil {
			return nil, errors.Wrapf(err, "payload %d in %q", len(out)+1, cmd.File)
		}
		out = append(out, lovageapi.TaskRequest{Payload: payload})
	}
}

// submit sends the job. While the outcome is not final, it resends the job until the deadline, and then asks for the
// answer. If no request can have been processed, submit returns the last error. Otherwise errors make the outcome Unknown:
// the rejection of a repeat says nothing about the requests before it.
func (cmd *submitCommand) submit(ctx context.Context, cl *lovageapi.Client, jo lovageapi.JobRequest) (lovageapi.AnswerReply, error) {
	ctx, cancel := context.WithDeadline(ctx, jo.Deadline.Add(askAfterDeadline))
	defer cancel()
	answer, err := cl.Submit(ctx, jo)
	maybeProcessed, rejected := mayBeProcessed(err), isRejection(err)
	for {
		switch {
		case err == nil && answer.Outcome.Final():
			return answer, nil
		case rejected && !maybeProcessed:
			return answer, err
		}
		select {
		case <-ctx.Done():
			if !maybeProcessed {
				return answer, err
			}
			if err != nil {
				answer = lovageapi.AnswerReply{Outcome: lovagejob.Unknown, Reason: err.Error()}
				answer.Key, _ = lovagejob.ParseKey(jo.Key)
			}
			return answer, nil
		case <-time.After(500 * time.Millisecond):
		}
		var next lovageapi.AnswerReply
		var nextErr error
		if time.Now().Before(jo.Deadline) && !rejected {
			next, nextErr = cl.Submit(ctx, jo)
			rejected = isRejection(nextErr)
		} else {
			next, nextErr = cl.Ask(ctx, jo.Key, time.Second)
		}
		maybeProcessed = maybeProcessed || mayBeProcessed(nextErr)
		if ctx.Err() == nil || nextErr == nil {
			answer, err = next, nextErr
		}
	}
}

// mayBeProcessed reports whether a request with this result may have been processed.
func mayBeProcessed(err error) bool {
	var re *lovageapi.ReplyError
	return !errors.As(err, &re) && !errors.Is(err, lovageapi.ErrNotSent)
}

// isRejection reports whether err is a reply that makes the same request useless.
func isRejection(err error) bool {
	var re *lovageapi.ReplyError
	return errors.As(err, &re) && re.Status < 500
}

func printAnswer(en *environment, an *lovageapi.AnswerReply) int {
	if en.json {
		en.printJSON(an)
	} else {
		_, _ = fmt.Fprintf(en.stdout, "%s: %d tasks, %d started\n", an.Outcome, an.Tasks, an.Started)
		if an.Reason != "" {
			_, _ = fmt.Fprintln(en.stdout, "reason:", an.Reason)
		}
		if !an.RetryAt.IsZero() {
			_, _ = fmt.Fprintln(en.stdout, "retry at:", an.RetryAt.Format(time.RFC3339Nano))
		}
		if len(an.Results) > 0 {
			ta := newTable(en.stdout, "TASK", "WORKER", "STATUS", "RESULT")
			for _, re := range an.Results {
				body := string(re.Body)
				if re.BodyBase64 != nil {
					body = strconv.Quote(string(re.BodyBase64))
				}
				ta.row(strconv.Itoa(re.Task), re.Worker, strconv.Itoa(re.Status), body)
			}
			ta.flush()
		}
	}
	switch an.Outcome {
	case lovagejob.Complete:
		return exitOK
	case lovagejob.Failed, lovagejob.Cancelled:
		return exitFailed
	case lovagejob.NotRun:
		return exitNotRun
	case lovagejob.Unknown, lovagejob.Pending:
	}
	return exitUnknown
}
