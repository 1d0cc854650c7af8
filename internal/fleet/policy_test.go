package fleet

import (
	"bytes"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"caperarch/internal/daemon/config"
	"caperarch/internal/fleet/peer"
	"caperarch/internal/fleet/policyrollout"
	"caperarch/internal/lab/testbed"
	"caperarch/policy"
)

func withPolicy(t *testing.T, cutOff string, edit func(c *config.Config)) (*Fleet, error) {
	t.Helper()
	c := settings(0, 1, testbed.FreeAddress(t))
	c.PeerListen = c.Peers[0]
	c.MaxOpenRequests, c.Policy.MaxAttempts = 100, 3
	c.Tenants = map[string]int{"north": 0, "south": 1}
	c.Policy.Tenants = []policy.Tenant{{Share: 3}, {Share: 1}}
	c.Policy.Budget = policy.RetryBudget{Span: time.Second, Free: 5, Share: 0.1}
	if edit != nil {
		edit(c)
	}
	return New(
		c,
		&config.Fleet{Path: "fleet.toml", Name: "hives", Policy: &config.FleetPolicy{FallbackPolicy: []byte(cutOff)}},
		quiet(),
	)
}

func TestCutOffIsChecked(t *testing.T) {
	for cutOff, says := range map[string]string{
		"[limits]\nopen = 101\n":                                  "over what this sidecar bears",
		"[tenants.east]\nshare = 0.1\n":                           "no such tenant",
		"[tenants.north]\nshare = 0.9\n":                          "looser than the settings",
		"[retry]\nfree = 6.0\n":                                   "retry.free: 6 against 5",
		"[tenants.north]\nquota = 5.0\n":                          "all are to have one, or none",
		"[limits]\nopen = 10\n[tenants.north]\nshare = 0.70000\n": "",
	} {
		f, err := withPolicy(t, cutOff, nil)
		switch {
		case says == "" && (err != nil || f.Policy().Active().Limits.Open != 10):
			t.Errorf("%q: %v", cutOff, err)
		case says != "" && (err == nil || !strings.Contains(err.Error(), says)):
			t.Errorf("%q: %v, want an error that says %q", cutOff, err, says)
		}
	}
	if _, err := withPolicy(
		t, "[retry]\nfree = 1.0\n",
		func(c *config.Config) { c.Policy.Budget = policy.RetryBudget{} },
	); err == nil || !strings.Contains(err.Error(), "no retry budget") {
		t.Errorf("a retry budget where there is none: %v", err)
	}
}

// One alone: cut off, then by its own log, then by what is proposed; a clock that went on while it
// stood still finds it cut off at the first question.
func TestOneAlone(t *testing.T) {
	f, err := withPolicy(
		t,
		"out = [\"s-1\"]\n[limits]\nopen = 10\nqueue = 0\n[tenants.north]\nshare = 0.1\nquota = 10.0\n[tenants.south]\nshare = 0.1\nquota = 10.0\n",
		nil,
	)
	if err != nil {
		t.Fatal(err)
	}
	p := f.Policy()
	var ahead time.Duration
	boot := f.now
	f.now = func() time.Duration { return boot() + ahead }
	call := func(do func(to *bytes.Buffer) error) string {
		var b bytes.Buffer
		if err := do(&b); err != nil {
			return "no: " + err.Error()
		}
		return b.String()
	}
	found := func(b *bytes.Buffer) error { return p.Bootstrap(b) }
	show := func(b *bytes.Buffer) error { return p.Show(b) }
	if got := call(found); !strings.Contains(got, "takes no part") {
		t.Errorf("found without a link: %s", got)
	}
	if got := call(show); !strings.Contains(got, "no log is known here") || !strings.Contains(got, "is cut off") {
		t.Errorf("show: %s", got)
	}
	if err := p.start(quietLink(t, f)); err != nil {
		t.Fatal(err)
	}
	if got := call(found); !strings.Contains(got, "a log is begun") {
		t.Fatal(got)
	}
	pass := func(d time.Duration) {
		for end := ahead + d; ahead < end; ahead += 125 * time.Millisecond {
			p.tick()
		}
	}
	if p.Active().Mode != policyrollout.CutOff {
		t.Error("not cut off at the beginning")
	}
	pass(12 * time.Second)
	if now := p.Active(); now.Mode != policyrollout.OneVersion || now.Limits.Open != 100 ||
		len(now.Engine.Tenants) != 2 || now.Engine.Tenants[0].Share != 0.75 || now.Engine.Queue != unbounded {
		t.Fatalf("by its log it goes by %+v", now)
	}
	text := []byte(
		"out = [\"s-1\"]\n[limits]\nopen = 50\nqueue = 4\n[tenants.south]\nshare = 0.5\nquota = 20.0\n[tenants.north]\nquota = 30.0\n",
	)
	if got := call(
		func(b *bytes.Buffer) error { return p.Propose([]string{policyrollout.Hash(text), "0"}, b) },
	); !strings.Contains(got, "no text of this hash") {
		t.Errorf("proposed without its text: %s", got)
	}
	for _, words := range [][]string{
		{"ab", "0", "1", "=YQ"}, {policyrollout.Hash(text), "1", "1", "=YQ"},
		{policyrollout.Hash(text), "0", "1000000", "=YQ"},
		{policyrollout.Hash(text), "0", "1", "=!"}, {"ab"},
	} {
		if p.Upload(words) == nil {
			t.Errorf("%v: taken", words)
		}
	}
	for i := range UploadChunks(text) {
		if err := p.Upload(UploadChunkArgs(text, i)); err != nil {
			t.Fatal(err)
		}
	}
	if got := call(
		func(b *bytes.Buffer) error { return p.Propose([]string{policyrollout.Hash(text), "0"}, b) },
	); !strings.HasPrefix(got, "version 1 proposed, hash "+policyrollout.Hash(text)) {
		t.Fatal(got)
	}
	pass(2 * time.Second)
	now := p.Active()
	if now.Mode != policyrollout.OneVersion || now.New.Version != 1 || now.Limits.Open != 50 ||
		now.Engine.Queue != 4 || now.Engine.Tenants[1] != (policy.Tenant{Share: 0.5, Quota: 20}) || fmt.Sprint(now.Limits.DisabledUpstreams) != "[s-1]" {
		t.Fatalf("it goes by %+v", now)
	}
	if p.Active() != now {
		t.Error("the same limits have another pointer at each question")
	}
	if got := call(
		func(b *bytes.Buffer) error { return p.History(b) },
	); !strings.Contains(got, "version 1 of sidecar 0") || !strings.Contains(got, ": taken") {
		t.Errorf("history: %s", got)
	}
	if got := call(
		func(b *bytes.Buffer) error { return p.Abort(b) },
	); !strings.Contains(got, "no change is under way") {
		t.Errorf("abort: %s", got)
	}
	if g := f.Metrics().Policy; g.Holds != 1 || g.Goes != "one" || g.Changes["taken"] != 1 {
		t.Errorf("%+v", g)
	}
	ahead += time.Minute // it stood still
	if now := p.Active(); now.Mode != policyrollout.CutOff || now.Limits.Open != 10 {
		t.Errorf("going on it goes by %+v", now)
	}
	pass(2 * time.Second)
	if now := p.Active(); now.Mode != policyrollout.OneVersion || now.New.Version != 1 {
		t.Errorf("a while later it goes by %+v", now)
	}
	if math.IsInf(now.Limits.Quota[0], 1) {
		t.Error("no quota")
	}
}

// quietLink is a link of a fleet of one.
func quietLink(t *testing.T, f *Fleet) *peer.Link {
	t.Helper()
	l, err := peer.Open(
		peer.Config{
			Listen: f.cfg.PeerListen, Peers: f.peers, Fleet: "hives", Incarnation: f.incarnation,
			BytesPerSecond: 4096, Now: f.now,
		},
	)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return l
}
