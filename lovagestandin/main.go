// Command lovagestandin runs fakes of the users' platform and workers as processes, for tests and trials only.
//
// # Usage
//
//	lovagestandin platform --listen 127.0.0.1:9000
//	lovagestandin workers --count 48 --listen 127.0.0.1:9100 --control 127.0.0.1:9099 \
//		--data-centres kandla,navlakhi,gandhidham --speeds 1,0.6,1.4 --platform 127.0.0.1:9000
//	curl -X PUT -d '{"slow":"200ms"}' http://127.0.0.1:9000/control/faults
//	curl -X PUT -d '{"straggle":10}' http://127.0.0.1:9099/control/workers/kandla-w0/faults
//
// Each process prints a line "listening NAME ADDRESS" for every address on which it listens, and then "ready". It exits
// on SIGINT or SIGTERM. Package lovagefake documents the control endpoints.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"

	"lovagestack/lovagefake"
	"lovagestack/lovageplatform"
)

type arguments struct {
	Platform *platformCommand `arg:"subcommand:platform" help:"serve table, object store and instance list"`
	Worker   *workerCommand   `arg:"subcommand:worker" help:"serve one worker"`
	Workers  *workersCommand  `arg:"subcommand:workers" help:"serve many workers on successive ports"`
}

type platformCommand struct {
	Listen  string `arg:"--listen" default:"127.0.0.1:9000"`
	Limited bool   `arg:"--limited" help:"take the time of a real platform, with 2000 reads and 400 writes a second"`
}

func main() {
	var args arguments
	pa := arg.MustParse(&args)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var err error
	switch {
	case args.Platform != nil:
		err = args.Platform.run(ctx)
	case args.Worker != nil:
		err = args.Worker.run(ctx)
	case args.Workers != nil:
		err = args.Workers.run(ctx)
	default:
		pa.Fail("a subcommand is missing")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "lovagestandin:", err)
		os.Exit(1)
	}
}

func (co *platformCommand) run(ctx context.Context) error {
	memory := lovageplatform.NewMemory()
	pl := lovagefake.NewPlatform(memory)
	if co.Limited {
		pl = lovagefake.NewLimitedPlatform(memory, lovageplatform.LimitSettings{})
	}
	defer pl.Close()
	sv, err := startServer("platform", co.Listen, pl)
	if err != nil {
		return err
	}
	defer func() { _ = sv.Close() }()
	fmt.Println("ready")
	<-ctx.Done()
	return nil
}

// server is an HTTP server that runs in its own goroutine.
type server struct {
	http.Server
	listener net.Listener
	stopped  chan struct{}
}

// startServer starts an HTTP server and prints its address.
func startServer(name, addr string, ha http.Handler) (*server, error) {
	li, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, name)
	}
	sv := &server{listener: li, stopped: make(chan struct{})}
	sv.Handler, sv.ReadHeaderTimeout = ha, time.Minute
	go sv.run()
	fmt.Println("listening", name, li.Addr())
	return sv, nil
}

func (sv *server) run() {
	defer close(sv.stopped)
	_ = sv.Serve(sv.listener) // returns when Close is called
}

// Close closes all connections and waits for the server's goroutine.
func (sv *server) Close() error {
	err := sv.Server.Close()
	<-sv.stopped
	return err
}
