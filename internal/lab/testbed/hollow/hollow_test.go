package hollow

import (
	"context"
	"encoding/json"
	"testing"
	"time"
)

// The measuring process and the process of the simulated sidecars exchange configurations and reports as JSON, so the
// encoding must not change.
func TestJSONBetweenProcesses(t *testing.T) {
	cfg, err := json.Marshal(Config{
		Count: 1, Services: 2, Seeds: []string{"s"}, Zones: []string{"z"}, Tenants: []string{"t"},
		ShareConfig: true, StartOver: 3, CalledServices: 4,
	})
	wantConfig := `{"Count":1,"Services":2,"Seeds":["s"],"Zones":["z"],"Tenants":["t"],` +
		`"Share":true,"Over":3,"Called":4}`
	if err != nil || string(cfg) != wantConfig {
		t.Errorf("configuration %s, error %v, want %s", cfg, err, wantConfig)
	}
	report, err := json.Marshal(Report{
		Connected: 1, Renewals: 2, MinUpstreams: 3, Versions: map[int64]Arrival{4: {5, 6, 7}},
		Requests: 8, FailedRequests: 9, RequestP50: 10, RequestP99: 11, RequestError: "e",
	})
	wantReport := `{"Connected":1,"Renewals":2,"Least":3,` +
		`"Versions":{"4":{"Count":5,"LastArrived":6,"LastApplied":7}},` +
		`"Asks":8,"Failed":9,"AskP50":10,"AskP99":11,"AskError":"e"}`
	if err != nil || string(report) != wantReport {
		t.Errorf("report %s, error %v, want %s", report, err, wantReport)
	}
}

// Run must end with its context even if no core member can be reached and the sidecars have not started.
func TestRunEndsWithItsContext(t *testing.T) {
	f := New(Config{Count: 3, Services: 2, Seeds: []string{"127.0.0.1:1"}, Zones: []string{"a", "b"},
		StartOver: time.Hour})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		f.Run(ctx)
	}()
	if r := f.Report(); r.Connected != 0 || r.MinUpstreams != 0 || len(r.Versions) != 0 {
		t.Errorf("report %+v, want no connections, upstreams and versions", r)
	}
	cancel()
	<-ended
}
