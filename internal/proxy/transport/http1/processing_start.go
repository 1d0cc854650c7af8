package http1

// ProcessingStart is the part of a protocol that says from which byte of a request on a server may process it. An
// exchange that breaks before the transport has sent this byte proves that the server has not processed the request and
// never will. After this byte, nothing but the server's own response proves that.
type ProcessingStart int

const (
	// AfterHead means that a server may process a request, and respond to it, as soon as it has the request's head. It
	// is the zero value because it holds for every server: without the complete head, a server does not know which
	// request it receives.
	AfterHead ProcessingStart = iota
	// AfterLastByte means that a server does not process a request before it has the request's last byte.
	AfterLastByte
)
