package sidecar

import (
	"hash/fnv"
	"net/http"
	"strings"
	"time"

	"caperarch/internal/mesh/balancer"
	"caperarch/internal/mesh/gate"
	"caperarch/internal/mesh/headers"
	"caperarch/internal/mesh/logring"
	"caperarch/internal/proxy/call"
	"caperarch/internal/proxy/clock"
	"caperarch/internal/proxy/engine"
	"caperarch/internal/proxy/h1"
	"caperarch/internal/proxy/transport/http1"
	"caperarch/policy"
)

const (
	// dialTimeout bounds the set-up of a connection: more than two ways between zones. A machine
	// that is down gives no answer at all.
	dialTimeout = 300 * time.Millisecond
	// gateUserTimeout (TCP_USER_TIMEOUT) is how long a gate may acknowledge nothing: its requests fail
	// then, as they may have run.
	gateUserTimeout = 1200 * time.Millisecond
	// gateConnIdle and upstreamConnIdle are how long an idle connection is used again. Upstreams
	// close theirs after 10 s as a rule.
	gateConnIdle     = 60 * time.Second
	upstreamConnIdle = 8 * time.Second
	// maxSends bounds the sends of one request, those that gates rejected included.
	maxSends = 12
	// reservedFiles are file descriptors for anything but connections of clients and to others.
	reservedFiles = 300
)

// connectionFiles is how many file descriptors there are for connections: three eighths for those of
// clients, a quarter each for those of sidecars and to gates, an eighth for those to the upstream.
func (s *Sidecar) connectionFiles() int { return s.settings.Self.Limits.MaxOpenFiles - reservedFiles }

// newEngines makes both engines with their transports and decision modules.
func (s *Sidecar) newEngines() (err error) {
	s.inbound = &inbound{clock: s.clock, sendIDs: headers.NewSendIDSource(), verifier: s.newVerifier()}
	s.outbound = s.newOutbound()
	if s.balancerEngine, err = s.newBalancerEngine(); err != nil {
		return err
	}
	s.gateEngine, err = s.newGateEngine()
	return err
}

// newBalancerEngine makes the engine that sends this machine's requests to gates.
func (s *Sidecar) newBalancerEngine() (*engine.Engine, error) {
	transport := gateTransportConfig(s.clock, s.inbound.sendIDs)
	transport.MaxConns = s.connectionFiles() / 4
	transport.Dialect.Classify = s.classifyGateResponse
	return engine.New(s.withIdentity(balancerEngineConfig(http1.New(transport), balancer.Config{
		Zone: s.endpoints.zones[s.settings.Self.Zone], SidecarCount: s.sidecarCount, RetryBudget: s.quota,
	})))
}

// newGateEngine makes the engine that sends admitted requests to the upstream beside the sidecar.
func (s *Sidecar) newGateEngine() (*engine.Engine, error) {
	transport := s.inbound.upstreamTransportConfig()
	transport.MaxConns = s.connectionFiles() / 8
	return engine.New(s.withIdentity(s.inbound.gateEngineConfig(http1.New(transport))))
}

// withIdentity completes an engine's configuration by what is this sidecar's own.
func (s *Sidecar) withIdentity(cfg engine.Config) engine.Config {
	cfg.Seed, cfg.Clock, cfg.Log = s.engineSeed(), s.clock, logring.NewSlog(s.log)
	return cfg
}

// gateTransportConfig is how gates are reached, by attempts with ids of a source.
func gateTransportConfig(clk clock.Clock, sendIDs *headers.SendIDSource) http1.Config {
	return http1.Config{
		Clock: clk, DialTimeout: dialTimeout, IdleTimeout: gateConnIdle, ReuseDelay: -1,
		UserTimeout: gateUserTimeout, Dialect: gateDialect(sendIDs),
	}
}

// balancerEngineConfig is that of an engine that sends to gates; see withIdentity for the rest.
func balancerEngineConfig(transport *http1.Transport, cfg balancer.Config) engine.Config {
	return engine.Config{
		Policy: policy.Config{MaxAttempts: maxSends}, Transport: gateTransport{transport},
		NoCounterLog: true, SleepsWhenIdle: true,
		// The gate is told by the end of the connection, and decides what becomes of the request.
		CancelAbandonedUpload: func(policy.Request) bool { return true },
		Module: func(_ policy.Config, _ uint64, host policy.Host) (engine.Module, error) {
			return balancer.New(cfg, host), nil
		},
	}
}

// upstreamTransportConfig is how the local upstream is reached. An attempt that is cancelled keeps its
// slot at the gate until the upstream has ended it.
func (i *inbound) upstreamTransportConfig() http1.Config {
	return http1.Config{
		Clock: i.clock, DialTimeout: dialTimeout, IdleTimeout: upstreamConnIdle,
		Dialect: i.upstreamDialect(), AwaitCancelled: true,
	}
}

// gateEngineConfig is that of an engine with a gate, which becomes the inbound's; see withIdentity for
// the rest.
func (i *inbound) gateEngineConfig(transport *http1.Transport) engine.Config {
	return engine.Config{
		Policy: policy.Config{MaxAttempts: 1}, Transport: transport, NoCounterLog: true, SleepsWhenIdle: true,
		CancelAbandonedUpload: gate.MayCancel,
		Module: func(_ policy.Config, _ uint64, host policy.Host) (engine.Module, error) {
			i.gate = gate.New(host)
			return i.gate, nil
		},
	}
}

// engineSeed is a hash of the node's name: sidecars differ, and restarts don't.
func (s *Sidecar) engineSeed() uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(s.settings.Self.NodeName))
	return hash.Sum64()
}

// gateTransport sends to gates. An address is that of a sidecar's inbound listener, a space and the
// instance that the request is for, see endpoints.balancerListing.
type gateTransport struct{ *http1.Transport }

// Server returns the gate at such an address.
func (t gateTransport) Server(address string) call.Server {
	listener, instance, _ := strings.Cut(address, " ")
	return t.ServerWith(listener, h1.Field{Name: headers.Target, Value: instance})
}

// gateDialect is how requests are sent to gates, and how gates' responses are read.
func gateDialect(sendIDs *headers.SendIDSource) *http1.Dialect {
	return &http1.Dialect{
		TimeoutField:   headers.Timeout,
		MatchesRequest: headers.MatchesAttempt,
		Classify:       classifyGateResponse,
		SendIDField:    headers.SendIDField,
		NewSendID:      sendIDs.Next,
	}
}

// classifyGateResponse is the function of that name, and learns by which configuration the gate goes.
func (s *Sidecar) classifyGateResponse(res *http.Response) (policy.Ending, policy.Load) {
	s.knownVersions.observe(s.clock.Now(), headers.ConfigVersion(res.Header))
	return classifyGateResponse(res)
}

// classifyGateResponse returns how an attempt ended, and removes the fields that are for this
// sidecar alone.
func classifyGateResponse(res *http.Response) (policy.Ending, policy.Load) {
	ending, load := headers.ClassifyGateResponse(res)
	headers.StripGateFields(res.Header)
	return ending, load
}
