// Package meshapi holds the paths and JSON messages of the mesh's public HTTP API, and the names of
// its kinds of errors: what core machines and sidecars serve and what package meshclient sends and
// reads. It stands below both, imports the standard library alone, and has neither behaviour nor
// state.
//
// Tags of fields are what running processes and operators' scripts know; they stay when a field is renamed.
package meshapi
