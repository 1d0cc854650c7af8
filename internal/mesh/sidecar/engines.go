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
	// dialTimeout bounds establishing a connection. It is longer than a round trip between zones. A machine that
	// is down does not answer at all.
	dialTimeout = 300 * time.Millisecond
	// gateUserTimeout is the TCP_USER_TIMEOUT of connections to gates: the time for which a gate may leave sent
	// data unacknowledged. After it the connection's requests fail with an unknown outcome, as they may have run.
	gateUserTimeout = 1200 * time.Millisecond
	// gateIdleTimeout and upstreamIdleTimeout are the times for which an idle connection to a gate or to the local
	// upstream may be reused. Upstreams usually close connections that have been idle for 10 s.
	gateIdleTimeout     = 60 * time.Second
	upstreamIdleTimeout = 8 * time.Second
	// maxSends bounds the attempts of one request, including attempts that gates rejected.
	maxSends = 12
	// reservedDescriptors is the number of file descriptors reserved for uses other than the fronts' connections and
	// the connections to gates and to the local upstream.
	reservedDescriptors = 300
)

// connectionDescriptors returns the number of file descriptors available for connections: three eighths are for
// clients' connections, a quarter each for other sidecars' connections to the gate and for connections to gates,
// and an eighth for connections to the local upstream.
func (s *Sidecar) connectionDescriptors() int {
	return s.settings.Self.Limits.MaxOpenFiles - reservedDescriptors
}

// newEngines creates both engines with their transports and decision modules.
func (s *Sidecar) newEngines() (err error) {
	s.inbound = &inbound{clock: s.clock, sendIDs: headers.NewSendIDSource(), verifier: s.newVerifier()}
	s.outbound = s.newOutbound()
	if s.balancerEngine, err = s.newBalancerEngine(); err != nil {
		return err
	}
	s.gateEngine, err = s.newGateEngine()
	return err
}

// newBalancerEngine creates the engine that sends this machine's requests to gates.
func (s *Sidecar) newBalancerEngine() (*engine.Engine, error) {
	transport := gateTransportConfig(s.clock, s.inbound.sendIDs)
	transport.MaxConns = s.connectionDescriptors() / 4
	transport.Dialect.Classify = s.classifyGateResponse
	return engine.New(s.completeEngineConfig(balancerEngineConfig(http1.New(transport), balancer.Config{
		Zone: s.endpoints.zones[s.settings.Self.Zone], SidecarCount: s.sidecarCount, RetryBudget: s.quota,
	})))
}

// newGateEngine creates the engine that sends admitted requests to the local upstream.
func (s *Sidecar) newGateEngine() (*engine.Engine, error) {
	transport := s.inbound.upstreamTransportConfig()
	transport.MaxConns = s.connectionDescriptors() / 8
	return engine.New(s.completeEngineConfig(s.inbound.gateEngineConfig(http1.New(transport))))
}

// completeEngineConfig sets the fields of an engine's configuration that are the same for both engines of this
// sidecar: the random seed, the clock and the log.
func (s *Sidecar) completeEngineConfig(cfg engine.Config) engine.Config {
	cfg.Seed, cfg.Clock, cfg.Log = s.engineSeed(), s.clock, logring.NewSlog(s.log)
	return cfg
}

// gateTransportConfig returns the configuration of a transport to gates, whose attempts take their ids from
// sendIDs.
func gateTransportConfig(clk clock.Clock, sendIDs *headers.SendIDSource) http1.Config {
	return http1.Config{
		Clock: clk, DialTimeout: dialTimeout, IdleTimeout: gateIdleTimeout, ReuseDelay: -1,
		UserTimeout: gateUserTimeout, Dialect: gateDialect(sendIDs), ProcessingStart: http1.AfterHead,
	}
}

// balancerEngineConfig returns the configuration of an engine that sends to gates, without the fields that
// completeEngineConfig sets.
func balancerEngineConfig(transport *http1.Transport, cfg balancer.Config) engine.Config {
	return engine.Config{
		Policy: policy.Config{MaxAttempts: maxSends}, Transport: gateTransport{transport},
		NoCounterLog: true, SleepsWhenIdle: true,
		// Closing the connection notifies the gate, which decides whether the request goes on.
		CancelAbandonedUpload: func(policy.Request) bool { return true },
		Module: func(_ policy.Config, _ uint64, host policy.Host) (engine.Module, error) {
			return balancer.New(cfg, host), nil
		},
	}
}

// upstreamTransportConfig returns the configuration of the transport to the local upstream. A cancelled attempt
// keeps its slot at the gate until the upstream has ended it.
func (i *inbound) upstreamTransportConfig() http1.Config {
	return http1.Config{
		Clock: i.clock, DialTimeout: dialTimeout, IdleTimeout: upstreamIdleTimeout,
		Dialect: i.upstreamDialect(), AwaitCancelled: true, ProcessingStart: http1.AfterHead,
	}
}

// gateEngineConfig returns the configuration of an engine with a gate, without the fields that
// completeEngineConfig sets. Creating the engine sets i.gate.
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

// engineSeed returns a hash of the node's name: each sidecar has its own seed, which is constant across restarts.
func (s *Sidecar) engineSeed() uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(s.settings.Self.NodeName))
	return hash.Sum64()
}

// gateTransport is the transport to gates. An address consists of a sidecar's inbound address, a space and the
// target instance, as endpoints.balancerListing writes it.
type gateTransport struct{ *http1.Transport }

// Server returns the server at a gate's address, with a header field that names the target instance.
func (t gateTransport) Server(address string) call.Server {
	listener, instance, _ := strings.Cut(address, " ")
	return t.ServerWith(listener, h1.Field{Name: headers.Target, Value: instance})
}

// gateDialect returns the dialect of requests to gates and of gates' responses.
func gateDialect(sendIDs *headers.SendIDSource) *http1.Dialect {
	return &http1.Dialect{
		TimeoutField:   headers.Timeout,
		MatchesRequest: headers.MatchesAttempt,
		Classify:       classifyGateResponse,
		SendIDField:    headers.SendIDField,
		NewSendID:      sendIDs.Next,
	}
}

// classifyGateResponse records the configuration version that the gate states in its response, and classifies the
// response as the function of the same name does.
func (s *Sidecar) classifyGateResponse(res *http.Response) (policy.Ending, policy.Load) {
	s.knownVersions.observe(s.clock.Now(), headers.ConfigVersion(res.Header))
	return classifyGateResponse(res)
}

// classifyGateResponse returns how an attempt ended and the gate's load, and removes the header fields that are
// only for the caller's sidecar.
func classifyGateResponse(res *http.Response) (policy.Ending, policy.Load) {
	ending, load := headers.ClassifyGateResponse(res)
	headers.StripGateFields(res.Header)
	return ending, load
}
