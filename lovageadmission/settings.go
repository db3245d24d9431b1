package lovageadmission

import "time"

// Settings are the limits of an Account. DefaultSettings returns the defaults.
type Settings struct {
	Connections int   // open connections that have a place
	Queue       int   // connections that wait for a place; beyond them, no connection is accepted
	HeaderBytes int64 // memory of all headers in progress
	HeaderLines int   // lines of one header, and of requests that follow it within 4 KB
	BodyBytes   int64 // memory of all bodies, and of the jobs decoded from them until they are answered
	SmallBytes  int64 // part of BodyBytes that requests above SmallRequest do not get
	// SmallRequest is the memory up to which a request is small.
	SmallRequest int64
	ReplyBytes   int64 // replies of workers in progress, and as much of the store
	JobBytes     int64 // jobs that have been accepted and not ended, whether their callers wait or not
	Calls        int   // calls to workers that start or stop tasks of these jobs and are under way at once
	AnswerBytes  int64 // answers that are kept for callers that ask again
	PeerBytes    int64 // large frames of other instances in progress

	SendBuffer int // bytes of a connection's buffer in the kernel for answers, which allots twice as much

	QueueTime time.Duration // time after which a connection that waits for a place is refused

	Stall    time.Duration // a client counts as stalled after this time without a byte
	Grace    time.Duration // age from which a body must have MinRate
	MinRate  int64         // bytes a second of a body, on average since it started
	Deadline time.Duration // time within which a body must be complete
	// ChunkOverhead is how many bytes more than twice its size the chunked encoding of a body may have.
	ChunkOverhead int64

	Job JobLimits
}

// JobLimits limits a job before it is decoded.
type JobLimits struct {
	Steps  int
	Tasks  int
	Values int // JSON values in all steps
}

// Shares of the process's memory that clients may hold. The Go runtime keeps the process below half of its memory; these shares are
// live data, so that as much is left for garbage and the instance's own state. The buffers of the sockets come on top, a third of the memory
// if all are full.
const (
	connectionShare = 0.10
	headerShare     = 0.02
	bodyShare       = 0.18
	smallShare      = 0.04
	// replyShare is what replies of workers in progress may hold, and as much those of the store.
	replyShare = 0.03
	// jobShare and answerShare are for the jobs and the answers of an instance that keeps them after their callers have left.
	jobShare    = 0.10
	answerShare = 0.04
	// callShare is what calls to workers may hold, each with callBytes: a goroutine and its request.
	callShare = 0.05
	callBytes = 14 << 10
	// peerShare is what large frames of other instances in progress may hold.
	peerShare = 0.06
	// ConnectionBytes is the memory of an open connection without a request: stacks of two goroutines, buffers of net/http in both
	// directions, and the socket.
	ConnectionBytes = 20 << 10
	// SocketBuffer is the size of a connection's buffer in the kernel for requests, of which the kernel allots twice as much. It
	// allows 2.7 MB a second at a round trip of 6 ms, more than a link of 19 Mbit/s carries.
	SocketBuffer = 16 << 10
	// defaultSendBuffer is enough for answers of a few hundred bytes.
	defaultSendBuffer = 4 << 10
	// queuePart is the number of places for one connection that waits for a place.
	queuePart = 4
	// reservedFiles of the descriptors are left for files. Clients get half of the others; peers, workers and the store the rest.
	reservedFiles = 200
	// fallbackMemory and fallbackFiles are used if the platform gives no limits.
	fallbackMemory = 1024 // MB
	fallbackFiles  = 8192
	minConnections = 8
	minReplyBytes  = 4 << 20 // the largest reply of the store
	minPeerBytes   = 8 << 20
	minJobBytes    = 8 << 20
	minCalls       = 256
	maxAnswerBytes = 32 << 20
)

// DefaultSettings returns the limits for a process with the memory in MB and the number of descriptors; 0: not known.
func DefaultSettings(memoryMB int64, maxFiles int) Settings {
	if memoryMB <= 0 {
		memoryMB = fallbackMemory
	}
	if maxFiles <= 0 {
		maxFiles = fallbackFiles
	}
	memory := float64(memoryMB << 20)
	connections := max(min(int(connectionShare*memory/ConnectionBytes), (maxFiles-reservedFiles)/2), minConnections)
	return Settings{
		Connections: connections, Queue: max(connections/queuePart, 1), QueueTime: time.Second,
		HeaderBytes: int64(headerShare * memory), HeaderLines: 512, BodyBytes: int64(bodyShare * memory), SmallBytes: int64(smallShare * memory),
		SendBuffer: defaultSendBuffer, SmallRequest: 32 << 10, ReplyBytes: max(int64(replyShare*memory), minReplyBytes),
		PeerBytes: max(int64(peerShare*memory), minPeerBytes),
		Calls:     max(int(callShare*memory/callBytes), minCalls),
		JobBytes:  max(int64(jobShare*memory), minJobBytes), AnswerBytes: min(int64(answerShare*memory), maxAnswerBytes),
		Stall: 500 * time.Millisecond, Grace: 2 * time.Second, MinRate: 16 << 10, Deadline: 5 * time.Second,
		ChunkOverhead: 32 << 10,
		Job:           JobLimits{Steps: 512, Tasks: 4096, Values: 70_000},
	}
}

// Share returns settings with a part of the connections and of the memory.
func (se Settings) Share(numerator, denominator int) Settings {
	n, d := int64(numerator), int64(denominator)
	se.Connections = max(se.Connections*numerator/denominator, minConnections)
	se.Queue = max(se.Queue*numerator/denominator, 1)
	se.HeaderBytes, se.BodyBytes, se.SmallBytes = se.HeaderBytes*n/d, se.BodyBytes*n/d, se.SmallBytes*n/d
	return se
}
