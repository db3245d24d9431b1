// Package lovageconfig reads the settings file of an entry instance and reports all faults in it at once.
//
// A process either starts with valid settings or reports every fault with file, line and column. Packages
// lovageresource and lovageapi use [Document] too, for resource files and for rejected requests. All input is thus
// checked equally strictly, and faults are reported in the same form. The package does not watch files, read
// environment variables or open connections.
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
