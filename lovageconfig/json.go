package lovageconfig

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
)

// maxDepth bounds the nesting of JSON texts; deeper ones only occur as attacks on the parser's stack.
const maxDepth = 500

// ParseJSON parses one JSON value. Besides syntax faults it reports keys that occur twice in an object, of which
// encoding/json would silently drop one.
func ParseJSON(file string, data []byte) (*Document, []Finding) {
	doc := newDocument(file, data)
	pa := jsonParser{doc: doc, data: data, dec: json.NewDecoder(bytes.NewReader(data))}
	pa.dec.UseNumber()
	var err error
	if doc.root, err = pa.value("", 0); err != nil {
		return nil, []Finding{pa.syntax(err)}
	}
	end := pa.next()
	if _, err := pa.dec.Token(); !errors.Is(err, io.EOF) {
		doc.places["\x00end"] = end
		fi := doc.Finding("\x00end", "there is more text after the end of the JSON value")
		fi.Field = ""
		return nil, []Finding{fi}
	}
	return doc, pa.findings
}

type jsonParser struct {
	doc      *Document
	data     []byte
	dec      *json.Decoder
	findings []Finding
}

// next returns the offset of the next token.
func (pa *jsonParser) next() int {
	offset := int(pa.dec.InputOffset())
	for offset < len(pa.data) && strings.IndexByte(" \t\r\n,:", pa.data[offset]) >= 0 {
		offset++
	}
	return offset
}

// syntax returns the finding for an error of the decoder.
func (pa *jsonParser) syntax(err error) Finding {
	offset := pa.next()
	var se *json.SyntaxError
	if errors.As(err, &se) {
		offset = max(int(se.Offset)-1, 0)
	}
	problem := err.Error()
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		problem = "the JSON text ends too early"
	}
	pa.doc.places["\x00syntax"] = offset
	fi := pa.doc.Finding("\x00syntax", "%s", problem)
	fi.Field = ""
	return fi
}

// value parses the next value and records the place of it and of everything in it.
func (pa *jsonParser) value(path string, depth int) (any, error) {
	if depth > maxDepth {
		return nil, errors.Newf("the JSON text is nested more than %d deep", maxDepth)
	}
	pa.doc.place(path, pa.next())
	token, err := pa.dec.Token()
	if err != nil {
		return nil, err
	}
	switch token {
	case json.Delim('{'):
		return pa.object(path, depth)
	case json.Delim('['):
		list := []any{}
		for pa.dec.More() {
			value, err := pa.value(indexPath(path, len(list)), depth+1)
			if err != nil {
				return nil, err
			}
			list = append(list, value)
		}
		_, err := pa.dec.Token()
		return list, err
	}
	return token, nil
}

func (pa *jsonParser) object(path string, depth int) (any, error) {
	table := map[string]any{}
	for pa.dec.More() {
		offset := pa.next()
		token, err := pa.dec.Token()
		if err != nil {
			return nil, err
		}
		key, _ := token.(string)
		sub := joinPath(path, key)
		if _, ok := table[key]; ok {
			pa.doc.places[sub] = offset
			pa.findings = append(pa.findings, pa.doc.Finding(sub, "occurs twice"))
		}
		pa.doc.place(sub, offset)
		if table[key], err = pa.value(sub, depth+1); err != nil {
			return nil, err
		}
	}
	_, err := pa.dec.Token()
	return table, err
}
