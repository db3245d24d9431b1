package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"lovagestack/lovagefleet"
	"lovagestack/lovagelog"
	"lovagestack/lovagemetric"
	"lovagestack/lovagetrace"
	"lovagestack/platform"
)

// serveCommand runs an instance on the users' platform.
type serveCommand struct {
	MetricsPort int     `arg:"--metrics-port" default:"9464" placeholder:"PORT" help:"port of /metrics on the instance's address; 0: none"`
	TraceOTLP   string  `arg:"--trace-otlp" placeholder:"ADDRESS" help:"host:port of an OTLP/HTTP receiver of spans"`
	TraceFile   string  `arg:"--trace-file" placeholder:"FILE" help:"file to append spans to, one JSON object a line"`
	TraceRatio  float64 `arg:"--trace-ratio" default:"0.01" placeholder:"SHARE" help:"share of the requests of which spans are recorded, 0 to 1"`
}

func (*serveCommand) help() string {
	return `The settings file is the one that the platform writes; its path is in the environment variable
` + platform.SettingsVariable + `. SIGHUP reads it again for checks only; changed addresses need a restart. SIGTERM makes
the instance hand over its workers, finish what is in flight and exit.`
}

const (
	// memoryLimitShare is the share of the instance's memory that the Go runtime gets as its soft limit.
	memoryLimitShare = 0.55
	// gcPercent is the GOGC value in percent. The live heap is a few MB, so this heap growth takes little memory.
	gcPercent = 200
	// readHeaderTimeout, idleTimeout and maxHeaderBytes limit connections even before the configuration is known.
	readHeaderTimeout = 3 * time.Second
	idleTimeout       = 15 * time.Second
	maxHeaderBytes    = 16 << 10
	// balancerLag is how long new connections may still arrive after the instance has become not ready. The platform
	// probes readiness once a second and acts on the second failure.
	balancerLag = 2500 * time.Millisecond
	// exitMargin is the time kept between the end of a graceful shutdown and the platform's SIGKILL.
	exitMargin = 500 * time.Millisecond
)

func (sc *serveCommand) run(ctx context.Context, en *environment) int {
	logger := lovagelog.New(en.stdout)
	logCtx, stopLog := context.WithCancel(context.Background())
	logDone := make(chan struct{})
	go func() {
		defer close(logDone)
		logger.Run(logCtx)
	}()
	defer func() {
		stopLog()
		<-logDone
	}()
	path := os.Getenv(platform.SettingsVariable)
	se, err := platform.ReadSettings(path)
	if err != nil {
		return en.fail(exitBadInput, err)
	}
	debug.SetGCPercent(gcPercent)
	if se.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(se.Limits.MemoryMB<<20)))
	}
	if err := sc.serve(ctx, en, se, path, logger); err != nil {
		logger.Zap().Error("instance failed", zap.Error(err))
		return exitFailed
	}
	return exitOK
}

func (*serveCommand) reloadsOnHangup() {}

func (sc *serveCommand) serve(
	ctx context.Context, en *environment, se *platform.Settings, path string, logger *lovagelog.Logger,
) error {
	log := logger.Zap()
	log.Info("start", zap.String("instance", se.Node), zap.String("dataCentre", se.Zone))
	metrics := lovagemetric.New()
	metrics.RegisterProcess()
	tracer, err := lovagetrace.New(ctx, sc.traceSettings(se))
	if err != nil {
		return errors.Wrap(err, "set up tracing")
	}
	store := platform.NewStore(se.Platform.Address, log).LimitReplies(se.ReplyBytes())
	workers := platform.NewWorkerClient().LimitReplies(se.ReplyBytes())
	no := lovagefleet.New(se.FleetSettings(), lovagefleet.Dependencies{
		Store: store, Registry: store, Workers: workers, Metrics: metrics, Logger: logger, Tracer: tracer,
	})
	var frontend http.Handler = platform.NewFrontend(no, func() bool { return ctx.Err() != nil })
	if tracer != nil {
		untraced := frontend
		frontend = http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
			untraced.ServeHTTP(rw, req.WithContext(tracer.ExtractHTTP(req.Context(), req.Header)))
		})
	}
	accounts := se.Accounts()
	registerAdmission(metrics, accounts, store, workers)
	servers := []*server{
		newServer(se.Listen.Frontend, frontend, accounts.Frontend),
		newServer(se.Listen.Readiness, platform.NewReadinessHandler(no.Ready), accounts.Readiness),
	}
	if sc.MetricsPort > 0 {
		mux := http.NewServeMux()
		mux.HandleFunc("GET /metrics", func(rw http.ResponseWriter, _ *http.Request) { _ = metrics.WriteText(rw) })
		servers = append(servers, newServer(net.JoinHostPort(se.IP, strconv.Itoa(sc.MetricsPort)), mux, accounts.Metrics))
	}
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	errs := make(chan error, len(servers)+1)
	var wg sync.WaitGroup
	wg.Go(func() { errs <- no.Run(runCtx) })
	wg.Go(func() {
		if err := tracer.Serve(runCtx); err != nil && runCtx.Err() == nil {
			log.Error("span export stopped", zap.Error(err))
		}
	})
	for _, sv := range servers {
		if err := sv.listen(); err != nil {
			return err
		}
		go func() { errs <- sv.run() }()
	}
	for {
		select {
		case err := <-errs:
			return err
		case <-en.hangups:
			_, err := platform.ReadSettings(path)
			log.Info("reload", zap.Bool("valid", err == nil))
			continue
		case <-ctx.Done():
		}
		break
	}
	no.Leave()
	grace := time.Duration(se.Bounds.GraceSeconds*float64(time.Second)) - exitMargin
	deadline := time.Now().Add(grace)
	time.Sleep(min(balancerLag, grace/2))
	stopCtx, stop := context.WithDeadline(context.Background(), deadline)
	defer stop()
	for _, sv := range servers {
		if err := sv.shutDown(stopCtx); err != nil {
			log.Warn("shutdown ended with requests in progress", zap.String("address", sv.http.Addr), zap.Error(err))
		}
	}
	no.AwaitIdle(stopCtx)
	cancel()
	wg.Wait()
	log.Info("stop")
	return nil
}

// traceSettings enables the export of spans only if a receiver or a file is given.
func (sc *serveCommand) traceSettings(se *platform.Settings) lovagetrace.Settings {
	ts := lovagetrace.Settings{Instance: se.Node, DataCentre: se.Zone, File: sc.TraceFile, SampleRatio: sc.TraceRatio}
	if sc.TraceOTLP != "" {
		ts.Endpoint = "http://" + sc.TraceOTLP + "/v1/traces"
	}
	return ts
}
