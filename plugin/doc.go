// Package plugin is caperarch inside a client's own process: the daemon's decision module and engine, with
// no sidecar beside it. It balances a client's calls over the servers that discovery lists and resends them
// under the same four rules as the daemon:
//
//   - A call gets exactly one final answer, in time: served, refused or failed. After it nothing goes out for it.
//   - No effect happens twice: an unsafe call is sent again, or refused, only when every earlier attempt is
//     known not to have run; a keyed one that may have run only where its repeats are dropped.
//   - Nothing new goes to a server that drains.
//   - A server that has just started gets no more than it can do.
//
// Open makes a Client; Client.Do carries a call over HTTP/1.1, Client.RoundTripper is the same for net/http
// and what is built on it; package grpcplugin has a grpc.ClientConnInterface. An answer that is no service is
// an error: *RefusedError (repeating is harmless), *FailedError (nothing is promised) or *InvalidError
// (the call can't be used as it is; nothing was sent).
//
// A Client is a guest in its process: it never ends or panics it, sets nothing that is global, logs to
// Config.Log alone and leaves no goroutine after Close. All of its methods may be called from
// any goroutine.
package plugin
