package settings

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"

	validation "github.com/go-ozzo/ozzo-validation/v4"
	"github.com/goccy/go-yaml"

	"caperarch/internal/mesh/errs"
)

const (
	// maxSeconds is the longest time taken from the file. It guards time.Duration against overflow.
	maxSeconds = 1e9
	// maxWhole is the largest whole number taken from the file. It guards the reading of floats as ints.
	maxWhole = 1 << 31
	// shownValue bounds how much of a wrong value an error shows, so that it stays one short line.
	shownValue = 60
)

// Parse reads the text of a settings file. Fields it doesn't know are passed over. What is missing or wrong comes back
// as an error of one line that starts with the field's path.
func Parse(data []byte) (*Settings, error) {
	var document map[string]any
	if err := yaml.Unmarshal(data, &document); err != nil {
		return nil, unreadable(err)
	}
	s := new(Settings)
	if err := table(key("self", table(key("machineClass", class(&s.Self.MachineClass))))).Validate(document); err != nil {
		return nil, invalid(err)
	}
	if err := s.schema().Validate(document); err != nil {
		return nil, invalid(err)
	}
	return s, nil
}

// schema declares the whole file for the machine class. Each rule checks a value and puts it in its place in s.
func (s *Settings) schema() validation.Rule {
	network, provider, bounds := &s.Network, &s.Provider, &s.Guarantees.Bounds
	self := []*validation.KeyRules{
		key("nodeName", text(&s.Self.NodeName)),
		key("role", text(&s.Self.Role)),
		key("servedRoles", texts(&s.Self.ServedRoles)),
		key("ipAddress", ip(&s.Self.IPAddress)),
		key("zone", text(&s.Self.Zone)),
		key("region", text(&s.Self.Region)),
		key("countedInQuorum", flag(&s.Self.CountedInQuorum)),
		key("firstStart", flag(&s.Self.FirstStart)),
		key("limits", table(
			key("cpuShare", positive(&s.Self.Limits.CPUShare)),
			key("cpuCores", positive(&s.Self.Limits.CPUCores)),
			key("memoryMb", whole(&s.Self.Limits.MemoryMB)),
			key("maxOpenFiles", whole(&s.Self.Limits.MaxOpenFiles)),
			key("bandwidthMbps", positive(&s.Self.Limits.BandwidthMbps)),
			key("diskMb", whole(&s.Self.Limits.DiskMB)),
		)),
	}
	listen := []*validation.KeyRules{key("controlPlane", address(&network.ListenAddresses.ControlPlane))}
	switch s.Self.MachineClass {
	case Core:
		self = append(self, key("dataDirectory", text(&s.Self.DataDirectory)))
	case Sidecar:
		self = append(self,
			optional("dataDirectory", text(&s.Self.DataDirectory)),
			key("appAddress", address(&s.Self.AppAddress)),
			key("serviceName", text(&s.Self.ServiceName)))
		listen = append(listen,
			key("inbound", address(&network.ListenAddresses.Inbound)),
			key("outbound", address(&network.ListenAddresses.Outbound)),
			key("readiness", address(&network.ListenAddresses.Readiness)))
	}
	return table(
		key("self", table(self...)),
		key("network", table(
			key("listenAddresses", table(listen...)),
			key("internalPortRange", portRange(&network.InternalPortRange)),
			key("seedNodes", addresses(&network.SeedNodes)),
			key("zones", textMap(&network.Zones)),
		)),
		key("provider", table(
			key("discoverySource", text(&provider.DiscoverySource)),
			key("entryType", text(&provider.EntryType)),
			key("heartbeatIntervalS", positiveSeconds(&provider.HeartbeatInterval)),
		)),
		key("guarantees", table(
			key("contracts", texts((*[]string)(&s.Guarantees.Contracts))),
			key("faultTolerance", table(
				key("machines", whole(&s.Guarantees.FaultTolerance.Machines)),
				key("zones", whole(&s.Guarantees.FaultTolerance.Zones)),
				key("regions", whole(&s.Guarantees.FaultTolerance.Regions)),
			)),
			key("bounds", table(
				optional("seedLagS", seconds(&bounds.SeedLag)),
				optional("addressReuseS", seconds(&bounds.AddressReuse)),
				optional("contactWindowS", seconds(&bounds.ContactWindow)),
				optional("ackTimeoutS", seconds(&bounds.AckTimeout)),
				optional("catchUpS", seconds(&bounds.CatchUp)),
				optional("drainTimeoutS", seconds(&bounds.DrainTimeout)),
				optional("gracePeriodS", seconds(&bounds.GracePeriod)),
				optional("lossSlackS", seconds(&bounds.LossSlack)),
				optional("configApplyS", seconds(&bounds.ConfigApply)),
				optional("rollbackSlackS", seconds(&bounds.RollbackSlack)),
				optional("maxSkewS", seconds(&bounds.MaxSkew)),
				optional("revocationStrict", flag(&bounds.RevocationStrict)),
				optional("revocationS", seconds(&bounds.Revocation)),
				optional("retryBudgetRatio", fraction(&bounds.RetryBudgetRatio)),
				optional("retryWindowS", seconds(&bounds.RetryWindow)),
				optional("retryBudgetSlack", fraction(&bounds.RetryBudgetSlack)),
				optional("quotaWindowS", seconds(&bounds.QuotaWindow)),
				optional("quotaOverage", fraction(&bounds.QuotaOverage)),
				optional("quotaSlack", fraction(&bounds.QuotaSlack)),
				optional("recoveryS", seconds(&bounds.Recovery)),
			)),
		)),
	)
}

// key declares a field that has to be there.
func key(name string, rule validation.Rule) *validation.KeyRules { return validation.Key(name, rule) }

// optional declares a field that may be absent or null.
func optional(name string, rule validation.Rule) *validation.KeyRules {
	return validation.Key(name, validation.By(func(v any) error {
		if v == nil {
			return nil
		}
		return rule.Validate(v)
	})).Optional()
}

// table declares a table with these fields and any others.
func table(keys ...*validation.KeyRules) validation.Rule {
	fields := validation.Map(keys...).AllowExtraKeys()
	return validation.By(func(v any) error {
		// A nil map passes the library's rule whatever it lacks, so an empty one is checked instead.
		m, ok := v.(map[string]any)
		if !ok {
			return mustBe("a table", v)
		}
		if m == nil {
			m = map[string]any{}
		}
		return fields.Validate(m)
	})
}

// reads declares a value that read understands; it goes into place only then.
func reads[T any](what string, into *T, read func(v any) (T, bool)) validation.Rule {
	return validation.By(func(v any) error {
		value, ok := read(v)
		if !ok {
			return mustBe(what, v)
		}
		*into = value
		return nil
	})
}

func text(into *string) validation.Rule { return reads("a text", into, asText) }

func class(into *string) validation.Rule {
	return reads("core or sidecar", into, func(v any) (string, bool) {
		s, _ := v.(string)
		return s, s == Core || s == Sidecar
	})
}

func ip(into *string) validation.Rule {
	return reads("an IP address", into, func(v any) (string, bool) {
		s, _ := v.(string)
		_, err := netip.ParseAddr(s)
		return s, err == nil
	})
}

func address(into *string) validation.Rule {
	return reads("an IP address with a port", into, asAddress)
}

func flag(into *bool) validation.Rule {
	return reads("true or false", into, func(v any) (bool, bool) {
		b, ok := v.(bool)
		return b, ok
	})
}

func fraction(into *float64) validation.Rule {
	return reads("a number from 0 on", into, func(v any) (float64, bool) {
		n, ok := asNumber(v)
		return n, ok && n >= 0
	})
}

func positive(into *float64) validation.Rule {
	return reads("a number over 0", into, func(v any) (float64, bool) {
		n, ok := asNumber(v)
		return n, ok && n > 0
	})
}

func whole(into *int) validation.Rule { return reads("a whole number from 0 on", into, asWhole) }

func seconds(into *time.Duration) validation.Rule {
	return reads("seconds from 0 on", into, asSeconds)
}

func positiveSeconds(into *time.Duration) validation.Rule {
	return reads("seconds over 0", into, func(v any) (time.Duration, bool) {
		d, ok := asSeconds(v)
		return d, ok && d > 0
	})
}

func texts(into *[]string) validation.Rule { return reads("a list of texts", into, listOf(asText)) }

func addresses(into *[]string) validation.Rule {
	return reads("a list of IP addresses with ports", into, listOf(asAddress))
}

func portRange(into *PortRange) validation.Rule {
	return reads("two ports in order", into, func(v any) (PortRange, bool) {
		ports, ok := listOf(asWhole)(v)
		if !ok || len(ports) != 2 {
			return PortRange{}, false
		}
		first, last := ports[0], ports[1]
		return PortRange{First: first, Last: last}, first > 0 && first <= last && last <= math.MaxUint16
	})
}

func textMap(into *map[string]string) validation.Rule {
	return reads("a table of texts", into, func(v any) (map[string]string, bool) {
		m, ok := v.(map[string]any)
		if !ok {
			return nil, false
		}
		read := make(map[string]string, len(m))
		for k, v := range m {
			if read[k], ok = asText(v); !ok {
				return nil, false
			}
		}
		return read, true
	})
}

func asText(v any) (string, bool) {
	s, _ := v.(string)
	return s, s != ""
}

func asAddress(v any) (string, bool) {
	s, _ := v.(string)
	a, err := netip.ParseAddrPort(s)
	return s, err == nil && a.Port() != 0
}

func asNumber(v any) (float64, bool) {
	var n float64
	switch v := v.(type) {
	case uint64:
		n = float64(v)
	case int64:
		n = float64(v)
	case float64:
		n = v
	default:
		return 0, false
	}
	return n, !math.IsNaN(n) && !math.IsInf(n, 0)
}

func asWhole(v any) (int, bool) {
	n, ok := asNumber(v)
	if !ok || n < 0 || n > maxWhole || n != math.Trunc(n) {
		return 0, false
	}
	return int(n), true
}

func asSeconds(v any) (time.Duration, bool) {
	n, ok := asNumber(v)
	if !ok || n < 0 || n > maxSeconds {
		return 0, false
	}
	return time.Duration(math.Round(n * float64(time.Second))), true
}

// listOf reads a list, each item by read.
func listOf[T any](read func(v any) (T, bool)) func(v any) ([]T, bool) {
	return func(v any) ([]T, bool) {
		items, ok := v.([]any)
		if !ok {
			return nil, false
		}
		list := make([]T, len(items))
		for i, item := range items {
			if list[i], ok = read(item); !ok {
				return nil, false
			}
		}
		return list, true
	}
}

func mustBe(what string, v any) error {
	if v == nil {
		return fmt.Errorf("must be %s, is null", what)
	}
	return fmt.Errorf("must be %s, is %.*q", what, shownValue, fmt.Sprint(v))
}

// invalid turns what the schema refused into one line: the path of the first field by name, and what is wrong with it.
func invalid(err error) error {
	var path []string
	for {
		var fields validation.Errors
		if !errors.As(err, &fields) || len(fields) == 0 {
			break
		}
		names := make([]string, 0, len(fields))
		for name := range fields {
			names = append(names, name)
		}
		first := slices.Min(names)
		path, err = append(path, first), fields[first]
	}
	if len(path) == 0 {
		return errs.New(errs.Invalid, "settings: %s", err)
	}
	return errs.New(errs.Invalid, "%s: %s", strings.Join(path, "."), err)
}

// unreadable turns an error of the YAML reader, which quotes the source over several lines, into one line.
func unreadable(err error) error {
	var at yaml.Error
	if !errors.As(err, &at) {
		line, _, _ := strings.Cut(err.Error(), "\n")
		return errs.New(errs.Malformed, "settings: %s", line)
	}
	message, _, _ := strings.Cut(at.GetMessage(), "\n")
	if token := at.GetToken(); token != nil && token.Position != nil {
		return errs.New(errs.Malformed, "settings: line %d: %s", token.Position.Line, message)
	}
	return errs.New(errs.Malformed, "settings: %s", message)
}
