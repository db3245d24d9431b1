package main

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"lovagestack/lovageapi"
	"lovagestack/lovageresource"
)

// operatorArguments are shared by the commands that use the operator API.
type operatorArguments struct {
	Operator string        `arg:"--operator,env:LOVAGESTACK_OPERATOR" default:"127.0.0.1:7002" placeholder:"ADDRESS" help:"address of an instance's operator API"`
	Timeout  time.Duration `arg:"--timeout" default:"15s" help:"of one call"`
}

func (op *operatorArguments) client() *lovageapi.Client { return lovageapi.NewClient(op.Operator) }

type applyCommand struct {
	operatorArguments
	Wait  time.Duration `arg:"--wait" help:"wait up to this long until the changes are in force on every instance that answers"`
	Files []string      `arg:"positional,required" placeholder:"FILE" help:"resource files"`
}

// help implements helpProvider.
func (*applyCommand) help() string {
	return `Nothing is written if any file has a finding. A resource with a revision in its file replaces exactly that
revision; without one it replaces the revision found just before. All resources are tried, in the order of kinds; the
exit status is that of the first one that was not accepted.`
}

// resourceResult is one row of the output of apply and delete.
type resourceResult struct {
	Kind lovageresource.Kind `json:"kind"`
	Name string              `json:"name"`
	lovageresource.WriteResult
}

func (cmd *applyCommand) run(ctx context.Context, en *environment) int {
	resources, findings := readResources(cmd.Files)
	if len(findings) > 0 {
		en.printFindings(findings)
		return exitBadInput
	}
	// Services come first, so that no pool names an undeclared service.
	slices.SortStableFunc(resources, func(a, b lovageresource.Resource) int {
		return slices.Index(lovageresource.Kinds(), a.Kind) - slices.Index(lovageresource.Kinds(), b.Kind)
	})
	cl := cmd.client()
	defer cl.Close()
	status := exitOK
	var results []resourceResult
	for _, re := range resources {
		res, err := cmd.applyResource(ctx, cl, re)
		exit := writeExitStatus(res.Outcome)
		if err != nil {
			var notWritten *readError
			exit = en.failCall(errors.Wrapf(err, "apply %s %q", re.Kind, re.Name), !errors.As(err, &notWritten))
			if res.Outcome = lovageresource.WriteUnavailable; exit == exitUnknown {
				res.Outcome = lovageresource.WriteAmbiguous
			}
			res.Reason = err.Error()
		}
		if status == exitOK {
			status = exit
		}
		results = append(results, resourceResult{Kind: re.Kind, Name: re.Name, WriteResult: res})
	}
	printResults(en, results)
	if status == exitOK && cmd.Wait > 0 {
		return cmd.waitInForce(ctx, en, cl, results)
	}
	return status
}

// readError means that applyResource failed to read the current resource and wrote nothing.
type readError struct{ error }

func (er *readError) Unwrap() error { return er.error }

// applyResource writes one resource, based on the revision in its file, or on the current one if there is none.
func (cmd *applyCommand) applyResource(ctx context.Context, cl *lovageapi.Client, re lovageresource.Resource) (
	lovageresource.WriteResult, error,
) {
	ctx, cancel := context.WithTimeout(ctx, cmd.Timeout)
	defer cancel()
	if re.Revision == 0 {
		current, err := cl.Get(ctx, re.Kind, re.Name)
		var replyErr *lovageapi.ReplyError
		switch {
		case errors.As(err, &replyErr) && replyErr.Status == 404:
		case err != nil:
			return lovageresource.WriteResult{}, &readError{err}
		default:
			re.Revision = current.Revision
		}
	}
	return cl.Put(ctx, re)
}

func printResults(en *environment, results []resourceResult) {
	if en.json {
		en.printJSON(map[string]any{"resources": results})
		return
	}
	ta := newTable(en.stdout, "KIND", "NAME", "OUTCOME", "REVISION", "REASON")
	for _, rr := range results {
		ta.row(string(rr.Kind), rr.Name, string(rr.Outcome), strconv.FormatInt(rr.Revision, 10), rr.Reason)
	}
	ta.flush()
}

// waitInForce waits until the highest written revision is in force.
func (cmd *applyCommand) waitInForce(ctx context.Context, en *environment, cl *lovageapi.Client, results []resourceResult) int {
	highestRevision := int64(0)
	for _, rr := range results {
		highestRevision = max(highestRevision, rr.Revision)
	}
	ctx, cancel := context.WithTimeout(ctx, cmd.Wait)
	defer cancel()
	for {
		list, err := cl.List(ctx, "")
		reason := "the instance has not applied the revision"
		if err != nil {
			reason = err.Error()
		} else if list.Revision >= highestRevision && len(list.Status.Conditions) > 0 {
			reason = list.Status.Conditions[0].Reason
			if list.Status.Conditions[0].Status == lovageresource.ConditionTrue {
				return exitOK
			}
		}
		select {
		case <-ctx.Done():
			return en.fail(exitFailed, errors.Newf("revision %d is written but was not in force after %s: %s", highestRevision,
				cmd.Wait, reason))
		case <-time.After(100 * time.Millisecond):
		}
	}
}

type deleteCommand struct {
	operatorArguments
	Revision int64  `arg:"--revision" help:"delete exactly this revision; without it the one found just before"`
	Kind     string `arg:"positional,required" help:"Service, Pool, Team or Configuration"`
	Name     string `arg:"positional,required"`
}

func (cmd *deleteCommand) run(ctx context.Context, en *environment) int {
	ctx, cancel := context.WithTimeout(ctx, cmd.Timeout)
	defer cancel()
	cl := cmd.client()
	defer cl.Close()
	kind := lovageresource.Kind(cmd.Kind)
	if cmd.Revision == 0 {
		current, err := cl.Get(ctx, kind, cmd.Name)
		if err != nil {
			return en.failCall(err, false)
		}
		cmd.Revision = current.Revision
	}
	res, err := cl.Delete(ctx, kind, cmd.Name, cmd.Revision)
	if err != nil {
		return en.failCall(errors.Wrapf(err, "delete %s %q", kind, cmd.Name), true)
	}
	printResults(en, []resourceResult{{Kind: kind, Name: cmd.Name, WriteResult: res}})
	return writeExitStatus(res.Outcome)
}
