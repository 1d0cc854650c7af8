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

// runMainVariable is the environment variable that makes the test binary run meshd instead of the tests.
const runMainVariable = "MESHD_TEST_RUN_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(runMainVariable) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// runProgram runs meshd and returns its exit code, standard output and standard error in the format of the golden
// files.
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
	var exitError *exec.ExitError
	if err := program.Run(); err != nil && !errors.As(err, &exitError) {
		t.Fatal(err)
	}
	return fmt.Sprintf("exit code %d\n--- standard output\n%s--- standard error\n%s",
		program.ProcessState.ExitCode(), &out, &errs)
}

// Operators' scripts depend on the exit codes and usage texts, so existing golden files must not be rewritten.
func TestExitCodesAndUsage(t *testing.T) {
	for name, testCase := range map[string]struct{ args, environment []string }{
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
			got := runProgram(t, testCase.args, testCase.environment)
			want, err := os.ReadFile(filepath.Join("testdata", name+".txt"))
			if err != nil {
				t.Fatalf("%v; a new test case needs a golden file with this content:\n%s", err, got)
			}
			if got != string(want) {
				t.Errorf("exit code or output of meshd differs from the golden file\n got %s\nwant %s", got, want)
			}
		})
	}
}

// coreSettings is the format string of the settings of the only core machine of a mesh. Its arguments are the control
// plane address, the data directory and the internal port.
const coreSettings = `
self: {nodeName: core-1, role: controlplane, machineClass: core, servedRoles: [control_plane], ipAddress: 127.0.0.1,
  zone: a, region: r, countedInQuorum: true, firstStart: true, dataDirectory: %[2]q,
  limits: {cpuShare: 1, cpuCores: 1, memoryMb: 256, maxOpenFiles: 1024, bandwidthMbps: 100, diskMb: 64}}
network: {listenAddresses: {controlPlane: %[1]q}, internalPortRange: [%[3]d, %[3]d], seedNodes: [%[1]q], zones: {a: r}}
provider: {discoverySource: static, entryType: static, heartbeatIntervalS: 1}
guarantees: {contracts: [base], faultTolerance: {machines: 0, zones: 0, regions: 0}, bounds: {}}
`

// A SIGHUP that is received while the settings file is still being read must not terminate the process. It did so
// when the signal handler was installed after the settings had been read. The settings file is a FIFO, so the test
// controls how long the read takes.
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
	settings, err := os.OpenFile(path, os.O_WRONLY, 0) // blocks until meshd opens the FIFO for reading
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
		t.Errorf("meshd ended with %v, want exit code %d", program.ProcessState, exitUsage)
	}
}

// A role that cannot listen on its address exits with code 1 and logs the reason.
func TestRoleThatFails(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	path := filepath.Join(t.TempDir(), "settings.yaml")
	text := fmt.Sprintf(coreSettings, listener.Addr(), t.TempDir(), listener.Addr().(*net.TCPAddr).Port)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	got := runProgram(t, []string{"controlplane"}, []string{"CAPERARCH_BOOT=" + path})
	if !strings.HasPrefix(got, "exit code 1\n") {
		t.Errorf("exit code is not 1, got %s", got)
	}
	for _, part := range []string{"ERROR process failed", "address already in use"} {
		if !strings.Contains(got, part) {
			t.Errorf("output does not contain %q, got %s", part, got)
		}
	}
}
