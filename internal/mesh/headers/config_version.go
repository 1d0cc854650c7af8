package headers

import (
	"net/http"
	"strconv"
	"strings"

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
	// Newest is the newest version that the sender knows to be in place: Admitted, or one that it has heard of.
	Newest int64
	// Key is the digest of the tenant's key, empty where there is none or Admitted is the newest.
	Key config.KeyDigest
}

// Set replaces what a request's fields say of configurations.
func (c AttemptConfig) Set(fields http.Header) {
	text := strconv.FormatInt(c.Admitted, 10)
	if c.Newest > c.Admitted {
		text += "," + strconv.FormatInt(c.Newest, 10)
	}
	fields[configField] = []string{text}
	delete(fields, keyDigestField)
	if c.Key != "" {
		fields[keyDigestField] = []string{string(c.Key)}
	}
}

// ParseAttemptConfig reads what a request says of configurations. It returns false if that is missing or malformed:
// then the sender is of an earlier release.
func ParseAttemptConfig(h *h1.Head) (AttemptConfig, bool) {
	admittedText, newestText, hasNewest := strings.Cut(h.Get(configField), ",")
	admitted, ok := parseVersion(admittedText)
	if !ok {
		return AttemptConfig{}, false
	}
	c := AttemptConfig{Admitted: admitted, Newest: admitted, Key: config.KeyDigest(h.Get(keyDigestField))}
	if hasNewest {
		newest, ok := parseVersion(newestText)
		if !ok {
			return AttemptConfig{}, false
		}
		c.Newest = max(admitted, newest)
	}
	return c, true
}

// SetNewestConfig says in a gate's response which version is the newest that it knows to be in place; 0: none.
func SetNewestConfig(fields http.Header, version int64) {
	delete(fields, configField) // only a gate may say
	if version == 0 {
		return
	}
	fields[configField] = []string{strconv.FormatInt(version, 10)}
}

// NewestConfig reads from a gate's response the newest version that it knows to be in place, 0 if it doesn't say.
func NewestConfig(fields http.Header) int64 {
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
