package lovageledger

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"lovagestack/lovagejob"
)

// Prefixes of the table rows that the ledger reads and writes.
const (
	rangePrefix    = "range/"
	instancePrefix = "instance/"
)

// RangeID identifies a key range.
type RangeID struct {
	DataCentre string
	Index      int
}

// String returns the key of the range's table row.
func (id RangeID) String() string {
	return rangePrefix + id.DataCentre + "/" + strconv.Itoa(id.Index)
}

// ParseRangeID parses the key of a range's table row.
func ParseRangeID(s string) (RangeID, error) {
	rest, found := strings.CutPrefix(s, rangePrefix)
	dc, index, cut := strings.Cut(rest, "/")
	n, err := strconv.ParseUint(index, 10, 31)
	if !found || !cut || err != nil || !lovagejob.ValidName(dc) {
		return RangeID{}, errors.Newf("%q is not the key of a range row", s)
	}
	return RangeID{DataCentre: dc, Index: int(n)}, nil
}

func (id RangeID) compare(other RangeID) int {
	if c := strings.Compare(id.DataCentre, other.DataCentre); c != 0 {
		return c
	}
	return id.Index - other.Index
}

// rangeOf returns the range of a key.
func rangeOf(key lovagejob.Key) RangeID {
	return RangeID{DataCentre: key.DataCentre, Index: key.Range}
}

// RangeRow is the value of a range's table row. An empty Owner means that the range is free. Replica may be empty.
type RangeRow struct {
	Owner         string `json:"owner"`
	Replica       string `json:"replica,omitempty"`
	Epoch         int64  `json:"epoch"`
	CompleteSince int64  `json:"completeSince"`
}

func (ro RangeRow) encode() []byte {
	value, err := json.Marshal(ro)
	if err != nil {
		panic(err) // strings and integers always encode
	}
	return value
}

func decodeRow(value []byte) (RangeRow, error) {
	var ro RangeRow
	if err := json.Unmarshal(value, &ro); err != nil {
		return RangeRow{}, errors.Wrap(err, "decode a range row")
	}
	if ro.Epoch < 1 || ro.CompleteSince < 1 || ro.CompleteSince > ro.Epoch {
		return RangeRow{}, errors.Newf("range row with epoch %d and completeSince %d is not valid", ro.Epoch, ro.CompleteSince)
	}
	return ro, nil
}

// RangeState is the row of a range with the version of the table row.
type RangeState struct {
	Range   RangeID
	Row     RangeRow
	Version int64
}

// instanceRow is the value of an instance's table row, which is its lease.
type instanceRow struct {
	DataCentre string `json:"dataCentre"`
	Address    string `json:"address"`
	Renewal    int64  `json:"renewal"` // number of the renewal, so that each renewal writes another value
}
