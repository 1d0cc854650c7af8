package main

import (
	"bufio"
	"bytes"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestMain lets the test program stand in for caperarch itself, or for a host of its plug-in.
func TestMain(m *testing.M) {
	if os.Getenv("CAPERARCH_ITSELF") != "" {
		main()
		return
	}
	if path := os.Getenv("PLUGIN_HOST"); path != "" {
		host(path)
		return
	}
	os.Exit(m.Run())
}

// program is caperarch with a configuration, not started yet.
func program(t *testing.T, config string) *exec.Cmd {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "CAPERARCH_ITSELF=1", "EDGE_CONFIG="+path)
	return cmd
}

const usable = `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1f","limits":{"memory_mb":192,"sockets":1024},
	"settings":{"balancers":1,"caps":{"most_tries":3,"conn_idle_ms":30000,"dial_timeout_ms":250},
	"classes":[{"name":"a","aim_ms":500,"hard_limit_ms":1000}]}}`

func TestUnusableConfigEndsInOneLine(t *testing.T) {
	var log bytes.Buffer
	cmd := program(t, strings.Replace(usable, "30000", "0", 1))
	cmd.Stderr = &log
	err := cmd.Run()
	if err == nil || !strings.Contains(log.String(), "caps.conn_idle_ms") || strings.Count(log.String(), "\n") != 1 {
		t.Errorf("error %v, log %q, want one line that names the field", err, &log)
	}
}

// It serves, with discovery out of reach too; SIGHUP, which would end a Go program, has it read its
// configuration again, and SIGTERM ends it with exit code 0.
func TestServesUntilSIGTERM(t *testing.T) {
	cmd := program(t, usable)
	log, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	stuck := time.AfterFunc(time.Minute, func() { _ = cmd.Process.Kill() }) // so that a hang fails
	defer stuck.Stop()
	address := ""
	lines := bufio.NewScanner(log)
	for address == "" && lines.Scan() {
		if m := regexp.MustCompile(`listen=(\S+)`).FindStringSubmatch(lines.Text()); m != nil {
			address = m[1]
		}
	}
	for range 3 {
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	for lines.Scan() && !strings.Contains(lines.Text(), "configuration reloaded") {
	}
	res, err := http.Get("http://" + address + "/up")
	if err != nil || res.StatusCode != http.StatusOK {
		t.Errorf("GET /up: %v, error %v", res, err)
	} else {
		res.Body.Close()
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	_ = cmd.Process.Signal(syscall.SIGHUP) // no harm while it ends, nor after
	for lines.Scan() {                     // until it ends
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("ended with %v", err)
	}
}
