package config

import (
	"crypto/sha256"
	"encoding/hex"
)

// keyDigestBytes is how much of a key's hash its digest has.
const keyDigestBytes = 16

// KeyDigest stands for a tenant's key where sidecars name it to each other: the key itself goes no further than
// the sidecar that its client sent it to.
type KeyDigest string

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(hex.EncodeToString(sum[:keyDigestBytes]))
}

// TenantOfDigest returns the tenant that holds the key of a digest, or nil. It hashes keys until it has found it.
func (s *Snapshot) TenantOfDigest(d KeyDigest) *Tenant {
	for key, tenant := range s.table.tenantByKey {
		if DigestKey(key) == d {
			return tenant
		}
	}
	return nil
}
