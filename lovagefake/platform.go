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

// maxBodyBytes bounds the body of a request to the table or the object store.
const maxBodyBytes = 64 << 20

// PlatformFaults are the faults of a Platform; the zero value has none.
type PlatformFaults struct {
	Down         bool     `json:"down,omitempty"`         // closes every connection without an effect
	Latency      Duration `json:"slow,omitempty"`         // waits before each request is carried out
	LoseReplies  int      `json:"loseReplies,omitempty"`  // closes the connection after the effect of the next n writes; -1: of all
	DelayCommits int      `json:"delayCommits,omitempty"` // closes the connection of the next n commits, which land after CommitDelay; -1: of all
	CommitDelay  Duration `json:"delayBy,omitempty"`
	ListLag      Duration `json:"listLag,omitempty"`     // the list of instances is shown as it was so long ago
	Partitioned  []string `json:"partitioned,omitempty"` // client IDs, IP addresses or address:port that get no answer
}

// PlatformCounters counts requests since the start; requests hit by Down or Partitioned are in Dropped only.
type PlatformCounters struct {
	Reads          int64 `json:"reads"`     // reads and scans of the table
	Writes         int64 `json:"writes"`    // commits, including those with a conflict
	Conflicts      int64 `json:"conflicts"` // commits with a conflict
	Objects        int64 `json:"objects"`   // requests to the object store
	Lists          int64 `json:"lists"`     // requests for the list of instances
	Dropped        int64 `json:"dropped"`
	LostReplies    int64 `json:"lost"`    // replies lost after the effect
	DelayedCommits int64 `json:"delayed"` // commits that landed, or will land, late
}

// Platform serves the platform protocol from a Memory, and its own control endpoint below /control/, which faults do
// not affect.
type Platform struct {
	memory  *lovageplatform.Memory
	store   store
	mux     *http.ServeMux
	mu      sync.Mutex
	faults  PlatformFaults
	count   PlatformCounters
	lists   []listAt // history of the list of instances, oldest first
	timers  map[*time.Timer]struct{}
	stopped chan struct{}
	stop    sync.Once
}

// store carries out the requests of the platform protocol.
type store interface {
	Read(ctx context.Context, keys ...string) ([]lovageplatform.Row, error)
	Scan(ctx context.Context, prefix string) ([]lovageplatform.Row, error)
	Commit(ctx context.Context, tx lovageplatform.Transaction) (lovageplatform.CommitResult, error)
	GetObject(ctx context.Context, name string) ([]byte, error)
	PutObject(ctx context.Context, name string, data []byte) error
	DeleteObject(ctx context.Context, name string) error
}

// listAt is the list of instances as it was from a time on.
type listAt struct {
	at   time.Time
	list []lovageplatform.Instance
}

// NewPlatform returns a platform without faults and limits. Instances have to be added with PutInstance for ListLag to
// see them.
func NewPlatform(memory *lovageplatform.Memory) *Platform { return newPlatform(memory, memory) }

// NewLimitedPlatform returns a platform with the latency and the limits of lovageplatform.LimitedMemory.
func NewLimitedPlatform(memory *lovageplatform.Memory, se lovageplatform.LimitSettings) *Platform {
	return newPlatform(memory, lovageplatform.NewLimitedMemory(memory, se))
}

func newPlatform(memory *lovageplatform.Memory, st store) *Platform {
	pl := &Platform{
		memory: memory, store: st, mux: http.NewServeMux(), timers: map[*time.Timer]struct{}{}, stopped: make(chan struct{}),
	}
	pl.noteList()
	pl.mux.HandleFunc("POST /v1/table/read", pl.read)
	pl.mux.HandleFunc("POST /v1/table/commit", pl.commit)
	pl.mux.HandleFunc("GET /v1/objects/{name}", pl.getObject)
	pl.mux.HandleFunc("PUT /v1/objects/{name}", pl.putObject)
	pl.mux.HandleFunc("DELETE /v1/objects/{name}", pl.deleteObject)
	pl.mux.HandleFunc("GET /v1/instances", pl.listInstances)
	pl.control()
	return pl
}

// Close ends waiting requests and drops delayed commits that have not landed.
func (pl *Platform) Close() {
	pl.stop.Do(func() { close(pl.stopped) })
	pl.mu.Lock()
	defer pl.mu.Unlock()
	for ti := range pl.timers {
		ti.Stop()
	}
	clear(pl.timers)
}

// Faults returns the current faults; counts of faults to come are as they are left.
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

// Counters returns the current counts.
func (pl *Platform) Counters() PlatformCounters {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	return pl.count
}

// PutInstance adds the instance to the list, or replaces the one of the same ID.
func (pl *Platform) PutInstance(in lovageplatform.Instance) {
	pl.memory.PutInstance(in)
	pl.noteList()
}

// RemoveInstance removes the instance from the list.
func (pl *Platform) RemoveInstance(id string) {
	pl.memory.RemoveInstance(id)
	pl.noteList()
}

// noteList appends the list to its history, of which it keeps the last 10,000 states.
func (pl *Platform) noteList() {
	list, _ := pl.memory.Instances(context.Background()) // fails only when the context ended
	pl.mu.Lock()
	defer pl.mu.Unlock()
	const maxLists = 10_000
	if len(pl.lists) >= maxLists {
		pl.lists = slices.Delete(pl.lists, 0, maxLists/2)
	}
	pl.lists = append(pl.lists, listAt{at: time.Now(), list: list})
}

// ServeHTTP answers a request of the platform protocol or of the control endpoint.
func (pl *Platform) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	if isControl(req) {
		pl.mux.ServeHTTP(rw, req)
		return
	}
	fa := pl.Faults()
	if fa.Down {
		pl.drop()
	}
	if partitioned(fa.Partitioned, req) {
		// The connection stays open and silent, as it does when a link is cut. net/http notices that the caller left
		// only after the body was read.
		_, _ = io.Copy(io.Discard, req.Body)
		select {
		case <-req.Context().Done():
		case <-pl.stopped:
		}
		pl.drop()
	}
	if fa.Latency > 0 && !pl.sleep(time.Duration(fa.Latency)) {
		pl.drop()
	}
	pl.mux.ServeHTTP(rw, req)
}

// drop counts the request and closes its connection.
func (pl *Platform) drop() {
	pl.add(func(co *PlatformCounters) { co.Dropped++ })
	panic(http.ErrAbortHandler)
}

func (pl *Platform) add(change func(*PlatformCounters)) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	change(&pl.count)
}

// sleep waits even if the caller leaves: a request that was received takes effect. It reports false after Close.
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

func partitioned(list []string, req *http.Request) bool {
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

// take uses up one of the next n faults and reports whether the request is hit; a negative n hits all.
func take(n *int) bool {
	if *n > 0 {
		*n--
		return true
	}
	return *n < 0
}

// loseReply closes the connection if the reply of this write is to be lost.
func (pl *Platform) loseReply() {
	pl.mu.Lock()
	lost := take(&pl.faults.LoseReplies)
	if lost {
		pl.count.LostReplies++
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
	pl.add(func(co *PlatformCounters) { co.Reads++ })
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
	pl.count.Writes++
	if take(&pl.faults.DelayCommits) {
		pl.count.DelayedCommits++
		pl.landLate(tx, time.Duration(pl.faults.CommitDelay))
		pl.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	pl.mu.Unlock()
	res, err := pl.apply(tx)
	if err != nil {
		writeError(rw, http.StatusBadRequest, err)
		return
	}
	pl.loseReply()
	writeJSON(rw, http.StatusOK, res)
}

// apply commits whatever becomes of the caller, because a request that was received takes effect.
func (pl *Platform) apply(tx lovageplatform.Transaction) (lovageplatform.CommitResult, error) {
	res, err := pl.store.Commit(context.Background(), tx)
	if err == nil && !res.Committed {
		pl.add(func(co *PlatformCounters) { co.Conflicts++ })
	}
	return res, err
}

// landLate commits the transaction after d. The caller holds mu.
func (pl *Platform) landLate(tx lovageplatform.Transaction, d time.Duration) {
	var ti *time.Timer
	ti = time.AfterFunc(d, func() {
		pl.mu.Lock()
		_, live := pl.timers[ti]
		delete(pl.timers, ti)
		pl.mu.Unlock()
		if live {
			_, _ = pl.apply(tx) // nobody waits for the result
		}
	})
	pl.timers[ti] = struct{}{}
}

func (pl *Platform) getObject(rw http.ResponseWriter, req *http.Request) {
	pl.add(func(co *PlatformCounters) { co.Objects++ })
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
	pl.add(func(co *PlatformCounters) { co.Objects++ })
	if err := pl.store.PutObject(context.Background(), req.PathValue("name"), data); err != nil {
		writeError(rw, http.StatusBadRequest, err)
		return
	}
	pl.loseReply()
	rw.WriteHeader(http.StatusNoContent)
}

func (pl *Platform) deleteObject(rw http.ResponseWriter, req *http.Request) {
	pl.add(func(co *PlatformCounters) { co.Objects++ })
	if err := pl.store.DeleteObject(context.Background(), req.PathValue("name")); err != nil {
		writeError(rw, http.StatusBadRequest, err)
		return
	}
	pl.loseReply()
	rw.WriteHeader(http.StatusNoContent)
}

func (pl *Platform) listInstances(rw http.ResponseWriter, _ *http.Request) {
	pl.mu.Lock()
	pl.count.Lists++
	until := time.Now().Add(-time.Duration(pl.faults.ListLag))
	list := pl.lists[0].list
	for _, it := range pl.lists[1:] {
		if it.at.After(until) {
			break
		}
		list = it.list
	}
	pl.mu.Unlock()
	writeJSON(rw, http.StatusOK, map[string]any{"instances": list})
}

// Memory returns the table, object store and list behind the platform, which faults do not affect.
func (pl *Platform) Memory() *lovageplatform.Memory { return pl.memory }
