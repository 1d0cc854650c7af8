package healthgossip

import (
	"slices"
	"testing"
	"time"
)

// A server is doubted once a quorum of different sidecars reports it, until the reports expire.
func TestDoubtedWithQuorumUntilReportsExpire(t *testing.T) {
	hints := New(10)
	for reporter, want := range []bool{false, false, true} {
		hints.Receive(time.Second, reporter, []Server{7})
		hints.Receive(time.Second, reporter, []Server{7}) // a repeated report counts once
		if got := hints.Doubted(time.Second, 7); got != want {
			t.Errorf("after reports of %d sidecars, doubted is %v, want the opposite", reporter+1, got)
		}
	}
	if hints.Doubted(time.Second, 8) || hints.Doubted(time.Second+reportTTL+1, 7) {
		t.Error("a server without reports or with expired reports is doubted")
	}
	if Quorum(2) != 1 || Quorum(3) != 2 || Quorum(300) != quorum {
		t.Error("quorum")
	}
}

// A sidecar reports a server after two consecutive failures, latest failures first and four servers
// at most, until the server answers or the failures have expired.
func TestUnresponsiveServers(t *testing.T) {
	hints := New(10)
	hints.RecordAttempt(time.Second, 1, false)
	if hints.Unresponsive(time.Second) != nil {
		t.Error("a server is reported after one failure, want two")
	}
	hints.RecordAttempt(2*time.Second, 1, false)
	for server := range Server(10) {
		hints.RecordAttempt(3*time.Second, 10+server, false)
		hints.RecordAttempt(3*time.Second+time.Duration(server), 10+server, false)
	}
	if got := hints.Unresponsive(4 * time.Second); !slices.Equal(got, []Server{19, 18, 17, 16}) {
		t.Errorf("%v", got)
	}
	for server := range Server(10) {
		hints.RecordAttempt(4*time.Second, 10+server, true)
	}
	if got := hints.Unresponsive(4 * time.Second); !slices.Equal(got, []Server{1}) {
		t.Errorf("reported servers are %v, want only server 1, as the others have answered again", got)
	}
	if got := hints.Unresponsive(2*time.Second + failureTTL + 1); got != nil {
		t.Errorf("reported servers are %v after the failures expired, want none", got)
	}
}

// Memory is bounded whatever other sidecars report and however many servers fail. Expired reports
// make room for new ones.
func TestMemoryIsBounded(t *testing.T) {
	hints := New(1000)
	for i := range 100_000 {
		hints.Receive(
			time.Duration(i), i%1000,
			[]Server{Server(i), Server(i + 1), Server(i + 2), Server(i + 3), Server(i + 4)},
		)
		hints.RecordAttempt(time.Duration(i), Server(i), false)
	}
	if len(hints.reports) > maxReportedServers || len(hints.failures) > maxFailedServers {
		t.Errorf(
			"stored %d reported and %d failed servers, want at most 256 and 1024",
			len(hints.reports), len(hints.failures),
		)
	}
	for reporter := range 50 {
		hints.Receive(time.Minute, reporter, []Server{1 << 40})
	}
	if n := len(hints.reports[1<<40]); n != maxReportersPerServer || !hints.Doubted(time.Minute, 1<<40) {
		t.Errorf("stored %d reports of a server, want 6 and the server doubted", n)
	}
}
