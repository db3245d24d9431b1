// Package lovageplatform provides access to the services of the users' platform: a transactional table, an object store
// and a list of instances.
//
// All state that instances must agree on, or that must be durable, goes through this package. The package itself keeps no
// durable state and makes no decisions. lovageledger, lovageresource and lovagemember define what the rows mean. Client
// uses the platform over HTTP. Memory keeps everything in memory, for the dev command and for tests. LimitedMemory is a
// Memory with the latency and the request limits of a real platform.
//
// # Usage
//
//	cl, err := lovageplatform.NewClient(lovageplatform.ClientSettings{Addresses: addresses, ID: "kandla-e0"})
//	wr := lovageplatform.NewWriter(cl, "kandla-e0", lovageplatform.WriterSettings{})
//	res, err := wr.Commit(ctx, lovageplatform.Transaction{
//		Checks: []lovageplatform.Check{{Key: "head", Version: 7}},
//		Writes: []lovageplatform.Write{{Key: "head", Value: value}},
//	})
//	switch {
//	case errors.Is(err, lovageplatform.ErrAmbiguous): // may have taken effect; Settle or the next Commit finds out
//	case err != nil: // no effect
//	case !res.Committed: // no effect; res.Conflicts holds the current rows
//	}
package lovageplatform

// Row is one row of the table. The first write gives it version 1; each later write adds one. A row that does not exist
// has version 0 and no value.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"version"`
}

// Check is a condition of a transaction: the row has exactly this version. Version 0 means that the row must not
// exist.
type Check struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// Write sets or deletes one row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Transaction writes all its rows if all its checks hold, and nothing otherwise.
type Transaction struct {
	OperationID string  `json:"operationId"` // for logs, and to recognise a committed transaction; the table ignores it
	Checks      []Check `json:"checks,omitempty"`
	Writes      []Write `json:"writes,omitempty"`
}

// CommitResult is the table's reply to a transaction.
type CommitResult struct {
	Committed bool             `json:"committed"`
	Versions  map[string]int64 `json:"versions,omitempty"`  // new versions of the written rows by key, 0 if deleted
	Conflicts []Row            `json:"conflicts,omitempty"` // current state of each row whose check failed
}

// Kinds of instances in the platform's list.
const (
	KindEntry  = "entry"
	KindWorker = "worker"
)

// States of instances in the platform's list.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// Instance is one entry of the platform's list of instances. The list may be out of date.
type Instance struct {
	ID         string `json:"id"`
	DataCentre string `json:"dataCentre"`
	Kind       string `json:"kind"`
	Address    string `json:"address"` // IP address and port
	State      string `json:"state"`
}
