package settings

import (
	validation "github.com/go-ozzo/ozzo-validation/v4"
)

// machineClassSchema declares the one field that decides on the others.
func machineClassSchema(self *Self) validation.Rule {
	return table(key("self", table(key("machineClass", machineClass(&self.MachineClass)))))
}

// schema declares the whole file for the machine class. Each rule checks a value and stores it in its
// place in s.
func (s *Settings) schema() validation.Rule {
	return table(
		key("self", s.Self.schema()),
		key("network", s.Network.schema(s.Self.MachineClass)),
		key("provider", s.Provider.schema()),
		key("guarantees", s.Guarantees.schema()),
	)
}

func (s *Self) schema() validation.Rule {
	keys := []*validation.KeyRules{
		key("nodeName", text(&s.NodeName)),
		key("role", text(&s.Role)),
		key("servedRoles", textList(&s.ServedRoles)),
		key("ipAddress", ipAddress(&s.IPAddress)),
		key("zone", text(&s.Zone)),
		key("region", text(&s.Region)),
		key("countedInQuorum", boolean(&s.CountedInQuorum)),
		key("firstStart", boolean(&s.FirstStart)),
		key("limits", s.Limits.schema()),
	}
	switch s.MachineClass {
	case Core:
		keys = append(keys, key("dataDirectory", text(&s.DataDirectory)))
	case Sidecar:
		keys = append(keys,
			optional("dataDirectory", text(&s.DataDirectory)),
			key("appAddress", hostPort(&s.AppAddress)),
			key("serviceName", text(&s.ServiceName)))
	}
	return table(keys...)
}

func (l *Limits) schema() validation.Rule {
	return table(
		key("cpuShare", positive(&l.CPUShare)),
		key("cpuCores", positive(&l.CPUCores)),
		key("memoryMb", integer(&l.MemoryMB)),
		key("maxOpenFiles", integer(&l.MaxOpenFiles)),
		key("bandwidthMbps", positive(&l.BandwidthMbps)),
		key("diskMb", integer(&l.DiskMB)),
	)
}

func (n *Network) schema(machineClass string) validation.Rule {
	return table(
		key("listenAddresses", n.ListenAddresses.schema(machineClass)),
		key("internalPortRange", portRange(&n.InternalPortRange)),
		key("seedNodes", hostPortList(&n.SeedNodes)),
		key("zones", textMap(&n.Zones)),
	)
}

func (a *ListenAddresses) schema(machineClass string) validation.Rule {
	keys := []*validation.KeyRules{key("controlPlane", hostPort(&a.ControlPlane))}
	if machineClass == Sidecar {
		keys = append(keys,
			key("inbound", hostPort(&a.Inbound)),
			key("outbound", hostPort(&a.Outbound)),
			key("readiness", hostPort(&a.Readiness)))
	}
	return table(keys...)
}

func (p *Provider) schema() validation.Rule {
	return table(
		key("discoverySource", text(&p.DiscoverySource)),
		key("entryType", text(&p.EntryType)),
		key("heartbeatIntervalS", positiveSeconds(&p.HeartbeatInterval)),
	)
}

func (g *Guarantees) schema() validation.Rule {
	return table(
		key("contracts", textList((*[]string)(&g.Contracts))),
		key("faultTolerance", table(
			key("machines", integer(&g.FaultTolerance.Machines)),
			key("zones", integer(&g.FaultTolerance.Zones)),
			key("regions", integer(&g.FaultTolerance.Regions)),
		)),
		key("bounds", g.Bounds.schema()),
	)
}

func (b *Bounds) schema() validation.Rule {
	return table(
		optional("seedLagS", seconds(&b.SeedLag)),
		optional("addressReuseS", seconds(&b.AddressReuse)),
		optional("contactWindowS", seconds(&b.ContactWindow)),
		optional("ackTimeoutS", seconds(&b.AckTimeout)),
		optional("catchUpS", seconds(&b.CatchUp)),
		optional("drainTimeoutS", seconds(&b.DrainTimeout)),
		optional("gracePeriodS", seconds(&b.GracePeriod)),
		optional("lossSlackS", seconds(&b.LossSlack)),
		optional("configApplyS", seconds(&b.ConfigApply)),
		optional("rollbackSlackS", seconds(&b.RollbackSlack)),
		optional("maxSkewS", seconds(&b.MaxSkew)),
		optional("revocationStrict", boolean(&b.RevocationStrict)),
		optional("revocationS", seconds(&b.Revocation)),
		optional("retryBudgetRatio", nonNegative(&b.RetryBudgetRatio)),
		optional("retryWindowS", seconds(&b.RetryWindow)),
		optional("retryBudgetSlack", nonNegative(&b.RetryBudgetSlack)),
		optional("quotaWindowS", seconds(&b.QuotaWindow)),
		optional("quotaOverage", nonNegative(&b.QuotaOverage)),
		optional("quotaSlack", nonNegative(&b.QuotaSlack)),
		optional("recoveryS", seconds(&b.Recovery)),
	)
}
