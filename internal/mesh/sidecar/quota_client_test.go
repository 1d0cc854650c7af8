package sidecar

import (
	"testing"

	"caperarch/internal/mesh/settings"
	"caperarch/internal/proxy/clock"

	"go.uber.org/zap"
)

// Guards against a sidecar that ends at its start where the settings have no contract on retries: they then have no
// retryWindowS, and meshd check finds no fault in them.
func TestSettingsWithoutRetryContractAreAccepted(t *testing.T) {
	q, err := newQuotaClient(settings.Bounds{}, quotaConfig{
		clock: clock.New(), log: zap.NewNop(), node: "n", sidecarCount: func() int { return 1 },
		serviceName: func(int) string { return "s" },
	})
	if err != nil {
		t.Fatal(err)
	}
	now := q.clock.Now()
	const requests = 100
	for range requests {
		q.RecordRequest(now, 0)
	}
	retries := 0
	for ; q.Allowed(now, 0) && retries < requests; retries++ {
		q.Charge(now, 0)
	}
	if most := int(defaultRetryRatio * requests); retries == 0 || retries > most {
		t.Errorf("%d retries of %d requests are allowed, want 1 to %d", retries, requests, most)
	}
}
