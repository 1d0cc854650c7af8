package http1

import (
	"net/http"
	"sync/atomic"
	"time"
)

// cachedDate is a Date field's value and the second that it is for.
type cachedDate struct {
	second int64
	text   string
}

var currentDate atomic.Pointer[cachedDate]

// dateNow is the value of Date (RFC 9110, 6.6.1), made once a second.
func dateNow(now time.Duration) string {
	second := int64(now / time.Second)
	if d := currentDate.Load(); d != nil && d.second == second {
		return d.text
	}
	d := &cachedDate{second, time.Unix(second, 0).UTC().Format(http.TimeFormat)}
	currentDate.Store(d)
	return d.text
}
