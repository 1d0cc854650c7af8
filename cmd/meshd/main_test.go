package main

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
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

// runProgram gives the exit code, standard output and standard error of the program as a golden file holds them.
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
