package lovagefake

import (
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"lovagestack/lovageplatform"
)

func isControl(req *http.Request) bool { return strings.HasPrefix(req.URL.Path, "/control/") }

// registerControl registers the handlers of the control endpoint:
//
//	GET  PUT    /control/faults          PlatformFaults
//	GET         /control/counters        PlatformCounters
//	PUT  DELETE /control/instances/{id}  lovageplatform.Instance
func (pl *Platform) registerControl() {
	pl.mux.HandleFunc("GET /control/faults", func(rw http.ResponseWriter, _ *http.Request) {
		writeJSON(rw, http.StatusOK, pl.Faults())
	})
	pl.mux.HandleFunc("PUT /control/faults", func(rw http.ResponseWriter, req *http.Request) {
		var fa PlatformFaults
		if decodeStrict(rw, req, &fa) {
			pl.SetFaults(fa)
			writeJSON(rw, http.StatusOK, fa)
		}
	})
	pl.mux.HandleFunc("GET /control/counters", func(rw http.ResponseWriter, _ *http.Request) {
		writeJSON(rw, http.StatusOK, pl.Counters())
	})
	pl.mux.HandleFunc("PUT /control/instances/{id}", func(rw http.ResponseWriter, req *http.Request) {
		var in lovageplatform.Instance
		if !decodeStrict(rw, req, &in) {
			return
		}
		if id := req.PathValue("id"); in.ID != id {
			writeError(rw, http.StatusBadRequest, errors.Newf("instance has ID %q, the path says %q", in.ID, id))
			return
		}
		pl.PutInstance(in)
		writeJSON(rw, http.StatusOK, in)
	})
	pl.mux.HandleFunc("DELETE /control/instances/{id}", func(rw http.ResponseWriter, req *http.Request) {
		pl.RemoveInstance(req.PathValue("id"))
		rw.WriteHeader(http.StatusNoContent)
	})
}
