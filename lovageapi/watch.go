package lovageapi

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/kataras/iris/v12"

	"lovagestack/lovagejob"
	"lovagestack/lovageresource"
)

// lineWriter writes a reply of newline-delimited JSON.
type lineWriter struct {
	ctx iris.Context
	rc  *http.ResponseController
}

func startLineReply(ctx iris.Context) *lineWriter {
	he := ctx.ResponseWriter().Header()
	he.Set("Content-Type", "application/x-ndjson")
	he.Set("X-Accel-Buffering", "no") // some proxies would otherwise buffer lines
	ctx.StatusCode(http.StatusOK)
	return &lineWriter{ctx: ctx, rc: http.NewResponseController(ctx.ResponseWriter().Naive())}
}

// write sends one line, which must end in its only newline.
func (lw *lineWriter) write(line []byte) error {
	extendWriteDeadline(lw.ctx)
	if _, err := lw.ctx.ResponseWriter().Write(line); err != nil {
		return err
	}
	return lw.rc.Flush()
}

func (lw *lineWriter) writeJSON(value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return lw.write(append(data, '\n'))
}

// watchContext returns a context that ends when the client disconnects or the server shuts down.
func (srv *Server) watchContext(ctx iris.Context) (context.Context, context.CancelFunc) {
	out, cancel := context.WithCancel(ctx.Request().Context())
	go srv.closeLoop(out, cancel)
	return out, cancel
}

func (srv *Server) closeLoop(ctx context.Context, cancel context.CancelFunc) {
	select {
	case <-srv.closing:
		cancel()
	case <-ctx.Done():
	}
}

// watch writes the job's answer whenever it changes, and at least every jobWatchPeriod, until it is final.
func (api *callerAPI) watch(ctx iris.Context) {
	key, findings := pathKey(ctx)
	if findings = append(findings, queryFindings(ctx)...); len(findings) > 0 {
		writeFindings(ctx, findings)
		return
	}
	watchCtx, cancel := api.srv.watchContext(ctx)
	defer cancel()
	var lw *lineWriter
	var reserved int64
	waitUntil := api.srv.now()
	for {
		askedAt := time.Now()
		an, err := api.jobs.Ask(watchCtx, key, waitUntil)
		if watchCtx.Err() != nil || (lw == nil && writeRequestError(ctx, err)) {
			return
		}
		if lw == nil {
			lw = startLineReply(ctx)
		}
		an = checkAnswer(an, err, key, -1)
		if size := 2 * answerBytes(&an); size > reserved {
			if !reserver(ctx)(size - reserved) {
				an = *withoutRoom(&an)
			} else {
				reserved = size
			}
		}
		var line bytes.Buffer
		if err := json.Compact(&line, appendAnswer(nil, &an)); err != nil {
			return
		}
		line.WriteByte('\n')
		if lw.write(line.Bytes()) != nil || an.Outcome.Final() {
			return
		}
		pause := minJobWatchPeriod
		if an.Outcome == lovagejob.Unknown {
			pause = time.Second // Ask does not wait in this case
		}
		if !sleep(watchCtx, pause-time.Since(askedAt)) {
			return
		}
		waitUntil = api.srv.now().Add(jobWatchPeriod)
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// WatchLine is one line of a resource watch. Exactly one field is set; revision 0 is left out of the JSON.
type WatchLine struct {
	Change   *lovageresource.Change `json:"change,omitempty"`
	Revision int64                  `json:"revision,omitempty"` // all changes up to this revision have been sent
	Error    string                 `json:"error,omitempty"`    // why the watch ends: the next changes are no longer kept
	End      string                 `json:"end,omitempty"`      // server shuts down; resume from the last revision elsewhere
}

const (
	resourceWatchPeriod = 10 * time.Second // longest time between lines of a resource watch
	maxChangesPerRead   = 256              // limits the memory held for a slow watcher
)

// watch writes every change after the revision "from", in order and without gaps.
func (api *operatorAPI) watch(ctx iris.Context) {
	findings := queryFindings(ctx, "from")
	from, finding := queryRevision(ctx, "from")
	if findings = append(findings, finding...); len(findings) > 0 {
		writeFindings(ctx, findings)
		return
	}
	var tooOld *lovageresource.TooOldError
	if _, err := api.resources.Since(from, 1); errors.As(err, &tooOld) {
		writeJSON(ctx, http.StatusGone, ErrorReply{Error: tooOld.Error(), Revision: tooOld.Current})
		return
	}
	watchCtx, cancel := api.srv.watchContext(ctx)
	defer cancel()
	lw := startLineReply(ctx)
	tick := time.NewTicker(resourceWatchPeriod)
	defer tick.Stop()
	if lw.writeJSON(WatchLine{Revision: from}) != nil {
		return
	}
	for {
		changed := api.resources.Changed() // before Since, so that no change between the calls is missed
		changes, err := api.resources.Since(from, maxChangesPerRead)
		if err != nil {
			_ = lw.writeJSON(WatchLine{Error: err.Error()})
			return
		}
		for i := range changes {
			if lw.writeJSON(WatchLine{Change: &changes[i]}) != nil {
				return
			}
			from = changes[i].Revision
		}
		if len(changes) > 0 {
			if watchCtx.Err() == nil {
				continue
			}
		}
		select {
		case <-watchCtx.Done():
			_ = lw.writeJSON(WatchLine{End: "the server is shutting down"})
			return
		case <-changed:
		case <-tick.C:
			if lw.writeJSON(WatchLine{Revision: from}) != nil {
				return
			}
		}
	}
}
