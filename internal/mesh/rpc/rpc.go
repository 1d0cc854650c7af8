// Package rpc carries requests as JSON over HTTP/1.1 between the mesh's processes and from its
// users. Handle, HandleGet and HandleRaw serve them; Call, Post and Get send them by a client of
// package httpclient. An error keeps its errs.Kind on the way: the caller gets the kind and the
// message that the handler returned.
//
// The package owns no goroutines. Its functions may be called from any goroutine.
package rpc

const contentJSON = "application/json"
