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

// newFleetOfOne returns a fleet of one sidecar with a policy. edit changes the settings and may be nil.
func newFleetOfOne(t *testing.T, cutOff string, edit func(c *config.Config)) (*Fleet, error) {
	t.Helper()
	cfg := settings(0, 1, testbed.FreeAddress(t))
	cfg.PeerListen = cfg.Peers[0]
	cfg.MaxOpenRequests, cfg.Policy.MaxAttempts = 100, 3
	cfg.Tenants = map[string]int{"north": 0, "south": 1}
	cfg.Policy.Tenants = []policy.Tenant{{Share: 3}, {Share: 1}}
	cfg.Policy.Budget = policy.RetryBudget{Span: time.Second, Free: 5, Share: 0.1}
	if edit != nil {
		edit(cfg)
	}
	return New(
		cfg,
		&config.Fleet{Path: "fleet.toml", Name: "hives", Policy: &config.FleetPolicy{FallbackPolicy: []byte(cutOff)}},
		discardLog(),
	)
}

// cut_off must not exceed this sidecar's own settings.
func TestCutOffIsChecked(t *testing.T) {
	for cutOff, want := range map[string]string{
		"[limits]\nopen = 101\n":                                  "over what this sidecar bears",
		"[tenants.east]\nshare = 0.1\n":                           "no such tenant",
		"[tenants.north]\nshare = 0.9\n":                          "looser than the settings",
		"[retry]\nfree = 6.0\n":                                   "retry.free: 6 against 5",
		"[tenants.north]\nquota = 5.0\n":                          "all are to have one, or none",
		"[limits]\nopen = 10\n[tenants.north]\nshare = 0.70000\n": "",
	} {
		f, err := newFleetOfOne(t, cutOff, nil)
		switch {
		case want == "" && (err != nil || f.Policy().Active().Limits.Open != 10):
			t.Errorf("cut_off %q: error %v, or it is not the active policy", cutOff, err)
		case want != "" && (err == nil || !strings.Contains(err.Error(), want)):
			t.Errorf("cut_off %q: error %v, want one that contains %q", cutOff, err, want)
		}
	}
	if _, err := newFleetOfOne(
		t, "[retry]\nfree = 1.0\n",
		func(c *config.Config) { c.Policy.Budget = policy.RetryBudget{} },
	); err == nil || !strings.Contains(err.Error(), "no retry budget") {
		t.Errorf("cut_off with a retry budget, settings without: error %v, want one with \"no retry budget\"", err)
	}
}

// A fleet of one sidecar applies cut_off at first, then its settings after Bootstrap, then a proposed policy. After the
// process was suspended for longer than its grant, Active returns cut_off at the first call.
func TestPolicyOfSingleSidecar(t *testing.T) {
	f, err := newFleetOfOne(
		t,
		`out = ["s-1"]
[limits]
open = 10
queue = 0
[tenants.north]
share = 0.1
quota = 10.0
[tenants.south]
share = 0.1
quota = 10.0
`,
		nil,
	)
	if err != nil {
		t.Fatal(err)
	}
	p := f.Policy()
	var advanced time.Duration
	realTime := f.now
	f.now = func() time.Duration { return realTime() + advanced }
	call := func(do func(out *bytes.Buffer) error) string {
		var out bytes.Buffer
		if err := do(&out); err != nil {
			return "no: " + err.Error()
		}
		return out.String()
	}
	bootstrap := func(out *bytes.Buffer) error { return p.Bootstrap(out) }
	show := func(out *bytes.Buffer) error { return p.Show(out) }
	if got := call(bootstrap); !strings.Contains(got, "takes no part") {
		t.Errorf("Bootstrap before start returned %q, want an error", got)
	}
	if got := call(show); !strings.Contains(got, "no log is known here") || !strings.Contains(got, "is cut off") {
		t.Errorf("Show before start returned %q, want no log and cut_off", got)
	}
	if err := p.start(openLink(t, f)); err != nil {
		t.Fatal(err)
	}
	if got := call(bootstrap); !strings.Contains(got, "a log is begun") {
		t.Fatal(got)
	}
	advance := func(d time.Duration) {
		for end := advanced + d; advanced < end; advanced += 125 * time.Millisecond {
			p.tick()
		}
	}
	if p.Active().Mode != policyrollout.CutOff {
		t.Error("cut_off does not apply right after Bootstrap")
	}
	advance(12 * time.Second)
	if active := p.Active(); active.Mode != policyrollout.OneVersion || active.Limits.Open != 100 ||
		len(active.Engine.Tenants) != 2 || active.Engine.Tenants[0].Share != 0.75 || active.Engine.Queue != unbounded {
		t.Fatalf("12 s after Bootstrap the limits are %+v, want the settings", active)
	}
	text := []byte(
		`out = ["s-1"]
[limits]
open = 50
queue = 4
[tenants.south]
share = 0.5
quota = 20.0
[tenants.north]
quota = 30.0
`,
	)
	if got := call(
		func(out *bytes.Buffer) error { return p.Propose([]string{policyrollout.Hash(text), "0"}, out) },
	); !strings.Contains(got, "no text of this hash") {
		t.Errorf("Propose before the upload returned %q, want an error", got)
	}
	for _, args := range [][]string{
		{"ab", "0", "1", "=YQ"}, {policyrollout.Hash(text), "1", "1", "=YQ"},
		{policyrollout.Hash(text), "0", "1000000", "=YQ"},
		{policyrollout.Hash(text), "0", "1", "=!"}, {"ab"},
	} {
		if p.Upload(args) == nil {
			t.Errorf("Upload(%v) succeeded, want an error", args)
		}
	}
	for i := range UploadChunks(text) {
		if err := p.Upload(UploadChunkArgs(text, i)); err != nil {
			t.Fatal(err)
		}
	}
	if got := call(
		func(out *bytes.Buffer) error { return p.Propose([]string{policyrollout.Hash(text), "0"}, out) },
	); !strings.HasPrefix(got, "version 1 proposed, hash "+policyrollout.Hash(text)) {
		t.Fatal(got)
	}
	advance(2 * time.Second)
	active := p.Active()
	if active.Mode != policyrollout.OneVersion || active.New.Version != 1 || active.Limits.Open != 50 ||
		active.Engine.Queue != 4 || active.Engine.Tenants[1] != (policy.Tenant{Share: 0.5, Quota: 20}) ||
		fmt.Sprint(active.Limits.DisabledUpstreams) != "[s-1]" {
		t.Fatalf("2 s after Propose the limits are %+v, want the proposed ones", active)
	}
	if p.Active() != active {
		t.Error("Active returned another pointer although the limits did not change")
	}
	if got := call(
		func(out *bytes.Buffer) error { return p.History(out) },
	); !strings.Contains(got, "version 1 of sidecar 0") || !strings.Contains(got, ": taken") {
		t.Errorf("History returned %q, want version 1 taken", got)
	}
	if got := call(
		func(out *bytes.Buffer) error { return p.Abort(out) },
	); !strings.Contains(got, "no change is under way") {
		t.Errorf("Abort without a change in progress returned %q, want an error", got)
	}
	if metrics := f.Metrics().Policy; metrics.Holds != 1 || metrics.Goes != "one" || metrics.Changes["taken"] != 1 {
		t.Errorf("metrics %+v, want version 1 and one change taken", metrics)
	}
	advanced += time.Minute // without ticks, as if the process had been suspended
	if active := p.Active(); active.Mode != policyrollout.CutOff || active.Limits.Open != 10 {
		t.Errorf("after the suspension the limits are %+v, want cut_off", active)
	}
	advance(2 * time.Second)
	if active := p.Active(); active.Mode != policyrollout.OneVersion || active.New.Version != 1 {
		t.Errorf("2 s after the suspension the limits are %+v, want version 1", active)
	}
	if math.IsInf(active.Limits.Quota[0], 1) {
		t.Error("version 1 has no quota for tenant north, want 30")
	}
}

// openLink opens the link of a fleet of one sidecar; nothing reads from it.
func openLink(t *testing.T, f *Fleet) *peer.Link {
	t.Helper()
	link, err := peer.Open(
		peer.Config{
			Listen: f.cfg.PeerListen, Peers: f.peers, Fleet: "hives", Incarnation: f.incarnation,
			BytesPerSecond: 4096, Now: f.now,
		},
	)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(link.Close)
	return link
}
