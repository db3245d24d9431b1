package lovageapi

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"lovagestack/lovageadmission"
	"lovagestack/lovageconfig"
)

const (
	// maxFullReportBytes is the size up to which every error in a body is located, if there is memory for it.
	maxFullReportBytes = 1 << 20
	maxFindings        = 1000 // maximum number of findings in a reply; more errors have a common cause
	maxProblemBytes    = 500  // of a finding; a longer one quotes the body
	elementBytes       = 400  // memory of a task without its payload while the list of tasks grows and is checked
	// maxExtraTasks is how many times the limit of tasks a body may have for all its errors to be reported.
	maxExtraTasks = 16
)

// decode sets target, a pointer to a struct, from JSON and returns errors as findings. encoding/json decodes valid
// text. In invalid text, the slower decoder of lovageconfig locates every error; in a text above maxFullReportBytes, or without room for that,
// only the first error is returned. reserve reserves memory for the request.
func decode(data []byte, target any, reserve func(bytes int64) bool) []lovageconfig.Finding {
	err := json.Unmarshal(data, target)
	if err == nil && hasExactKeys(data, keyNamesOf(reflect.TypeOf(target).Elem())) {
		return nil
	}
	first := lovageconfig.Finding{Problem: describe(err)}
	switch {
	case len(data) > maxFullReportBytes:
		first.Problem += fmt.Sprintf(" (only the first fault is reported for a body of more than %d bytes)", maxFullReportBytes)
		return []lovageconfig.Finding{first}
	case !reserve(lovageconfig.ParseJSONMemory(len(data))):
		first.Problem += " (only the first fault is reported while many requests are in progress)"
		return []lovageconfig.Finding{first}
	}
	doc, findings := lovageconfig.ParseJSON("", data)
	if doc != nil {
		findings = append(findings, doc.Decode(reflect.New(reflect.TypeOf(target).Elem()).Interface())...)
	}
	findings = slices.DeleteFunc(findings, func(fi lovageconfig.Finding) bool {
		// The content of payloads is not validated.
		return strings.Contains(fi.Field, "].payload.") || strings.Contains(fi.Field, "].payload[")
	})
	if len(findings) == 0 && err != nil {
		findings = []lovageconfig.Finding{first}
	}
	lovageconfig.SortFindings(findings)
	return findings
}

// decodeJob is decode for a submission. A list of very many tasks is not decoded. The error is errNoRoom.
func decodeJob(data []byte, maxTasks int, reserve func(bytes int64) bool) (*JobRequest, []lovageconfig.Finding, error) {
	size := lovageadmission.ScanJob(data, "tasks", "")
	if size.Steps > maxExtraTasks*max(maxTasks, 1) {
		return nil, []lovageconfig.Finding{{
			Field: "tasks", Problem: fmt.Sprintf("%d tasks are more than the limit of %d", size.Steps, maxTasks),
		}}, nil
	}
	if !reserve(elementBytes * int64(size.Steps)) {
		return nil, nil, errNoRoom
	}
	req := &JobRequest{}
	return req, decode(data, req, reserve), nil
}

// describe returns the message of an error of json.Unmarshal, or that of wrong keys if it is nil.
func describe(err error) string {
	var pe *time.ParseError
	switch {
	case err == nil:
		return "a key is not known or occurs twice"
	case errors.As(err, &pe):
		return fmt.Sprintf("%.100q is not a time in the form of RFC 3339", pe.Value)
	}
	return clip(err.Error())
}

// clip returns the beginning of a text that may quote a request.
func clip(text string) string {
	if len(text) <= maxProblemBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxProblemBytes], "") + "..."
}

// keyNames holds JSON keys by nesting depth: 1 is the outer object, 3 the objects in its lists.
type keyNames [4][]string

// keyNamesCache caches keyNamesOf by type.
var keyNamesCache sync.Map

// keyNamesOf returns the JSON names of the fields of a struct, and of the structs in its lists.
func keyNamesOf(ty reflect.Type) *keyNames {
	if names, ok := keyNamesCache.Load(ty); ok {
		return names.(*keyNames)
	}
	out := &keyNames{}
	for field := range ty.Fields() {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		out[1] = append(out[1], name)
		if field.Type.Kind() == reflect.Slice && field.Type.Elem().Kind() == reflect.Struct {
			out[3] = append(out[3], keyNamesOf(field.Type.Elem())[1]...)
		}
	}
	keyNamesCache.Store(ty, out)
	return out
}

// hasExactKeys reports whether each key of the outer object, and of the objects in its lists, is an allowed name and
// occurs once. encoding/json does not check this: it ignores the case of keys and keeps only one of duplicate keys. The
// text must be valid JSON.
func hasExactKeys(data []byte, names *keyNames) bool {
	depth := 0
	var seen keyNames // keys so far in the open object at each depth
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '{', '[':
			if depth++; depth < len(seen) {
				seen[depth] = seen[depth][:0]
			}
		case '}', ']':
			depth--
		case '"':
			first := i + 1
			for i++; data[i] != '"'; i++ {
				if data[i] == '\\' {
					i++
				}
			}
			if (depth != 1 && depth != 3) || !isKey(data[i+1:]) {
				continue
			}
			at := slices.Index(names[depth], string(data[first:i]))
			if at < 0 || slices.Contains(seen[depth], names[depth][at]) {
				return false
			}
			seen[depth] = append(seen[depth], names[depth][at])
		}
	}
	return true
}

// isKey reports whether a string is the key of an object, given the text after it.
func isKey(rest []byte) bool {
	for _, c := range rest {
		switch c {
		case ' ', '\t', '\r', '\n':
		default:
			return c == ':'
		}
	}
	return false
}
