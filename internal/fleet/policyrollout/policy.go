// Package policyrollout implements the policy that the sidecars of a fleet agree on, and the rollout of a
// policy change to all sidecars or to none. The package owns the policy's text and its resolution against a
// sidecar's settings, the state that results from the log's entries (State), each sidecar's state
// (Participant) and the leader's state (Leader). It does no I/O, starts no goroutines and reads no clock. Its
// types are not safe for concurrent use.
//
// A Policy is an operator's text, which may leave fields out. Resolve fills these fields in from the
// sidecar's own settings and returns Limits; Stricter combines two Limits. During the change from an old
// policy to a new one, each sidecar applies the stricter of both, field by field, so that every request it
// admits is admitted by both policies.
package policyrollout

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"maps"
	"slices"
	"unicode/utf8"

	"caperarch/internal/proxy/strictconfig"
)

const (
	// MaxTextBytes bounds a policy's text, in bytes.
	MaxTextBytes = 64 << 10

	maxTenants   = 1000   // tenants in a policy
	maxOut       = 10_000 // disabled upstreams in a policy
	maxNameBytes = 128    // bytes of an upstream's id
	maxAttempts  = 100    // attempts per request
	maxQuota     = 1e6    // requests per second
	maxCount     = 1e6    // requests in flight or waiting, or retries
)

// Policy is the decoded text of an operator. A nil field is not in the text: the sidecar's own settings
// apply.
type Policy struct {
	Tenants           map[string]Tenant `toml:"tenants"`
	Limits            Bounds            `toml:"limits"`
	Retry             Retry             `toml:"retry"`
	DisabledUpstreams []string          `toml:"out"` // ids of upstreams that the operator has disabled
}

// Tenant holds a policy's limits of one tenant.
type Tenant struct {
	Share *float64 `toml:"share"` // fraction of a sidecar's requests in flight; the sum over all tenants is at most 1
	Quota *float64 `toml:"quota"` // requests per second over the whole fleet
}

// Bounds holds a policy's limits of each sidecar.
type Bounds struct {
	Attempts *int `toml:"attempts"` // attempts per request, including the first
	Open     *int `toml:"open"`     // requests in flight at the same time
	Queue    *int `toml:"queue"`    // the part of these requests that may wait, over all tenants
}

// Retry is the budget of retries, which are attempts after the first attempt of a request.
type Retry struct {
	Free  *float64 `toml:"free"`  // retries per budget period of the settings, independent of the traffic
	Share *float64 `toml:"share"` // additional retries per request in that period
}

// Parse parses and checks an operator's text. An error names the line or the field.
func Parse(text []byte) (*Policy, error) {
	switch {
	case len(text) > MaxTextBytes:
		return nil, fmt.Errorf("a policy of %d bytes, %d are possible", len(text), MaxTextBytes)
	case !utf8.Valid(text):
		return nil, fmt.Errorf("line %d: not UTF-8", 1+bytes.Count(text[:firstInvalid(text)], []byte("\n")))
	}
	p := new(Policy)
	if err := strictconfig.DecodeTOML(text, p); err != nil {
		return nil, err
	}
	return p, p.check()
}

// firstInvalid returns the offset of the first byte that is not valid UTF-8.
func firstInvalid(text []byte) int {
	for i := 0; i < len(text); {
		r, size := utf8.DecodeRune(text[i:])
		if r == utf8.RuneError && size <= 1 {
			return i
		}
		i += size
	}
	return len(text)
}

// Hash returns the SHA-256 of a text in hexadecimal, which identifies the text to operators.
func Hash(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// check checks all fields of a policy against their bounds.
func (p *Policy) check() error {
	if len(p.Tenants) > maxTenants {
		return fmt.Errorf("tenants: %d of them, %d are possible", len(p.Tenants), maxTenants)
	}
	if err := p.checkTenants(); err != nil {
		return err
	}
	if err := p.checkOut(); err != nil {
		return err
	}
	return errors.Join(
		checkCount("limits.attempts", p.Limits.Attempts, 1, maxAttempts),
		checkCount("limits.open", p.Limits.Open, 1, maxCount),
		checkCount("limits.queue", p.Limits.Queue, 0, maxCount),
		checkNumber("retry.free", p.Retry.Free, 0, maxCount),
		checkNumber("retry.share", p.Retry.Share, 0, 1),
	)
}

// checkTenants checks the shares and quotas of tenants, and that the shares add up to at most 1.
func (p *Policy) checkTenants() error {
	sum := 0.0
	for _, name := range slices.Sorted(maps.Keys(p.Tenants)) {
		t := p.Tenants[name]
		err := errors.Join(
			checkNumber("tenants."+name+".share", t.Share, 1e-6, 1),
			checkNumber("tenants."+name+".quota", t.Quota, 1e-3, maxQuota),
		)
		if err != nil {
			return err
		}
		if t.Share != nil {
			sum += *t.Share
		}
	}
	if sum > 1+1e-9 {
		return fmt.Errorf("tenants: the shares add up to %v, 1 is all there is", sum)
	}
	return nil
}

// checkOut checks the ids of disabled upstreams.
func (p *Policy) checkOut() error {
	seen := make(map[string]bool)
	for i, id := range p.DisabledUpstreams {
		switch {
		case id == "" || len(id) > maxNameBytes:
			return fmt.Errorf("out[%d]: an id of %d bytes, 1 to %d are possible", i, len(id), maxNameBytes)
		case seen[id]:
			return fmt.Errorf("out[%d]: %s stands there twice", i, id)
		case i >= maxOut:
			return fmt.Errorf("out: %d ids, %d are possible", len(p.DisabledUpstreams), maxOut)
		}
		seen[id] = true
	}
	return nil
}

// checkNumber checks that a field, if set, is between least and most.
func checkNumber(field string, v *float64, least, most float64) error {
	if v != nil && !(*v >= least && *v <= most) { // also true for NaN
		return fmt.Errorf("%s: %v is not within %v and %v", field, *v, least, most)
	}
	return nil
}

// checkCount checks that an integer field, if set, is between least and most.
func checkCount(field string, v *int, least, most int) error {
	if v != nil && (*v < least || *v > most) {
		return fmt.Errorf("%s: %d is not within %d and %d", field, *v, least, most)
	}
	return nil
}
