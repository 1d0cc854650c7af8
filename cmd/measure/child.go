package main

import (
	"fmt"
	"os"
)

// childRoles are the parts that this program plays in processes that a measurement starts.
var childRoles = map[string]func([]string) error{
	"nodes":        serveNodes,
	"proxy":        serveProxy,
	"host":         host,
	"flood":        flood,
	"hollow":       hollowSidecars,
	"meshupstream": meshUpstream,
	"meshcallers":  meshCallers,
	busyRole:       busy,
}

// child is this program in another part.
func child(part string, args []string) {
	err := childRoles[part](args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "measure:", part+":", err)
		os.Exit(1)
	}
}
