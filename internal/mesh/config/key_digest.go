package config

import (
	"crypto/sha256"
	"encoding/hex"
)

// keyDigestBytes is the number of bytes that a key digest keeps of the SHA-256 hash.
const keyDigestBytes = 16

// KeyDigest identifies a tenant's key in messages between sidecars. The key itself is not sent on by the sidecar that
// received it from the client.
type KeyDigest string

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(hex.EncodeToString(sum[:keyDigestBytes]))
}

// TenantOfDigest returns the tenant whose key has the given digest, or nil if there is none. It hashes the keys of all
// tenants until one matches.
func (s *Snapshot) TenantOfDigest(d KeyDigest) *Tenant {
	for key, tenant := range s.table.tenantByKey {
		if DigestKey(key) == d {
			return tenant
		}
	}
	return nil
}
