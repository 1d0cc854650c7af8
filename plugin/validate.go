package plugin

import (
	"fmt"
	"log/slog"
	"math"
	"net"
	"strings"
)

// validated checks a Config and fills in the defaults. The error names the field.
func (c Config) validated() (Config, error) {
	for _, check := range []func(*Config) error{
		(*Config).checkDiscovery, (*Config).checkNames, (*Config).checkKnown, (*Config).checkMethods,
		(*Config).checkBounds,
	} {
		if err := check(&c); err != nil {
			return Config{}, err
		}
	}
	c.MaxConnections = or(c.MaxConnections, DefaultMaxConnections)
	c.MaxCalls = or(c.MaxCalls, DefaultMaxCalls)
	c.MaxBodyBytes = or(c.MaxBodyBytes, DefaultMaxBodyBytes)
	c.DialTimeout = or(c.DialTimeout, DefaultDialTimeout)
	c.ConnIdle = or(c.ConnIdle, DefaultConnIdle)
	c.Policy.MayCancel = true // every transport here can
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	return c, nil
}

// invalidConfig is the error for a field of a Config.
func invalidConfig(field, format string, args ...any) error {
	return &InvalidError{"Config." + field, fmt.Sprintf(format, args...)}
}

func (c *Config) checkDiscovery() error {
	if c.Discovery == "" && len(c.Known)+len(c.known.Servers) == 0 {
		return invalidConfig("Discovery", "it is empty and Known too: there is no server to send to")
	}
	if c.Discovery != "" {
		if _, _, err := net.SplitHostPort(c.Discovery); err != nil {
			return invalidConfig("Discovery", "%v", err)
		}
	}
	if c.Discovery == "" && c.Policy.ListOnDemand {
		return invalidConfig("Policy.AskList", "it is set, but Discovery is empty")
	}
	return nil
}

// checkNames checks that classes, tenants and zones have one unique name each.
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
			return invalidConfig(list.field, "%d names for %d of %s", len(list.names), list.want, list.of)
		}
		seen := make(map[string]bool)
		for i, name := range list.names {
			if name == "" || seen[name] || strings.ContainsAny(name, "\r\n") {
				return invalidConfig(list.field, "[%d] is %q: each needs a name of its own", i, name)
			}
			seen[name] = true
		}
	}
	if len(c.Zones) > 0 && (c.Policy.Zone < 0 || c.Policy.Zone >= len(c.Zones)) {
		return invalidConfig("Policy.Zone", "%d is not the number of one of the %d Zones", c.Policy.Zone, len(c.Zones))
	}
	return nil
}

func (c *Config) checkKnown() error {
	if len(c.Known) > maxNodes {
		return invalidConfig("Known", "%d nodes, %d at most", len(c.Known), maxNodes)
	}
	ids := make(map[string]bool)
	for i, n := range c.Known {
		switch _, _, err := net.SplitHostPort(n.Address); {
		case n.ID == "" || ids[n.ID]:
			return invalidConfig("Known", "[%d].ID is %q: each node needs one of its own", i, n.ID)
		case err != nil:
			return invalidConfig("Known", "[%d].Address: %v", i, err)
		case !(n.Weight >= 0) || math.IsInf(n.Weight, 0):
			return invalidConfig("Known", "[%d].Weight is %v", i, n.Weight)
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
			return invalidConfig("Methods", "%q does not begin with a slash", name)
		case !known:
			return invalidConfig("Methods", "%q: class %q is none of Classes", name, m.Class)
		}
		if _, known := tenants[m.Tenant]; !known && m.Tenant != "" {
			return invalidConfig("Methods", "%q: tenant %q is none of Tenants", name, m.Tenant)
		}
	}
	for name := range c.LoadReport {
		if name == "" || strings.ContainsAny(name, "=, \r\n") {
			return invalidConfig("LoadReport", "%q is no field's name", name)
		}
	}
	return nil
}

func (c *Config) checkBounds() error {
	if c.MaxConnections < 0 || c.MaxConnections > maxConnections {
		return invalidConfig("MaxConnections", "%d is not within 0 and %d", c.MaxConnections, maxConnections)
	}
	if c.MaxCalls < 0 || c.MaxCalls > maxCalls {
		return invalidConfig("MaxCalls", "%d is not within 0 and %d", c.MaxCalls, maxCalls)
	}
	if c.MaxBodyBytes < 0 {
		return invalidConfig("MaxBodyBytes", "%d is below 0", c.MaxBodyBytes)
	}
	if c.DialTimeout < 0 {
		return invalidConfig("DialTimeout", "%v is below 0", c.DialTimeout)
	}
	if c.ConnIdle < 0 {
		return invalidConfig("ConnIdle", "%v is below 0", c.ConnIdle)
	}
	return nil
}
