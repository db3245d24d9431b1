package lovageapi

import (
	"encoding/json"
	"io"
	"math"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/kataras/iris/v12"

	"lovagestack/lovageadmission"
	"lovagestack/lovageconfig"
	"lovagestack/lovageconn"
)

// ErrorReply is the body of a reply to a request that was not processed. It says nothing about the outcome of a job.
type ErrorReply struct {
	Error    string                 `json:"error"`
	Findings []lovageconfig.Finding `json:"findings,omitempty"` // errors in the request, each with its field
	Revision int64                  `json:"revision,omitempty"` // current revision, if the requested one is too old
}

func writeError(ctx iris.Context, status int, problem string) {
	writeJSON(ctx, status, ErrorReply{Error: problem})
}

func writeFindings(ctx iris.Context, findings []lovageconfig.Finding) {
	for i := range findings {
		findings[i].Field, findings[i].Problem = clip(findings[i].Field), clip(findings[i].Problem)
	}
	if !reserver(ctx)(findingBytes * int64(min(len(findings), maxFindings))) {
		findings = findings[:1:1]
	}
	if more := len(findings) - maxFindings; more > 0 {
		findings = append(findings[:maxFindings:maxFindings], lovageconfig.Finding{Problem: strconv.Itoa(more) + " more findings"})
	}
	writeJSON(ctx, http.StatusBadRequest, ErrorReply{Error: "the request has faults; nothing was started", Findings: findings})
}

// findingBytes is the memory of a finding in a reply and its encoding.
const findingBytes = 1 << 10

// reserver returns a function that reserves memory for the request until it has been answered.
func reserver(ctx iris.Context) func(bytes int64) bool {
	client := lovageadmission.FromContext(ctx.Request().Context())
	return func(bytes int64) bool { return client.Reserve(time.Now(), bytes) }
}

// writeJSON writes value as JSON, or status 500 if it cannot be encoded.
func writeJSON(ctx iris.Context, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		status, data = http.StatusInternalServerError, []byte(`{"error":"the reply cannot be encoded"}`)
	}
	writeBytes(ctx, status, append(data, '\n'))
}

// writeBytes writes a reply, or status 503 if it is large and there is no room for it until the client has taken it.
func writeBytes(ctx iris.Context, status int, data []byte) {
	if len(data) > freeReplyBytes && !reserver(ctx)(int64(len(data))) {
		setRetryAfter(ctx, time.Second)
		status, data = http.StatusServiceUnavailable, []byte(`{"error":"too many large replies are being sent"}`+"\n")
	}
	writeReserved(ctx, status, data)
}

// freeReplyBytes is the size up to which a reply needs no room of its own: it fits into the buffers of its connection.
const freeReplyBytes = 4 << 10

// writeReserved writes a reply for which memory is reserved.
func writeReserved(ctx iris.Context, status int, data []byte) {
	extendWriteDeadline(ctx)
	he := ctx.ResponseWriter().Header()
	he.Set("Content-Type", "application/json")
	he.Set("Content-Length", strconv.Itoa(len(data)))
	ctx.StatusCode(status)
	_, _ = ctx.Write(data) // fails only if the client has disconnected
}

// extendWriteDeadline gives the client writeTimeout to receive the next part of the reply.
func extendWriteDeadline(ctx iris.Context) {
	_ = http.NewResponseController(ctx.ResponseWriter().Naive()).SetWriteDeadline(time.Now().Add(writeTimeout))
}

// setRetryAfter sets the Retry-After header to the wait in whole seconds, rounded up and at least 1.
func setRetryAfter(ctx iris.Context, wait time.Duration) {
	seconds := max(1, math.Ceil(wait.Seconds()))
	ctx.Header("Retry-After", strconv.FormatFloat(seconds, 'f', 0, 64))
}

// readBody reads the whole body. If it returns false, it has written an error reply.
func (srv *Server) readBody(ctx iris.Context) ([]byte, bool) {
	rc := http.NewResponseController(ctx.ResponseWriter().Naive())
	_ = rc.SetReadDeadline(time.Now().Add(srv.bodyTimeout))
	client := lovageadmission.FromContext(ctx.Request().Context())
	client.StartBody(time.Now(), (1+decodedFactor)*ctx.Request().ContentLength)
	data, err := srv.readAccounted(http.MaxBytesReader(ctx.ResponseWriter().Naive(), ctx.Request().Body, srv.maxBodyBytes), client)
	if err != nil {
		client.Shrink(0)
	}
	if err == nil && !client.Received(time.Now()) || client.Dropped() != lovageadmission.ReasonNone {
		writeRefusal(ctx)
		return nil, false
	}
	_ = rc.SetReadDeadline(time.Time{}) // the deadline would otherwise end the request while it waits for the job
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		writeError(ctx, http.StatusRequestEntityTooLarge, "the body is larger than "+strconv.FormatInt(srv.maxBodyBytes, 10)+" bytes")
		return nil, false
	case err != nil:
		writeError(ctx, http.StatusBadRequest, "the body cannot be read: "+err.Error())
		return nil, false
	}
	return data, true
}

// decodedFactor is the memory of a decoded body, of payloads and lists, per byte of its text.
const decodedFactor = 3

// readAccounted reads a body whose buffer grows as bytes arrive and as the client's account has room. The memory of the decoded form
// is reserved too.
func (srv *Server) readAccounted(re io.Reader, client *lovageadmission.Connection) ([]byte, error) {
	buf := make([]byte, 0, 4<<10)
	if !client.Grow(time.Now(), 0, (1+decodedFactor)*int64(cap(buf))) {
		return nil, errNoRoom
	}
	for {
		n, err := re.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if err == io.EOF {
			return buf, nil
		}
		if err != nil {
			return nil, err
		}
		more := 0
		if len(buf) == cap(buf) {
			more = cap(buf)
		}
		if !client.Grow(time.Now(), int64(n), (1+decodedFactor)*int64(more)) {
			return nil, errNoRoom
		}
		if more > 0 {
			buf = append(make([]byte, 0, cap(buf)+more), buf...)
		}
	}
}

// errNoRoom says that the client's account has no room for its request.
var errNoRoom = errors.New("no room for the request in memory")

// writeRefusal answers a request that is refused because of what clients hold.
func writeRefusal(ctx iris.Context) {
	lovageconn.Refuse(ctx.ResponseWriter().Naive())
	writeError(ctx, http.StatusServiceUnavailable, "too many requests are being read; this one was not processed")
}

// queryFindings reports query parameters that are not known to the call or occur more than once.
func queryFindings(ctx iris.Context, known ...string) []lovageconfig.Finding {
	var out []lovageconfig.Finding
	for name, values := range ctx.Request().URL.Query() {
		switch {
		case !slices.Contains(known, name):
			out = append(out, lovageconfig.Finding{Field: name, Problem: "is not a parameter of this call"})
		case len(values) > 1:
			out = append(out, lovageconfig.Finding{Field: name, Problem: "occurs twice"})
		}
	}
	lovageconfig.SortFindings(out)
	return out
}
