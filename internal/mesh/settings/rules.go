package settings

import (
	"fmt"
	"net/netip"
	"time"

	validation "github.com/go-ozzo/ozzo-validation/v4"
)

// maxShownValue is the maximum number of characters that an error shows of an invalid value.
const maxShownValue = 60

// required declares a field that must be present.
func required(name string, rule validation.Rule) *validation.KeyRules {
	return validation.Key(name, rule)
}

// optional declares a field that may be missing or null.
func optional(name string, rule validation.Rule) *validation.KeyRules {
	return validation.Key(name, validation.By(func(v any) error {
		if v == nil {
			return nil
		}
		return rule.Validate(v)
	})).Optional()
}

// mapping declares a mapping with the given fields. Other fields are allowed.
func mapping(keys ...*validation.KeyRules) validation.Rule {
	fields := validation.Map(keys...).AllowExtraKeys()
	return validation.By(func(v any) error {
		m, ok := v.(map[string]any)
		if !ok {
			return valueError("a table", v)
		}
		// The library's rule accepts a nil map even if required fields are missing. An empty map is checked instead.
		if m == nil {
			m = map[string]any{}
		}
		return fields.Validate(m)
	})
}

// value declares a value that parse accepts. The parsed value is stored only if parse accepts it. The description
// completes the error message "must be ...", which the command check prints.
func value[T any](description string, into *T, parse func(v any) (T, bool)) validation.Rule {
	return validation.By(func(v any) error {
		parsed, ok := parse(v)
		if !ok {
			return valueError(description, v)
		}
		*into = parsed
		return nil
	})
}

// valueError returns the error for a value that does not match the description.
func valueError(description string, v any) error {
	if v == nil {
		return fmt.Errorf("must be %s, is null", description)
	}
	return fmt.Errorf("must be %s, is %.*q", description, maxShownValue, fmt.Sprint(v))
}

// nonEmptyString declares a string that is not empty.
func nonEmptyString(into *string) validation.Rule { return value("a text", into, parseNonEmptyString) }

// stringList declares a list of strings that are not empty.
func stringList(into *[]string) validation.Rule {
	return value("a list of texts", into, listOf(parseNonEmptyString))
}

// stringMap declares a mapping to strings that are not empty.
func stringMap(into *map[string]string) validation.Rule {
	return value("a table of texts", into, parseStringMap)
}

// machineClass declares a machine class: Core or Sidecar.
func machineClass(into *string) validation.Rule {
	return value("core or sidecar", into, func(v any) (string, bool) {
		s, _ := v.(string)
		return s, s == Core || s == Sidecar
	})
}

// ipAddress declares an IP address without a port.
func ipAddress(into *string) validation.Rule {
	return value("an IP address", into, func(v any) (string, bool) {
		s, _ := v.(string)
		_, err := netip.ParseAddr(s)
		return s, err == nil
	})
}

// hostPort declares an IP address with a port.
func hostPort(into *string) validation.Rule {
	return value("an IP address with a port", into, parseHostPort)
}

// hostPortList declares a list of IP addresses with ports.
func hostPortList(into *[]string) validation.Rule {
	return value("a list of IP addresses with ports", into, listOf(parseHostPort))
}

// portRange declares a list of two ports in ascending order.
func portRange(into *PortRange) validation.Rule {
	return value("two ports in order", into, parsePortRange)
}

// boolean declares a Boolean value.
func boolean(into *bool) validation.Rule {
	return value("true or false", into, func(v any) (bool, bool) {
		b, ok := v.(bool)
		return b, ok
	})
}

// nonNegative declares a number that is at least 0.
func nonNegative(into *float64) validation.Rule {
	return value("a number from 0 on", into, func(v any) (float64, bool) {
		n, ok := parseNumber(v)
		return n, ok && n >= 0
	})
}

// positive declares a number above 0.
func positive(into *float64) validation.Rule {
	return value("a number over 0", into, func(v any) (float64, bool) {
		n, ok := parseNumber(v)
		return n, ok && n > 0
	})
}

// integer declares an integer that is at least 0.
func integer(into *int) validation.Rule {
	return value("a whole number from 0 on", into, parseInteger)
}

// seconds declares a duration in seconds that is at least 0.
func seconds(into *time.Duration) validation.Rule {
	return value("seconds from 0 on", into, parseSeconds)
}

// positiveSeconds declares a duration in seconds above 0.
func positiveSeconds(into *time.Duration) validation.Rule {
	return value("seconds over 0", into, func(v any) (time.Duration, bool) {
		d, ok := parseSeconds(v)
		return d, ok && d > 0
	})
}
