package registry

import (
	"fmt"
	"strings"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// upstream returns a report of an instance of service s1 beside the sidecar n1.
func upstream(instance string, sequence int64) Upstream {
	return Upstream{
		Instance: instance,
		Service:  "s1",
		Address:  "10.0.0.1:80",
		Node:     "n1",
		Inbound:  "10.0.0.1:90",
		Slots:    4,
		Sequence: sequence,
	}
}

// millis returns a time in milliseconds on the clock of a table.
func millis(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }

// renew applies a valid lease and reports whether the content changed.
func renew(table *Table, now time.Duration, l Lease) bool {
	changed, err := table.Renew(now, l)
	So(err, ShouldBeNil)
	return changed
}

// heartbeat applies a valid heartbeat and reports whether the table applied it.
func heartbeat(table *Table, now time.Duration, up Upstream) bool {
	applied, err := table.Heartbeat(now, up)
	So(err, ShouldBeNil)
	return applied
}

// describeUpstreams returns the table's upstreams as "instance@inbound state". A question mark marks a stale upstream.
func describeUpstreams(table *Table, now time.Duration) string {
	var all []string
	for _, u := range table.Upstreams(now) {
		stale := ""
		if u.Stale {
			stale = "?"
		}
		all = append(all, fmt.Sprintf("%s@%s %s%s", u.Instance, u.Inbound, u.State, stale))
	}
	return strings.Join(all, ", ")
}
