package headers

import (
	"net/http"
	"strconv"

	"caperarch/internal/mesh/config"
	"caperarch/internal/proxy/h1"
)

// Fields by which sidecars tell each other of configurations; neither clients nor upstreams see them.
const (
	configField    = "X-Mesh-Config"     // see AttemptConfig
	keyDigestField = "X-Mesh-Key-Digest" // a config.KeyDigest
)

// AttemptConfig is what a caller's sidecar tells a gate of the configuration by which it admitted a request.
type AttemptConfig struct {
	// Admitted is the version by which the request was admitted.
	Admitted int64
	// Key is the digest of the tenant's key, empty where there is none or the sender knows of no newer version.
	Key config.KeyDigest
}

// Set replaces what a request's fields say of configurations.
func (c AttemptConfig) Set(fields http.Header) {
	fields[configField] = []string{strconv.FormatInt(c.Admitted, 10)}
	delete(fields, keyDigestField)
	if c.Key != "" {
		fields[keyDigestField] = []string{string(c.Key)}
	}
}

// ParseAttemptConfig reads what a request says of configurations. It returns false if that is missing or malformed:
// then the sender is of an earlier release.
func ParseAttemptConfig(h *h1.Head) (AttemptConfig, bool) {
	admitted, ok := parseVersion(h.Get(configField))
	return AttemptConfig{Admitted: admitted, Key: config.KeyDigest(h.Get(keyDigestField))}, ok
}

// SetConfigVersion says in a gate's response by which version the gate goes; 0: none.
func SetConfigVersion(fields http.Header, version int64) {
	delete(fields, configField) // only a gate may say
	if version == 0 {
		return
	}
	fields[configField] = []string{strconv.FormatInt(version, 10)}
}

// ConfigVersion reads from a gate's response by which version the gate goes, 0 if it doesn't say.
func ConfigVersion(fields http.Header) int64 {
	version, _ := parseVersion(fields.Get(configField))
	return version
}

// parseVersion reads a version, which is above 0.
func parseVersion(text string) (version int64, ok bool) {
	version, err := strconv.ParseInt(text, 10, 64)
	if err != nil || version <= 0 || version > config.MaxVersion {
		return 0, false
	}
	return version, true
}
