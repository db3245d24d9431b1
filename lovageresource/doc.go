// Package lovageresource holds the resources that operators declare, and the store that keeps one instance's copy of
// them.
//
// The package exists so that what a resource may say, how a change is written to the table and which order changes are
// applied in are decided in one place, without I/O. Getting changes from the table or from peers is the business of
// lovagesync; acting on them is the business of lovagedispatch and lovageledger.
//
// # Usage
//
//	resources, findings := lovageresource.DecodeTOML("pools.toml", data)
//	if len(findings) > 0 {
//		// Nothing may be applied; every finding names file, line and field.
//	}
//	tx, change, err := lovageresource.BuildPut(operationID, headRow, resourceRow, resources[0])
//	// after the transaction is known to be committed:
//	err = store.Apply(change)
package lovageresource
