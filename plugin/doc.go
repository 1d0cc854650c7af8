// Package plugin embeds the load balancer of the caperarch daemon in a client process, so that no sidecar is needed. It
// distributes the calls of the process over the servers that discovery lists, and retries calls under the same four
// rules as the daemon:
//
//   - Each call gets exactly one final answer within its deadline: served, refused or failed. No attempt of the call is
//     sent after the final answer.
//   - No effect happens twice. A non-idempotent call is retried or refused only if all earlier attempts are known not
//     to have run. A deduplicated call that may have run is retried only where the servers drop repeats of its key.
//   - A draining server receives no new attempts.
//   - A server in slow start receives no more load than it can handle.
//
// Open returns a Client. Client.Do sends a call over HTTP/1.1, Client.RoundTripper adapts the client to net/http, and
// package grpcplugin provides a grpc.ClientConnInterface. A call without a successful response returns one of these
// errors: *RefusedError (the call is safe to repeat), *FailedError (the call may have run) or *InvalidError (the call
// is not valid and was not sent).
//
// A Client does not disturb its host process: it never exits the process or panics, changes no global state, logs only
// to Config.Log and leaves no goroutine running after Close. All methods are safe for concurrent use.
package plugin
