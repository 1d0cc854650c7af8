package headers

import (
	"net/http"
	"strconv"

	"caperarch/internal/mesh/config"
	"caperarch/internal/proxy/h1"
)

// Fields with which sidecars inform each other about configuration versions. Neither clients nor upstreams receive
// them.
const (
	// configField holds a configuration version. In a request it is AttemptConfig.AdmittedVersion, in a response the
	// version that is in force at the gate.
	configField = "X-Mesh-Config"
	// keyDigestField holds a config.KeyDigest, see AttemptConfig.APIKeyDigest.
	keyDigestField = "X-Mesh-Key-Digest"
)

// AttemptConfig describes the configuration under which a caller's sidecar has admitted a request. The sidecar sends it
// to the gate with the attempt.
type AttemptConfig struct {
	// AdmittedVersion is the version of that configuration.
	AdmittedVersion int64
	// APIKeyDigest is the digest of the tenant's API key. It is empty if the request has no tenant, or if the sender
	// knows of no newer configuration version.
	APIKeyDigest config.KeyDigest
}

// Set encodes the AttemptConfig into a request's fields, and replaces any that the fields contained.
func (c AttemptConfig) Set(fields http.Header) {
	fields[configField] = []string{strconv.FormatInt(c.AdmittedVersion, 10)}
	delete(fields, keyDigestField)
	if c.APIKeyDigest != "" {
		fields[keyDigestField] = []string{string(c.APIKeyDigest)}
	}
}

// ParseAttemptConfig decodes the AttemptConfig of a request. It returns false if the version is missing or malformed,
// in which case the sender runs an earlier release.
func ParseAttemptConfig(h *h1.Head) (AttemptConfig, bool) {
	admitted, ok := parseVersion(h.Get(configField))
	return AttemptConfig{AdmittedVersion: admitted, APIKeyDigest: config.KeyDigest(h.Get(keyDigestField))}, ok
}

// SetConfigVersion sets the version of the gate's configuration in a response of the gate. Version 0 means that the
// gate has no configuration, and removes the field.
func SetConfigVersion(fields http.Header, version int64) {
	delete(fields, configField) // an upstream's response may contain the field, but only gates may set it
	if version == 0 {
		return
	}
	fields[configField] = []string{strconv.FormatInt(version, 10)}
}

// ConfigVersion returns the version of the gate's configuration from a response of the gate, 0 if the response does not
// contain a valid version.
func ConfigVersion(fields http.Header) int64 {
	version, _ := parseVersion(fields.Get(configField))
	return version
}

// parseVersion parses a version between 1 and config.MaxVersion.
func parseVersion(text string) (version int64, ok bool) {
	version, err := strconv.ParseInt(text, 10, 64)
	if err != nil || version <= 0 || version > config.MaxVersion {
		return 0, false
	}
	return version, true
}
