package lovagepeer

import "lovagestack/lovagemessage"

// Counter names. CounterRequestsSent and CounterResponsesSent are broken down by kind of message.
const (
	CounterRequestsSent    = "peer_requests_sent"
	CounterResponsesSent   = "peer_responses_sent"
	CounterFramesReceived  = "peer_frames_received"
	CounterWrites          = "peer_writes" // writes to streams; fewer than frames if frames are batched
	CounterBytesSent       = "peer_bytes_sent"
	CounterBytesReceived   = "peer_bytes_received"
	CounterSessionsOpened  = "peer_sessions_opened"
	CounterSessionsClosed  = "peer_sessions_closed"
	CounterSessionsSilent  = "peer_sessions_silent" // closed because the peer did not answer a ping or sent nothing
	CounterSessionsIdle    = "peer_sessions_idle"   // closed after IdleTimeout without a request
	CounterDialsFailed     = "peer_dials_failed"
	CounterAcceptsFailed   = "peer_accepts_failed"   // errors of the listener's Accept, such as EMFILE
	CounterAcceptsRefused  = "peer_accepts_refused"  // connections closed because of MaxHandshakes
	CounterFramesRefused   = "peer_frames_refused"   // frames for which MaxFrameMemory had no room
	CounterRequestsRefused = "peer_requests_refused" // requests of peers refused because too many were in flight
	CounterLateResponses   = "peer_late_responses"   // responses to calls that had already ended
	CounterHandlerPanics   = "peer_handler_panics"   // requests of peers whose handler panicked
)

// Kinds of messages, used as counter labels. "place" asks an owner of workers to run tasks of a job, and "withdraw"
// cancels an earlier "place". "standing" is an owner's load report or its release of workers to a new owner. "takeOver"
// asks a peer to own a domain. "cancelJob" cancels a job by its ID.
const (
	kindHello            = "hello"
	kindHeartbeat        = "heartbeat"
	kindSubmit           = "submit"
	kindAsk              = "ask"
	kindCancel           = "cancel"
	kindMint             = "mint"
	kindAccept           = "accept"
	kindResultCopy       = "resultCopy"
	kindTransfer         = "transfer"
	kindEstimates        = "estimates"
	kindConfigDelta      = "configDelta"
	kindConfigAsk        = "configAsk"
	kindPlace            = "place"
	kindWithdraw         = "withdraw"
	kindStanding         = "standing"
	kindTakeOver         = "takeOver"
	kindAskConfiguration = "askConfiguration"
	kindRenew            = "renew"
	kindCancelJob        = "cancelJob"
	kindNoteCancelled    = "noteCancelled"
	kindOther            = "other"
)

var kinds = []string{
	kindHello, kindHeartbeat, kindSubmit, kindAsk, kindCancel, kindMint, kindAccept, kindResultCopy, kindTransfer,
	kindEstimates, kindConfigDelta, kindConfigAsk, kindPlace,
	kindWithdraw, kindStanding, kindTakeOver, kindAskConfiguration, kindRenew, kindCancelJob, kindNoteCancelled, kindOther,
}

// Kind returns the kind of a request, such as "accept", for counter labels and span attributes.
func Kind(req *lovagemessage.Request) string {
	switch req.GetBody().(type) {
	case *lovagemessage.Request_Hello:
		return kindHello
	case *lovagemessage.Request_Heartbeat:
		return kindHeartbeat
	case *lovagemessage.Request_Submit:
		return kindSubmit
	case *lovagemessage.Request_Ask:
		return kindAsk
	case *lovagemessage.Request_Cancel:
		return kindCancel
	case *lovagemessage.Request_Mint:
		return kindMint
	case *lovagemessage.Request_Accept:
		return kindAccept
	case *lovagemessage.Request_ResultCopy:
		return kindResultCopy
	case *lovagemessage.Request_Transfer:
		return kindTransfer
	case *lovagemessage.Request_Estimates:
		return kindEstimates
	case *lovagemessage.Request_ConfigDelta:
		return kindConfigDelta
	case *lovagemessage.Request_ConfigAsk:
		return kindConfigAsk
	case *lovagemessage.Request_Place:
		return kindPlace
	case *lovagemessage.Request_Withdraw:
		return kindWithdraw
	case *lovagemessage.Request_Standing:
		return kindStanding
	case *lovagemessage.Request_TakeOver:
		return kindTakeOver
	case *lovagemessage.Request_AskConfiguration:
		return kindAskConfiguration
	case *lovagemessage.Request_Renew:
		return kindRenew
	case *lovagemessage.Request_CancelJob:
		return kindCancelJob
	case *lovagemessage.Request_NoteCancelled:
		return kindNoteCancelled
	}
	return kindOther
}

// isBulk reports whether requests of the kind and their responses always use the bulk stream, regardless of size.
func isBulk(kind string) bool {
	switch kind {
	case kindSubmit, kindAsk, kindResultCopy, kindTransfer:
		return true
	}
	return false
}

type counters struct {
	requestsSent, responsesSent                                  map[string]Counter
	framesReceived, writes                                       Counter
	bytesSent, bytesReceived                                     Counter
	sessionsOpened, sessionsClosed, sessionsIdle, sessionsSilent Counter
	dialsFailed, acceptsFailed, requestsRefused, lateResponses   Counter
	handlerPanics, acceptsRefused, framesRefused                 Counter
}

type nopCounter struct{}

func (nopCounter) Inc(int64) {}

func newCounters(source Counters) counters {
	get := func(name, kind string) Counter {
		if source == nil {
			return nopCounter{}
		}
		return source.Counter(name, kind)
	}
	co := counters{
		requestsSent:    make(map[string]Counter, len(kinds)),
		responsesSent:   make(map[string]Counter, len(kinds)),
		framesReceived:  get(CounterFramesReceived, ""),
		writes:          get(CounterWrites, ""),
		bytesSent:       get(CounterBytesSent, ""),
		bytesReceived:   get(CounterBytesReceived, ""),
		sessionsOpened:  get(CounterSessionsOpened, ""),
		sessionsClosed:  get(CounterSessionsClosed, ""),
		sessionsIdle:    get(CounterSessionsIdle, ""),
		sessionsSilent:  get(CounterSessionsSilent, ""),
		dialsFailed:     get(CounterDialsFailed, ""),
		acceptsFailed:   get(CounterAcceptsFailed, ""),
		requestsRefused: get(CounterRequestsRefused, ""), handlerPanics: get(CounterHandlerPanics, ""),
		lateResponses:  get(CounterLateResponses, ""),
		acceptsRefused: get(CounterAcceptsRefused, ""), framesRefused: get(CounterFramesRefused, ""),
	}
	for _, kind := range kinds {
		co.requestsSent[kind] = get(CounterRequestsSent, kind)
		co.responsesSent[kind] = get(CounterResponsesSent, kind)
	}
	return co
}
