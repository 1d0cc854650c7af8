package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestCommands(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	for _, c := range []struct {
		config    string
		args      []string
		code      int
		out, says string
	}{
		{usable, []string{"check", path}, 0, "usable", ""},
		{strings.Replace(usable, "30000", "0", 1), []string{"check", path}, 1, "", "caps.conn_idle_ms"},
		{strings.Replace(usable, `"most_tries":3`, `"most_tries":0`, 1), []string{"check", path}, 1, "", "MaxAttempts"},
		{"{", []string{"check", path}, 1, "", path},
		{usable, []string{"check", path + "x"}, 1, "", path + "x"},
		{usable, []string{"check"}, 2, "", "usage"},
		{usable, []string{"balance"}, 2, "", "balance"},
		{usable, []string{"-h"}, 0, "check FILE", ""},
	} {
		if err := os.WriteFile(path, []byte(c.config), 0o600); err != nil {
			t.Fatal(err)
		}
		var out, log strings.Builder
		if code := command(c.args, &out, &log); code != c.code || !strings.Contains(out.String(), c.out) || !strings.Contains(log.String(), c.says) {
			t.Errorf("%v: code %d, %q, %q; want %d, %q, %q", c.args, code, out.String(), log.String(), c.code, c.out, c.says)
		}
	}
}
