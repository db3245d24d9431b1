package lovageadmission

import (
	"bytes"
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

// Reason is why a client was refused or dropped. Metrics have it in their names.
type Reason string

// Reasons.
const (
	ReasonNone        Reason = ""
	ReasonConnections Reason = "connections" // too many connections
	ReasonHeaders     Reason = "headers"     // too much memory of headers in progress
	ReasonBodies      Reason = "bodies"      // too much memory of bodies
	ReasonRate        Reason = "rate"        // a body below its minimum rate
	ReasonDeadline    Reason = "deadline"    // a body beyond its deadline
	ReasonChunks      Reason = "chunks"      // too much overhead of the chunked encoding
	ReasonJob         Reason = "job"         // a job beyond the limits, which is malformed
	ReasonLines       Reason = "lines"       // a header of too many lines
	ReasonTurn        Reason = "turn"        // closed after an answer, because others wait for a place
	ReasonQueue       Reason = "queue"       // waited for a place for too long
)

// Reasons returns all reasons but ReasonNone.
func Reasons() []Reason {
	return []Reason{
		ReasonConnections, ReasonHeaders, ReasonBodies, ReasonRate, ReasonDeadline, ReasonChunks, ReasonJob, ReasonLines, ReasonTurn,
		ReasonQueue,
	}
}

// state is the phase of a connection.
type state string

const (
	stateQueued  state = "queued"  // for a place
	stateRefused state = "refused" // has waited for a place for too long
	stateWaiting state = "waiting" // for a request: idle, or a header is in progress
	stateBody    state = "body"    // a body is in progress
	stateServing state = "serving" // a request is being served
)

// Account accounts for the connections of clients. It is safe for concurrent use.
type Account struct {
	se Settings

	mu          sync.Mutex
	connections []*Connection // all that have a place
	numDropped  int           // those of them that were dropped
	queue       []*Connection // those that wait for a place, the oldest first
	numRefused  int           // those that have waited for too long and are not closed yet
	queueRoom   chan struct{} // gets a value when the queue has become shorter
	headers     pool
	bodies      pool
	largeBytes  int64 // part of bodies.used
	counts      map[Reason]int64
}

// pool is memory that is reserved.
type pool struct {
	used    int64 // by connections that are not dropped
	leaving int64 // by dropped connections that have not released it yet
}

// Dropped connections release what they hold once their goroutines run. Others may get it before that, up to this part of a limit.
const overdraft = 8

// mayFit reports whether n more bytes fit into the limit, if need be after drops.
func (po *pool) mayFit(n, limit int64) bool {
	return n <= limit && po.used+po.leaving+n <= limit+limit/overdraft
}

// New returns an account without connections.
func New(se Settings) *Account {
	return &Account{se: se, counts: map[Reason]int64{}, queueRoom: make(chan struct{}, 1)}
}

// Settings returns the account's limits.
func (ac *Account) Settings() Settings { return ac.se }

// Use is what clients hold.
type Use struct {
	Connections, Waiting   int              // with and without a place
	HeaderBytes, BodyBytes int64            // including those of dropped connections
	Refused                map[Reason]int64 // clients refused or dropped since the start
}

// Use returns what clients hold now.
func (ac *Account) Use() Use {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	return Use{
		Connections: len(ac.connections), Waiting: len(ac.queue) + ac.numRefused, HeaderBytes: ac.headers.used + ac.headers.leaving, BodyBytes: ac.bodies.used + ac.bodies.leaving,
		Refused: maps.Clone(ac.counts),
	}
}

// Client is the user of a connection. Its methods are called without the account's lock.
type Client interface {
	// Admit is called when a connection that has waited gets a place.
	Admit()
	// Refuse is called when a connection has waited for too long. It keeps its part of the queue until it is closed.
	Refuse()
	// Drop makes the client's goroutine let go of the connection; inBody: a body is being read, so that an answer is possible.
	Drop(inBody bool)
}

// Connection is a client's connection. All methods of a nil Connection accept everything.
type Connection struct {
	ac     *Account
	client Client

	// writeSince is the time in nanoseconds at which the client last took bytes of an answer that is being written; 0: none is.
	writeSince atomic.Int64

	// Guarded by ac.mu.
	index        int // in ac.connections; -1: has no place
	state        state
	since        time.Time // when the state began
	lastProgress time.Time // when bytes last arrived
	received     int64     // bytes of the body
	raw          int64     // bytes of the connection since the body began
	headerBytes  int64     // in the pool of headers
	headerLines  int       // of the header in progress, and of requests that were read with it
	requestBytes int64     // in the pool of bodies
	bodyUnread   bool      // the request's body was not read to its end
	expectsLarge bool      // the request will be a large one
	answered     bool      // a request was answered
	dropped      Reason
}

// Place is what a connection gets when it is opened.
type Place string

// Places.
const (
	PlaceGiven   Place = "given"
	PlaceAwaited Place = "awaited" // the client is told later
	PlaceRefused Place = "refused"
)

// NewConnection returns a connection that is not open.
func (ac *Account) NewConnection(cl Client) *Connection {
	return &Connection{ac: ac, client: cl, state: stateWaiting, index: -1}
}

// Open adds the connection to the account.
func (co *Connection) Open(now time.Time) Place {
	ac := co.ac
	ac.mu.Lock()
	co.state, co.since, co.lastProgress = stateQueued, now, now
	ac.queue = append(ac.queue, co)
	ad := ac.admitWaiting(now)
	place := PlaceGiven
	switch {
	case co.state != stateQueued:
	case len(ac.queue)+ac.numRefused <= ac.se.Queue:
		place = PlaceAwaited
	default:
		place = PlaceRefused
		ac.queue = ac.queue[:len(ac.queue)-1]
		co.state, co.dropped = stateWaiting, ReasonConnections
		ac.counts[ReasonConnections]++
	}
	ac.mu.Unlock()
	ad.tell(co)
	return place
}

// AwaitQueue waits until a connection could wait for a place, or done is closed.
func (ac *Account) AwaitQueue(done <-chan struct{}) {
	for {
		ac.mu.Lock()
		hasRoom := len(ac.queue)+ac.numRefused < max(ac.se.Queue, 1)
		ac.mu.Unlock()
		if hasRoom {
			return
		}
		select {
		case <-ac.queueRoom:
		case <-done:
			return
		}
	}
}

// Close removes the connection and releases all that it holds.
func (co *Connection) Close(now time.Time) {
	if co == nil {
		return
	}
	ac := co.ac
	ac.mu.Lock()
	co.leave()
	ad := ac.admitWaiting(now)
	ac.mu.Unlock()
	ad.tell(nil)
}

// headerLineBytes is the memory of a header line beside its bytes: the entry of a map that doubles as it grows, a slice and a string.
const headerLineBytes = 160

// Read notes bytes that have arrived on the connection. It returns false if the connection must be closed.
func (co *Connection) Read(now time.Time, data []byte) bool {
	if co == nil {
		return true
	}
	ac := co.ac
	ac.mu.Lock()
	var victims []*Connection
	ok := true
	switch co.state {
	case stateWaiting:
		lines := bytes.Count(data, newline)
		co.headerLines += lines
		if co.headerLines > ac.se.HeaderLines {
			ac.markDropped(co, ReasonLines)
			ok = false
			break
		}
		need := int64(len(data) + headerLineBytes*lines)
		victims, ok = ac.makeRoom(now, co, need, ReasonHeaders)
		if co.headerBytes == 0 {
			co.since = now
		}
		co.lastProgress = now
		if ok {
			co.setHeaderBytes(co.headerBytes + need)
		} else {
			ac.markDropped(co, ReasonHeaders)
		}
	case stateBody:
		co.raw += int64(len(data))
		co.lastProgress = now
	case stateServing: // net/http waits for the end of the connection
	}
	ac.mu.Unlock()
	callDrops(victims)
	return ok
}

var newline = []byte("\n")

// Begin notes that the header of a request is complete. Its memory counts as that of the request from here on. It returns false if the
// request must be refused.
func (co *Connection) Begin(now time.Time) bool {
	if co == nil {
		return true
	}
	ac := co.ac
	ac.mu.Lock()
	co.state, co.since, co.lastProgress, co.received, co.raw, co.bodyUnread = stateServing, now, now, 0, 0, false
	held := co.headerBytes
	co.headerLines = 0
	victims, ok := ac.makeRoom(now, co, held, ReasonBodies)
	if ok {
		co.setHeaderBytes(0)
		co.setRequestBytes(co.requestBytes + held)
	} else { // the header takes its memory until the refusal is written
		ac.markDropped(co, ReasonBodies)
	}
	ac.mu.Unlock()
	callDrops(victims)
	return ok
}

// StartBody notes that the request's body is being read, for which the request will need the memory; 0: not known.
func (co *Connection) StartBody(now time.Time, expected int64) {
	if co == nil {
		return
	}
	co.ac.mu.Lock()
	defer co.ac.mu.Unlock()
	co.state, co.since, co.lastProgress, co.bodyUnread = stateBody, now, now, true
	if expected > co.ac.se.SmallRequest && !co.expectsLarge {
		held := co.requestBytes
		co.setRequestBytes(0)
		co.expectsLarge = true
		co.setRequestBytes(held)
	}
}

// Grow notes n more bytes of the body, and reserves more memory for the request. It returns false if the request must be refused.
func (co *Connection) Grow(now time.Time, n, more int64) bool {
	if co == nil {
		return true
	}
	ac := co.ac
	ac.mu.Lock()
	co.received += n
	if n > 0 {
		co.lastProgress = now
	}
	if co.raw > 2*co.received+ac.se.ChunkOverhead {
		ac.markDropped(co, ReasonChunks)
	}
	if co.dropped != ReasonNone {
		ac.mu.Unlock()
		return false
	}
	victims, ok := ac.makeRoom(now, co, more, ReasonBodies)
	if ok {
		co.setRequestBytes(co.requestBytes + more)
	} else {
		ac.markDropped(co, ReasonBodies)
	}
	ac.mu.Unlock()
	callDrops(victims)
	return ok
}

// Received notes that the body is complete. It returns false if the request was dropped before; otherwise it is not dropped any more.
func (co *Connection) Received(now time.Time) bool {
	if co == nil {
		return true
	}
	co.ac.mu.Lock()
	defer co.ac.mu.Unlock()
	co.bodyUnread = false
	if co.dropped != ReasonNone {
		return false
	}
	co.state, co.since = stateServing, now
	return true
}

// FitsJob reports whether a job is within the limits, and counts it if not.
func (co *Connection) FitsJob(size JobSize) bool {
	if co == nil {
		return size.Fits(DefaultSettings(0, 0).Job)
	}
	if size.Fits(co.ac.se.Job) {
		return true
	}
	co.ac.mu.Lock()
	defer co.ac.mu.Unlock()
	co.ac.counts[ReasonJob]++
	return false
}

// Shrink reduces the memory of the request to n bytes, if it is more; 0: the request and its header are not used any more.
func (co *Connection) Shrink(n int64) {
	if co == nil {
		return
	}
	co.ac.mu.Lock()
	defer co.ac.mu.Unlock()
	co.setRequestBytes(min(co.requestBytes, n))
	if n == 0 {
		co.setHeaderBytes(0)
	}
}

// End notes that the handler of the request has returned. If it has left a part of the body unread, which hasBody tells together with what
// was noted before, net/http reads that part. The memory of the request is kept until its answer has been written.
func (co *Connection) End(now time.Time, hasBody bool) {
	if co == nil {
		return
	}
	co.ac.mu.Lock()
	defer co.ac.mu.Unlock()
	unread := hasBody && (co.bodyUnread || co.state == stateServing && co.received == 0)
	co.state, co.since, co.lastProgress, co.bodyUnread, co.answered = stateWaiting, now, now, false, true
	if unread {
		co.state, co.received, co.raw = stateBody, 0, 0
	}
}

// Idle notes that the connection waits for the next request. It is dropped if others wait for its place.
func (co *Connection) Idle(now time.Time) {
	if co == nil {
		return
	}
	ac := co.ac
	ac.mu.Lock()
	co.setHeaderBytes(0)
	co.setRequestBytes(0)
	co.expectsLarge = false
	co.state, co.since, co.lastProgress = stateWaiting, now, now
	var ad admission
	if len(ac.queue) > 0 && co.answered && ac.markDropped(co, ReasonTurn) {
		ad = ac.admitWaiting(now)
		ad.dropped = append(ad.dropped, co)
	}
	ac.mu.Unlock()
	ad.tell(nil)
}

// MayStay reports whether the connection may have another request after the present one: nobody waits for its place.
func (co *Connection) MayStay() bool {
	if co == nil {
		return true
	}
	co.ac.mu.Lock()
	defer co.ac.mu.Unlock()
	return len(co.ac.queue) == 0
}

// Writing notes that the client has taken bytes of an answer, and that more of it is being written.
func (co *Connection) Writing(now time.Time) {
	if co != nil {
		co.writeSince.Store(now.UnixNano())
	}
}

// Written notes that no answer is being written.
func (co *Connection) Written() {
	if co != nil {
		co.writeSince.Store(0)
	}
}

// Reserve reserves more memory for a request that is being served, such as for its answer. It returns false if there is no room; the
// request is not dropped.
func (co *Connection) Reserve(now time.Time, more int64) bool {
	if co == nil {
		return true
	}
	ac := co.ac
	ac.mu.Lock()
	victims, ok := ac.makeRoom(now, co, more, ReasonBodies)
	if ok {
		co.setRequestBytes(co.requestBytes + more)
	}
	ac.mu.Unlock()
	callDrops(victims)
	return ok
}

// Dropped returns why the connection was dropped, or ReasonNone.
func (co *Connection) Dropped() Reason {
	if co == nil {
		return ReasonNone
	}
	co.ac.mu.Lock()
	defer co.ac.mu.Unlock()
	return co.dropped
}

// Sweep drops the clients whose bodies are too slow or too old, refuses those that have waited for a place for too long, and admits others
// in the place of clients that have come to a standstill.
func (ac *Account) Sweep(now time.Time) {
	ac.mu.Lock()
	var slow []*Connection
	for _, co := range ac.connections {
		if co.state != stateBody || co.dropped != ReasonNone {
			continue
		}
		switch age := now.Sub(co.since); {
		case age >= ac.se.Deadline:
			ac.markDropped(co, ReasonDeadline)
		case age >= ac.se.Grace && co.rate(now) < float64(ac.se.MinRate):
			ac.markDropped(co, ReasonRate)
		default:
			continue
		}
		slow = append(slow, co)
	}
	ad := ac.admitWaiting(now)
	ad.dropped = append(ad.dropped, slow...)
	for len(ac.queue) > 0 && now.Sub(ac.queue[0].since) >= ac.se.QueueTime {
		co := ac.shiftQueue()
		co.state, co.dropped = stateRefused, ReasonQueue
		ac.numRefused++
		ac.counts[ReasonQueue]++
		ad.refused = append(ad.refused, co)
	}
	ac.mu.Unlock()
	ad.tell(nil)
}

type contextKey struct{}

// WithConnection returns a context with the connection.
func WithConnection(ctx context.Context, co *Connection) context.Context {
	return context.WithValue(ctx, contextKey{}, co)
}

// FromContext returns the connection of a request, or nil.
func FromContext(ctx context.Context) *Connection {
	co, _ := ctx.Value(contextKey{}).(*Connection)
	return co
}
