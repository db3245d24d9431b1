package lovageconfig

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
)

// maxJSONDepth is the maximum nesting depth of JSON values. Deeper nesting occurs only in attempts to overflow the
// stack.
const maxJSONDepth = 500

// Memory of a parsed text and of the findings in it, beside that of paths.
const (
	parsedValueBytes = 256 // in a list or a table, with its position
	parsedTableBytes = 400
	foundBytes       = 400 // a finding with its message
	parsedTextFactor = 2   // the parser's buffer and the strings
)

// errTooLarge is an error of texts whose values would take too much memory.
var errTooLarge = errors.New("the JSON text has too many values, or too many below long keys")

// ParseJSONMemory returns the memory within which ParseJSON parses any text of the size that people write.
func ParseJSONMemory(size int) int64 { return 5<<18 + 32*int64(size) }

// ParseJSON parses one JSON value. It reports the first syntax error or else all duplicate keys in objects.
// encoding/json silently drops all but one of the duplicates. The document and what Decode finds in it take no more than
// ParseJSONMemory; a text that would take more is reported as too large.
func ParseJSON(file string, data []byte) (*Document, []Finding) {
	doc := newDocument(file, data)
	pa := jsonParser{
		doc: doc, data: data, dec: json.NewDecoder(bytes.NewReader(data)),
		room: ParseJSONMemory(len(data)) - parsedTextFactor*int64(len(data)) - 8*int64(cap(doc.lineStarts)),
	}
	pa.dec.UseNumber()
	var err error
	if doc.root, err = pa.parseValue("", 0); err != nil {
		return nil, []Finding{pa.syntaxFinding(err)}
	}
	end := pa.nextTokenOffset()
	if _, err := pa.dec.Token(); !errors.Is(err, io.EOF) {
		doc.offsets["\x00end"] = end
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
	room     int64 // memory that is left
	findings []Finding
}

// take takes memory for a value with the path.
func (pa *jsonParser) take(path string, bytes int64) error {
	if pa.room -= bytes + 2*int64(len(path)); pa.room < 0 {
		return errTooLarge
	}
	return nil
}

// nextTokenOffset returns the offset of the next token.
func (pa *jsonParser) nextTokenOffset() int {
	offset := int(pa.dec.InputOffset())
	for offset < len(pa.data) && strings.IndexByte(" \t\r\n,:", pa.data[offset]) >= 0 {
		offset++
	}
	return offset
}

// syntaxFinding reports an error of the JSON decoder.
func (pa *jsonParser) syntaxFinding(err error) Finding {
	offset, problem := pa.nextTokenOffset(), err.Error()
	var se *json.SyntaxError
	isSyntaxError := errors.As(err, &se)
	switch {
	// Go 1.27 reports an early end as a syntax error, Go 1.26 as io.EOF or io.ErrUnexpectedEOF.
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), isSyntaxError && problem == "unexpected end of JSON input":
		problem = "the JSON text ends too early"
	case isSyntaxError:
		offset = max(int(se.Offset)-1, 0)
	}
	pa.doc.offsets["\x00syntax"] = offset
	fi := pa.doc.Finding("\x00syntax", "%s", problem)
	fi.Field = ""
	return fi
}

// parseValue parses the next value and records its offset and the offsets of all nested values.
func (pa *jsonParser) parseValue(path string, depth int) (any, error) {
	if depth > maxJSONDepth {
		return nil, errors.Newf("the JSON text is nested more than %d deep", maxJSONDepth)
	}
	if err := pa.take(path, parsedValueBytes+foundBytes); err != nil {
		return nil, err
	}
	pa.doc.recordOffset(path, pa.nextTokenOffset())
	token, err := pa.dec.Token()
	if err != nil {
		return nil, err
	}
	switch token {
	case json.Delim('{'):
		return pa.parseObject(path, depth)
	case json.Delim('['):
		list := []any{}
		for pa.dec.More() {
			value, err := pa.parseValue(indexPath(path, len(list)), depth+1)
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

func (pa *jsonParser) parseObject(path string, depth int) (any, error) {
	if err := pa.take("", parsedTableBytes); err != nil {
		return nil, err
	}
	table := map[string]any{}
	for pa.dec.More() {
		offset := pa.nextTokenOffset()
		token, err := pa.dec.Token()
		if err != nil {
			return nil, err
		}
		key, _ := token.(string)
		sub := joinPath(path, key)
		if _, ok := table[key]; ok {
			if err := pa.take(sub, foundBytes); err != nil {
				return nil, err
			}
			pa.doc.offsets[sub] = offset
			pa.findings = append(pa.findings, pa.doc.Finding(sub, "occurs twice"))
		}
		pa.doc.recordOffset(sub, offset)
		if table[key], err = pa.parseValue(sub, depth+1); err != nil {
			return nil, err
		}
	}
	_, err := pa.dec.Token()
	return table, err
}
