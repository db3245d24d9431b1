// Package lovageconfig reads the settings of one entry instance and reports every fault of a settings file at once.
//
// The package exists so that a process either starts with settings that make sense or says everything that is wrong
// with them, each fault with file, line and column. Its [Document] also decodes resource files for lovageresource and
// explains rejected requests for lovageapi, so all input has the same strictness and the same form of findings. It
// does not watch files, reads no environment variables and opens no connection.
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
