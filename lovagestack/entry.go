package main

import (
	"context"
	"fmt"
	"runtime/debug"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"lovagestack/lovageapi"
	"lovagestack/lovageconfig"
	"lovagestack/lovageentry"
	"lovagestack/lovagejob"
	"lovagestack/lovagemetric"
	"lovagestack/lovageplatform"
	"lovagestack/lovagetrace"
)

type entryCommand struct {
	Settings string `arg:"--settings,required" placeholder:"FILE" help:"TOML settings of the instance"`
}

// help describes the signals.
func (*entryCommand) help() string {
	return `The first SIGTERM or SIGINT starts a graceful shutdown: the instance becomes not ready, hands its key ranges over
and finishes what is in flight. A second signal ends the process at once. Exit status 1 means that requests were cut. SIGHUP reads the
settings again for checks only; changes need a restart.`
}

func (*entryCommand) reloadsOnHangup() {}

// checkOnHangup checks the settings again on each SIGHUP until ctx ends.
func (ec *entryCommand) checkOnHangup(ctx context.Context, en *environment, log *zap.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-en.hangups:
			_, findings := lovageconfig.Load(ec.Settings)
			log.Info("settings checked", zap.Stringers("findings", findings))
		}
	}
}

// run serves until the first signal ends ctx and then shuts down gracefully.
func (ec *entryCommand) run(ctx context.Context, en *environment) int {
	settings, findings := lovageconfig.Load(ec.Settings)
	if len(findings) > 0 {
		for _, fi := range findings {
			_, _ = fmt.Fprintln(en.stderr, fi)
		}
		return exitBadInput
	}
	log, err := newLogger(settings.Log.Level)
	if err != nil {
		return en.fail(exitBadInput, err)
	}
	defer func() { _ = log.Sync() }()
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(settings.Limits.MemoryMB<<20)))
	go ec.checkOnHangup(ctx, en, log)
	cutRequests, err := serveEntry(ctx, settings, log)
	switch {
	case err != nil:
		log.Error("instance failed", zap.Error(err))
		return exitFailed
	case cutRequests > 0:
		log.Error("shutdown deadline passed", zap.Int("cut", cutRequests))
		return exitFailed
	}
	return exitOK
}

// serveEntry runs an instance with the settings. It returns the number of requests that the shutdown cut off.
func serveEntry(ctx context.Context, settings lovageconfig.Settings, log *zap.Logger) (cutRequests int, err error) {
	addresses := make([]string, len(settings.Platform.Addresses))
	for i, address := range settings.Platform.Addresses {
		addresses[i] = address.String()
	}
	platform, err := lovageplatform.NewClient(lovageplatform.ClientSettings{
		Addresses: addresses, Timeout: settings.Platform.Timeout, ID: settings.ID,
	})
	if err != nil {
		return 0, errors.Wrap(err, "set up the platform client")
	}
	defer platform.Close()
	ei, err := newEntryInstance(ctx, settings, platform, log)
	if err != nil {
		return 0, err
	}
	return ei.Serve(ctx)
}

type entryInstance struct {
	*lovageentry.Instance
	caller, operator *lovageapi.Server
}

// run serves until ctx ends and then sends the error of Serve, which may be nil, to serveErr.
func (ei *entryInstance) run(ctx context.Context, serveErr chan<- error) {
	_, err := ei.Serve(ctx)
	serveErr <- err
}

// newEntryInstance returns an instance whose API servers listen on the addresses in the settings.
func newEntryInstance(
	ctx context.Context, settings lovageconfig.Settings, platform lovageentry.Platform, log *zap.Logger,
) (*entryInstance, error) {
	traceSettings := lovagetrace.Settings{
		Instance: settings.ID, DataCentre: settings.DataCentre, SampleRatio: settings.Trace.Ratio, File: settings.Trace.File,
	}
	if settings.Trace.OTLP.IsValid() {
		traceSettings.Endpoint = "http://" + settings.Trace.OTLP.String() + "/v1/traces"
	}
	tracer, err := lovagetrace.New(ctx, traceSettings)
	if err != nil {
		return nil, errors.Wrap(err, "set up tracing")
	}
	re := lovagemetric.New()
	re.RegisterProcess()
	in, err := lovageentry.New(lovageentry.Options{
		Settings: settings, Platform: platform, Log: log, Metrics: re, Tracer: tracer,
	})
	if err != nil {
		return nil, err
	}
	apiSettings := lovageapi.DefaultSettings()
	apiSettings.Limits = lovagejob.Limits{
		MaxTasks: settings.Limits.TasksPerJob, MaxPayloadBytes: settings.Limits.PayloadBytes,
		MaxDeadline: settings.Limits.MaxDeadline,
	}
	apiSettings.BodyBytes = settings.Limits.BodyBytes
	apiSettings.Admission = lovageapi.AdmissionSettings(settings.Limits.MemoryMB, settings.Limits.MaxFiles)
	apiSettings.CallerRequests, apiSettings.OperatorRequests = settings.Limits.CallerRequests, settings.Limits.OperatorRequests
	caller, err := lovageapi.NewCallerServer(apiSettings, in, log)
	if err != nil {
		return nil, err
	}
	operator, err := lovageapi.NewOperatorServer(apiSettings, in.Syncer(), in, log)
	if err != nil {
		return nil, err
	}
	if err := caller.Listen(settings.Addresses.Caller.String()); err != nil {
		return nil, err
	}
	if err := operator.Listen(settings.Addresses.Operator.String()); err != nil {
		return nil, err
	}
	in.AddServer(caller)
	in.AddServer(operator)
	return &entryInstance{Instance: in, caller: caller, operator: operator}, nil
}

// newLogger returns a logger that writes JSON lines to standard error.
func newLogger(level string) (*zap.Logger, error) {
	lv, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "parse the log level")
	}
	config := zap.NewProductionConfig()
	config.Level = zap.NewAtomicLevelAt(lv)
	config.Sampling = nil // log every line; there are few, because only state changes are logged
	config.EncoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	return config.Build()
}
