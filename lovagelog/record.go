package lovagelog

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// maxRecordBytes is how many bytes of records a kind may write in a second. With minLines lines of 300 bytes this is less than the
	// 18 KB of failureBudget lines.
	maxRecordBytes = 16000
	// minLines is the number of lines that a kind may write in a second, however many bytes of records it has written for the one before.
	minLines = 5
	// lineBytes is the size by which records use up the budget of lines. It is less than that of the lines about answers, 215 to 270
	// bytes, so that no more bytes are written than without records.
	lineBytes = 200
	// maxRecordLine is about the longest line of records. Some log collectors cut lines at 16 KB.
	maxRecordLine = 8000
	// recordReserve is the part of successBudget that is left for records of late answers, so that a few of them, in about 200 bytes and
	// 22 each, take no more lines and bytes than the lines about successes would.
	recordReserve = 2
	// maxRecordGroups is the number of groups of a kind in a second. Further reasons are replaced by otherReason.
	maxRecordGroups = 32
	otherReason     = "one of many reasons"
	// maxRecordID is the length of the longest job ID of which a record is kept.
	maxRecordID = 200
)

// recordTexts and recordTimes are the fields that a record keeps. Records with the same texts and kinds of times are a group.
var (
	recordTexts = [...]string{"outcome", "reason", "queue", "owner"}
	recordTimes = [...]string{"tookMs", "ageMs", "waitMs", "leftMs"}
)

// completed is the outcome of a job that was answered with its results. Only late ones have records.
const completed = "completed"

type recordKey struct {
	texts [len(recordTexts)]string
	times [len(recordTimes)]bool
}

// recordGroup holds records as a list of "ID:time:time" with commas between them. The times are in milliseconds.
type recordGroup struct {
	key     recordKey
	count   int
	records []byte
}

// recordBatch holds the records of a kind in one second.
type recordBatch struct {
	groups []recordGroup
	bytes  int // of all groups when they are written
	full   bool
}

// size returns about how many bytes the group takes without its records.
func (rk *recordKey) size() int {
	n := 60
	for i, text := range rk.texts {
		if text != "" {
			n += len(recordTexts[i]) + len(text) + 6
		}
	}
	return n
}

// addRecord keeps a record of a decision. It returns false if none is to be kept, or if maxRecordBytes would be exceeded.
func (lo *Logger) addRecord(kind string, budget int, fields []zap.Field) bool {
	batch := lo.records[kind]
	if batch != nil && batch.full || budget <= successBudget && !slices.ContainsFunc(fields, isLate) {
		return false
	}
	var key recordKey
	var times [len(recordTimes)]int64
	job := ""
	for i := range fields {
		fi := &fields[i]
		switch fi.Type {
		case zapcore.StringType:
			if fi.Key == "job" {
				job = fi.String
			} else if at := slices.Index(recordTexts[:], fi.Key); at >= 0 {
				key.texts[at] = fi.String
			}
		case zapcore.DurationType:
			if at := slices.Index(recordTimes[:], fi.Key); at >= 0 {
				key.times[at], times[at] = true, fi.Integer/int64(time.Millisecond)
			}
		default:
		}
	}
	if job == "" || len(job) > maxRecordID {
		return false
	}
	if reason := &key.texts[1]; strings.Contains(*reason, job) {
		*reason = strings.ReplaceAll(*reason, job, "JOB")
	}
	if batch == nil {
		batch = &recordBatch{}
		lo.records[kind] = batch
	}
	at := batch.find(&key)
	size := 0
	if at < 0 {
		if len(batch.groups) >= maxRecordGroups-1 {
			key.texts[1] = otherReason
			at = batch.find(&key)
		}
		if at < 0 {
			size = key.size()
		}
	}
	id := escapeID(job)
	size += len(id) + 1
	for i, has := range key.times {
		if has {
			size += 1 + decimalDigits(times[i])
		}
	}
	if batch.bytes+size > maxRecordBytes {
		batch.full = true
		return false
	}
	if at < 0 {
		at = len(batch.groups)
		batch.groups = append(batch.groups, recordGroup{key: key})
	}
	group := &batch.groups[at]
	if group.count > 0 {
		group.records = append(group.records, ',')
	}
	group.records = append(group.records, id...)
	for i, has := range key.times {
		if has {
			group.records = strconv.AppendInt(append(group.records, ':'), times[i], 10)
		}
	}
	group.count++
	if batch.bytes == 0 && lo.flushTimer == nil {
		lo.flushTimer = time.AfterFunc(time.Until(time.Unix(lo.countedSecond+1, 0)), lo.flushRecords)
	}
	batch.bytes += size
	return true
}

func isLate(fi zap.Field) bool {
	return fi.Key == "late" && fi.Type == zapcore.BoolType && fi.Integer == 1
}

// find returns the index of the group with the key that has room for another record, or -1.
func (rb *recordBatch) find(key *recordKey) int {
	for i := range rb.groups {
		if len(rb.groups[i].records) < maxRecordLine-1000 && rb.groups[i].key == *key {
			return i
		}
	}
	return -1
}

func decimalDigits(n int64) int {
	digits := 1
	if n < 0 {
		digits, n = 2, -n
	}
	for ; n >= 10; n /= 10 {
		digits++
	}
	return digits
}

// escapeID returns an ID without the separators of records. IDs of letters and digits stay as they are.
func escapeID(id string) string {
	for i := range len(id) {
		if ch := id[i]; (ch < '0' || ch > '9') && (ch < 'a' || ch > 'z') && (ch < 'A' || ch > 'Z') && ch != '-' {
			return url.QueryEscape(id)
		}
	}
	return id
}

// flushRecords writes the records of the counted second if it is over and no decision of a later one has done so.
func (lo *Logger) flushRecords() {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	switch second := time.Now().Unix(); {
	case len(lo.records) == 0:
	case second > lo.countedSecond:
		lo.beginSecond(second)
	default: // the clock was set back, or the timer was that of the second before
		lo.flushTimer.Reset(time.Until(time.Unix(lo.countedSecond+1, 0)))
	}
}

// close writes the records that are kept.
func (lo *Logger) close() {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	lo.writeRecords()
}

// writeRecords writes the records of the counted second, and takes their bytes from the next second's budgets.
func (lo *Logger) writeRecords() {
	if lo.flushTimer != nil {
		lo.flushTimer.Stop()
		lo.flushTimer = nil
	}
	for kind, batch := range lo.records {
		written := 0
		var line []byte
		for i := range batch.groups {
			group := batch.groups[i].encode()
			if len(line) > 0 && len(line)+len(group) > maxRecordLine {
				written += lo.writeRecordLine(kind, line)
				line = line[:0]
			}
			if len(line) > 0 {
				line = append(line, ',')
			}
			line = append(line, group...)
		}
		written += lo.writeRecordLine(kind, line)
		lo.writtenLines[kind] = min((written+lineBytes-1)/lineBytes, failureBudget-minLines)
	}
	clear(lo.records)
}

// writeRecordLine writes a line with encoded groups and returns its length.
func (lo *Logger) writeRecordLine(kind string, groups []byte) int {
	line := fmt.Appendf(nil, "{\"level\":\"info\",\"ts\":%d,\"msg\":%q,\"groups\":[%s]}\n", time.Now().UnixMilli(), kind, groups)
	_, _ = lo.Write(line) // never fails
	return len(line)
}

// encode returns the JSON object of a group.
func (rg *recordGroup) encode() []byte {
	var out []byte
	head := []byte{'{'}
	for i, name := range recordTexts {
		if text := rg.key.texts[i]; text != "" {
			value, _ := json.Marshal(text) // a string has an encoding
			head = append(fmt.Appendf(head, "%q:", name), append(value, ',')...)
		}
	}
	var times []string
	for i, name := range recordTimes {
		if rg.key.times[i] {
			times = append(times, name)
		}
	}
	head = fmt.Appendf(head, "\"times\":%q,\"jobs\":\"", strings.Join(times, ","))
	out = append(append(out, head...), rg.records...)
	return append(out, "\"}"...)
}

// expandRecords returns the records of a job in an encoded group, as the fields of JSON objects.
func expandRecords(job string, encoded []byte) []string {
	var group struct {
		Times, Jobs string
	}
	var texts map[string]any
	if !bytes.Contains(encoded, []byte(escapeID(job))) {
		return nil
	}
	if json.Unmarshal(encoded, &group) != nil || json.Unmarshal(encoded, &texts) != nil {
		return nil
	}
	id := escapeID(job)
	var list []string
	for record := range strings.SplitSeq(group.Jobs, ",") {
		parts := strings.Split(record, ":")
		if parts[0] != id {
			continue
		}
		name, _ := json.Marshal(job) // a string has an encoding
		text := fmt.Sprintf("\"job\":%s", name)
		for _, field := range recordTexts {
			if value, ok := texts[field].(string); ok {
				encoded, _ := json.Marshal(strings.ReplaceAll(value, "JOB", job))
				text += fmt.Sprintf(",%q:%s", field, encoded)
			}
		}
		if texts["outcome"] == completed {
			text += ",\"late\":true"
		}
		for i, field := range strings.Split(group.Times, ",") {
			if i+1 < len(parts) && field != "" {
				text += fmt.Sprintf(",%q:%s", field, parts[i+1])
			}
		}
		list = append(list, text)
	}
	return list
}
