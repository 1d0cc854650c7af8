// Package rpc carries JSON requests over HTTP/1.1 between the processes of the mesh and from the users of the mesh.
// Handle, HandleGet and HandleRaw serve requests. Call, Post and Get send requests with an http.Client of package
// httpclient. Errors keep their errs.Kind in transit: the caller gets the kind and the message that the handler
// returned.
//
// The package starts no goroutines. Its functions are safe for concurrent use.
package rpc

// contentTypeJSON is the Content-Type of all bodies.
const contentTypeJSON = "application/json"
