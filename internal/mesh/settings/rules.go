package settings

import (
	"fmt"
	"net/netip"
	"time"

	validation "github.com/go-ozzo/ozzo-validation/v4"
)

// maxShownValue bounds how many characters of a wrong value an error shows, so that it stays one short
// line.
const maxShownValue = 60

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
		m, ok := v.(map[string]any)
		if !ok {
			return mustBe("a table", v)
		}
		// A nil map passes the library's rule whatever it lacks, so an empty one is checked instead.
		if m == nil {
			m = map[string]any{}
		}
		return fields.Validate(m)
	})
}

// value declares a value that parse accepts; only then it is stored. The description says in errors what
// it has to be.
func value[T any](description string, into *T, parse func(v any) (T, bool)) validation.Rule {
	return validation.By(func(v any) error {
		parsed, ok := parse(v)
		if !ok {
			return mustBe(description, v)
		}
		*into = parsed
		return nil
	})
}

func mustBe(description string, v any) error {
	if v == nil {
		return fmt.Errorf("must be %s, is null", description)
	}
	return fmt.Errorf("must be %s, is %.*q", description, maxShownValue, fmt.Sprint(v))
}

func text(into *string) validation.Rule { return value("a text", into, parseText) }

func textList(into *[]string) validation.Rule {
	return value("a list of texts", into, listOf(parseText))
}

func textMap(into *map[string]string) validation.Rule {
	return value("a table of texts", into, parseTextMap)
}

func machineClass(into *string) validation.Rule {
	return value("core or sidecar", into, func(v any) (string, bool) {
		s, _ := v.(string)
		return s, s == Core || s == Sidecar
	})
}

func ipAddress(into *string) validation.Rule {
	return value("an IP address", into, func(v any) (string, bool) {
		s, _ := v.(string)
		_, err := netip.ParseAddr(s)
		return s, err == nil
	})
}

func hostPort(into *string) validation.Rule {
	return value("an IP address with a port", into, parseHostPort)
}

func hostPortList(into *[]string) validation.Rule {
	return value("a list of IP addresses with ports", into, listOf(parseHostPort))
}

func portRange(into *PortRange) validation.Rule {
	return value("two ports in order", into, parsePortRange)
}

func boolean(into *bool) validation.Rule {
	return value("true or false", into, func(v any) (bool, bool) {
		b, ok := v.(bool)
		return b, ok
	})
}

func nonNegative(into *float64) validation.Rule {
	return value("a number from 0 on", into, func(v any) (float64, bool) {
		n, ok := parseNumber(v)
		return n, ok && n >= 0
	})
}

func positive(into *float64) validation.Rule {
	return value("a number over 0", into, func(v any) (float64, bool) {
		n, ok := parseNumber(v)
		return n, ok && n > 0
	})
}

func integer(into *int) validation.Rule {
	return value("a whole number from 0 on", into, parseInteger)
}

func seconds(into *time.Duration) validation.Rule {
	return value("seconds from 0 on", into, parseSeconds)
}

func positiveSeconds(into *time.Duration) validation.Rule {
	return value("seconds over 0", into, func(v any) (time.Duration, bool) {
		d, ok := parseSeconds(v)
		return d, ok && d > 0
	})
}
