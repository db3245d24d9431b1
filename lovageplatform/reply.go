package lovageplatform

import (
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// The functions below reject a reply that does not match its request, such as the reply to another request.

// orderRows returns one row for each key, in the order of the keys.
func orderRows(rows []Row, keys []string) ([]Row, error) {
	rowsByKey := make(map[string]Row, len(rows))
	for _, ro := range rows {
		if first, ok := rowsByKey[ro.Key]; ok && first.Version != ro.Version {
			return nil, errors.Newf("reply holds row %q at versions %d and %d", ro.Key, first.Version, ro.Version)
		}
		if err := checkRow(ro); err != nil {
			return nil, err
		}
		rowsByKey[ro.Key] = ro
	}
	out := make([]Row, len(keys))
	for i, key := range keys {
		ro, ok := rowsByKey[key]
		if !ok {
			return nil, errors.Newf("reply lacks row %q", key)
		}
		out[i] = ro
	}
	return out, nil
}

// checkScan checks that the rows exist, have keys with the prefix and are in key order.
func checkScan(rows []Row, prefix string) error {
	for i, ro := range rows {
		switch {
		case !strings.HasPrefix(ro.Key, prefix):
			return errors.Newf("reply holds row %q, which does not begin with %q", ro.Key, prefix)
		case ro.Version <= 0:
			return errors.Newf("reply holds row %q at version %d", ro.Key, ro.Version)
		case i > 0 && ro.Key <= rows[i-1].Key:
			return errors.Newf("reply holds row %q after row %q", ro.Key, rows[i-1].Key)
		}
	}
	return nil
}

// checkCommit checks that the result is either committed with a version for each written row, or has conflicts in
// checked rows.
func checkCommit(tx Transaction, res CommitResult) error {
	if res.Committed == (len(res.Conflicts) > 0) {
		return errors.Newf("reply says committed %t with %d conflicts", res.Committed, len(res.Conflicts))
	}
	if res.Committed {
		for _, wr := range tx.Writes {
			if version, ok := res.Versions[wr.Key]; !ok || version < 0 || (version == 0) != wr.Delete {
				return errors.Newf("reply gives version %d for the written row %q", version, wr.Key)
			}
		}
		return nil
	}
	for _, ro := range res.Conflicts {
		index := slices.IndexFunc(tx.Checks, func(ch Check) bool { return ch.Key == ro.Key })
		if index < 0 || tx.Checks[index].Version == ro.Version {
			return errors.Newf("reply gives a conflict for row %q at version %d, which was not checked against", ro.Key, ro.Version)
		}
		if err := checkRow(ro); err != nil {
			return err
		}
	}
	return nil
}

func checkRow(ro Row) error {
	if ro.Version < 0 || (ro.Version == 0 && len(ro.Value) > 0) {
		return errors.Newf("reply holds row %q at version %d with %d bytes", ro.Key, ro.Version, len(ro.Value))
	}
	return nil
}
