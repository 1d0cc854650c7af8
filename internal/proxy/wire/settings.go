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

// Settings are the start-up settings of an instance, by path.
type Settings struct {
	values map[string]string
	err    error // the first value that could not be read
}

// ParseSettings reads path=value lines. Unknown keys are kept and passed over.
func ParseSettings(info []byte) (*Settings, error) {
	s := &Settings{values: make(map[string]string, 128)}
	for n, line := range bytes.Split(info, []byte{'\n'}) {
		if line = bytes.TrimSpace(line); len(line) == 0 {
			continue
		}
		key, value, ok := strings.Cut(string(line), "=")
		if !ok {
			return nil, fmt.Errorf("settings line %d: no '=' in %.60q", n+1, line)
		}
		s.values[key] = value
	}
	return s, nil
}

// SettingsFromJSON reads the same settings as nested JSON, by bringing them into the path=value form:
// lists of plain values are joined by commas, lists of objects put their length under .count and
// their items under .0, .1 and so on. A null counts as absent.
func SettingsFromJSON(raw []byte) (*Settings, error) {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber() // numbers keep their own text
	var root map[string]any
	if err := d.Decode(&root); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s := &Settings{values: make(map[string]string, 128)}
	s.flatten("", root)
	return s, nil
}

// flatten brings a JSON value at a path into the path=value form.
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

// Text returns a value as it was given, or "".
func (s *Settings) Text(key string) string { return s.text(key) }

// Count returns a whole number, or 0 where there is none; see Err.
func (s *Settings) Count(key string) int { return s.count(key) }

// Duration returns a number of milliseconds, or 0 where there is none; see Err.
func (s *Settings) Duration(key string) time.Duration { return Millis(s.number(key, 0)) }

// Number returns a number, or 0 where there is none; see Err.
func (s *Settings) Number(key string) float64 { return s.number(key, 0) }

// Err returns the first value that could not be read so far.
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
	const limit = 1 << 16 // far above any real list; a guard against a broken value
	n := s.number(key, 0)
	if (n < 0 || n > limit || n != float64(int(n))) && s.err == nil {
		s.err = fmt.Errorf("settings: %s: %v is not a count", key, n)
		return 0
	}
	return int(n)
}

// Columns are the fields of a load report in their order on the wire; 0 stands for one not known.
type Columns []policy.LoadFields

// Columns tells what the load reports hold.
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

// fields is the set of all columns.
func (c Columns) fields() (all policy.LoadFields) {
	for _, f := range c {
		all |= f
	}
	return all
}

// Load reads a report by its columns. A value that is no usable number counts as absent.
func (c Columns) Load(r Report) policy.Load {
	var l policy.Load
	for i := range min(r.N, len(c)) {
		SetLoad(&l, c[i], float64(r.Values[i]))
	}
	return l
}

// SetLoad sets one field of a load report; a service time is in milliseconds. A value that is no usable number
// counts as absent, and so does what no field of the module's stands for.
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

// Config returns the decision module's configuration that the settings describe; see Err.
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

// class reads the class whose settings begin with prefix.
func (s *Settings) class(prefix string) policy.Class {
	class := policy.Class{
		LatencyTarget: Millis(s.number(prefix+"aim_ms", 0)),
		TargetPerWork: s.number(prefix+"aim_stretch", 0),
		Deadline:      Millis(s.number(prefix+"hard_limit_ms", 0)),
		LateValue:     s.number(prefix+"late_share", 0),
		Value:         s.number(prefix+"worth", 0),
		DedupWindow:   Millis(s.number(prefix+"window_ms", 0)),
		Effect:        policy.NonIdempotent, // an unknown word is taken for the strictest
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
