package lovageapi

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"strconv"
	"time"
	"unicode/utf8"

	"lovagestack/lovageconfig"
	"lovagestack/lovagejob"
)

// KeysRequest requests new keys.
type KeysRequest struct {
	Service    string `json:"service,omitempty"` // service of the submissions; empty for any
	Count      int    `json:"count,omitempty"`   // number of keys, 1 to 1000; default 1
	Repeatable bool   `json:"repeatable,omitempty"`
}

// KeysReply holds new keys.
type KeysReply struct {
	Keys    []lovagejob.Key `json:"keys"`
	Address string          `json:"address,omitempty"` // caller address of the keys' owner, if callers can reach it
}

// JobRequest is a submission in the caller API. The payload of a task is any JSON value; the worker receives exactly
// its bytes.
type JobRequest struct {
	Key                  string                `json:"key,omitempty"` // required unless Repeatable
	Service              string                `json:"service"`
	Team                 string                `json:"team"`
	Repeatable           bool                  `json:"repeatable,omitempty"`
	Deadline             time.Time             `json:"deadline"`
	DeclaredRunTime      lovageconfig.Duration `json:"declaredRunTime,omitempty"`
	DeclaredCores        int64                 `json:"declaredCores,omitempty"`
	DeclaredMemoryBytes  int64                 `json:"declaredMemoryBytes,omitempty"`
	DeclaredAccelerators int64                 `json:"declaredAccelerators,omitempty"`
	Tasks                []TaskRequest         `json:"tasks"`
}

// TaskRequest is one task of a JobRequest.
type TaskRequest struct {
	Payload json.RawMessage `json:"payload"`
}

// submission converts the request to its typed form, validates it as of now and returns all errors.
func (jo *JobRequest) submission(now time.Time, li lovagejob.Limits) (lovagejob.Submission, []lovageconfig.Finding) {
	var findings []lovageconfig.Finding
	sub := lovagejob.Submission{
		Service: jo.Service, Team: jo.Team, Repeatable: jo.Repeatable, Deadline: jo.Deadline,
		DeclaredRunTime: time.Duration(jo.DeclaredRunTime), DeclaredCores: jo.DeclaredCores,
		DeclaredMemoryBytes: jo.DeclaredMemoryBytes, DeclaredAccelerators: jo.DeclaredAccelerators,
		Tasks: make([]lovagejob.Task, len(jo.Tasks)),
	}
	if jo.Key != "" {
		key, err := lovagejob.ParseKey(jo.Key)
		if err != nil {
			findings = append(findings, lovageconfig.Finding{Field: "key", Problem: err.Error()})
		}
		sub.Key = key
	} else if !jo.Repeatable {
		findings = append(findings, lovageconfig.Finding{
			Field: "key", Problem: "is missing; a job that is not repeatable needs a key from POST /v1/keys",
		})
	}
	for i, ta := range jo.Tasks {
		if len(ta.Payload) == 0 {
			findings = append(findings, lovageconfig.Finding{Field: fmt.Sprintf("tasks[%d].payload", i), Problem: "is missing"})
		}
		sub.Tasks[i].Payload = ta.Payload
	}
	for _, fi := range sub.Validate(now, li) {
		findings = append(findings, lovageconfig.Finding{Field: fi.Field, Problem: fi.Problem})
	}
	return sub, findings
}

// AnswerReply is an answer in the caller API.
type AnswerReply struct {
	Key     lovagejob.Key     `json:"key,omitzero"`
	Outcome lovagejob.Outcome `json:"outcome"`
	Reason  string            `json:"reason,omitempty"`
	RetryAt time.Time         `json:"retryAt,omitzero"`
	Tasks   int               `json:"tasks"`
	Started int               `json:"started"`
	Results []ResultReply     `json:"results,omitempty"`
}

// ResultReply is the result of one task. Body holds the bytes of the worker's reply if they are a JSON value;
// otherwise BodyBase64 holds them. Neither is set for an empty reply.
type ResultReply struct {
	Task       int             `json:"task"`
	Worker     string          `json:"worker"`
	Status     int             `json:"status"`
	Body       json.RawMessage `json:"body,omitempty"`
	BodyBase64 []byte          `json:"bodyBase64,omitempty"`
}

// appendAnswer encodes an answer as an [AnswerReply]. It does not use encoding/json, which would rewrite the JSON that
// workers return.
func appendAnswer(out []byte, an *lovagejob.Answer) []byte {
	out = append(out, '{')
	if !an.Key.IsZero() {
		out = append(out, `"key":"`...)
		out = append(out, an.Key.String()...)
		out = append(out, `",`...)
	}
	out = append(out, `"outcome":`...)
	out = appendJSONString(out, string(an.Outcome))
	if an.Reason != "" {
		out = append(out, `,"reason":`...)
		out = appendJSONString(out, an.Reason)
	}
	if !an.RetryAt.IsZero() {
		out = append(out, `,"retryAt":"`...)
		out = an.RetryAt.UTC().AppendFormat(out, time.RFC3339Nano)
		out = append(out, '"')
	}
	out = append(out, `,"tasks":`...)
	out = strconv.AppendInt(out, int64(an.Tasks), 10)
	out = append(out, `,"started":`...)
	out = strconv.AppendInt(out, int64(an.Started), 10)
	for i := range an.Results {
		if i == 0 {
			out = append(out, `,"results":[`...)
		} else {
			out = append(out, ',')
		}
		out = appendResult(out, &an.Results[i])
	}
	if len(an.Results) > 0 {
		out = append(out, ']')
	}
	return append(out, "}\n"...)
}

func appendResult(out []byte, re *lovagejob.TaskResult) []byte {
	out = append(out, `{"task":`...)
	out = strconv.AppendInt(out, int64(re.Task), 10)
	out = append(out, `,"worker":`...)
	out = appendJSONString(out, re.Worker)
	out = append(out, `,"status":`...)
	out = strconv.AppendInt(out, int64(re.Status), 10)
	switch {
	case len(re.Body) == 0:
	case utf8.Valid(re.Body) && json.Valid(re.Body):
		out = append(out, `,"body":`...)
		out = append(out, re.Body...)
	default:
		out = append(out, `,"bodyBase64":"`...)
		out = base64.StdEncoding.AppendEncode(out, re.Body)
		out = append(out, '"')
	}
	return append(out, '}')
}

func appendJSONString(out []byte, text string) []byte {
	data, err := json.Marshal(text)
	if err != nil { // cannot happen for a string
		return append(out, `""`...)
	}
	return append(out, data...)
}
