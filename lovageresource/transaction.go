package lovageresource

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"lovagestack/lovageplatform"
)

// Keys of the rows in the table.
const (
	HeadKey        = "head"      // key of the row with the latest revision
	ResourcePrefix = "resource/" // prefix of a resource's key, followed by kind and name
	ChangePrefix   = "change/"   // prefix of a change's key, followed by the revision
)

// ResourceKey returns the key of the row of a resource.
func ResourceKey(kind Kind, name string) string { return ResourcePrefix + string(kind) + "/" + name }

// ChangeKey returns the key of the row of a change.
func ChangeKey(revision int64) string { return ChangePrefix + strconv.FormatInt(revision, 10) }

// ParseChangeKey returns the revision in a key made by ChangeKey. It returns false for any other key.
func ParseChangeKey(key string) (int64, bool) {
	revision, err := strconv.ParseInt(strings.TrimPrefix(key, ChangePrefix), 10, 64)
	return revision, err == nil && strings.HasPrefix(key, ChangePrefix)
}

// head is the value of the row HeadKey.
type head struct {
	Revision int64 `json:"revision"`
}

// ParseHead returns the latest revision, 0 if the row does not exist.
func ParseHead(row lovageplatform.Row) (int64, error) {
	if row.Version == 0 {
		return 0, nil
	}
	var he head
	if err := json.Unmarshal(row.Value, &he); err != nil || he.Revision < 1 {
		return 0, errors.Newf("row %q does not contain a revision: %q", row.Key, row.Value)
	}
	return he.Revision, nil
}

// ParseResource decodes the row of a resource. It returns false if the row does not exist.
func ParseResource(row lovageplatform.Row) (Resource, bool, error) {
	if row.Version == 0 {
		return Resource{}, false, nil
	}
	var re Resource
	if err := json.Unmarshal(row.Value, &re); err != nil {
		return Resource{}, false, errors.Wrapf(err, "row %q", row.Key)
	}
	return re, true, nil
}

// ParseChange decodes the row of a change.
func ParseChange(row lovageplatform.Row) (Change, error) {
	var ch Change
	if err := json.Unmarshal(row.Value, &ch); err != nil {
		return Change{}, errors.Wrapf(err, "row %q", row.Key)
	}
	return ch, ch.check()
}

// ConflictError is returned when a resource is not at the revision that a change is based on.
type ConflictError struct {
	Kind     Kind
	Name     string
	Expected int64 // revision the change is based on, 0 to create
	Current  int64 // revision of the resource, 0 if it does not exist
}

func (er *ConflictError) Error() string {
	switch {
	case er.Current == 0:
		return fmt.Sprintf("%s %q does not exist; the change is based on its revision %d", er.Kind, er.Name, er.Expected)
	case er.Expected == 0:
		return fmt.Sprintf("%s %q exists already at revision %d; name that revision to replace it", er.Kind, er.Name,
			er.Current)
	}
	return fmt.Sprintf("%s %q is at revision %d; the change is based on revision %d", er.Kind, er.Name, er.Current,
		er.Expected)
}

// BuildPut returns a transaction that writes the resource re, and the change to apply to a Store after the commit. The
// transaction creates the resource if re.Revision is 0, and otherwise replaces it at that revision. headRow and row are
// the rows HeadKey and ResourceKey as read. The transaction commits only if neither row has changed since. The error is a
// *ConflictError if the resource is at another revision.
func BuildPut(operationID string, headRow, row lovageplatform.Row, re Resource) (lovageplatform.Transaction, Change, error) {
	re.Status = Status{}
	return buildTransaction(operationID, headRow, row, Change{Kind: re.Kind, Name: re.Name, Resource: &re}, re.Revision)
}

// BuildDelete is like BuildPut, but the transaction deletes the resource at the given revision.
func BuildDelete(operationID string, headRow, row lovageplatform.Row, kind Kind, name string, revision int64) (
	lovageplatform.Transaction, Change, error,
) {
	return buildTransaction(operationID, headRow, row, Change{Kind: kind, Name: name, Deleted: true}, revision)
}

func buildTransaction(operationID string, headRow, row lovageplatform.Row, ch Change, expected int64) (
	lovageplatform.Transaction, Change, error,
) {
	noTx := lovageplatform.Transaction{}
	latest, err := ParseHead(headRow)
	if err != nil {
		return noTx, Change{}, err
	}
	current, exists, err := ParseResource(row)
	if err != nil {
		return noTx, Change{}, err
	}
	if current.Revision != expected || (ch.Deleted && !exists) {
		return noTx, Change{}, &ConflictError{Kind: ch.Kind, Name: ch.Name, Expected: expected, Current: current.Revision}
	}
	ch.Revision = latest + 1
	resourceKey := ResourceKey(ch.Kind, ch.Name)
	write := lovageplatform.Write{Key: resourceKey, Delete: true}
	if !ch.Deleted {
		ch.Resource.Revision = ch.Revision
		value, err := json.Marshal(ch.Resource)
		if err != nil {
			return noTx, Change{}, err
		}
		write = lovageplatform.Write{Key: resourceKey, Value: value}
	}
	changeValue, err := json.Marshal(ch)
	if err != nil {
		return noTx, Change{}, errors.Wrapf(err, "encode change %d", ch.Revision)
	}
	headValue, err := json.Marshal(head{Revision: ch.Revision})
	if err != nil {
		return noTx, Change{}, errors.Wrapf(err, "encode head %d", ch.Revision)
	}
	return lovageplatform.Transaction{
		OperationID: operationID,
		Checks: []lovageplatform.Check{
			{Key: HeadKey, Version: headRow.Version},
			{Key: resourceKey, Version: row.Version},
			{Key: ChangeKey(ch.Revision), Version: 0},
		},
		Writes: []lovageplatform.Write{
			{Key: HeadKey, Value: headValue},
			write,
			{Key: ChangeKey(ch.Revision), Value: changeValue},
		},
	}, ch, nil
}
