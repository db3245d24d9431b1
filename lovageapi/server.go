package lovageapi

import (
	"context"
	"log"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/kataras/iris/v12"
	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"lovagestack/lovageadmission"
	"lovagestack/lovageconn"
	"lovagestack/lovagejob"
)

// Settings limits what the servers accept.
type Settings struct {
	Limits           lovagejob.Limits
	BodyBytes        int64 // maximum size of a request body
	CallerRequests   int   // maximum number of requests in progress at the caller API
	OperatorRequests int   // maximum number of requests in progress at the operator API, including watches

	Admission lovageadmission.Settings // what the clients of both APIs may hold; the caller API has seven eighths of it

	Now func() time.Time // clock for deadlines and waits; default time.Now
}

// DefaultSettings returns the same limits as lovageconfig.Defaults.
func DefaultSettings() Settings {
	return Settings{
		Limits: lovagejob.DefaultLimits(), BodyBytes: 32 << 20, CallerRequests: 20_000, OperatorRequests: 2_000,
		Admission: AdmissionSettings(5120, 65_536),
	}
}

// AdmissionSettings returns the limits of clients of an instance with the memory in MB and the number of descriptors.
func AdmissionSettings(memoryMB int64, maxFiles int) lovageadmission.Settings {
	se := lovageadmission.DefaultSettings(memoryMB, maxFiles)
	se.Deadline, se.SendBuffer = bodyTimeout, sendBuffer
	return se
}

const (
	headerTimeout  = 5 * time.Second
	bodyTimeout    = 30 * time.Second // limit of the time to read a body, enough for 32 MB at about 10 Mbit/s
	writeTimeout   = 30 * time.Second // limit of the time to write one reply or one line of a watch
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 16 << 10
	sendBuffer     = 8 << 10
	maxQueryBytes  = 1 << 10 // the parameters of a call are a name, a time or a number

	// shutdownReadPeriod is how long a server still reads requests after Shutdown is called. Closing an idle
	// connection drops a request that has arrived but has not been read. On a busy machine, requests were still unread
	// 31 to 78 ms after they had been written.
	shutdownReadPeriod = 500 * time.Millisecond
)

// Server is the HTTP server of one API. Create it with [NewCallerServer] or [NewOperatorServer].
type Server struct {
	name               string
	http               *http.Server
	listener           net.Listener
	maxBodyBytes       int64
	bodyTimeout        time.Duration // limit of the time to read a body; tests shorten it
	shutdownReadPeriod time.Duration // see the constant; tests change it
	now                func() time.Time
	account            *lovageadmission.Account
	inFlight           chan struct{} // one token per request in progress
	draining           atomic.Bool
	closing            chan struct{} // closed on shutdown to end watches
	closeOnce          sync.Once
}

func newServer(name string, se Settings, maxRequests int, admission lovageadmission.Settings, lg *zap.Logger) (*Server, *iris.Application) {
	if lg == nil {
		lg = zap.NewNop()
	}
	srv := &Server{
		name: name, maxBodyBytes: se.BodyBytes, bodyTimeout: bodyTimeout, shutdownReadPeriod: shutdownReadPeriod, now: se.Now,
		account: lovageadmission.New(admission), inFlight: make(chan struct{}, max(maxRequests, 1)), closing: make(chan struct{}),
	}
	if srv.now == nil {
		srv.now = time.Now
	}
	var errorLog *log.Logger
	if lo, err := zap.NewStdLogAt(lg.Named(name), zapcore.DebugLevel); err == nil {
		errorLog = lo
	}
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Configure(iris.WithoutStartupLog, iris.WithoutPathCorrection, iris.WithoutInterruptHandler,
		iris.WithFireMethodNotAllowed)
	app.OnAnyErrorCode(func(ctx iris.Context) {
		writeError(ctx, ctx.GetStatusCode(), http.StatusText(ctx.GetStatusCode())+": "+ctx.Method()+" "+ctx.Path())
	})
	srv.http = &http.Server{
		Handler:           lovageconn.Handler(srv.limitRequests(app)),
		ConnContext:       lovageconn.Context,
		ConnState:         lovageconn.NoteState,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          errorLog,
	}
	// ReadTimeout and WriteTimeout stay unset because they would end watches and long waits. Instead, limitRequests, readBody
	// and the writers set deadlines for each request.
	return srv, app
}

// limitRequests limits the requests in progress and clears the write deadline that the previous request left on the
// connection. Health checks, metrics and profiles are exempt, so that the balancer does not consider the instance dead
// when watches use up the limit.
func (srv *Server) limitRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if srv.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
		if len(r.URL.RawQuery) > maxQueryBytes {
			w.WriteHeader(http.StatusRequestURITooLong)
			return
		}
		if !strings.HasPrefix(r.URL.Path, "/v1/") || r.URL.Path == decidingPath {
			next.ServeHTTP(w, r)
			return
		}
		select {
		case srv.inFlight <- struct{}{}:
			defer func() { <-srv.inFlight }()
			next.ServeHTTP(w, r)
		default:
			w.Header().Set("Content-Type", "application/json")
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			// The reply has no outcome: whether another submission of the same key runs is not known here.
			_, _ = w.Write([]byte(`{"error":"too many requests are in progress; this one was not processed"}` + "\n"))
		}
	})
}

// Handler returns the server's handler, for tests and for use without a listener.
func (srv *Server) Handler() http.Handler { return srv.http.Handler }

// Listen opens the listener at an IP address and port.
func (srv *Server) Listen(address string) error {
	li, err := lovageconn.Listen(address, srv.account, 0)
	if err != nil {
		return errors.Wrapf(err, "listen for the %s API", srv.name)
	}
	srv.listener = li
	return nil
}

// Address returns the address of the listener.
func (srv *Server) Address() string { return srv.listener.Addr().String() }

// Serve serves the listener until Shutdown is called. If the context ends first, requests in progress are aborted.
func (srv *Server) Serve(ctx context.Context) error {
	if srv.listener == nil {
		return errors.Newf("the %s API has no listener", srv.name)
	}
	stop := context.AfterFunc(ctx, func() {
		srv.endWatches()
		_ = srv.http.Close()
	})
	defer stop()
	sweepCtx, stopSweep := context.WithCancel(ctx)
	defer stopSweep()
	go lovageconn.Sweep(sweepCtx, srv.account)
	err := srv.http.Serve(srv.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return suture.ErrDoNotRestart
	}
	return errors.Wrapf(err, "serve the %s API", srv.name)
}

// Drain makes every reply ask its client to close the connection. Idle connections stay open, since closing one can
// drop a request on its way.
func (srv *Server) Drain() { srv.draining.Store(true) }

// InProgress returns the number of requests in progress that count towards the limit.
func (srv *Server) InProgress() int { return len(srv.inFlight) }

// Shutdown ends watches, reads the requests that have already been sent, stops listening and waits for the requests in
// progress. If the context ends first, the remaining requests are aborted and the error gives their number.
func (srv *Server) Shutdown(ctx context.Context) error {
	srv.Drain()
	srv.endWatches()
	timer := time.NewTimer(srv.shutdownReadPeriod)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	if err := srv.http.Shutdown(ctx); err != nil {
		aborted := srv.InProgress()
		_ = srv.http.Close()
		return errors.Wrapf(err, "shut down the %s API: %d requests were cut", srv.name, aborted)
	}
	return nil
}

func (srv *Server) endWatches() { srv.closeOnce.Do(func() { close(srv.closing) }) }
