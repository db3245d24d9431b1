// Command lovagestack runs the dispatcher and drives it from the command line.
//
// Each subcommand is a field of arguments, and the field's type has a run method. All but version have their own file.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"
)

// Exit statuses; the epilogue of the help text documents them.
const (
	exitOK       = 0
	exitFailed   = 1
	exitBadInput = 2
	exitConflict = 3
	exitNotRun   = 4
	exitUnknown  = 5
)

type command interface {
	// run returns the exit status.
	run(ctx context.Context, en *environment) int
}

// reloader is a command that uses SIGHUP. It ends all others.
type reloader interface{ reloadsOnHangup() }

// helpProvider is a subcommand with a help text besides the descriptions of its arguments.
type helpProvider interface{ help() string }

type environment struct {
	stdin          io.Reader
	stdout, stderr io.Writer
	hangups        <-chan os.Signal // nil: none are received
	json           bool             // print JSON instead of tables
}

type arguments struct {
	Entry      *entryCommand      `arg:"subcommand:entry" help:"run an entry instance"`
	Serve      *serveCommand      `arg:"subcommand:serve" help:"run an instance on the platform"`
	Check      *checkCommand      `arg:"subcommand:check" help:"check settings, configurations and resource files"`
	Apply      *applyCommand      `arg:"subcommand:apply" help:"declare the resources of files"`
	Get        *getCommand        `arg:"subcommand:get" help:"show resources"`
	Watch      *watchCommand      `arg:"subcommand:watch" help:"follow all changes of resources"`
	Delete     *deleteCommand     `arg:"subcommand:delete" help:"delete a resource"`
	Workers    *workersCommand    `arg:"subcommand:workers" help:"show the workers that an instance uses"`
	Submit     *submitCommand     `arg:"subcommand:submit" help:"submit a job and wait for its answer"`
	Dev        *devCommand        `arg:"subcommand:dev" help:"run a platform, an instance and sample workers in one process"`
	Bench      *benchCommand      `arg:"subcommand:bench" help:"measure the dispatch policies"`
	Experiment *experimentCommand `arg:"subcommand:experiment" help:"compare placing decisions in virtual time"`
	Explain    *explainCommand    `arg:"subcommand:explain" help:"print what logs say of a job"`
	Version    *versionCommand    `arg:"subcommand:version" help:"print the version"`

	Output string `arg:"-o,--output" default:"table" placeholder:"FORMAT" help:"table or json"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "lovagestack dispatches sub-second tasks to workers that its users own."
}

// Epilogue implements arg.Epilogued.
func (arguments) Epilogue() string {
	return `Exit statuses:
  0  ok
  1  failed: the call failed without effect, or the job failed or was cancelled
  2  bad input: arguments, settings, resource files or a job have faults; all of them are printed
  3  conflict: the resource has another revision than the change is based on; nothing was written
  4  not run: the job was refused, none of its tasks has started or will; submitting again is safe
  5  outcome unknown: the change or the job may have taken effect; look before trying again
"lovagestack check" exits with 0 without findings, 1 with findings and 2 if it could not run.

Settings of an entry instance are a TOML file; "lovagestack check --help" describes it.`
}

func main() {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP) // before anything else, because the default action ends the process
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	context.AfterFunc(ctx, stop) // the first signal restores the default, so that a second one ends the process
	en := &environment{stdin: os.Stdin, stdout: os.Stdout, stderr: os.Stderr, hangups: hangups}
	status := runMain(ctx, os.Args[1:], en)
	stop()
	os.Exit(status)
}

// runMain parses and runs a command line.
func runMain(ctx context.Context, argv []string, en *environment) int {
	var args arguments
	parser, err := arg.NewParser(arg.Config{Program: "lovagestack", Out: en.stderr, Exit: func(int) {}}, &args)
	if err != nil {
		return en.fail(exitFailed, err)
	}
	switch err := parser.Parse(argv); {
	case errors.Is(err, arg.ErrHelp):
		_ = parser.WriteHelpForSubcommand(en.stdout, parser.SubcommandNames()...)
		if cmd, ok := parser.Subcommand().(helpProvider); ok {
			_, _ = fmt.Fprint(en.stdout, "\n", strings.TrimSuffix(cmd.help(), "\n"), "\n")
		}
		return exitOK
	case err != nil:
		_ = parser.WriteUsageForSubcommand(en.stderr, parser.SubcommandNames()...)
		return en.fail(exitBadInput, err)
	}
	cmd, ok := parser.Subcommand().(command)
	if !ok {
		parser.WriteHelp(en.stderr)
		return exitBadInput
	}
	if _, ok := cmd.(reloader); !ok {
		signal.Reset(syscall.SIGHUP)
		if len(en.hangups) > 0 {
			return exitFailed
		}
	}
	if args.Output != "table" && args.Output != "json" {
		return en.fail(exitBadInput, errors.Newf("--output is %q, want table or json", args.Output))
	}
	en.json = args.Output == "json"
	return cmd.run(ctx, en)
}

type versionCommand struct{}

func (*versionCommand) run(_ context.Context, en *environment) int {
	out := struct {
		Version  string `json:"version"`
		Revision string `json:"revision,omitempty"` // commit from which the program was built
		Go       string `json:"go,omitempty"`
	}{Version: "unknown"}
	if info, ok := debug.ReadBuildInfo(); ok {
		out.Version, out.Go = info.Main.Version, info.GoVersion
		for _, se := range info.Settings {
			if se.Key == "vcs.revision" {
				out.Revision = se.Value
			}
		}
	}
	if en.json {
		return en.printJSON(out)
	}
	_, _ = fmt.Fprintln(en.stdout, "lovagestack", out.Version, out.Revision, out.Go)
	return exitOK
}
