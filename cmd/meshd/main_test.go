package main

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// runMainVariable has the test binary run the program in place of the tests.
const runMainVariable = "MESHD_TEST_RUN_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(runMainVariable) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// runProgram returns the exit code, standard output and standard error of the program as a golden
// file holds them.
func runProgram(t *testing.T, args, environment []string) string {
	t.Helper()
	executable, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	program := exec.Command(executable, args...)
	program.Env = append(environment, runMainVariable+"=1")
	var out, errs bytes.Buffer
	program.Stdout, program.Stderr = &out, &errs
	var failed *exec.ExitError
	if err := program.Run(); err != nil && !errors.As(err, &failed) {
		t.Fatal(err)
	}
	return fmt.Sprintf("exit code %d\n--- standard output\n%s--- standard error\n%s", program.ProcessState.ExitCode(), &out, &errs)
}

// Exit codes and usage texts are what operators' scripts go by: golden files are never rewritten.
func TestExitCodesAndUsage(t *testing.T) {
	for name, x := range map[string]struct{ args, environment []string }{
		"help":             {args: []string{"-h"}},
		"no_role":          {},
		"unknown_role":     {args: []string{"gateway"}},
		"second_argument":  {args: []string{"sidecar", "controlplane"}},
		"unknown_level":    {args: []string{"-say", "loud", "sidecar"}},
		"unknown_flag":     {args: []string{"-quiet", "sidecar"}},
		"no_settings":      {args: []string{"sidecar"}},
		"missing_settings": {args: []string{"controlplane"}, environment: []string{"CAPERARCH_BOOT=testdata/none.yaml"}},
		"verb_help":        {args: []string{"view", "-h"}},
		"verb_misused":     {args: []string{"view"}},
		"verb_environment": {args: []string{"view"}, environment: []string{"MESHD_AT=core"}},
	} {
		t.Run(name, func(t *testing.T) {
			got := runProgram(t, x.args, x.environment)
			want, err := os.ReadFile(filepath.Join("testdata", name+".txt"))
			if err != nil {
				t.Fatalf("%v; a new case needs a file with\n%s", err, got)
			}
			if got != string(want) {
				t.Errorf("the exit code or the output has changed\n got %s\nwant %s", got, want)
			}
		})
	}
}

// coreSettings are of a core machine that is alone: its address, data directory and internal port
// are filled in.
const coreSettings = `
self: {nodeName: core-1, role: controlplane, machineClass: core, servedRoles: [control_plane], ipAddress: 127.0.0.1, zone: a, region: r,
  countedInQuorum: true, firstStart: true, dataDirectory: %[2]q,
  limits: {cpuShare: 1, cpuCores: 1, memoryMb: 256, maxOpenFiles: 1024, bandwidthMbps: 100, diskMb: 64}}
network: {listenAddresses: {controlPlane: %[1]q}, internalPortRange: [%[3]d, %[3]d], seedNodes: [%[1]q], zones: {a: r}}
provider: {discoverySource: static, entryType: static, heartbeatIntervalS: 1}
guarantees: {contracts: [base], faultTolerance: {machines: 0, zones: 0, regions: 0}, bounds: {}}
`

// Guards against a SIGHUP that ends a process which still reads its settings, as no handler was installed before.
func TestReloadSignalWhileSettingsAreRead(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.yaml")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	executable, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	program := exec.Command(executable, "controlplane")
	program.Env = []string{runMainVariable + "=1", "CAPERARCH_BOOT=" + path}
	if err := program.Start(); err != nil {
		t.Fatal(err)
	}
	settings, err := os.OpenFile(path, os.O_WRONLY, 0) // waits until the program reads
	if err != nil {
		t.Fatal(err)
	}
	if err := program.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	if _, err := settings.WriteString("self: no settings\n"); err != nil {
		t.Fatal(err)
	}
	if err := settings.Close(); err != nil {
		t.Fatal(err)
	}
	_ = program.Wait()
	if code := program.ProcessState.ExitCode(); code != exitUsage {
		t.Errorf("the program ended with %v, exit code %d is wanted", program.ProcessState, exitUsage)
	}
}

// A role that can't listen ends with code 1 and says why.
func TestRoleThatFails(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = taken.Close() }()
	path := filepath.Join(t.TempDir(), "settings.yaml")
	text := fmt.Sprintf(coreSettings, taken.Addr(), t.TempDir(), taken.Addr().(*net.TCPAddr).Port)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	got := runProgram(t, []string{"controlplane"}, []string{"CAPERARCH_BOOT=" + path})
	if !strings.HasPrefix(got, "exit code 1\n") {
		t.Errorf("got %s", got)
	}
	for _, part := range []string{"ERROR process failed", "address already in use"} {
		if !strings.Contains(got, part) {
			t.Errorf("no %q in %s", part, got)
		}
	}
}
