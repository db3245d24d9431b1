package lovagefake

import (
	"net/http"

	"github.com/cockroachdb/errors"
)

// WorkerControlHandler returns the handler of the workers' control endpoint. The endpoint needs a separate address,
// because the faults of a worker affect every connection to the worker's address.
//
//	GET      /control/workers              counters by worker ID
//	PUT      /control/workers/faults       WorkerFaults of all workers
//	GET PUT  /control/workers/{id}/faults  WorkerFaults
//	GET      /control/workers/{id}/starts  number of starts by Lovage-Task header
//	GET      /control/duplicates           DuplicateStarts of all workers
func WorkerControlHandler(workers ...*Worker) http.Handler {
	byID := make(map[string]*Worker, len(workers))
	for _, wo := range workers {
		byID[wo.se.ID] = wo
	}
	findWorker := func(rw http.ResponseWriter, req *http.Request) *Worker {
		wo := byID[req.PathValue("id")]
		if wo == nil {
			writeError(rw, http.StatusNotFound, errors.Newf("there is no worker %q", req.PathValue("id")))
		}
		return wo
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control/workers", func(rw http.ResponseWriter, _ *http.Request) {
		out := make(map[string]WorkerCounters, len(workers))
		for _, wo := range workers {
			out[wo.se.ID] = wo.Counters()
		}
		writeJSON(rw, http.StatusOK, out)
	})
	mux.HandleFunc("PUT /control/workers/faults", func(rw http.ResponseWriter, req *http.Request) {
		var fa WorkerFaults
		if !decodeStrict(rw, req, &fa) {
			return
		}
		for _, wo := range workers {
			wo.SetFaults(fa)
		}
		writeJSON(rw, http.StatusOK, fa)
	})
	mux.HandleFunc("GET /control/workers/{id}/faults", func(rw http.ResponseWriter, req *http.Request) {
		if wo := findWorker(rw, req); wo != nil {
			writeJSON(rw, http.StatusOK, wo.Faults())
		}
	})
	mux.HandleFunc("PUT /control/workers/{id}/faults", func(rw http.ResponseWriter, req *http.Request) {
		wo := findWorker(rw, req)
		var fa WorkerFaults
		if wo == nil || !decodeStrict(rw, req, &fa) {
			return
		}
		wo.SetFaults(fa)
		writeJSON(rw, http.StatusOK, fa)
	})
	mux.HandleFunc("GET /control/workers/{id}/starts", func(rw http.ResponseWriter, req *http.Request) {
		if wo := findWorker(rw, req); wo != nil {
			writeJSON(rw, http.StatusOK, wo.StartCounts())
		}
	})
	mux.HandleFunc("GET /control/duplicates", func(rw http.ResponseWriter, _ *http.Request) {
		writeJSON(rw, http.StatusOK, DuplicateStarts(workers...))
	})
	return mux
}

// DuplicateStarts returns the number of starts of each task that the workers together started more than once.
func DuplicateStarts(workers ...*Worker) map[string]int {
	sum := map[string]int{}
	for _, wo := range workers {
		for task, n := range wo.StartCounts() {
			sum[task] += n
		}
	}
	for task, n := range sum {
		if n < 2 {
			delete(sum, task)
		}
	}
	return sum
}
