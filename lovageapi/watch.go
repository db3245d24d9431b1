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

// lines writes a reply of newline-delimited JSON.
type lines struct {
	ctx iris.Context
	rc  *http.ResponseController
}

func startLines(ctx iris.Context) *lines {
	he := ctx.ResponseWriter().Header()
	he.Set("Content-Type", "application/x-ndjson")
	he.Set("X-Accel-Buffering", "no") // some proxies would hold lines back
	ctx.StatusCode(http.StatusOK)
	return &lines{ctx: ctx, rc: http.NewResponseController(ctx.ResponseWriter().Naive())}
}

// write sends one line, which must end in a newline and hold no other.
func (li *lines) write(line []byte) error {
	extendWrite(li.ctx)
	if _, err := li.ctx.ResponseWriter().Write(line); err != nil {
		return err
	}
	return li.rc.Flush()
}

func (li *lines) writeJSON(value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return li.write(append(data, '\n'))
}

// watchContext ends when the client goes or the server shuts down.
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

// watch writes the job's answer whenever it changes, at least every jobWatchPeriod, until it is final.
func (api *callerAPI) watch(ctx iris.Context) {
	key, findings := pathKey(ctx)
	if findings = append(findings, queryFindings(ctx)...); len(findings) > 0 {
		writeFindings(ctx, findings)
		return
	}
	until, cancel := api.srv.watchContext(ctx)
	defer cancel()
	var li *lines
	waitUntil := api.srv.now()
	for {
		asked := time.Now()
		an, err := api.jobs.Ask(until, key, waitUntil)
		if until.Err() != nil || (li == nil && writeFault(ctx, err)) {
			return
		}
		if li == nil {
			li = startLines(ctx)
		}
		an = vet(an, err, key, -1)
		var line bytes.Buffer
		if err := json.Compact(&line, appendAnswer(nil, &an)); err != nil {
			return
		}
		line.WriteByte('\n')
		if li.write(line.Bytes()) != nil || an.Outcome.Final() {
			return
		}
		pause := jobWatchPause
		if an.Outcome == lovagejob.Unknown {
			pause = time.Second // Ask returns at once
		}
		if !sleep(until, pause-time.Since(asked)) {
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

// WatchLine is one line of a resource watch. Exactly one field is set.
type WatchLine struct {
	Change   *lovageresource.Change `json:"change,omitempty"`
	Revision int64                  `json:"revision,omitempty"` // everything up to this revision has been sent
	Error    string                 `json:"error,omitempty"`    // the watch ends because changes are no longer kept
	End      string                 `json:"end,omitempty"`      // the watch ends; go on from the last revision elsewhere
}

const (
	resourceWatchPeriod = 10 * time.Second // between lines of a resource watch while nothing changes
	changesPerTurn      = 256              // bounds the memory that a slow watcher holds
)

// watch writes every change after the revision "from", in order and without gaps.
func (api *operatorAPI) watch(ctx iris.Context) {
	findings := queryFindings(ctx, "from")
	from, finding := queryRevision(ctx, "from")
	if findings = append(findings, finding...); len(findings) > 0 {
		writeFindings(ctx, findings)
		return
	}
	var old *lovageresource.TooOldError
	if _, err := api.resources.Since(from, 1); errors.As(err, &old) {
		writeJSON(ctx, http.StatusGone, ErrorReply{Error: old.Error(), Revision: old.Current})
		return
	}
	until, cancel := api.srv.watchContext(ctx)
	defer cancel()
	li := startLines(ctx)
	tick := time.NewTicker(resourceWatchPeriod)
	defer tick.Stop()
	if li.writeJSON(WatchLine{Revision: from}) != nil {
		return
	}
	for {
		changed := api.resources.Changed() // before Since, so that no change falls between the two
		changes, err := api.resources.Since(from, changesPerTurn)
		if err != nil {
			_ = li.writeJSON(WatchLine{Error: err.Error()})
			return
		}
		for i := range changes {
			if li.writeJSON(WatchLine{Change: &changes[i]}) != nil {
				return
			}
			from = changes[i].Revision
		}
		if len(changes) > 0 {
			if until.Err() == nil {
				continue
			}
		}
		select {
		case <-until.Done():
			_ = li.writeJSON(WatchLine{End: "the server is shutting down"})
			return
		case <-changed:
		case <-tick.C:
			if li.writeJSON(WatchLine{Revision: from}) != nil {
				return
			}
		}
	}
}
