package settings

import (
	"math"
	"net/netip"
	"time"
)

const (
	// maxSeconds is the longest time taken from the file. It guards time.Duration against overflow.
	maxSeconds = 1e9
	// maxInteger is the largest whole number taken from the file. It guards the conversion of floats to
	// ints.
	maxInteger = 1 << 31
)

// The parse functions take a value as the YAML parser returns it. They return false for a value that
// isn't what their name says.

// parseText accepts any string but the empty one.
func parseText(v any) (string, bool) {
	s, _ := v.(string)
	return s, s != ""
}

func parseTextMap(v any) (map[string]string, bool) {
	m, ok := v.(map[string]any)
	if !ok {
		return nil, false
	}
	texts := make(map[string]string, len(m))
	for k, v := range m {
		if texts[k], ok = parseText(v); !ok {
			return nil, false
		}
	}
	return texts, true
}

func parseHostPort(v any) (string, bool) {
	s, _ := v.(string)
	address, err := netip.ParseAddrPort(s)
	return s, err == nil && address.Port() != 0
}

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

// parseInteger accepts integers from 0 on.
func parseInteger(v any) (int, bool) {
	n, ok := parseNumber(v)
	if !ok || n < 0 || n > maxInteger || n != math.Trunc(n) {
		return 0, false
	}
	return int(n), true
}

// parseSeconds accepts seconds from 0 on, and rounds them to nanoseconds.
func parseSeconds(v any) (time.Duration, bool) {
	n, ok := parseNumber(v)
	if !ok || n < 0 || n > maxSeconds {
		return 0, false
	}
	return time.Duration(math.Round(n * float64(time.Second))), true
}

// listOf returns a function that parses a list, each item by parse.
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
