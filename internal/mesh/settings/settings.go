// Package settings reads what a process is told at its start: the YAML file named by CAPERARCH_BOOT.
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

// The classes of machines. They decide which fields a settings file has.
const (
	Core    = "core"
	Sidecar = "sidecar"
)

// Settings is what the process is told, checked whole: every field its machine class needs is there and well formed.
type Settings struct {
	Self       Self
	Network    Network
	Provider   Provider
	Guarantees Guarantees
}

// Self is the process's own place.
type Self struct {
	NodeName        string
	Role            string
	MachineClass    string // Core or Sidecar.
	ServedRoles     []string
	IPAddress       string
	Zone            string
	Region          string
	CountedInQuorum bool
	FirstStart      bool   // True only at the first start of the whole system, with empty disks.
	DataDirectory   string // Empty on machines without a disk.
	Limits          Limits
	AppAddress      string // Empty on core machines.
	ServiceName     string // Empty on core machines.
}

// Limits is what the process may use.
type Limits struct {
	CPUShare      float64
	CPUCores      float64
	MemoryMB      int
	MaxOpenFiles  int
	BandwidthMbps float64
	DiskMB        int
}

// Network is the addresses of the process and of those it can ask.
type Network struct {
	ListenAddresses   ListenAddresses
	InternalPortRange PortRange
	SeedNodes         []string          // Control plane addresses.
	Zones             map[string]string // The region of each zone.
}

// ListenAddresses is what the process serves at. All but ControlPlane are empty on core machines.
type ListenAddresses struct {
	Inbound      string
	Outbound     string
	Readiness    string
	ControlPlane string
}

// PortRange is the ports that are free for the mesh's own protocols, both ends included.
type PortRange struct {
	First int
	Last  int
}

// Provider says how instances make themselves known.
type Provider struct {
	DiscoverySource   string
	EntryType         string
	HeartbeatInterval time.Duration
}

// Guarantees is the rules in force and their figures.
type Guarantees struct {
	Contracts      Contracts
	FaultTolerance FaultTolerance
	Bounds         Bounds
}

// Contracts names the parts of the rules in force.
type Contracts []string

// Has says whether the contract is in force.
func (c Contracts) Has(contract string) bool { return slices.Contains(c, contract) }

// FaultTolerance is what may be lost at the same time while every rule is kept.
type FaultTolerance struct {
	Machines int
	Zones    int
	Regions  int
}

// Bounds is the figures of the rules. Those the file doesn't name are zero.
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

// Load reads the file that CAPERARCH_BOOT names.
func Load() (*Settings, error) {
	path := os.Getenv(BootVariable)
	if path == "" {
		return nil, errs.New(errs.Invalid, "%s is not set", BootVariable)
	}
	return ReadFile(path)
}

// ReadFile reads the file at path.
func ReadFile(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errs.Wrap(err, errs.Malformed, "settings")
	}
	return Parse(data)
}

// InternalAddress gives the address at which the mesh's own protocol is spoken on the host's machine: the ports are
// alike on all machines. The host may come with a port, as seed nodes do, which is then replaced.
func (s *Settings) InternalAddress(host string) string {
	if bare, _, err := net.SplitHostPort(host); err == nil {
		host = bare
	}
	return net.JoinHostPort(host, strconv.Itoa(s.Network.InternalPortRange.First))
}

// SeedAddresses gives the internal addresses of the core machines that the settings name.
func (s *Settings) SeedAddresses() []string {
	var all []string
	for _, address := range s.Network.SeedNodes {
		all = append(all, s.InternalAddress(address))
	}
	return all
}

// OwnInternalAddress gives the process's own address for the mesh's own protocol.
func (s *Settings) OwnInternalAddress() string { return s.InternalAddress(s.Self.IPAddress) }
