package settings

import (
	validation "github.com/go-ozzo/ozzo-validation/v4"
)

// machineClassSchema declares the machine class, which determines the other fields of the file.
func machineClassSchema(self *Self) validation.Rule {
	return mapping(required("self", mapping(required("machineClass", machineClass(&self.MachineClass)))))
}

// schema declares all fields of the file for the machine class. Each rule validates a value and stores it in s.
func (s *Settings) schema() validation.Rule {
	return mapping(
		required("self", s.Self.schema()),
		required("network", s.Network.schema(s.Self.MachineClass)),
		required("provider", s.Provider.schema()),
		required("guarantees", s.Guarantees.schema()),
	)
}

// schema declares the fields of the key self for the machine class in s.
func (s *Self) schema() validation.Rule {
	keys := []*validation.KeyRules{
		required("nodeName", nonEmptyString(&s.NodeName)),
		required("role", nonEmptyString(&s.Role)),
		required("servedRoles", stringList(&s.ServedRoles)),
		required("ipAddress", ipAddress(&s.IPAddress)),
		required("zone", nonEmptyString(&s.Zone)),
		required("region", nonEmptyString(&s.Region)),
		required("countedInQuorum", boolean(&s.CountedInQuorum)),
		required("firstStart", boolean(&s.FirstStart)),
		required("limits", s.Limits.schema()),
	}
	switch s.MachineClass {
	case Core:
		keys = append(keys, required("dataDirectory", nonEmptyString(&s.DataDirectory)))
	case Sidecar:
		keys = append(keys,
			optional("dataDirectory", nonEmptyString(&s.DataDirectory)),
			required("appAddress", hostPort(&s.AppAddress)),
			required("serviceName", nonEmptyString(&s.ServiceName)))
	}
	return mapping(keys...)
}

// schema declares the fields of the key self.limits.
func (l *Limits) schema() validation.Rule {
	return mapping(
		required("cpuShare", positive(&l.CPUShare)),
		required("cpuCores", positive(&l.CPUCores)),
		required("memoryMb", integer(&l.MemoryMB)),
		required("maxOpenFiles", integer(&l.MaxOpenFiles)),
		required("bandwidthMbps", positive(&l.BandwidthMbps)),
		required("diskMb", integer(&l.DiskMB)),
	)
}

// schema declares the fields of the key network for a machine class.
func (n *Network) schema(machineClass string) validation.Rule {
	return mapping(
		required("listenAddresses", n.ListenAddresses.schema(machineClass)),
		required("internalPortRange", portRange(&n.InternalPortRange)),
		required("seedNodes", hostPortList(&n.SeedNodes)),
		required("zones", stringMap(&n.Zones)),
	)
}

// schema declares the fields of the key network.listenAddresses for a machine class.
func (a *ListenAddresses) schema(machineClass string) validation.Rule {
	keys := []*validation.KeyRules{required("controlPlane", hostPort(&a.ControlPlane))}
	if machineClass == Sidecar {
		keys = append(keys,
			required("inbound", hostPort(&a.Inbound)),
			required("outbound", hostPort(&a.Outbound)),
			required("readiness", hostPort(&a.Readiness)))
	}
	return mapping(keys...)
}

// schema declares the fields of the key provider.
func (p *Provider) schema() validation.Rule {
	return mapping(
		required("discoverySource", nonEmptyString(&p.DiscoverySource)),
		required("entryType", nonEmptyString(&p.EntryType)),
		required("heartbeatIntervalS", positiveSeconds(&p.HeartbeatInterval)),
	)
}

// schema declares the fields of the key guarantees.
func (g *Guarantees) schema() validation.Rule {
	return mapping(
		required("contracts", stringList((*[]string)(&g.Contracts))),
		required("faultTolerance", mapping(
			required("machines", integer(&g.FaultTolerance.Machines)),
			required("zones", integer(&g.FaultTolerance.Zones)),
			required("regions", integer(&g.FaultTolerance.Regions)),
		)),
		required("bounds", g.Bounds.schema()),
	)
}

// schema declares the fields of the key guarantees.bounds. All of them are optional.
func (b *Bounds) schema() validation.Rule {
	return mapping(
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
