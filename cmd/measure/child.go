package main

import (
	"fmt"
	"os"
)

// childParts are the parts that this program plays in processes that a measurement starts.
var childParts = map[string]func([]string) error{
	"nodes":        serveNodes,
	"proxy":        serveProxy,
	"host":         host,
	"flood":        flood,
	"hollow":       hollowSidecars,
	"meshupstream": meshUpstream,
	"meshcallers":  meshCallers,
}

// child is this program in another part.
func child(part string, args []string) {
	err := childParts[part](args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "measure:", part+":", err)
		os.Exit(1)
	}
}
