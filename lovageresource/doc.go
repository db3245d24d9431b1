// Package lovageresource defines the resources that operators declare, and the store that holds an instance's copy of
// them.
//
// The package validates resources, builds the table transactions of changes and applies changes in order of revision.
// It does no I/O. lovagesync gets changes from the table and from peers; lovagedispatch and lovageledger act on them.
//
// # Usage
//
//	resources, findings := lovageresource.DecodeTOML("pools.toml", data)
//	if len(findings) > 0 {
//		// No resource may be applied; every finding names file, line and field.
//	}
//	tx, change, err := lovageresource.BuildPut(operationID, headRow, resourceRow, resources[0])
//	// once the transaction is committed:
//	err = store.Apply(change)
package lovageresource
