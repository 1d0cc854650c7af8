package http1

import (
	"net/http"
	"sync/atomic"
	"time"
)

// stamped is a Date field's value and the second that it is for.
type stamped struct {
	second int64
	text   string
}

var lastDate atomic.Pointer[stamped]

// dateNow is the value of Date (RFC 9110, 6.6.1), made once a second.
func dateNow(now time.Duration) string {
	second := int64(now / time.Second)
	if d := lastDate.Load(); d != nil && d.second == second {
		return d.text
	}
	d := &stamped{second, time.Unix(second, 0).UTC().Format(http.TimeFormat)}
	lastDate.Store(d)
	return d.text
}
