// Command lovagestack runs the dispatcher and drives it from the command line.
package main

import (
	"fmt"
	"runtime/debug"
)

func main() {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
	}
	fmt.Println("lovagestack", version)
}
