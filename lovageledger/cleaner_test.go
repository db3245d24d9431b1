package lovageledger

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"lovagestack/lovageplatform"
)

// operationRows returns the rows operation/<instance>, which the writers of the instances own.
func (ft *fakeTable) operationRows() []lovageplatform.Row {
	var out []lovageplatform.Row
	for id, version := range ft.operations {
		if version > 0 {
			out = append(out, lovageplatform.Row{Key: OperationPrefix + id, Version: version})
		}
	}
	return out
}

// runCleaner runs the cleaner of an instance every minute.
func (sim *simulation) runCleaner(in *simInstance) {
	if in.stopped {
		return
	}
	sim.schedule(time.Minute, func() { sim.runCleaner(in) })
	if in.paused || sim.table.down || !in.cleaner.Elected(in.members) {
		return
	}
	tx := in.cleaner.Plan(&CleanerInput{
		ReadAt: sim.clock(in), Instances: sim.table.scan(InstancePrefix), Operations: sim.table.operationRows(),
		Ranges: sim.table.scan(RangePrefix), Members: in.members,
	})
	if len(tx.Writes) > 0 && sim.table.commit(CommitTable{Transaction: tx}).State == Committed {
		sim.stats["rows deleted"] += len(tx.Writes)
	}
}

// cleanerTest is a cleaner with a table that holds rows of one ended instance.
type cleanerTest struct {
	cleaner *Cleaner
	input   CleanerInput
}

func instanceRowOf(id string, version int64) lovageplatform.Row {
	value, _ := json.Marshal(instanceRow{DataCentre: "kandla", Address: "10.0.0.1:1"})
	return lovageplatform.Row{Key: InstancePrefix + id, Value: value, Version: version}
}

func newCleanerTest() *cleanerTest {
	return &cleanerTest{
		cleaner: NewCleaner(CleanerSettings{Instance: "a", DataCentre: "kandla"}),
		input: CleanerInput{
			ReadAt: time.UnixMilli(1_796_000_000_000), Instances: []lovageplatform.Row{instanceRowOf("a", 5), instanceRowOf("gone", 7)},
			Operations: []lovageplatform.Row{
				{Key: "operation/a", Version: 9}, {Key: "operation/gone", Version: 3}, {Key: "operation/gone-sync", Version: 2},
			},
		},
	}
}

func (ct *cleanerTest) addRange(dataCentre string, row RangeRow) lovageplatform.Row {
	row.Epoch, row.CompleteSince = 4, 2
	tr := lovageplatform.Row{Key: RangeID{DataCentre: dataCentre}.String(), Value: row.encode(), Version: 6}
	ct.input.Ranges = append(ct.input.Ranges, tr)
	return tr
}

// plan calls Plan once a minute for a number of minutes and returns the last transaction.
func (ct *cleanerTest) plan(minutes int) lovageplatform.Transaction {
	var tx lovageplatform.Transaction
	for range minutes {
		tx = ct.cleaner.Plan(&ct.input)
		ct.input.ReadAt = ct.input.ReadAt.Add(time.Minute)
	}
	return tx
}

// Checks that the rows of an ended instance are deleted only after the grace period, in one transaction that checks
// their versions.
func TestCleanerDeletesRowsOfEndedInstance(t *testing.T) {
	ct := newCleanerTest()
	must.Len(t, 0, ct.plan(11).Writes) // after 10 min without a renewal, the lease has been expired for less than 10 min
	tx := ct.plan(1)
	must.Eq(t, []lovageplatform.Check{
		{Key: "instance/gone", Version: 7}, {Key: "operation/gone", Version: 3}, {Key: "operation/gone-sync", Version: 2},
	}, tx.Checks)
	for i, wr := range tx.Writes {
		must.Eq(t, lovageplatform.Write{Key: tx.Checks[i].Key, Delete: true}, wr)
	}
}

// Checks that the rows of an instance are kept if a range row names it, or if it may be alive, could not renew its
// lease or is in another data centre than the cleaner.
func TestCleanerKeepsRows(t *testing.T) {
	for name, keep := range map[string]func(ct *cleanerTest){
		"owner of a range with a replica": func(ct *cleanerTest) { ct.addRange("kandla", RangeRow{Owner: "gone", Replica: "a"}) },
		"owner in another data centre":    func(ct *cleanerTest) { ct.addRange("suva", RangeRow{Owner: "gone"}) },
		"replica of a range":              func(ct *cleanerTest) { ct.addRange("kandla", RangeRow{Owner: "a", Replica: "gone"}) },
		"listed":                          func(ct *cleanerTest) { ct.input.Listed = map[string]bool{"gone": true} },
		"listed by address":               func(ct *cleanerTest) { ct.input.ListedAddresses = map[string]bool{"10.0.0.1:1": true} },
		"heard of":                        func(ct *cleanerTest) { ct.input.Members = []Member{{ID: "gone", State: MemberSuspect}} },
		"renewed":                         func(ct *cleanerTest) { ct.plan(6); ct.input.Instances[1].Version++ },
		"table unreachable":               func(ct *cleanerTest) { ct.plan(8); ct.input.ReadAt = ct.input.ReadAt.Add(4 * time.Minute) },
		"other data centre":               func(ct *cleanerTest) { ct.cleaner.settings.DataCentre = "suva" },
	} {
		t.Run(name, func(t *testing.T) {
			ct := newCleanerTest()
			keep(ct)
			must.Len(t, 0, ct.plan(11).Writes)
			if name == "renewed" || name == "table unreachable" {
				must.Len(t, 3, ct.plan(2).Writes)
			} else {
				must.Len(t, 0, ct.plan(20).Writes)
			}
		})
	}
}

// Checks that a range whose owner and replica have ended is freed unless one of them has renewed its lease since, and
// that the rows of an instance are deleted only when no range names it.
func TestCleanerFreesRanges(t *testing.T) {
	ct := newCleanerTest()
	tr := ct.addRange("kandla", RangeRow{Owner: "gone", Replica: "gone too"})
	must.Len(t, 0, ct.plan(11).Writes)
	tx := ct.plan(1)
	must.Eq(t, []lovageplatform.Check{
		{Key: tr.Key, Version: 6}, {Key: "instance/gone", Version: 7}, {Key: "instance/gone too"},
	}, tx.Checks)
	must.Eq(t, []lovageplatform.Write{{Key: tr.Key, Value: RangeRow{Epoch: 5, CompleteSince: 5}.encode()}}, tx.Writes)
	ct.input.Ranges[0].Value, ct.input.Ranges[0].Version = tx.Writes[0].Value, 7
	must.Len(t, 3, ct.plan(1).Writes)
}

// Checks that operation rows without an instance row are deleted, at most 50 in a transaction, also if a delayed first
// commit has created them again.
func TestCleanerDeletesOrphans(t *testing.T) {
	ct := newCleanerTest()
	ct.input.Instances = ct.input.Instances[:1]
	for i := range 100 {
		ct.input.Operations = append(ct.input.Operations, lovageplatform.Row{Key: fmt.Sprintf("operation/o%d", i), Version: 1})
	}
	must.Len(t, 0, ct.plan(10).Writes)
	must.Len(t, 50, ct.plan(1).Writes)
	ct.input.Operations = ct.input.Operations[:2]
	ct.input.Operations[1].Version = 1 // the row was deleted and created again
	must.Len(t, 0, ct.plan(10).Writes)
	must.Eq(t, []lovageplatform.Check{{Key: "operation/gone", Version: 1}}, ct.plan(1).Checks)
}

// Checks that exactly one instance of a data centre is elected to clean up.
func TestOneCleanerIsElected(t *testing.T) {
	ids := []string{"a", "b", "c", "d"}
	elected := 0
	for _, id := range ids {
		var members []Member
		for _, other := range ids {
			if other != id {
				members = append(members, Member{ID: other, DataCentre: "kandla", State: MemberLive})
			}
		}
		members = append(members, Member{ID: "e", DataCentre: "suva", State: MemberLive})
		if NewCleaner(CleanerSettings{Instance: id, DataCentre: "kandla"}).Elected(members) {
			elected++
		}
	}
	must.Eq(t, 1, elected)
}
