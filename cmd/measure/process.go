package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// process is a child process of a measurement: a measured program, a simulated peer or a process of callers.
type process struct {
	cmd   *exec.Cmd
	lines *bufio.Scanner
}

// startChild starts this program as a child process with a role.
func startChild(env []string, role string, args ...string) (*process, error) {
	cmd := exec.Command(os.Args[0], append([]string{"child", role}, args...)...)
	return start(cmd, env, false)
}

// start starts a process. Its standard output is read line by line or, if log is set, its standard error.
func start(cmd *exec.Cmd, env []string, log bool) (*process, error) {
	cmd.Env = append(os.Environ(), env...)
	pipe := cmd.StdoutPipe
	if log {
		pipe = cmd.StderrPipe
	} else {
		cmd.Stderr = os.Stderr
	}
	out, err := pipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	lines := bufio.NewScanner(out)
	lines.Buffer(nil, 16<<20)
	return &process{cmd, lines}, nil
}

// line returns the next line that contains a text.
func (p *process) line(substring string) (string, error) {
	for p.lines.Scan() {
		if strings.Contains(p.lines.Text(), substring) {
			return p.lines.Text(), nil
		}
	}
	return "", fmt.Errorf("%s closed its output before it printed %q", p.cmd, substring)
}

// discardOutput reads and discards the rest of the output, so that the process does not block on a full pipe.
func (p *process) discardOutput() {
	go func() {
		for p.lines.Scan() {
		}
	}()
}

// result decodes the JSON line that a child prints at its end, and waits for the child to exit.
func (p *process) result(v any) error {
	text, err := p.line("{")
	if err != nil {
		return err
	}
	if err := json.Unmarshal([]byte(text), v); err != nil {
		return err
	}
	return p.cmd.Wait()
}

// end sends the process a signal that terminates it, and waits until it has exited.
func (p *process) end(signal os.Signal) error {
	if err := p.cmd.Process.Signal(signal); err != nil {
		return err
	}
	_ = p.cmd.Wait() // any exit status is accepted
	return nil
}

func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

// usage returns the CPU time that a process has used and its resident memory in bytes.
func usage(pid int) (cpu time.Duration, rss int64, err error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, err
	}
	fields := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+1:]))
	if len(fields) < 22 {
		return 0, 0, fmt.Errorf("/proc/%d/stat has %d fields after the command name, want at least 22",
			pid, len(fields))
	}
	ticks := func(i int) time.Duration { // a tick is 10 ms on every Linux that Go supports
		n, _ := strconv.ParseInt(fields[i], 10, 64)
		return time.Duration(n) * 10 * time.Millisecond
	}
	pages, _ := strconv.ParseInt(fields[21], 10, 64)
	return ticks(11) + ticks(12), pages * int64(os.Getpagesize()), nil
}

// buildDaemon builds the daemon in a folder and returns the path of the binary.
func buildDaemon(dir string) (string, error) {
	path := filepath.Join(dir, "caperarch")
	out, err := exec.Command("go", "build", "-o", path, "caperarch/cmd/caperarch").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build the daemon: %w\n%s", err, out)
	}
	return path, nil
}

// tempDaemon builds the daemon in a new temporary folder, which end removes.
func tempDaemon() (binary string, end func(), err error) { return buildInTemp(buildDaemon) }

// tempMeshd builds meshd in a new temporary folder, which end removes.
func tempMeshd() (binary string, end func(), err error) { return buildInTemp(buildMeshd) }

// buildInTemp calls build with a new temporary folder, which end removes.
func buildInTemp(build func(dir string) (string, error)) (binary string, end func(), err error) {
	dir, err := os.MkdirTemp("", "measure")
	if err != nil {
		return "", nil, err
	}
	end = func() { os.RemoveAll(dir) }
	if binary, err = build(dir); err != nil {
		end()
	}
	return binary, end, err
}

// startDaemon starts the daemon with the text of a configuration file and returns the daemon's address.
func startDaemon(binary, dir, config string, args ...string) (*process, string, error) {
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		return nil, "", err
	}
	p, err := start(exec.Command(binary, args...), []string{"EDGE_CONFIG=" + path}, true)
	if err != nil {
		return nil, "", err
	}
	line, err := p.line(" listen=")
	if err != nil {
		return nil, "", err
	}
	_, address, _ := strings.Cut(line, " listen=")
	address, _, _ = strings.Cut(address, " ")
	p.discardOutput()
	return p, address, nil
}

// ioBytes returns the numbers of bytes that a process has read and written so far, from and to sockets and files.
func ioBytes(pid int) (read, written float64, err error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		return 0, 0, err
	}
	for line := range strings.Lines(string(raw)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		n, _ := strconv.ParseFloat(value, 64)
		switch name {
		case "rchar":
			read = n
		case "wchar":
			written = n
		}
	}
	return read, written, nil
}
