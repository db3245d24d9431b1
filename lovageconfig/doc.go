// Package lovageconfig reads the settings file of an entry instance and reports all faults in it at once.
//
// A process either starts with valid settings or reports every fault with its file, line and column. Other packages use
// [Document] too: lovageresource decodes resource files with it, and lovageapi explains rejected requests with it, so all
// input is checked equally strictly and reported in the same form. The package does not watch files, read environment
// variables or open connections.
//
// # Usage
//
//	se, findings := lovageconfig.Load("entry.toml")
//	for _, fi := range findings {
//		fmt.Fprintln(os.Stderr, fi)
//	}
//	if len(findings) > 0 {
//		os.Exit(2) // se must not be used
//	}
package lovageconfig
