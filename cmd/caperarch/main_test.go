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

// TestMain runs the test binary as the caperarch command if CAPERARCH_ITSELF is set, and as a host process of the
// plugin if PLUGIN_HOST is set.
func TestMain(m *testing.M) {
	if os.Getenv("CAPERARCH_ITSELF") != "" {
		main()
		return
	}
	if path := os.Getenv("PLUGIN_HOST"); path != "" {
		runPluginHost(path)
		return
	}
	os.Exit(m.Run())
}

// daemonProcess returns the caperarch command with the given configuration file. The caller starts the process.
func daemonProcess(t *testing.T, config string) *exec.Cmd {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "CAPERARCH_ITSELF=1", "EDGE_CONFIG="+path)
	return cmd
}

// validConfig is a configuration file with one class and an unreachable discovery service.
const validConfig = `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1f",
	"limits":{"memory_mb":192,"sockets":1024},
	"settings":{"balancers":1,"caps":{"most_tries":3,"conn_idle_ms":30000,"dial_timeout_ms":250},
	"classes":[{"name":"a","aim_ms":500,"hard_limit_ms":1000}]}}`

// With an invalid configuration, the daemon fails and logs one line that names the field.
func TestInvalidConfigIsLoggedInOneLine(t *testing.T) {
	var log bytes.Buffer
	cmd := daemonProcess(t, strings.Replace(validConfig, "30000", "0", 1))
	cmd.Stderr = &log
	err := cmd.Run()
	if err == nil || !strings.Contains(log.String(), "caps.conn_idle_ms") || strings.Count(log.String(), "\n") != 1 {
		t.Errorf("daemon ended with error %v and log %q, want one line that names caps.conn_idle_ms", err, &log)
	}
}

// The daemon serves although the discovery service is unreachable. SIGHUP, which by default ends a Go program, makes
// the daemon reload its configuration, and SIGTERM ends the daemon with exit code 0.
func TestServesUntilSIGTERM(t *testing.T) {
	cmd := daemonProcess(t, validConfig)
	log, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	watchdog := time.AfterFunc(time.Minute, func() { _ = cmd.Process.Kill() }) // makes the test fail if the daemon hangs
	defer watchdog.Stop()
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
		t.Errorf("GET /up: response %v, error %v, want 200", res, err)
	} else {
		res.Body.Close()
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	_ = cmd.Process.Signal(syscall.SIGHUP) // a reload during or after the stop must do no harm
	for lines.Scan() {                     // until the daemon ends
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("daemon ended with error %v after SIGTERM, want exit code 0", err)
	}
}
