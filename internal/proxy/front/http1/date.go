package http1

import (
	"net/http"
	"sync/atomic"
	"time"
)

// cachedDate is the value of a Date field for one second.
type cachedDate struct {
	second int64
	text   string
}

// currentDate is the most recently formatted value.
var currentDate atomic.Pointer[cachedDate]

// dateNow returns the value of the Date field (RFC 9110, 6.6.1). The value is formatted once per second.
func dateNow(now time.Duration) string {
	second := int64(now / time.Second)
	if d := currentDate.Load(); d != nil && d.second == second {
		return d.text
	}
	d := &cachedDate{second, time.Unix(second, 0).UTC().Format(http.TimeFormat)}
	currentDate.Store(d)
	return d.text
}
