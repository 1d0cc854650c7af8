package wire

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"caperarch/policy"
)

// Settings holds the start-up settings of an instance by path, for example "classes.0.aim_ms".
type Settings struct {
	values map[string]string
	err    error // error of the first value that could not be parsed
}

// ParseSettings parses lines of the form path=value. Unknown paths are stored but not used.
func ParseSettings(info []byte) (*Settings, error) {
	s := &Settings{values: make(map[string]string, 128)}
	for n, line := range bytes.Split(info, []byte{'\n'}) {
		if line = bytes.TrimSpace(line); len(line) == 0 {
			continue
		}
		key, value, ok := strings.Cut(string(line), "=")
		if !ok {
			return nil, fmt.Errorf("settings line %d: got %.60q, want path=value", n+1, line)
		}
		s.values[key] = value
	}
	return s, nil
}

// SettingsFromJSON parses settings from nested JSON and converts them to path=value form. A list of scalars is joined
// with commas. The length of a list is stored under the path's .count, and objects in a list are stored under .0, .1
// and so on. A null value is treated as absent.
func SettingsFromJSON(raw []byte) (*Settings, error) {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber() // keeps the text of numbers
	var root map[string]any
	if err := d.Decode(&root); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s := &Settings{values: make(map[string]string, 128)}
	s.flatten("", root)
	return s, nil
}

// flatten stores a JSON value and all values below it under their paths.
func (s *Settings) flatten(path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		if path != "" {
			path += "."
		}
		for key, item := range v {
			s.flatten(path+key, item)
		}
	case []any:
		var plain []string
		for i, item := range v {
			if _, object := item.(map[string]any); object {
				s.flatten(path+"."+strconv.Itoa(i), item)
				continue
			}
			plain = append(plain, strings.ReplaceAll(fmt.Sprint(item), ",", "_"))
		}
		s.values[path+".count"] = strconv.Itoa(len(v))
		s.values[path] = strings.Join(plain, ",")
	case nil:
	default:
		s.values[path] = fmt.Sprint(v)
	}
}

// Text returns the text of a value, or "" if the value is absent.
func (s *Settings) Text(key string) string { return s.text(key) }

// Count returns an integer between 0 and 65536, or 0 if the value is absent. Err reports an invalid value.
func (s *Settings) Count(key string) int { return s.count(key) }

// Duration returns a value in milliseconds as a duration, or 0 if the value is absent. Err reports an invalid value.
func (s *Settings) Duration(key string) time.Duration { return Millis(s.number(key, 0)) }

// Number returns a number, or 0 if the value is absent. Err reports an invalid value.
func (s *Settings) Number(key string) float64 { return s.number(key, 0) }

// Err returns the error of the first value so far that could not be parsed.
func (s *Settings) Err() error { return s.err }

func (s *Settings) text(key string) string { return s.values[key] }

func (s *Settings) flag(key string) bool { return s.values[key] == "true" }

func (s *Settings) number(key string, absent float64) float64 {
	v, ok := s.values[key]
	if !ok || v == "" {
		return absent
	}
	f, err := strconv.ParseFloat(v, 64)
	if err != nil && s.err == nil {
		s.err = fmt.Errorf("settings: %s: %w", key, err)
	}
	return f
}

func (s *Settings) count(key string) int {
	const limit = 1 << 16 // far above the length of any real list; guards against a corrupt value
	n := s.number(key, 0)
	if (n < 0 || n > limit || n != float64(int(n))) && s.err == nil {
		s.err = fmt.Errorf("settings: %s: got %v, want an integer between 0 and 65536", key, n)
		return 0
	}
	return int(n)
}

// Columns lists the policy fields of a load report's columns, in wire order. An unknown column is 0.
type Columns []policy.LoadFields

// Columns returns the columns of the load reports.
func (s *Settings) Columns() Columns {
	var c Columns
	for name := range strings.SplitSeq(s.text("telemetry.columns"), ",") {
		c = append(c, map[string]policy.LoadFields{
			"busy_reqs": policy.HasInFlight,
			"pending":   policy.HasQueued,
			"cpu_share": policy.HasBusy,
			"svc_ms":    policy.HasService,
			"served_ps": policy.HasServed,
			"failed_ps": policy.HasErrors,
		}[name])
	}
	return c
}

// fields returns the set of all columns' fields.
func (c Columns) fields() (all policy.LoadFields) {
	for _, f := range c {
		all |= f
	}
	return all
}

// Load converts a report to a policy.Load. An invalid number is treated as absent: see SetLoad.
func (c Columns) Load(r Report) policy.Load {
	var l policy.Load
	for i := range min(r.N, len(c)) {
		SetLoad(&l, c[i], float64(r.Values[i]))
	}
	return l
}

// SetLoad sets one field of a load report. A service time is in milliseconds. SetLoad ignores a value that is negative,
// infinite or NaN, and a field that the policy does not have.
func SetLoad(l *policy.Load, field policy.LoadFields, v float64) {
	if !(v >= 0) || math.IsInf(v, 0) {
		return
	}
	switch field {
	case policy.HasInFlight:
		l.InFlight = v
	case policy.HasQueued:
		l.Queued = v
	case policy.HasBusy:
		l.Busy = v
	case policy.HasService:
		l.Service = Millis(v)
	case policy.HasServed:
		l.Served = v
	case policy.HasErrors:
		l.Errors = v
	default:
		return
	}
	l.Has |= field
}

// Config returns the policy configuration that the settings describe. The error is the same as that of Err.
func (s *Settings) Config() (policy.Config, error) {
	c := policy.Config{
		Balancers:          s.count("balancers"),
		Index:              s.count("me"),
		Zone:               s.count("zone"),
		MaxAttempts:        s.count("caps.most_tries"),
		MayCancel:          s.flag("caps.may_cancel"),
		MayProbe:           s.flag("caps.probes") && s.text("telemetry.how") != "silent",
		MaxRetryAfter:      Millis(s.number("caps.max_retry_after_ms", 0)),
		ClientsMarkRetries: s.flag("client_habits.marks_retry"),
		KeyBlockTime:       Millis(s.number("rules.order_settle_ms", 0)),
		IdleCloseTime:      Millis(s.number("rules.let_go_in_ms", 0)),
		Tick:               Millis(s.number("period_ms", 0)),
		ListOnDemand:       s.text("discovery") == "ask",
		ListMaxAge:         Millis(s.number("rules.ask_within_ms", 0)),
		SlowStartShare:     s.number("rules.cold_from", 0),
		SlowStartTime:      Millis(s.number("rules.cold_ms", 0)),
		SlowStartOverload:  s.number("rules.fall_multiple", 0),
		ProbePrice:         s.number("charges.probe", 0),
		CrossZonePrice:     s.number("charges.cross_zone", 0),
		Budget: policy.RetryBudget{
			Span:  Millis(s.number("rules.budget_span_ms", 0)),
			Free:  s.number("rules.extra_free", 0),
			Share: s.number("rules.further_ratio", 0),
		},
	}
	if s.text("telemetry.how") != "silent" {
		c.Reports = s.Columns().fields()
	}
	for i := range s.count("classes.count") {
		c.Classes = append(c.Classes, s.class(fmt.Sprintf("classes.%d.", i)))
	}
	for i := range s.count("orgs.count") {
		p := fmt.Sprintf("orgs.%d.", i)
		c.Tenants = append(c.Tenants, policy.Tenant{
			Share: s.number(p+"share", 0),
			Quota: s.number(p+"quota_per_s", 0),
		})
	}
	return c, s.err
}

// class returns the class whose settings have paths that start with prefix.
func (s *Settings) class(prefix string) policy.Class {
	class := policy.Class{
		LatencyTarget: Millis(s.number(prefix+"aim_ms", 0)),
		TargetPerWork: s.number(prefix+"aim_stretch", 0),
		Deadline:      Millis(s.number(prefix+"hard_limit_ms", 0)),
		LateValue:     s.number(prefix+"late_share", 0),
		Value:         s.number(prefix+"worth", 0),
		DedupWindow:   Millis(s.number(prefix+"window_ms", 0)),
		Effect:        policy.NonIdempotent, // an unknown value is treated as the strictest effect
		Scope:         policy.ScopeCell,
		InOrder:       s.flag(prefix + "fifo_by_key"),
	}
	switch s.text(prefix + "semantics") {
	case "free":
		class.Effect = policy.Idempotent
	case "guarded":
		class.Effect = policy.Deduplicated
	}
	switch s.text(prefix + "dedup_scope") {
	case "all":
		class.Scope = policy.ScopeAll
	case "zone":
		class.Scope = policy.ScopeZone
	}
	return class
}
