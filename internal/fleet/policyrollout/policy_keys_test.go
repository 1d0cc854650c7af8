package policyrollout

import (
	"reflect"
	"testing"
)

// Guards against a changed key: operators keep policy files with these keys.
func TestPolicyKeys(t *testing.T) {
	got, err := Parse([]byte(`
out = ["s-1", "s-2"]
[limits]
attempts = 2
open = 20
queue = 5
[retry]
free = 1.5
share = 0.25
[tenants.north]
share = 0.75
quota = 10.5
`))
	if err != nil {
		t.Fatal(err)
	}
	attempts, open, queue := 2, 20, 5
	free, retryShare, share, quota := 1.5, 0.25, 0.75, 10.5
	want := &Policy{
		DisabledUpstreams: []string{"s-1", "s-2"},
		Limits:            Bounds{Attempts: &attempts, Open: &open, Queue: &queue},
		Retry:             Retry{Free: &free, Share: &retryShare},
		Tenants:           map[string]Tenant{"north": {Share: &share, Quota: &quota}},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("parsed policy is %+v, want %+v", got, want)
	}
}
