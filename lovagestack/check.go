package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"lovagestack/lovagecheck"
	"lovagestack/lovageconfig"
	"lovagestack/lovagefleet"
	"lovagestack/lovageresource"
	"lovagestack/platform"
)

type checkCommand struct {
	Settings         string   `arg:"--settings" placeholder:"FILE" help:"settings of an entry instance to check"`
	Config           string   `arg:"--config" placeholder:"FILE" help:"configuration in the platform's form (JSON) to check"`
	Against          string   `arg:"--against" placeholder:"FILE" help:"version in force of the configuration; default: from the store"`
	Workers          string   `arg:"--workers" placeholder:"FILE" help:"registrations of workers (JSON list); default: from the store"`
	PlatformSettings string   `arg:"--platform-settings" placeholder:"FILE" help:"the platform's settings file, which names the store"`
	MemoryMB         int64    `arg:"--memory-mb" placeholder:"MB" help:"memory of the smallest machine; default: from the platform's settings"`
	JSON             bool     `arg:"--json" help:"print JSON, as --output json does"`
	Files            []string `arg:"positional" placeholder:"FILE" help:"resource files to check"`
}

// Exit statuses of check, which differ from those of the other commands.
const (
	exitFindings   = 1
	exitNotChecked = 2
)

const (
	// checkStoreTimeout limits all reads of the store. One call usually takes 4 ms and at most 900 ms.
	checkStoreTimeout = 5 * time.Second
	// maxMemoryMB keeps sizes in bytes far from overflow.
	maxMemoryMB = 1 << 30
)

// help implements helpProvider.
func (*checkCommand) help() string { return checkHelp + settingsHelp }

const checkHelp = `Exit statuses: 0 no findings, 1 findings (also if all are warnings), 2 could not run: wrong arguments, or a file to check
cannot be read. If the store, the version in force or the workers cannot be read, a warning says so and the rest is checked.
Differences from the version in force are no findings.

Neither a configuration in the platform's form nor a resource names sizes or labels that a worker must have, so only services are
compared with the workers.

`

// settingsHelp describes settings and resource files. A test compares its defaults with lovageconfig.Defaults.
const settingsHelp = `A settings file with all defaults, and "..." for what must be set:

  id = "..."                        # name of the instance, unique among all instances
  dataCentre = "..."
  [addresses]                       # IP address and port each
  caller = "..."                    # caller API
  operator = "..."                  # operator API, health, metrics, profiles
  peer = "..."                      # sessions from other instances
  [advertise]                       # what callers are told; default addresses.caller, 0.0.0.0:0 tells nothing
  # caller = "10.0.0.1:7001"
  [platform]
  addresses = ["..."]               # of the table, the object store and the list of instances
  timeout = "2s"                    # of one request
  [peers]
  seeds = []                        # peer addresses of other instances
  [limits]
  tasksPerJob = 350
  payloadBytes = 65536              # of one task
  bodyBytes = 33554432              # of one HTTP request
  maxDeadline = "10m0s"             # how far ahead a deadline may lie
  queuedTasks = 100000
  queuedJobs = 20000
  records = 500000                  # remembered keys
  callerRequests = 20000            # in progress at the caller API
  operatorRequests = 2000           # in progress at the operator API, with watches
  memoryMB = 5120                   # of the process; sets what clients may hold
  maxFiles = 65536                  # descriptors of the process; sets how many connections clients may have
  [lease]
  ttl = "6s"
  renewal = "2s"
  [heartbeat]
  interval = "1s"
  suspect = "3s"                    # silence after which a peer is suspect
  gone = "6s"                       # silence after which a peer counts as gone
  meshInstances = 24                # above it, one relay per data centre exchanges summaries with the others
  [shutdown]
  balancerLag = "5s"                # from "not ready" until the balancer sends nothing new
  deadline = "1m0s"                 # from SIGTERM until what is left is cut
  [trace]                           # without "otlp" and "file" no spans are exported
  # otlp = "10.0.0.9:4318"          # OTLP over HTTP
  # file = "spans.jsonl"
  ratio = 0.01                      # share of requests that are traced
  [log]
  level = "info"                    # debug, info, warn or error

A resource file is TOML with [[resources]] tables, or JSON with the name ending in ".json":

  [[resources]]
  kind = "Service"                  # or "Pool", "Team", "Configuration"
  name = "ticket"
  spec = { runTime = "200ms" }
`

// checkReport is what the command prints.
type checkReport struct {
	Findings    []platform.CheckFinding    `json:"findings"`
	Resources   int                        `json:"resources"`
	Compared    string                     `json:"comparedWith,omitempty"` // source of the version in force; empty: not compared
	Differences []platform.CheckDifference `json:"differences,omitempty"`
}

func (cr *checkReport) add(se lovagecheck.Severity, findings ...lovageconfig.Finding) {
	for _, fi := range findings {
		cr.Findings = append(cr.Findings, platform.CheckFinding{Severity: se, Finding: fi})
	}
}

// warn adds a warning that something could not be compared.
func (cr *checkReport) warn(file, format string, args ...any) {
	cr.add(lovagecheck.SeverityWarning, lovageconfig.Finding{File: file, Problem: fmt.Sprintf(format, args...)})
}

func (cmd *checkCommand) run(ctx context.Context, en *environment) int {
	en.json = en.json || cmd.JSON
	if err := cmd.validate(); err != nil {
		return en.fail(exitNotChecked, err)
	}
	cr := &checkReport{Findings: []platform.CheckFinding{}}
	files := append([]string{}, cmd.Files...)
	if cmd.Settings != "" {
		files = append(files, cmd.Settings)
		_, findings := lovageconfig.Load(cmd.Settings)
		cr.add(lovagecheck.SeverityError, findings...)
	}
	resources, findings := readResources(cmd.Files)
	cr.Resources = len(resources)
	cr.add(lovagecheck.SeverityError, findings...)
	ran := cmd.Config == "" || cmd.checkConfiguration(ctx, cr)
	for _, file := range files {
		if _, err := os.ReadFile(file); err != nil {
			ran = false // its finding has been added
		}
	}
	cr.print(en)
	switch {
	case !ran:
		return exitNotChecked
	case len(cr.Findings) > 0:
		return exitFindings
	}
	return exitOK
}

// validate reports arguments that do not fit together.
func (cmd *checkCommand) validate() error {
	switch {
	case cmd.Settings == "" && cmd.Config == "" && len(cmd.Files) == 0:
		return errors.New("check needs --settings, --config or at least one resource file")
	case cmd.Config == "" && (cmd.Against != "" || cmd.Workers != "" || cmd.PlatformSettings != "" || cmd.MemoryMB != 0):
		return errors.New("--against, --workers, --platform-settings and --memory-mb need --config")
	case cmd.MemoryMB < 0 || cmd.MemoryMB > maxMemoryMB:
		return errors.Newf("--memory-mb is %d, want 0 to %d", cmd.MemoryMB, maxMemoryMB)
	}
	return nil
}

// checkConfiguration checks the file of --config. It returns false if that cannot be read.
func (cmd *checkCommand) checkConfiguration(ctx context.Context, cr *checkReport) bool {
	text, err := os.ReadFile(cmd.Config)
	if err != nil {
		cr.add(lovagecheck.SeverityError, lovageconfig.Finding{File: cmd.Config, Problem: "read the configuration: " + err.Error()})
		return false
	}
	cc := platform.ConfigurationCheck{File: cmd.Config, Text: text, MemoryMB: cmd.MemoryMB}
	if cmd.Against != "" {
		cc.AgainstName = cmd.Against
		if cc.Against, err = os.ReadFile(cmd.Against); err != nil {
			cr.warn(cmd.Against, "the version in force cannot be read, differences are not shown: %v", err)
		}
	}
	if cmd.Workers != "" {
		cmd.readWorkers(&cc, cr)
	}
	if cmd.PlatformSettings != "" {
		cmd.readPlatform(ctx, &cc, cr)
	}
	res := cc.Run()
	cr.Findings = append(cr.Findings, res.Findings...)
	if res.Compared {
		cr.Compared, cr.Differences = cc.AgainstName, res.Differences
	}
	return true
}

// readWorkers reads the file of --workers.
func (cmd *checkCommand) readWorkers(cc *platform.ConfigurationCheck, cr *checkReport) {
	text, err := os.ReadFile(cmd.Workers)
	if err == nil {
		var findings []platform.CheckFinding
		cc.Workers, findings, err = platform.DecodeWorkers(cmd.Workers, text)
		cr.Findings = append(cr.Findings, findings...)
	}
	if err != nil {
		cr.warn(cmd.Workers, "the workers cannot be read, services are not compared with them: %v", err)
	}
	cc.WorkersKnown = err == nil
}

// readPlatform reads what no argument gives: the memory from the platform's settings, the version in force and the workers from
// the store.
func (cmd *checkCommand) readPlatform(ctx context.Context, cc *platform.ConfigurationCheck, cr *checkReport) {
	se, err := platform.ReadSettings(cmd.PlatformSettings)
	if err != nil {
		cr.warn(cmd.PlatformSettings, "the platform's settings cannot be used, the store is not read: %v", err)
		return
	}
	if cc.MemoryMB == 0 && se.Limits.MemoryMB <= maxMemoryMB {
		cc.MemoryMB = se.Limits.MemoryMB
	}
	ctx, cancel := context.WithTimeout(ctx, checkStoreTimeout)
	defer cancel()
	st := platform.NewStore(se.Platform.Address, zap.NewNop())
	name := "store " + se.Platform.Address
	if cmd.Against == "" {
		cc.AgainstName = name
		switch cc.Against, err = st.ConfigurationText(ctx); {
		case err != nil:
			cr.warn(name, "the version in force cannot be read, differences are not shown: %v", err)
		case cc.Against == nil:
			cr.warn(name, "there is no version in force")
		}
	}
	if cmd.Workers == "" {
		if cc.Workers, err = readWorkers(ctx, st); err != nil {
			cr.warn(name, "the workers cannot be read, services are not compared with them: %v", err)
		}
		cc.WorkersKnown = err == nil
	}
}

// readWorkers returns all registered workers. A read may take several calls.
func readWorkers(ctx context.Context, st *platform.Store) ([]lovagefleet.RegisteredWorker, error) {
	for {
		re, err := st.Workers(ctx, false)
		if err != nil || !re.Unfinished {
			return re.Workers, err
		}
	}
}

// print prints findings to standard error and the rest to standard output, or all as JSON to standard output.
func (cr *checkReport) print(en *environment) {
	if en.json {
		en.printJSON(cr)
		return
	}
	for _, fi := range cr.Findings {
		_, _ = fmt.Fprintln(en.stderr, fi)
	}
	if cr.Compared != "" {
		_, _ = fmt.Fprintf(en.stdout, "%d differences from %s\n", len(cr.Differences), cr.Compared)
		for _, di := range cr.Differences {
			_, _ = fmt.Fprintln(en.stdout, di)
		}
	}
	if len(cr.Findings) == 0 {
		_, _ = fmt.Fprintf(en.stdout, "no findings; %d resources\n", cr.Resources)
	}
}

// readResources decodes resource files. It also reports unreadable files and resources that several files declare.
func readResources(files []string) ([]lovageresource.Resource, []lovageconfig.Finding) {
	var out []lovageresource.Resource
	var findings []lovageconfig.Finding
	declaredIn := map[string]string{}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			findings = append(findings, lovageconfig.Finding{File: file, Problem: "read the resources: " + err.Error()})
			continue
		}
		resources, fileFindings := lovageresource.Decode(file, data)
		findings = append(findings, fileFindings...)
		for i, re := range resources {
			id := string(re.Kind) + " " + re.Name
			if firstFile, ok := declaredIn[id]; ok && firstFile != file {
				findings = append(findings, lovageconfig.Finding{
					File: file, Field: fmt.Sprintf("resources[%d].name", i),
					Problem: fmt.Sprintf("%s %q is also declared in %s", re.Kind, re.Name, firstFile),
				})
			}
			declaredIn[id] = file
		}
		out = append(out, resources...)
	}
	return out, findings
}
