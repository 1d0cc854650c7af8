package main

import (
	"fmt"
	"os"
)

// childRoles maps the roles of child processes, which a measurement starts from this program, to their functions.
var childRoles = map[string]func([]string) error{
	"nodes":        serveNodes,
	"proxy":        serveProxy,
	"host":         callers,
	"flood":        flood,
	"hollow":       hollowSidecars,
	"meshupstream": meshUpstream,
	"meshcallers":  meshCallers,
	busyRole:       busy,
}

// child runs this program as a child process with a role, and exits with status 1 on an error.
func child(role string, args []string) {
	err := childRoles[role](args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "measure:", role+":", err)
		os.Exit(1)
	}
}
