package main

import (
	"fmt"
	"io"
	"os"
	"strings"

	"caperarch/internal/daemon"
	"caperarch/internal/daemon/config"
	"caperarch/policy"
)

// explainRoute prints the routing rule and the pool that apply to a request.
func explainRoute(path, method, url, header string, out, log io.Writer) error {
	class := ""
	if header != "" {
		name, value, _ := strings.Cut(header, ":")
		if !strings.EqualFold(name, "X-Priority-Class") {
			return fmt.Errorf("header %q has no part in routes, X-Priority-Class has", name)
		}
		class = strings.TrimSpace(value)
	}
	pools, err := config.ReadPools(path)
	if err != nil {
		fmt.Fprintln(log, err)
		return errFailed
	}
	text, err := daemon.Explain(pools, method, url, class)
	if err != nil {
		fmt.Fprintln(log, err)
		return errFailed
	}
	fmt.Fprintln(out, text)
	return nil
}

// checkFile validates a configuration file (JSON), or a pools or fleet file (TOML), prints the result and returns the
// exit code.
func checkFile(path string, out, log io.Writer) int {
	if strings.HasSuffix(path, ".toml") {
		if isFleetFile(path) {
			return checkFleet(path, out, log)
		}
		pools, err := config.ReadPools(path)
		if err != nil {
			fmt.Fprintln(log, err)
			return 1
		}
		fmt.Fprintf(out, "%s: usable: %d pools\n", path, len(pools.List))
		return 0
	}
	cfg, err := config.Read(path)
	if err == nil {
		// Validates the policy. A nil host is safe because a Balancer that is not started makes no calls to its host.
		_, err = policy.New(cfg.Policy, cfg.Seed, nil)
	}
	if err != nil {
		fmt.Fprintf(log, "%s: %v\n", path, err)
		return 1
	}
	fmt.Fprintf(out, "%s: usable: listens on %s, discovery at %s, %d classes, %d tenants, %d servers known\n",
		path, cfg.Listen, cfg.Discovery, len(cfg.Classes), len(cfg.Tenants), len(cfg.KnownServers.Servers))
	return 0
}

// isFleetFile reports whether a TOML file is a fleet file, that is, has neither pools nor routes. It returns false if
// the file can't be read.
func isFleetFile(path string) bool {
	raw, err := os.ReadFile(path)
	return err == nil && !strings.Contains(string(raw), "[pools") && !strings.Contains(string(raw), "[[routes")
}

// checkFleet validates a fleet file, prints the result and returns the exit code.
func checkFleet(path string, out, log io.Writer) int {
	f, err := config.ReadFleet(path)
	if err != nil {
		fmt.Fprintln(log, err)
		return 1
	}
	fmt.Fprintf(out, "%s: usable: fleet %s\n", path, f.Name)
	return 0
}
