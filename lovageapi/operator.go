package lovageapi

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/pprof"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/kataras/iris/v12"
	"go.uber.org/zap"

	"lovagestack/lovageconfig"
	"lovagestack/lovagejob"
	"lovagestack/lovageresource"
)

// Resources reads and changes resources; lovagesync.Syncer implements it.
type Resources interface {
	Get(kind lovageresource.Kind, name string) (lovageresource.Resource, bool)
	List(kind lovageresource.Kind) ([]lovageresource.Resource, int64)
	Put(ctx context.Context, re lovageresource.Resource) lovageresource.WriteResult
	Delete(ctx context.Context, kind lovageresource.Kind, name string, revision int64) lovageresource.WriteResult
	Since(after int64, limit int) ([]lovageresource.Change, error)
	Changed() <-chan struct{}
	InForce(revision int64) (lovageresource.Condition, []lovageresource.AppliedRevision)
}

// Health reports the state of the instance.
type Health interface {
	WorkerLister
	// Ready reports whether the instance accepts new jobs and, if not, the reasons.
	Ready() (bool, []string)
	// Decides reports whether the instance accepts new jobs and assigns tasks to workers of the service, or of any
	// service if the name is empty.
	Decides(service string) bool
	// WriteMetrics writes all metrics in the text exposition format.
	WriteMetrics(w io.Writer) error
}

type operatorAPI struct {
	srv       *Server
	resources Resources
	health    Health
}

// NewOperatorServer returns the server of the operator API.
func NewOperatorServer(se Settings, resources Resources, health Health, log *zap.Logger) (*Server, error) {
	srv, app := newServer("operator", se, se.OperatorRequests, se.Admission.Share(1, 8), log)
	api := &operatorAPI{srv: srv, resources: resources, health: health}
	app.Get("/v1/resources", api.list)
	app.Get("/v1/resources/{kind}/{name}", api.get)
	app.Put("/v1/resources/{kind}/{name}", api.put)
	app.Delete("/v1/resources/{kind}/{name}", api.delete)
	app.Get("/v1/watch", api.watch)
	app.Get(decidingPath, api.deciding)
	app.Get(workersPath, api.workers)
	app.Get("/healthz", api.healthz)
	app.Get("/readyz", api.readyz)
	app.Get("/metrics", api.metrics)
	app.Get("/debug/pprof/cmdline", iris.FromStd(pprof.Cmdline))
	app.Get("/debug/pprof/profile", iris.FromStd(pprof.Profile))
	app.Get("/debug/pprof/symbol", iris.FromStd(pprof.Symbol))
	app.Get("/debug/pprof/trace", iris.FromStd(pprof.Trace))
	app.Get("/debug/pprof/{profile:path}", iris.FromStd(pprof.Index))
	return srv, errors.Wrap(app.Build(), "build the operator API")
}

// ListReply is the reply to GET /v1/resources.
type ListReply struct {
	Revision  int64                     `json:"revision"` // a watch from this revision misses no change
	Resources []lovageresource.Resource `json:"resources"`
	Status    lovageresource.Status     `json:"status"` // whether Revision is in force; the revision each instance applied
}

func (api *operatorAPI) list(ctx iris.Context) {
	findings := queryFindings(ctx, "kind")
	kind := lovageresource.Kind(ctx.URLParam("kind"))
	if kind != "" && !kind.Valid() {
		findings = append(findings, kindFinding(kind))
	}
	if len(findings) > 0 {
		writeFindings(ctx, findings)
		return
	}
	resources, revision := api.resources.List(kind)
	inForce, applied := api.resources.InForce(revision)
	writeJSON(ctx, http.StatusOK, ListReply{
		Revision: revision, Resources: resources,
		Status: lovageresource.Status{Conditions: []lovageresource.Condition{inForce}, Applied: applied},
	})
}

func kindFinding(kind lovageresource.Kind) lovageconfig.Finding {
	return lovageconfig.Finding{
		Field: "kind", Problem: fmt.Sprintf("%q is not a kind of resource; kinds are %q", kind, lovageresource.Kinds()),
	}
}

// resourceParams returns the kind and name in the path. If it returns false, the reply has been written.
func (api *operatorAPI) resourceParams(ctx iris.Context, knownQuery ...string) (lovageresource.Kind, string, bool) {
	findings := queryFindings(ctx, knownQuery...)
	kind := lovageresource.Kind(ctx.Params().Get("kind"))
	if !kind.Valid() {
		findings = append(findings, kindFinding(kind))
	}
	if len(findings) > 0 {
		writeFindings(ctx, findings)
		return "", "", false
	}
	return kind, ctx.Params().Get("name"), true
}

func (api *operatorAPI) get(ctx iris.Context) {
	kind, name, ok := api.resourceParams(ctx)
	if !ok {
		return
	}
	re, ok := api.resources.Get(kind, name)
	if !ok {
		writeError(ctx, http.StatusNotFound, fmt.Sprintf("%s %q does not exist", kind, name))
		return
	}
	writeJSON(ctx, http.StatusOK, re)
}

func (api *operatorAPI) put(ctx iris.Context) {
	kind, name, ok := api.resourceParams(ctx)
	if !ok {
		return
	}
	data, ok := api.srv.readBody(ctx)
	if !ok {
		return
	}
	resources, findings := lovageresource.DecodeJSON("", data)
	if len(findings) == 0 && len(resources) != 1 {
		findings = append(findings, lovageconfig.Finding{Problem: "the body must hold one resource"})
	}
	if len(findings) == 0 && (resources[0].Kind != kind || resources[0].Name != name) {
		findings = append(findings, lovageconfig.Finding{
			Problem: fmt.Sprintf("the body holds %s %q, the path names %s %q", resources[0].Kind, resources[0].Name, kind, name),
		})
	}
	if len(findings) > 0 {
		writeFindings(ctx, findings)
		return
	}
	res := api.resources.Put(ctx.Request().Context(), resources[0])
	status := statusForWrite(res.Outcome)
	if res.Outcome == lovageresource.WriteAccepted && resources[0].Revision == 0 {
		status = http.StatusCreated
	}
	api.writeResult(ctx, status, res)
}

func (api *operatorAPI) delete(ctx iris.Context) {
	kind, name, ok := api.resourceParams(ctx, "revision")
	if !ok {
		return
	}
	revision, findings := queryRevision(ctx, "revision")
	if len(findings) > 0 {
		writeFindings(ctx, findings)
		return
	}
	res := api.resources.Delete(ctx.Request().Context(), kind, name, revision)
	api.writeResult(ctx, statusForWrite(res.Outcome), res)
}

// queryRevision returns the revision in a required query parameter.
func queryRevision(ctx iris.Context, name string) (int64, []lovageconfig.Finding) {
	text := ctx.URLParam(name)
	revision, err := strconv.ParseInt(text, 10, 64)
	if err != nil || revision < 0 {
		return 0, []lovageconfig.Finding{{Field: name, Problem: fmt.Sprintf("%q is not a revision", text)}}
	}
	return revision, nil
}

// statusForWrite returns the HTTP status for a write outcome.
func statusForWrite(outcome lovageresource.WriteOutcome) int {
	switch outcome {
	case lovageresource.WriteAccepted, lovageresource.WriteUnchanged:
		return http.StatusOK
	case lovageresource.WriteConflict:
		return http.StatusConflict
	case lovageresource.WriteUnavailable:
		return http.StatusServiceUnavailable
	case lovageresource.WriteAmbiguous:
	}
	return http.StatusGatewayTimeout
}

func (api *operatorAPI) writeResult(ctx iris.Context, status int, res lovageresource.WriteResult) {
	if status >= 500 {
		setRetryAfter(ctx, 2*time.Second) // by then the instance has read the stored resources again
	}
	writeJSON(ctx, status, res)
}

func (api *operatorAPI) healthz(ctx iris.Context) {
	writeJSON(ctx, http.StatusOK, map[string]string{"status": "ok"})
}

// ReadyReply is the reply of /readyz.
type ReadyReply struct {
	Ready   bool     `json:"ready"`
	Reasons []string `json:"reasons,omitempty"`
}

func (api *operatorAPI) readyz(ctx iris.Context) {
	ready, reasons := api.health.Ready()
	status := http.StatusOK
	if !ready {
		status = http.StatusServiceUnavailable
	}
	writeJSON(ctx, status, ReadyReply{Ready: ready, Reasons: reasons})
}

// decidingPath is the path of a health check for load balancers.
const decidingPath = "/v1/deciding"

// DecidingReply is the reply of /v1/deciding.
type DecidingReply struct {
	Deciding bool `json:"deciding"`
}

func (api *operatorAPI) deciding(ctx iris.Context) {
	findings := queryFindings(ctx, "service")
	name := ctx.URLParam("service")
	if name != "" && !lovagejob.ValidName(name) {
		findings = append(findings, lovageconfig.Finding{
			Field: "service", Problem: fmt.Sprintf("%q is not the name of a service", name),
		})
	}
	if len(findings) > 0 {
		writeFindings(ctx, findings)
		return
	}
	status, decides := http.StatusServiceUnavailable, api.health.Decides(name)
	if decides {
		status = http.StatusOK
	}
	writeJSON(ctx, status, DecidingReply{Deciding: decides})
}

func (api *operatorAPI) metrics(ctx iris.Context) {
	extendWriteDeadline(ctx)
	ctx.ResponseWriter().Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	if err := api.health.WriteMetrics(ctx.ResponseWriter()); err != nil {
		writeError(ctx, http.StatusInternalServerError, "metrics cannot be written: "+err.Error())
	}
}
