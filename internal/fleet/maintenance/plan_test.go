package maintenance

import (
	"fmt"
	"strings"
	"testing"
)

// machines returns n machines that are ready: the first four in cell 0, the next four in cell 1 and so on, with
// alternating zones.
func machines(n int) (all []Machine) {
	for i := range n {
		all = append(
			all,
			Machine{
				ID: uint64(i + 1), Name: fmt.Sprintf("s-%d", i), Zone: []string{"a", "b"}[i%2],
				Cell: i / 4, Weight: 1, State: MachineReady, Warmth: 1,
			},
		)
	}
	return all
}

// An invalid plan is rejected with an error that names the field or the line, and so is a plan with a bound that
// never lets a machine go out.
func TestInvalidPlansAreRejected(t *testing.T) {
	for text, want := range map[string]string{
		"all = true\n": "out.fleet",
		"all = true\ncells = [1]\nout.fleet = \"1\"":           "one of machines",
		"out.fleet = \"1\"":                                    "one of machines",
		"all = true\nout.fleet = \"0\"":                        "no bound",
		"all = true\nout.fleet = \"1000000000\"":               "no bound",
		"all = true\nout.fleet = \"0%\"":                       "no share",
		"all = true\nout.fleet = \"nan%\"":                     "no share",
		"all = true\nout.fleet = \"101%\"":                     "no share",
		"all = true\nout.fleet = \"1\"\nreserve = 1.0":         "reserve",
		"all = true\nout.fleet = \"1\"\nreserve = nan":         "reserve",
		"all = true\nout.fleet = \"1\"\nbears = inf":           "bears",
		"all = true\nout.fleet = \"1\"\nin_time = 1.5":         "in_time",
		"all = true\nout.fleet = \"1\"\nlongest = \"0s\"":      "longest",
		"all = true\nout.fleet = \"1\"\nlongest = \"10000h\"":  "longest",
		"all = true\nout.fleet = \"1\"\nlongest = \"soon\"":    "soon",
		"all = true\nout.fleet = \"1\"\nback = \"later\"":      "back",
		"all = true\nout.fleet = \"1\"\ncut_off = \"ignored\"": "cut_off",
		"all = true\nout.fleet = \"1\"\nboth = 1":              "line 3",
		"machines = [\"s-1\", \"s-1\"]\nout.fleet = \"1\"":     "twice",
		"machines = [\"\"]\nout.fleet = \"1\"":                 "machines[0]",
		"machines = [\"s-99\"]\nout.fleet = \"1\"":             "s-99 is not listed",
		"cells = [99]\nout.fleet = \"1\"":                      "no machine",
		"cells = [1]\nout.fleet = \"1\"\nout.cell = \"20%\"":   "out.cell",
		"all = true\nout.fleet = \"5%\"":                       "out.fleet",
		"all = true\nout.fleet = \"1\"\n[out]\nrack = \"1\"":   "line",
	} {
		plan, err := Parse([]byte(text))
		if err == nil {
			err = plan.CheckMachines(machines(8))
		}
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("plan %q: error %v, want one that contains %q", text, err, want)
		}
	}
	plan, err := Parse(
		[]byte("zones = [\"a\"]\nbears = 10.0\nback = \"started\"\n[out]\nfleet = \"25%\"\ncell = \"1\"\n"),
	)
	if err == nil {
		err = plan.CheckMachines(machines(8))
	}
	if err != nil {
		t.Errorf("a valid plan was rejected: %v", err)
	}
	if err := plan.CheckMachines(machines(1)); err == nil || !strings.Contains(err.Error(), "less than one") {
		t.Errorf("25%% of one machine: error %v, want one that contains \"less than one\"", err)
	}
	long := "machines = ["
	for i := range maxMachines + 1 {
		long += fmt.Sprintf("\"s-%d\",", i)
	}
	if _, err := Parse([]byte(long + "]\nout.fleet = \"1\"")); err == nil ||
		!strings.Contains(err.Error(), "10001 of them") {
		t.Errorf("plan with 10001 machines: error %v, want one that contains \"10001 of them\"", err)
	}
}

// Every step fits into a log entry and is decoded as it was encoded; invalid data is rejected.
func TestStepEncoding(t *testing.T) {
	for _, s := range []Step{
		{Kind: LeaderStarted, Term: 7, By: 299},
		{Kind: Planned, Number: 1 << 30, By: 4999, Hash: [32]byte{1, 2, 3}},
		{
			Kind: Opened, Number: 1 << 30, Plan: 1 << 30, LastPlan: 1 << 30, Machine: ^uint64(0),
			Term: ^uint64(0), By: 4999,
		},
		{Kind: Withdrawn, Number: 3, Term: 1, Why: strings.Repeat("x", maxReasonBytes)},
		{Kind: Paused, Number: 3, Why: "too long"},
	} {
		raw, err := s.Encode()
		// A log entry has at most 96 bytes, and the wrapper that tells the step from a policy entry takes some.
		if err != nil || len(raw) > 84 {
			t.Fatalf("%+v was encoded in %d bytes, error %v; want at most 84 bytes", s, len(raw), err)
		}
		if decoded, err := Decode(raw); err != nil || decoded != s {
			t.Errorf("%+v was decoded as %+v, error %v", s, decoded, err)
		}
	}
	raw, _ := Step{Kind: Withdrawn, Number: 3, Term: 1, Why: strings.Repeat("ä", 40)}.Encode()
	if _, err := Decode(raw); err != nil {
		t.Errorf("decoding a step whose reason was truncated inside a character: %v", err)
	}
	for name, s := range map[string]Step{
		"a window opened by no leader": {Kind: Opened, Number: 1, Plan: 1, Machine: 1},
		"a kind of a newer version":    {Kind: kindEnd, Number: 1},
		"no number":                    {Kind: Done},
		"a window without a machine":   {Kind: Opened, Number: 1, Plan: 1, Term: 1},
	} {
		raw, _ := s.Encode()
		if _, err := Decode(raw); err == nil {
			t.Errorf("%s was decoded, want an error", name)
		}
	}
}

func FuzzDecode(f *testing.F) {
	raw, _ := Step{Kind: Opened, Number: 1, Plan: 1, LastPlan: 1, Machine: 5, Term: 2}.Encode()
	f.Add(raw)
	f.Fuzz(func(t *testing.T, raw []byte) {
		if s, err := Decode(raw); err == nil {
			encoded, err := s.Encode()
			if err != nil {
				t.Fatal(err)
			}
			if decoded, err := Decode(encoded); err != nil || decoded != s && len(s.Why) <= maxReasonBytes {
				t.Fatalf("%+v was decoded as %+v after encoding it again, error %v", s, decoded, err)
			}
		}
	})
}

func FuzzParse(f *testing.F) {
	f.Add("all = true\nout.fleet = \"10%\"\n")
	f.Fuzz(func(t *testing.T, text string) {
		if plan, err := Parse([]byte(text)); err == nil {
			_ = plan.CheckMachines(machines(5))
		}
	})
}
