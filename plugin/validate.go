package plugin

import (
	"fmt"
	"log/slog"
	"math"
	"net"
	"strings"
)

// validated returns a checked copy of a Config with the defaults filled in. The error names the invalid field.
func (c Config) validated() (Config, error) {
	for _, check := range []func(*Config) error{
		(*Config).checkDiscovery, (*Config).checkNames, (*Config).checkKnown, (*Config).checkMethods,
		(*Config).checkBounds,
	} {
		if err := check(&c); err != nil {
			return Config{}, err
		}
	}
	c.MaxConnections = orDefault(c.MaxConnections, DefaultMaxConnections)
	c.MaxCalls = orDefault(c.MaxCalls, DefaultMaxCalls)
	c.MaxBodyBytes = orDefault(c.MaxBodyBytes, DefaultMaxBodyBytes)
	c.DialTimeout = orDefault(c.DialTimeout, DefaultDialTimeout)
	c.ConnIdle = orDefault(c.ConnIdle, DefaultConnIdle)
	c.Policy.MayCancel = true // all transports of the plug-in can cancel an attempt
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	return c, nil
}

// invalidConfig returns an InvalidError for a field of a Config.
func invalidConfig(field, format string, args ...any) error {
	return &InvalidError{"Config." + field, fmt.Sprintf(format, args...)}
}

func (c *Config) checkDiscovery() error {
	if c.Discovery == "" && len(c.Known)+len(c.known.Servers) == 0 {
		return invalidConfig("Discovery", "Discovery and Known are both empty: the client has no server to send calls to")
	}
	if c.Discovery != "" {
		if _, _, err := net.SplitHostPort(c.Discovery); err != nil {
			return invalidConfig("Discovery", "%v", err)
		}
	}
	if c.Discovery == "" && c.Policy.ListOnDemand {
		return invalidConfig("Policy.AskList", "set without Config.Discovery: there is no service to request the list from")
	}
	return nil
}

// checkNames checks that each class, tenant and zone has a unique name, and that Policy.Zone is the index of a zone.
func (c *Config) checkNames() error {
	for _, list := range []struct {
		field, of string
		names     []string
		want      int
	}{
		{"Classes", "Policy.Classes", c.Classes, len(c.Policy.Classes)},
		{"Tenants", "Policy.Tenants", c.Tenants, len(c.Policy.Tenants)},
		{"Zones", "", c.Zones, len(c.Zones)},
	} {
		if len(list.names) != list.want {
			return invalidConfig(list.field, "got %d names for %d entries of %s", len(list.names), list.want, list.of)
		}
		seen := make(map[string]bool)
		for i, name := range list.names {
			if name == "" || seen[name] || strings.ContainsAny(name, "\r\n") {
				return invalidConfig(list.field, "[%d] is %q: want a unique name that is not empty and has no line break", i, name)
			}
			seen[name] = true
		}
	}
	if len(c.Zones) > 0 && (c.Policy.Zone < 0 || c.Policy.Zone >= len(c.Zones)) {
		return invalidConfig("Policy.Zone", "got %d, want an index into the %d Zones", c.Policy.Zone, len(c.Zones))
	}
	return nil
}

func (c *Config) checkKnown() error {
	if len(c.Known) > maxNodes {
		return invalidConfig("Known", "got %d nodes, want at most %d", len(c.Known), maxNodes)
	}
	ids := make(map[string]bool)
	for i, n := range c.Known {
		switch _, _, err := net.SplitHostPort(n.Address); {
		case n.ID == "" || ids[n.ID]:
			return invalidConfig("Known", "[%d].ID is %q: want a unique ID that is not empty", i, n.ID)
		case err != nil:
			return invalidConfig("Known", "[%d].Address: %v", i, err)
		case !(n.Weight >= 0) || math.IsInf(n.Weight, 0):
			return invalidConfig("Known", "[%d].Weight is %v: want a finite number of 0 or more", i, n.Weight)
		}
		ids[n.ID] = true
	}
	return nil
}

func (c *Config) checkMethods() error {
	classes, tenants := numbersByName(c.Classes), numbersByName(c.Tenants)
	for name, m := range c.Methods {
		switch _, known := classes[m.Class]; {
		case !strings.HasPrefix(name, "/"):
			return invalidConfig("Methods", "method name %q does not begin with a slash", name)
		case !known:
			return invalidConfig("Methods", "method %q: class %q is not in Config.Classes", name, m.Class)
		}
		if _, known := tenants[m.Tenant]; !known && m.Tenant != "" {
			return invalidConfig("Methods", "method %q: tenant %q is not in Config.Tenants", name, m.Tenant)
		}
	}
	for name := range c.LoadReport {
		if name == "" || strings.ContainsAny(name, "=, \r\n") {
			return invalidConfig("LoadReport", "field name %q is empty or has an equals sign, comma, space or line break", name)
		}
	}
	return nil
}

func (c *Config) checkBounds() error {
	if c.MaxConnections < 0 || c.MaxConnections > maxConnections {
		return invalidConfig("MaxConnections", "got %d, want 0 to %d", c.MaxConnections, maxConnections)
	}
	if c.MaxCalls < 0 || c.MaxCalls > maxCalls {
		return invalidConfig("MaxCalls", "got %d, want 0 to %d", c.MaxCalls, maxCalls)
	}
	if c.MaxBodyBytes < 0 {
		return invalidConfig("MaxBodyBytes", "got %d bytes, want 0 or more", c.MaxBodyBytes)
	}
	if c.DialTimeout < 0 {
		return invalidConfig("DialTimeout", "got %v, want 0 or more", c.DialTimeout)
	}
	if c.ConnIdle < 0 {
		return invalidConfig("ConnIdle", "got %v, want 0 or more", c.ConnIdle)
	}
	return nil
}
