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

// operatorArguments are those of the commands that use the operator API.
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

// help implements helper.
func (*applyCommand) help() string {
	return `Nothing is written if any file has a finding. A resource with a revision in its file replaces exactly that
revision; without one it replaces the revision found just before. All resources are tried, in the order of kinds; the
exit status is that of the first one that was not accepted.`
}

// applied is one line of the output of apply and delete.
type applied struct {
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
	// Services first, so that no pool names a service that is not declared yet.
	slices.SortStableFunc(resources, func(a, b lovageresource.Resource) int {
		return slices.Index(lovageresource.Kinds(), a.Kind) - slices.Index(lovageresource.Kinds(), b.Kind)
	})
	cl := cmd.client()
	defer cl.Close()
	status := exitOK
	var done []applied
	for _, re := range resources {
		res, err := cmd.applyOne(ctx, cl, re)
		exit := writeExit(res.Outcome)
		if err != nil {
			var reading *readError
			exit = en.failCall(errors.Wrapf(err, "apply %s %q", re.Kind, re.Name), !errors.As(err, &reading))
			if res.Outcome = lovageresource.WriteUnavailable; exit == exitUnknown {
				res.Outcome = lovageresource.WriteAmbiguous
			}
			res.Reason = err.Error()
		}
		if status == exitOK {
			status = exit
		}
		done = append(done, applied{Kind: re.Kind, Name: re.Name, WriteResult: res})
	}
	printApplied(en, done)
	if status == exitOK && cmd.Wait > 0 {
		return cmd.waitInForce(ctx, en, cl, done)
	}
	return status
}

// readError is the error of a call that cannot have changed anything.
type readError struct{ error }

func (er *readError) Unwrap() error { return er.error }

// applyOne writes one resource, based on the revision in its file or the one found now.
func (cmd *applyCommand) applyOne(ctx context.Context, cl *lovageapi.Client, re lovageresource.Resource) (
	lovageresource.WriteResult, error,
) {
	ctx, cancel := context.WithTimeout(ctx, cmd.Timeout)
	defer cancel()
	if re.Revision == 0 {
		current, err := cl.Get(ctx, re.Kind, re.Name)
		var missing *lovageapi.ReplyError
		switch {
		case errors.As(err, &missing) && missing.Status == 404:
		case err != nil:
			return lovageresource.WriteResult{}, &readError{err}
		default:
			re.Revision = current.Revision
		}
	}
	return cl.Put(ctx, re)
}

func printApplied(en *environment, done []applied) {
	if en.json {
		en.printJSON(map[string]any{"resources": done})
		return
	}
	ta := newTable(en.stdout, "KIND", "NAME", "OUTCOME", "REVISION", "REASON")
	for _, it := range done {
		ta.row(string(it.Kind), it.Name, string(it.Outcome), strconv.FormatInt(it.Revision, 10), it.Reason)
	}
	ta.flush()
}

// waitInForce waits until the highest revision written is in force.
func (cmd *applyCommand) waitInForce(ctx context.Context, en *environment, cl *lovageapi.Client, done []applied) int {
	latest := int64(0)
	for _, it := range done {
		latest = max(latest, it.Revision)
	}
	ctx, cancel := context.WithTimeout(ctx, cmd.Wait)
	defer cancel()
	for {
		list, err := cl.List(ctx, "")
		reason := "the instance has not applied it"
		if err != nil {
			reason = err.Error()
		} else if list.Revision >= latest && len(list.Status.Conditions) > 0 {
			reason = list.Status.Conditions[0].Reason
			if list.Status.Conditions[0].Status == lovageresource.ConditionTrue {
				return exitOK
			}
		}
		select {
		case <-ctx.Done():
			return en.fail(exitFailed, errors.Newf("revision %d is written but was not in force after %s: %s", latest, cmd.Wait,
				reason))
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
	printApplied(en, []applied{{Kind: kind, Name: cmd.Name, WriteResult: res}})
	return writeExit(res.Outcome)
}
