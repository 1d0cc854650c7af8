package settings

import (
	"math"
	"net/netip"
	"time"
)

const (
	// maxSeconds is the maximum duration in seconds. It keeps the conversion to time.Duration from overflowing.
	maxSeconds = 1e9
	// maxInteger is the maximum integer. It keeps the conversion from float64 to int from overflowing.
	maxInteger = 1 << 31
)

// The parse functions below convert a value as the YAML parser returns it. They return false for a value of another
// type or outside the allowed range.

// parseNonEmptyString accepts any string that is not empty.
func parseNonEmptyString(v any) (string, bool) {
	s, _ := v.(string)
	return s, s != ""
}

// parseStringMap accepts a mapping to strings that are not empty.
func parseStringMap(v any) (map[string]string, bool) {
	m, ok := v.(map[string]any)
	if !ok {
		return nil, false
	}
	result := make(map[string]string, len(m))
	for k, v := range m {
		if result[k], ok = parseNonEmptyString(v); !ok {
			return nil, false
		}
	}
	return result, true
}

// parseHostPort accepts an IP address with a port above 0.
func parseHostPort(v any) (string, bool) {
	s, _ := v.(string)
	address, err := netip.ParseAddrPort(s)
	return s, err == nil && address.Port() != 0
}

// parsePortRange accepts a list of two ports in ascending order, which may be equal.
func parsePortRange(v any) (PortRange, bool) {
	ports, ok := listOf(parseInteger)(v)
	if !ok || len(ports) != 2 {
		return PortRange{}, false
	}
	first, last := ports[0], ports[1]
	return PortRange{First: first, Last: last}, first > 0 && first <= last && last <= math.MaxUint16
}

// parseNumber accepts any finite number.
func parseNumber(v any) (float64, bool) {
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

// parseInteger accepts an integer from 0 to maxInteger.
func parseInteger(v any) (int, bool) {
	n, ok := parseNumber(v)
	if !ok || n < 0 || n > maxInteger || n != math.Trunc(n) {
		return 0, false
	}
	return int(n), true
}

// parseSeconds accepts a number of seconds from 0 to maxSeconds, and rounds it to nanoseconds.
func parseSeconds(v any) (time.Duration, bool) {
	n, ok := parseNumber(v)
	if !ok || n < 0 || n > maxSeconds {
		return 0, false
	}
	return time.Duration(math.Round(n * float64(time.Second))), true
}

// listOf returns a function that parses a list, and each of its items with parse.
func listOf[T any](parse func(v any) (T, bool)) func(v any) ([]T, bool) {
	return func(v any) ([]T, bool) {
		items, ok := v.([]any)
		if !ok {
			return nil, false
		}
		list := make([]T, len(items))
		for i, item := range items {
			if list[i], ok = parse(item); !ok {
				return nil, false
			}
		}
		return list, true
	}
}
