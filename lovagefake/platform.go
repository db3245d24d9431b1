package lovagefake

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"lovagestack/lovageplatform"
)

// maxBodyBytes is the maximum body size of a request to the table or object store.
const maxBodyBytes = 64 << 20

// PlatformFaults are the faults of a Platform; the zero value has none.
type PlatformFaults struct {
	Down         bool     `json:"down,omitempty"`         // closes connections without executing requests
	Latency      Duration `json:"slow,omitempty"`         // delay before each request is executed
	LoseReplies  int      `json:"loseReplies,omitempty"`  // executes the next n writes without a reply; -1: all
	DelayCommits int      `json:"delayCommits,omitempty"` // executes the next n commits after CommitDelay without a reply; -1: all
	CommitDelay  Duration `json:"delayBy,omitempty"`
	ListLag      Duration `json:"listLag,omitempty"`     // age of the instance list that is served
	Partitioned  []string `json:"partitioned,omitempty"` // client IDs, IP addresses or address:port that get no reply
}

// PlatformCounters counts requests since the start. Requests affected by Down or Partitioned count only as Dropped.
type PlatformCounters struct {
	Reads          int64 `json:"reads"`     // reads and scans of the table
	Writes         int64 `json:"writes"`    // commits, including those with a conflict
	Conflicts      int64 `json:"conflicts"` // commits with a conflict
	Objects        int64 `json:"objects"`   // requests to the object store
	Lists          int64 `json:"lists"`     // requests for the instance list
	Dropped        int64 `json:"dropped"`
	LostReplies    int64 `json:"lost"`    // writes executed without a reply
	DelayedCommits int64 `json:"delayed"` // commits delayed by DelayCommits
}

// Platform serves the platform protocol from a lovageplatform.Memory, and a control endpoint below /control/. Faults do
// not affect the control endpoint.
type Platform struct {
	memory        *lovageplatform.Memory
	store         store
	mux           *http.ServeMux
	mu            sync.Mutex
	faults        PlatformFaults
	counters      PlatformCounters
	instanceLists []instanceList // oldest first
	timers        map[*time.Timer]struct{}
	stopped       chan struct{}
	stopOnce      sync.Once
}

// store executes the requests of the platform protocol.
type store interface {
	Read(ctx context.Context, keys ...string) ([]lovageplatform.Row, error)
	Scan(ctx context.Context, prefix string) ([]lovageplatform.Row, error)
	Commit(ctx context.Context, tx lovageplatform.Transaction) (lovageplatform.CommitResult, error)
	GetObject(ctx context.Context, name string) ([]byte, error)
	PutObject(ctx context.Context, name string, data []byte) error
	DeleteObject(ctx context.Context, name string) error
}

// instanceList is a version of the instance list, valid from validFrom until the next version.
type instanceList struct {
	validFrom time.Time
	list      []lovageplatform.Instance
}

// NewPlatform returns a platform without faults and limits. Change its instance list only with PutInstance and
// RemoveInstance, because only these record the versions that the platform serves.
func NewPlatform(memory *lovageplatform.Memory) *Platform { return newPlatform(memory, memory) }

// NewLimitedPlatform returns a platform with the latency and the limits of lovageplatform.LimitedMemory.
func NewLimitedPlatform(memory *lovageplatform.Memory, se lovageplatform.LimitSettings) *Platform {
	return newPlatform(memory, lovageplatform.NewLimitedMemory(memory, se))
}

func newPlatform(memory *lovageplatform.Memory, st store) *Platform {
	pl := &Platform{
		memory: memory, store: st, mux: http.NewServeMux(), timers: map[*time.Timer]struct{}{}, stopped: make(chan struct{}),
	}
	pl.recordInstances()
	pl.mux.HandleFunc("POST /v1/table/read", pl.read)
	pl.mux.HandleFunc("POST /v1/table/commit", pl.commit)
	pl.mux.HandleFunc("GET /v1/objects/{name}", pl.getObject)
	pl.mux.HandleFunc("PUT /v1/objects/{name}", pl.putObject)
	pl.mux.HandleFunc("DELETE /v1/objects/{name}", pl.deleteObject)
	pl.mux.HandleFunc("GET /v1/instances", pl.listInstances)
	pl.registerControl()
	return pl
}

// Close aborts waiting requests and cancels delayed commits that have not been executed.
func (pl *Platform) Close() {
	pl.stopOnce.Do(func() { close(pl.stopped) })
	pl.mu.Lock()
	defer pl.mu.Unlock()
	for ti := range pl.timers {
		ti.Stop()
	}
	clear(pl.timers)
}

// Faults returns the current faults. LoseReplies and DelayCommits are the remaining counts.
func (pl *Platform) Faults() PlatformFaults {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	fa := pl.faults
	fa.Partitioned = slices.Clone(fa.Partitioned)
	return fa
}

// SetFaults replaces the faults.
func (pl *Platform) SetFaults(fa PlatformFaults) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	fa.Partitioned = slices.Clone(fa.Partitioned)
	pl.faults = fa
}

// Counters returns the current counters.
func (pl *Platform) Counters() PlatformCounters {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	return pl.counters
}

// PutInstance adds the instance to the list or replaces the one with the same ID.
func (pl *Platform) PutInstance(in lovageplatform.Instance) {
	pl.memory.PutInstance(in)
	pl.recordInstances()
}

// RemoveInstance removes the instance from the list.
func (pl *Platform) RemoveInstance(id string) {
	pl.memory.RemoveInstance(id)
	pl.recordInstances()
}

// recordInstances appends the current instance list to instanceLists, and limits these to 10,000 versions.
func (pl *Platform) recordInstances() {
	list, _ := pl.memory.Instances(context.Background()) // fails only if the context is done
	pl.mu.Lock()
	defer pl.mu.Unlock()
	const maxLists = 10_000
	if len(pl.instanceLists) >= maxLists {
		pl.instanceLists = slices.Delete(pl.instanceLists, 0, maxLists/2)
	}
	pl.instanceLists = append(pl.instanceLists, instanceList{validFrom: time.Now(), list: list})
}

// ServeHTTP answers a request of the platform protocol or of the control endpoint.
func (pl *Platform) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	if isControl(req) {
		pl.mux.ServeHTTP(rw, req)
		return
	}
	fa := pl.Faults()
	if fa.Down {
		pl.dropRequest()
	}
	if isPartitioned(fa.Partitioned, req) {
		// The connection stays open without traffic, as in a network partition. Only after the body is read does net/http
		// detect that the caller has disconnected.
		_, _ = io.Copy(io.Discard, req.Body)
		select {
		case <-req.Context().Done():
		case <-pl.stopped:
		}
		pl.dropRequest()
	}
	if fa.Latency > 0 && !pl.sleep(time.Duration(fa.Latency)) {
		pl.dropRequest()
	}
	pl.mux.ServeHTTP(rw, req)
}

// dropRequest counts the request as dropped and closes its connection.
func (pl *Platform) dropRequest() {
	pl.updateCounters(func(co *PlatformCounters) { co.Dropped++ })
	panic(http.ErrAbortHandler)
}

func (pl *Platform) updateCounters(change func(*PlatformCounters)) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	change(&pl.counters)
}

// sleep waits even if the caller disconnects, because a received request takes effect. It returns false after Close.
func (pl *Platform) sleep(d time.Duration) bool {
	ti := time.NewTimer(d)
	defer ti.Stop()
	select {
	case <-ti.C:
		return true
	case <-pl.stopped:
		return false
	}
}

func isPartitioned(list []string, req *http.Request) bool {
	if len(list) == 0 {
		return false
	}
	host, _, _ := net.SplitHostPort(req.RemoteAddr)
	for _, it := range list {
		if it == req.RemoteAddr || it == host || it == req.Header.Get(lovageplatform.HeaderClient) {
			return true
		}
	}
	return false
}

// consumeFault reports whether a fault of the next n requests affects this request, and decrements n. If n is negative,
// the fault affects every request.
func consumeFault(n *int) bool {
	if *n > 0 {
		*n--
		return true
	}
	return *n < 0
}

// maybeDropReply closes the connection if LoseReplies applies to this write.
func (pl *Platform) maybeDropReply() {
	pl.mu.Lock()
	lost := consumeFault(&pl.faults.LoseReplies)
	if lost {
		pl.counters.LostReplies++
	}
	pl.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
}

func decodeBody(rw http.ResponseWriter, req *http.Request, out any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(rw, req.Body, maxBodyBytes)).Decode(out); err != nil {
		writeError(rw, http.StatusBadRequest, errors.Wrap(err, "decode request"))
		return false
	}
	return true
}

func (pl *Platform) read(rw http.ResponseWriter, req *http.Request) {
	var in struct {
		Keys   []string `json:"keys"`
		Prefix *string  `json:"prefix"`
	}
	if !decodeBody(rw, req, &in) {
		return
	}
	if (len(in.Keys) > 0) == (in.Prefix != nil) {
		writeError(rw, http.StatusBadRequest, errors.New("a read needs either keys or a prefix"))
		return
	}
	pl.updateCounters(func(co *PlatformCounters) { co.Reads++ })
	var rows []lovageplatform.Row
	var err error
	if in.Prefix != nil {
		rows, err = pl.store.Scan(req.Context(), *in.Prefix)
	} else {
		rows, err = pl.store.Read(req.Context(), in.Keys...)
	}
	if err != nil {
		writeError(rw, http.StatusInternalServerError, err)
		return
	}
	if rows == nil {
		rows = []lovageplatform.Row{}
	}
	writeJSON(rw, http.StatusOK, map[string]any{"rows": rows})
}

func (pl *Platform) commit(rw http.ResponseWriter, req *http.Request) {
	var tx lovageplatform.Transaction
	if !decodeBody(rw, req, &tx) {
		return
	}
	pl.mu.Lock()
	pl.counters.Writes++
	if consumeFault(&pl.faults.DelayCommits) {
		pl.counters.DelayedCommits++
		pl.commitLater(tx, time.Duration(pl.faults.CommitDelay))
		pl.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	pl.mu.Unlock()
	res, err := pl.commitTransaction(tx)
	if err != nil {
		writeError(rw, http.StatusBadRequest, err)
		return
	}
	pl.maybeDropReply()
	writeJSON(rw, http.StatusOK, res)
}

// commitTransaction commits even if the caller disconnects, because a received request takes effect.
func (pl *Platform) commitTransaction(tx lovageplatform.Transaction) (lovageplatform.CommitResult, error) {
	res, err := pl.store.Commit(context.Background(), tx)
	if err == nil && !res.Committed {
		pl.updateCounters(func(co *PlatformCounters) { co.Conflicts++ })
	}
	return res, err
}

// commitLater commits the transaction after d. The caller holds mu.
func (pl *Platform) commitLater(tx lovageplatform.Transaction, d time.Duration) {
	var ti *time.Timer
	ti = time.AfterFunc(d, func() {
		pl.mu.Lock()
		_, pending := pl.timers[ti]
		delete(pl.timers, ti)
		pl.mu.Unlock()
		if pending {
			_, _ = pl.commitTransaction(tx) // no caller waits for the result
		}
	})
	pl.timers[ti] = struct{}{}
}

func (pl *Platform) getObject(rw http.ResponseWriter, req *http.Request) {
	pl.updateCounters(func(co *PlatformCounters) { co.Objects++ })
	data, err := pl.store.GetObject(req.Context(), req.PathValue("name"))
	if err != nil {
		writeError(rw, http.StatusNotFound, err)
		return
	}
	rw.Header().Set("Content-Type", "application/octet-stream")
	_, _ = rw.Write(data)
}

func (pl *Platform) putObject(rw http.ResponseWriter, req *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(rw, req.Body, maxBodyBytes))
	if err != nil {
		writeError(rw, http.StatusBadRequest, errors.Wrap(err, "read object"))
		return
	}
	pl.updateCounters(func(co *PlatformCounters) { co.Objects++ })
	if err := pl.store.PutObject(context.Background(), req.PathValue("name"), data); err != nil {
		writeError(rw, http.StatusBadRequest, err)
		return
	}
	pl.maybeDropReply()
	rw.WriteHeader(http.StatusNoContent)
}

func (pl *Platform) deleteObject(rw http.ResponseWriter, req *http.Request) {
	pl.updateCounters(func(co *PlatformCounters) { co.Objects++ })
	if err := pl.store.DeleteObject(context.Background(), req.PathValue("name")); err != nil {
		writeError(rw, http.StatusBadRequest, err)
		return
	}
	pl.maybeDropReply()
	rw.WriteHeader(http.StatusNoContent)
}

func (pl *Platform) listInstances(rw http.ResponseWriter, _ *http.Request) {
	pl.mu.Lock()
	pl.counters.Lists++
	asOf := time.Now().Add(-time.Duration(pl.faults.ListLag))
	list := pl.instanceLists[0].list
	for _, it := range pl.instanceLists[1:] {
		if it.validFrom.After(asOf) {
			break
		}
		list = it.list
	}
	pl.mu.Unlock()
	writeJSON(rw, http.StatusOK, map[string]any{"instances": list})
}

// Memory returns the table, object store and instance list behind the platform. Faults do not affect it.
func (pl *Platform) Memory() *lovageplatform.Memory { return pl.memory }
