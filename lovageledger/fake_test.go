package lovageledger

import (
	"slices"
	"strings"

	"lovagestack/lovageplatform"
)

func (ft *fakeTable) scan(prefix string) []lovageplatform.Row {
	var out []lovageplatform.Row
	for key, row := range ft.rows {
		if strings.HasPrefix(key, prefix) {
			out = append(out, row)
		}
	}
	slices.SortFunc(out, func(a, b lovageplatform.Row) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// commit applies the transaction if its checks hold.
func (ft *fakeTable) commit(co CommitTable) *TableCommitted {
	result := &TableCommitted{ID: co.ID, State: Committed, Versions: map[string]int64{}}
	for _, ch := range co.Transaction.Checks {
		if ft.rows[ch.Key].Version != ch.Version {
			result.State = Conflict
			row := ft.rows[ch.Key]
			row.Key = ch.Key
			result.Conflicts = append(result.Conflicts, row)
		}
	}
	if result.State == Conflict {
		return result
	}
	for _, wr := range co.Transaction.Writes {
		if wr.Delete {
			delete(ft.rows, wr.Key)
			continue
		}
		row := lovageplatform.Row{Key: wr.Key, Value: wr.Value, Version: ft.rows[wr.Key].Version + 1}
		ft.rows[wr.Key] = row
		result.Versions[wr.Key] = row.Version
	}
	return result
}
