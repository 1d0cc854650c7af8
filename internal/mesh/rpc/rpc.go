// Package rpc carries requests as JSON over HTTP/1.1 between the mesh's processes and from its
// users. Handle, HandleGet and HandleRaw serve them; Call, Post and Get send them by a client of
// package httpclient. An error keeps its errs.Kind on the way: the caller gets the kind and the
// message that the handler returned.
//
// The package owns no goroutines. Its functions may be called from any goroutine.
package rpc

const (
	// kindHeader carries the wire name of an error's kind, so that the caller gets the same kind back.
	kindHeader  = "X-Mesh-Fault"
	contentJSON = "application/json"
)

// errorBody is the body of a response that is an error.
type errorBody struct {
	ErrorMessage string `json:"errorMessage"`
	Kind         string `json:"kind"`
}
