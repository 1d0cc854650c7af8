// Command standins2 runs the cases of the second review: it starts the processes of the mesh with the commands of the
// deploy file on loopback addresses, plays the operator, the platform, the upstreams and the clients, and judges from
// outside. It exits with 1 if the rule of the case was broken, with 0 if it held and with 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
)

// cases holds the cases by name. Each returns what broke the rule, or nothing.
var cases = map[string]func(rec *record, trouble bool) (string, error){
	"growth": growthCase,
	"orders": ordersCase,
	"budget": budgetCase,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standins2 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

// runCase runs a case and returns the exit code.
func runCase(name, path string) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	broken, err := cases[name](rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.printf("the case couldn't run: %v", err)
		return 2
	case broken != "":
		rec.printf("broken: %s", broken)
		return 1
	}
	rec.printf("held")
	return 0
}
