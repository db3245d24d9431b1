package lovageapi

import (
	"context"
	"net/http"
	"time"

	"github.com/kataras/iris/v12"

	"lovagestack/lovagedispatch"
)

// WorkerLister lists the workers that the instance uses.
type WorkerLister interface {
	// Workers returns the status of the workers, sorted by ID.
	Workers(ctx context.Context) ([]lovagedispatch.WorkerStatus, error)
}

// WorkersReply is the reply to GET /v1/workers. An instance uses the workers of the domains for which it decides.
type WorkersReply struct {
	Workers []WorkerReply `json:"workers"` // sorted by ID
}

// WorkerReply describes one worker as the instance sees it.
type WorkerReply struct {
	Worker  string     `json:"worker"`
	State   string     `json:"state"`             // "healthy", "ejected", "probing" or "leaving"
	ProbeAt *time.Time `json:"probeAt,omitempty"` // time at which an ejected worker gets its next task
	Factor  float64    `json:"factor"`            // learned run time relative to a worker of average speed
	Slots   int        `json:"slots"`             // slots that this instance may use
	Running int        `json:"running"`           // tasks of this instance that run on the worker
}

func workerReply(ws *lovagedispatch.WorkerStatus) WorkerReply {
	out := WorkerReply{Worker: ws.Worker, State: ws.State, Factor: ws.Factor, Slots: ws.Slots, Running: ws.Running}
	if !ws.ProbeAt.IsZero() {
		at := ws.ProbeAt.UTC()
		out.ProbeAt = &at
	}
	return out
}

func (api *operatorAPI) workers(ctx iris.Context) {
	if findings := queryFindings(ctx); len(findings) > 0 {
		writeFindings(ctx, findings)
		return
	}
	list, err := api.health.Workers(ctx.Request().Context())
	if err != nil {
		writeError(ctx, http.StatusServiceUnavailable, "the workers cannot be listed: "+err.Error())
		return
	}
	out := WorkersReply{Workers: make([]WorkerReply, 0, len(list))}
	for i := range list {
		out.Workers = append(out.Workers, workerReply(&list[i]))
	}
	writeJSON(ctx, http.StatusOK, out)
}

// Workers returns the workers that the instance uses.
func (cl *Client) Workers(ctx context.Context) ([]WorkerReply, error) {
	var out WorkersReply
	err := cl.callJSON(ctx, http.MethodGet, workersPath, nil, &out, nil)
	return out.Workers, err
}

const workersPath = "/v1/workers"
