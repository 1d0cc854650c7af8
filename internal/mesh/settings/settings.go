// Package settings reads the settings file of a process, the YAML file whose path is in the environment variable
// CAPERARCH_BOOT. A Settings value is complete and valid. It must not be modified, so that it is safe for concurrent
// use. The keys of the file are a stable interface for the tools that write the file.
package settings

import (
	"net"
	"os"
	"slices"
	"strconv"
	"time"

	"caperarch/internal/mesh/errs"
)

// BootVariable is the environment variable with the path of the settings file.
const BootVariable = "CAPERARCH_BOOT"

// The machine classes. The machine class determines which fields a settings file has.
const (
	Core    = "core"
	Sidecar = "sidecar"
)

// Settings is a validated settings file: every field that its machine class requires is present and valid.
type Settings struct {
	Self       Self
	Network    Network
	Provider   Provider
	Guarantees Guarantees
}

// Self describes the process and the machine that it runs on.
type Self struct {
	NodeName        string
	Role            string
	MachineClass    string // Core or Sidecar
	ServedRoles     []string
	IPAddress       string
	Zone            string
	Region          string
	CountedInQuorum bool
	FirstStart      bool   // true only at the first start of the whole system, with empty disks
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
	SeedNodes         []string          // control plane addresses of core machines
	Zones             map[string]string // region by zone
}

// ListenAddresses are the addresses on which the process listens. All but ControlPlane are empty on core machines.
type ListenAddresses struct {
	Inbound      string
	Outbound     string
	Readiness    string
	ControlPlane string
}

// PortRange is the range of ports for the internal protocols of the mesh, including First and Last.
type PortRange struct {
	First int
	Last  int
}

// Provider describes how upstream instances register.
type Provider struct {
	DiscoverySource   string
	EntryType         string
	HeartbeatInterval time.Duration
}

// Guarantees holds the guarantees that apply, and their parameters.
type Guarantees struct {
	Contracts      Contracts
	FaultTolerance FaultTolerance
	Bounds         Bounds
}

// Contracts are the names of the contracts that apply. A contract is a group of guarantees.
type Contracts []string

// Has reports whether a contract applies.
func (c Contracts) Has(contract string) bool { return slices.Contains(c, contract) }

// FaultTolerance is the number of machines, zones and regions that may fail at the same time without violating a
// guarantee.
type FaultTolerance struct {
	Machines int
	Zones    int
	Regions  int
}

// Bounds holds the parameters of the guarantees. A parameter that is missing from the file is zero.
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

// Load reads the settings file whose path is in BootVariable. It returns an error of kind Invalid if the variable is
// not set, and the errors of ReadFile.
func Load() (*Settings, error) {
	path := os.Getenv(BootVariable)
	if path == "" {
		return nil, errs.New(errs.Invalid, "%s is not set", BootVariable)
	}
	return ReadFile(path)
}

// ReadFile reads the settings file at path. It returns an error of kind Malformed if the file cannot be read. Its other
// errors are returned by Parse.
func ReadFile(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errs.Wrap(err, errs.Malformed, "settings")
	}
	return Parse(data)
}

// InternalAddress returns the address for the internal protocols on the machine of the host. The port is the same on
// all machines. A port in host, as seed nodes have it, is replaced.
func (s *Settings) InternalAddress(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return net.JoinHostPort(host, strconv.Itoa(s.Network.InternalPortRange.First))
}

// SeedAddresses returns the internal addresses of the seed nodes.
func (s *Settings) SeedAddresses() []string {
	var addresses []string
	for _, node := range s.Network.SeedNodes {
		addresses = append(addresses, s.InternalAddress(node))
	}
	return addresses
}

// OwnInternalAddress returns the internal address of this process.
func (s *Settings) OwnInternalAddress() string { return s.InternalAddress(s.Self.IPAddress) }
