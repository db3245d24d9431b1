package main

import (
	"context"
	"fmt"
	"strconv"

	"lovagestack/lovageapi"
	"lovagestack/lovageresource"
)

type getCommand struct {
	operatorArguments
	Kind string `arg:"positional" help:"Service, Pool, Team or Configuration; all if left out"`
	Name string `arg:"positional" help:"all of the kind if left out"`
}

func (cmd *getCommand) run(ctx context.Context, en *environment) int {
	ctx, cancel := context.WithTimeout(ctx, cmd.Timeout)
	defer cancel()
	cl := cmd.client()
	defer cl.Close()
	kind := lovageresource.Kind(cmd.Kind)
	if cmd.Name == "" {
		list, err := cl.List(ctx, kind)
		if err != nil {
			return en.failCall(err, false)
		}
		return printList(en, list)
	}
	re, err := cl.Get(ctx, kind, cmd.Name)
	if err != nil {
		return en.failCall(err, false)
	}
	if en.json {
		return en.printJSON(re)
	}
	printList(en, lovageapi.ListReply{Resources: []lovageresource.Resource{re}, Revision: re.Revision, Status: re.Status})
	ta := newTable(en.stdout, "INSTANCE", "APPLIED", "ANSWERED")
	for _, ap := range re.Status.Applied {
		ta.row(ap.Instance, strconv.FormatInt(ap.Revision, 10), strconv.FormatBool(ap.Answered))
	}
	ta.flush()
	return exitOK
}

// printList prints resources, revision and conditions as text, or as JSON that the apply command accepts as a file.
func printList(en *environment, list lovageapi.ListReply) int {
	if en.json {
		return en.printJSON(list)
	}
	ta := newTable(en.stdout, "KIND", "NAME", "REVISION", "SPEC")
	for i := range list.Resources {
		re := &list.Resources[i]
		ta.row(string(re.Kind), re.Name, strconv.FormatInt(re.Revision, 10), specSummary(re))
	}
	ta.flush()
	_, _ = fmt.Fprintf(en.stdout, "revision %d\n", list.Revision)
	for _, co := range list.Status.Conditions {
		_, _ = fmt.Fprintf(en.stdout, "%s: %s (%s)\n", co.Type, co.Status, co.Reason)
	}
	return exitOK
}

// specSummary describes a spec in a few words.
func specSummary(re *lovageresource.Resource) string {
	switch sp := re.Spec.(type) {
	case lovageresource.Service:
		return fmt.Sprintf("run time %s, at most %s", sp.RunTime, sp.MaxRunTime)
	case lovageresource.Pool:
		slots := 0
		for _, wo := range sp.Workers {
			slots += wo.Slots
		}
		return fmt.Sprintf("%s: %d workers, %d slots, services %q", sp.DataCentre, len(sp.Workers), slots, sp.Services)
	case lovageresource.Team:
		return fmt.Sprintf("weight %v, running tasks %d, queued tasks %d", sp.Weight, sp.RunningTasks, sp.QueuedTasks)
	case lovageresource.Configuration:
		return fmt.Sprintf("key lifetime %s, answer retention %s, ...", sp.KeyLifetime, sp.AnswerRetention)
	}
	return ""
}
