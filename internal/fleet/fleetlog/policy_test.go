package fleetlog

import (
	"bytes"
	"strings"
	"testing"
)

// A change of the policy is summed over two logs, one in each text form of log/slog.
func TestPolicyBySecond(t *testing.T) {
	f := New()
	for name, text := range map[string]string{
		"n0": `2026/12/01 14:03:49 INFO policy: goes by mode=one version=2 old=0
2026/12/01 14:03:51 INFO policy: proposed version=3 hash=ab by=1 why=""
2026/12/01 14:03:51 INFO policy: goes by mode=both version=3 old=2
2026/12/01 14:03:53 INFO policy: taken version=3 hash=ab by=0 why=""
2026/12/01 14:03:53 INFO policy: goes by mode=one version=3 old=0
`,
		"n1": `time=2026-12-01T14:03:49.5Z level=INFO msg="policy: leads" number=1 what=""
time=2026-12-01T14:03:50.5Z level=INFO msg="policy: goes by" mode=one version=2 old=0
time=2026-12-01T14:03:52.1Z level=INFO msg="policy: goes by" mode="cut off" version=0 old=0
`,
	} {
		if err := f.Read(name, strings.NewReader(text)); err != nil {
			t.Fatal(err)
		}
	}
	var out bytes.Buffer
	if err := f.Report(&out); err != nil {
		t.Fatal(err)
	}
	got := strings.Join(strings.Fields(out.String()), " ")
	for _, want := range []string{
		"0 2: 1, cut off: 1", "1 2: 2", "2 2: 1, 2 and 3: 1 proposed 3 x1", "3 2 and 3: 1, cut off: 1",
		"4 3: 1, cut off: 1 taken 3 x1", "2 logs, 0 lines passed over",
	} {
		if !strings.Contains(got, want) {
			t.Errorf("report does not contain %q:\n%s", want, out.String())
		}
	}
}
