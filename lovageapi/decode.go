package lovageapi

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"lovagestack/lovageconfig"
)

const (
	// maxFullReportBytes is the size up to which every error in a body is located. The parsed text with its positions
	// takes about 20 times the size of the body, so many invalid bodies of the maximum size would exhaust memory.
	maxFullReportBytes = 1 << 20
	maxFindings        = 1000 // maximum number of findings in a reply; more errors have a common cause
)

// decode sets target, a pointer to a struct, from JSON and returns errors as findings. encoding/json decodes valid
// text. In invalid text, the slower decoder of lovageconfig locates every error; in a text above maxFullReportBytes,
// only the first error is returned.
func decode(data []byte, target any) []lovageconfig.Finding {
	err := json.Unmarshal(data, target)
	if err == nil && hasExactKeys(data, keyNamesOf(reflect.TypeOf(target).Elem())) {
		return nil
	}
	if len(data) > maxFullReportBytes {
		if err == nil {
			err = errors.New("a key is not known or occurs twice")
		}
		return []lovageconfig.Finding{{
			Problem: fmt.Sprintf("%s (only the first fault is reported for a body of more than %d bytes)", err, maxFullReportBytes),
		}}
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
		findings = []lovageconfig.Finding{{Problem: err.Error()}}
	}
	lovageconfig.SortFindings(findings)
	return findings
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
