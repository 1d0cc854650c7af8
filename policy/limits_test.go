package policy

import (
	"os"
	"strings"
	"testing"
	"unicode/utf8"
)

// policy.go and servers.go together hold the decisions; they stay short enough for an on-call engineer to read at once.
func TestDecisionsStayWithinTheirLimits(t *testing.T) {
	const maxLines, maxColumns = 640, 110
	lines := 0
	for _, name := range []string{"policy.go", "servers.go"} {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		for n, line := range strings.Split(string(text), "\n") {
			if strings.TrimSpace(line) != "" {
				lines++
			}
			if utf8.RuneCountInString(line) > maxColumns {
				t.Errorf("%s: line %d has more than %d characters", name, n+1, maxColumns)
			}
		}
	}
	if lines > maxLines {
		t.Errorf("policy.go and servers.go have %d lines that are not blank, want at most %d", lines, maxLines)
	}
	text, err := os.ReadFile("policy.go")
	if err != nil {
		t.Fatal(err)
	}
	if head, _, _ := strings.Cut(string(text), "\npackage "); !strings.Contains(head, "api.go") {
		t.Error("the top of policy.go does not name api.go")
	}
}
