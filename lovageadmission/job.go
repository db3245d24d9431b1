package lovageadmission

import (
	"bytes"
	"math"
	"strconv"
)

// JobSize is what a job in JSON will take when it is decoded.
type JobSize struct {
	Steps  int   // elements of the list of steps
	Tasks  int64 // sum of the steps' counts
	Values int   // JSON values in the list of steps
	Text   int   // length of all strings
}

// Memory of the parts of a decoded job, with the parts of the instance's state that are kept until it is answered.
const (
	stepBytes  = 640 // decoded twice: in the form of the request and in that of the job
	valueBytes = 32  // an integer in a list that has grown
	taskBytes  = 512
)

// Bytes returns the memory of the decoded job.
func (js JobSize) Bytes() int64 {
	return int64(js.Text) + stepBytes*int64(js.Steps) + valueBytes*int64(js.Values) + taskBytes*js.Tasks
}

// Fits reports whether the job is within the limits.
func (js JobSize) Fits(li JobLimits) bool {
	return js.Steps <= li.Steps && js.Tasks <= int64(li.Tasks) && js.Values <= li.Values
}

// ScanJob measures a job without building values. stepsKey is the key of the list of steps in the outer object, and countKey that of a
// step's number of tasks, 1 or more. In valid JSON, no part is missed that encoding/json would decode; a key that occurs twice counts twice.
func ScanJob(text []byte, stepsKey, countKey string) JobSize {
	sc := scanner{text: text, steps: []byte(stepsKey), count: []byte(countKey)}
	sc.scan()
	return sc.size
}

type scanner struct {
	text         []byte
	steps, count []byte
	size         JobSize
	depth        int
	inSteps      bool // in the list of steps
	key          []byte
}

// Depths of the containers of a job.
const (
	jobDepth   = 1 // in the outer object
	stepsDepth = 2 // in the list of steps
	stepDepth  = 3 // in a step
)

func (sc *scanner) scan() {
	for i := 0; i < len(sc.text); {
		switch c := sc.text[i]; c {
		case ' ', '\t', '\r', '\n', ',', ':':
			i++
		case '{', '[':
			if sc.depth == jobDepth && c == '[' && matches(sc.key, sc.steps) {
				sc.inSteps = true
			} else {
				sc.noteValue()
			}
			sc.depth++
			sc.key = nil
			i++
		case '}', ']':
			if sc.depth--; sc.depth <= jobDepth {
				sc.inSteps = false
			}
			sc.key = nil
			i++
		case '"':
			end := stringEnd(sc.text, i)
			if isKey(sc.text[end:]) {
				sc.key = sc.text[min(i+1, end):max(i+1, end-1)]
			} else {
				sc.size.Text += end - i
				sc.noteValue()
			}
			i = end
		default:
			end := literalEnd(sc.text, i)
			sc.noteValue()
			sc.noteCount(sc.text[i:end])
			i = end
		}
	}
}

// noteValue counts a value that begins in the list of steps.
func (sc *scanner) noteValue() {
	if !sc.inSteps {
		return
	}
	sc.size.Values++
	if sc.depth == stepsDepth {
		sc.size.Steps++
	}
}

// noteCount counts the tasks of a step if the number is that of its tasks. Numbers that are no integers are not decoded as one.
func (sc *scanner) noteCount(literal []byte) {
	if !sc.inSteps || sc.depth != stepDepth || !matches(sc.key, sc.count) {
		return
	}
	n, err := strconv.ParseInt(string(literal), 10, 64)
	if err == nil && n > 0 {
		sc.size.Tasks = min(sc.size.Tasks+min(n, math.MaxInt32), math.MaxInt32)
	}
}

// matches reports whether encoding/json may take a key for the name: it ignores case, and an escape may stand for a letter.
func matches(key, name []byte) bool {
	return key != nil && (bytes.EqualFold(key, name) || bytes.IndexByte(key, '\\') >= 0)
}

// stringEnd returns the index after the string that begins at i. Its time is linear in the string's length.
func stringEnd(text []byte, i int) int {
	quote := i
	for i++; i < len(text); {
		if quote < i {
			n := bytes.IndexByte(text[i:], '"')
			if n < 0 {
				return len(text)
			}
			quote = i + n
		}
		escape := bytes.IndexByte(text[i:quote], '\\')
		if escape < 0 {
			return quote + 1
		}
		i += escape + 2
	}
	return len(text)
}

// literalEnd returns the index after the number or word that begins at i.
func literalEnd(text []byte, i int) int {
	for i++; i < len(text); i++ {
		switch text[i] {
		case ' ', '\t', '\r', '\n', ',', ':', '{', '[', '}', ']', '"':
			return i
		}
	}
	return i
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
