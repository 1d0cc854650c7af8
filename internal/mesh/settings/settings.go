// Package settings owns the settings file of a process: the YAML file that CAPERARCH_BOOT names. A value
// of Settings is complete and well formed, or there is none; nothing changes it after it was read, so any
// goroutine may use it. The keys of the file are a contract with its writers.
package settings

import (
	"net"
	"os"
	"slices"
	"strconv"
	"time"

	"caperarch/internal/mesh/errs"
)

// BootVariable is the environment variable that holds the path of the settings file.
const BootVariable = "CAPERARCH_BOOT"

// The machine classes. They decide which fields a settings file has.
const (
	Core    = "core"
	Sidecar = "sidecar"
)

// Settings is a settings file that was checked: every field that its machine class needs is there and
// well formed.
type Settings struct {
	Self       Self
	Network    Network
	Provider   Provider
	Guarantees Guarantees
}

// Self describes the process and its machine.
type Self struct {
	NodeName        string
	Role            string
	MachineClass    string // Core or Sidecar
	ServedRoles     []string
	IPAddress       string
	Zone            string
	Region          string
	CountedInQuorum bool
	FirstStart      bool   // only at the first start of the whole system, with empty disks
	DataDirectory   string // empty on machines without a disk
	Limits          Limits
	AppAddress      string // empty on core machines
	ServiceName     string // empty on core machines
}

// Limits are the resources that the process may use.
type Limits struct {
	CPUShare      float64
	CPUCores      float64
	MemoryMB      int
	MaxOpenFiles  int
	BandwidthMbps float64
	DiskMB        int
}

// Network holds the addresses of the process and of the core machines.
type Network struct {
	ListenAddresses   ListenAddresses
	InternalPortRange PortRange
	SeedNodes         []string          // control plane addresses
	Zones             map[string]string // the region of each zone
}

// ListenAddresses are those that the process serves at. All but ControlPlane are empty on core machines.
type ListenAddresses struct {
	Inbound      string
	Outbound     string
	Readiness    string
	ControlPlane string
}

// PortRange is the range of ports for the mesh's own protocols, both ends included.
type PortRange struct {
	First int
	Last  int
}

// Provider says how upstream instances register.
type Provider struct {
	DiscoverySource   string
	EntryType         string
	HeartbeatInterval time.Duration
}

// Guarantees holds the rules in force and their parameters.
type Guarantees struct {
	Contracts      Contracts
	FaultTolerance FaultTolerance
	Bounds         Bounds
}

// Contracts names the groups of rules in force.
type Contracts []string

// Has reports whether the group is in force.
func (c Contracts) Has(contract string) bool { return slices.Contains(c, contract) }

// FaultTolerance says how many of each may fail at the same time while every rule is kept.
type FaultTolerance struct {
	Machines int
	Zones    int
	Regions  int
}

// Bounds holds the parameters of the rules. Those that the file doesn't name are zero.
type Bounds struct {
	SeedLag          time.Duration
	AddressReuse     time.Duration
	ContactWindow    time.Duration
	AckTimeout       time.Duration
	CatchUp          time.Duration
	DrainTimeout     time.Duration
	GracePeriod      time.Duration
	LossSlack        time.Duration
	ConfigApply      time.Duration
	RollbackSlack    time.Duration
	MaxSkew          time.Duration
	RevocationStrict bool
	Revocation       time.Duration
	RetryBudgetRatio float64
	RetryWindow      time.Duration
	RetryBudgetSlack float64
	QuotaWindow      time.Duration
	QuotaOverage     float64
	QuotaSlack       float64
	Recovery         time.Duration
}

// Load reads the file that CAPERARCH_BOOT names. It is errs.Invalid if that is not set, and otherwise fails
// as ReadFile does.
func Load() (*Settings, error) {
	path := os.Getenv(BootVariable)
	if path == "" {
		return nil, errs.New(errs.Invalid, "%s is not set", BootVariable)
	}
	return ReadFile(path)
}

// ReadFile reads the file at path. It is errs.Malformed if the file cannot be read, and otherwise fails as
// Parse does.
func ReadFile(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errs.Wrap(err, errs.Malformed, "settings")
	}
	return Parse(data)
}

// InternalAddress returns the address for the mesh's own protocol on the host's machine: the ports are the
// same on all machines. If the host has a port, as seed nodes have, it is replaced.
func (s *Settings) InternalAddress(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return net.JoinHostPort(host, strconv.Itoa(s.Network.InternalPortRange.First))
}

// SeedAddresses returns the internal addresses of the core machines that the settings name.
func (s *Settings) SeedAddresses() []string {
	var addresses []string
	for _, node := range s.Network.SeedNodes {
		addresses = append(addresses, s.InternalAddress(node))
	}
	return addresses
}

// OwnInternalAddress returns the process's own address for the mesh's own protocol.
func (s *Settings) OwnInternalAddress() string { return s.InternalAddress(s.Self.IPAddress) }
