// Command standins runs one case of the review: it starts the programs of deploy/system.toml as processes on loopback
// addresses, plays the clients, the upstreams and the operator, and judges only what these see. It exits with 1 if the
// rule was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// caseTimeout ends a case that hangs. It lies below the 120 s that a script may take.
const caseTimeout = 110 * time.Second

// cases are the scenarios by name. Each returns the number of times that the rule was broken.
var cases = map[string]func(e *environment) (broken int, err error){
	"early-reset":    earlyReset,
	"upload-lost":    uploadLost,
	"early-unframed": earlyUnframed,
	"early-created":  earlyCreated,
	"spoiled":        spoiledFailure,
	"deregister":     deregisterAtCore,
	"late-heartbeat": lateHeartbeat,
}

// environment is what a scenario needs: the mesh, the record, and whether the disruption happens.
type environment struct {
	mesh    *mesh
	record  *record
	trouble bool
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE RECORD, in the repository's root; TROUBLE=0 leaves the disruption out")
		os.Exit(exitFailed)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

// runCase starts a mesh, runs a scenario on it, ends all processes and returns the exit code.
func runCase(name, recordPath string) int {
	r, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer r.close()
	m, err := newMesh(r)
	if err != nil {
		r.printf("RESULT: the case could not run: %v", err)
		return exitFailed
	}
	defer m.stop()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	type result struct {
		broken int
		err    error
	}
	done := make(chan result, 1)
	go func() {
		if err := m.start(); err != nil {
			done <- result{0, err}
			return
		}
		broken, err := cases[name](&environment{mesh: m, record: r, trouble: os.Getenv("TROUBLE") != "0"})
		done <- result{broken, err}
	}()
	var got result
	select {
	case got = <-done:
	case s := <-interrupted:
		got.err = fmt.Errorf("the case was ended by a signal: %v", s)
	case <-time.After(caseTimeout):
		got.err = errors.New("the case did not end in time")
	}
	switch {
	case got.err != nil:
		r.printf("RESULT: the case could not run: %v", got.err)
		return exitFailed
	case got.broken > 0:
		r.printf("RESULT: the rule was broken %d times", got.broken)
		return exitBroken
	}
	r.printf("RESULT: the rule held")
	return exitHeld
}

// record is the file in which a case writes what was sent, answered and executed, with the time since its start.
type record struct {
	begun time.Time
	mu    sync.Mutex // guards file
	file  *os.File
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{begun: time.Now(), file: file}, nil
}

// since returns the time since the start of the case.
func (r *record) since() time.Duration { return time.Since(r.begun) }

// printf writes a line to the record and to standard output.
func (r *record) printf(format string, args ...any) {
	line := fmt.Sprintf("%6d ms  ", r.since().Milliseconds()) + fmt.Sprintf(format, args...) + "\n"
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.file.WriteString(line)
	_, _ = os.Stdout.WriteString(line)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.file.Close()
}
