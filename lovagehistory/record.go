package lovagehistory

import (
	"bufio"
	"cmp"
	"encoding/json"
	"io"
	"math"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Kind is the kind of an operation.
type Kind string

// Kinds of operations. Each comment lists the fields of Operation and Result that the kind uses.
const (
	Submit Kind = "submit" // Key, Content; result: Outcome, Key, Tasks, Started, Results
	Ask    Kind = "ask"    // Key; result as for Submit
	Cancel Kind = "cancel" // Key; result as for Submit
	Start  Kind = "start"  // start on a worker: Key, Task, Content (digest of the task's result)

	ConfigWrite Kind = "configWrite" // Name, Revision (expected, 0 to create), Content; result: WriteOutcome, Revision
	ConfigRead  Kind = "configRead"  // Name; result: Revision and Content of the current resource
	ConfigApply Kind = "configApply" // Instance, Name; result: Revision applied by the instance, Content in effect there

	Acquire     Kind = "acquire"   // Range, Epoch (expected; acquiring increments it), Instance; result: WriteOutcome
	Renew       Kind = "renew"     // Range, Epoch, Instance; result: WriteOutcome
	OwnerAction Kind = "act"       // action that only the owner in Epoch may take: Range, Epoch, Instance
	OwnerRead   Kind = "ownerRead" // Range; result: Epoch, Instance
)

// WriteOutcome is the outcome of a conditional write.
type WriteOutcome string

// Outcomes of a conditional write.
const (
	Committed     WriteOutcome = "committed"
	Refused       WriteOutcome = "refused"  // a precondition failed; the write never takes effect
	Indeterminate WriteOutcome = "unclear"  // may take effect at any later time, or never
	NoEffect      WriteOutcome = "noEffect" // failed for another reason; the write never takes effect
)

// Operation is the recorded call of an operation. It holds only plain data, so that it can be stored as a JSON line.
type Operation struct {
	Kind     Kind   `json:"kind"`
	Client   string `json:"client,omitempty"`
	Key      string `json:"key,omitempty"`
	Task     int    `json:"task,omitempty"`
	Content  string `json:"content,omitempty"` // digest of the submission, the written resource or the task's result
	Name     string `json:"name,omitempty"`
	Revision int64  `json:"revision,omitempty"`
	Range    string `json:"range,omitempty"`
	Epoch    int64  `json:"epoch,omitempty"`
	Instance string `json:"instance,omitempty"`
}

// Result is the response to an operation.
type Result struct {
	Outcome      string       `json:"outcome,omitempty"` // lovagejob.Outcome of the job
	Key          string       `json:"key,omitempty"`
	Tasks        int          `json:"tasks,omitempty"`
	Started      int          `json:"started,omitempty"`
	Results      []string     `json:"results,omitempty"` // digest of each task's result
	WriteOutcome WriteOutcome `json:"state,omitempty"`
	Revision     int64        `json:"revision,omitempty"`
	Content      string       `json:"content,omitempty"`
	Epoch        int64        `json:"epoch,omitempty"`
	Instance     string       `json:"instance,omitempty"`
}

// Entry is an operation with its response, if one was recorded. Call and Return are times in Unix nanoseconds.
type Entry struct {
	ID        string    `json:"id"`
	Call      int64     `json:"call,omitempty"`
	Operation Operation `json:"operation,omitzero"`
	Return    int64     `json:"return,omitempty"` // 0 if no response was recorded
	Result    Result    `json:"result,omitzero"`
}

// Recorder writes the operations of one process. It is safe for concurrent use.
type Recorder struct {
	idPrefix  string
	startTime time.Time

	mu             sync.Mutex
	encoder        *json.Encoder
	operationCount int
	firstErr       error
}

// NewRecorder returns a recorder that writes to out. The source must be unique among the processes of a run.
func NewRecorder(source string, out io.Writer) *Recorder {
	return &Recorder{idPrefix: source, startTime: time.Now(), encoder: json.NewEncoder(out)}
}

// now returns the wall-clock time of the start plus the monotonic time since then, so that a clock step does not
// reorder operations.
func (re *Recorder) now() int64 {
	return re.startTime.UnixNano() + time.Since(re.startTime).Nanoseconds()
}

// Begin records the call of an operation. The returned function records the response and must be called at most once.
// An operation without a response may take effect at any later time.
func (re *Recorder) Begin(op Operation) func(Result) {
	re.mu.Lock()
	re.operationCount++
	id := re.idPrefix + "-" + strconv.Itoa(re.operationCount)
	re.write(Entry{ID: id, Call: re.now(), Operation: op})
	re.mu.Unlock()
	return func(result Result) {
		returnTime := re.now()
		re.mu.Lock()
		defer re.mu.Unlock()
		re.write(Entry{ID: id, Return: returnTime, Result: result})
	}
}

func (re *Recorder) write(en Entry) {
	if err := re.encoder.Encode(en); err != nil && re.firstErr == nil {
		re.firstErr = errors.Wrap(err, "write history record")
	}
}

// Err returns the first error that occurred while writing a record.
func (re *Recorder) Err() error {
	re.mu.Lock()
	defer re.mu.Unlock()
	return re.firstErr
}

// maxLineBytes is the maximum length of a line. An answer with 350 result digests of 64 bytes takes about 25 kB.
const maxLineBytes = 1 << 20

// Read merges the records of all processes and returns the operations in the order of their calls. It ignores a
// truncated last line of a file, because the process may have been killed while it wrote the line.
func Read(files ...io.Reader) ([]Entry, error) {
	byID := map[string]*Entry{}
	for i, file := range files {
		if err := readFile(file, byID); err != nil {
			return nil, errors.Wrapf(err, "read history file %d", i)
		}
	}
	out := make([]Entry, 0, len(byID))
	for id, en := range byID {
		if en.Operation.Kind == "" {
			return nil, errors.Newf("operation %q has a response but no call", id)
		}
		out = append(out, *en)
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Or(cmp.Compare(a.Call, b.Call), cmp.Compare(a.ID, b.ID)) })
	return out, nil
}

func readFile(file io.Reader, byID map[string]*Entry) error {
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, maxLineBytes)
	var lineErr error
	for lineNumber := 1; lines.Scan(); lineNumber++ {
		if lineErr != nil {
			return lineErr // only the last line may be truncated
		}
		var line Entry
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			lineErr = errors.Wrapf(err, "line %d", lineNumber)
			continue
		}
		en := byID[line.ID]
		if en == nil {
			en = &Entry{ID: line.ID}
			byID[line.ID] = en
		}
		if line.Operation.Kind != "" {
			en.Call, en.Operation = line.Call, line.Operation
		}
		if line.Return != 0 {
			en.Return, en.Result = line.Return, line.Result
		}
	}
	return errors.Wrap(lines.Err(), "scan history lines")
}

// latestEffect returns the latest time at which the operation may take effect.
func (en *Entry) latestEffect() int64 {
	if en.Return == 0 || en.Result.WriteOutcome == Indeterminate {
		return math.MaxInt64
	}
	return en.Return
}
