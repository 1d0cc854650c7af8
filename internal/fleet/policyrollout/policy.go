// Package policyrollout is the policy that the sidecars of a fleet agree on, and how a change of it
// is rolled out: to all or to none. It owns the policy's text and its resolution, the state that
// the log's entries make of it (State), each sidecar's part (Participant) and the leader's
// (Leader). It does no I/O, starts no goroutines and reads no clock; its types are not safe for
// concurrent use.
//
// A Policy is the operator's text, which may leave fields out; Resolve fills those in from the
// sidecar's own settings, and Stricter combines two such Limits. Between an old policy and a new
// one each sidecar applies the stricter of both, field by field, so that no request is let in by
// one of them alone.
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
	// MaxTextBytes bounds a policy's text.
	MaxTextBytes = 64 << 10

	maxTenants   = 1000
	maxOut       = 10_000
	maxNameBytes = 128
	maxAttempts  = 100
	maxQuota     = 1e6
	maxCount     = 1e6
)

// Policy is an operator's text. A nil field is not in it: the sidecar's own settings apply.
type Policy struct {
	Tenants           map[string]Tenant `toml:"tenants"`
	Limits            Bounds            `toml:"limits"`
	Retry             Retry             `toml:"retry"`
	DisabledUpstreams []string          `toml:"out"` // ids of upstreams that are taken out by hand
}

// Tenant is the part of a policy about one tenant.
type Tenant struct {
	Share *float64 `toml:"share"` // fraction of the requests in flight here; all together at most 1
	Quota *float64 `toml:"quota"` // requests per second over the fleet
}

// Bounds limits a sidecar.
type Bounds struct {
	Attempts *int `toml:"attempts"` // per request
	Open     *int `toml:"open"`     // requests in flight at once
	Queue    *int `toml:"queue"`    // of these, requests that wait, over all tenants
}

// Retry is the budget of attempts after each request's first.
type Retry struct {
	Free  *float64 `toml:"free"`  // retries in the settings' span, whatever the traffic
	Share *float64 `toml:"share"` // and retries per request in it
}

// Parse parses an operator's text. An error names the line or the field.
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

// firstInvalid returns the offset at which a text stops being UTF-8.
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

// Hash returns the SHA-256 of a text in hexadecimal, by which the text is known.
func Hash(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

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

// checkNumber checks that a field that is set is between least and most.
func checkNumber(field string, v *float64, least, most float64) error {
	if v != nil && !(*v >= least && *v <= most) { // not a number too
		return fmt.Errorf("%s: %v is not within %v and %v", field, *v, least, most)
	}
	return nil
}

// checkCount is checkNumber for whole numbers.
func checkCount(field string, v *int, least, most int) error {
	if v != nil && (*v < least || *v > most) {
		return fmt.Errorf("%s: %d is not within %d and %d", field, *v, least, most)
	}
	return nil
}
