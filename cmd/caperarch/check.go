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

// explainRoute prints the rule and the pool that a request would take.
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

// checkFile says whether a configuration (JSON) or a pools or fleet file (TOML) is valid, and returns the exit code.
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
		_, err = policy.New(cfg.Policy, cfg.Seed, nil) // a Balancer that is not started makes no calls
	}
	if err != nil {
		fmt.Fprintf(log, "%s: %v\n", path, err)
		return 1
	}
	fmt.Fprintf(out, "%s: usable: listens on %s, discovery at %s, %d classes, %d tenants, %d servers known\n",
		path, cfg.Listen, cfg.Discovery, len(cfg.Classes), len(cfg.Tenants), len(cfg.KnownServers.Servers))
	return 0
}

// isFleetFile tells a fleet file from a pools file. One that can't be read is neither.
func isFleetFile(path string) bool {
	raw, err := os.ReadFile(path)
	return err == nil && !strings.Contains(string(raw), "[pools") && !strings.Contains(string(raw), "[[routes")
}

func checkFleet(path string, out, log io.Writer) int {
	f, err := config.ReadFleet(path)
	if err != nil {
		fmt.Fprintln(log, err)
		return 1
	}
	fmt.Fprintf(out, "%s: usable: fleet %s\n", path, f.Name)
	return 0
}
