// Package meshapi defines the paths, the JSON messages and the error kinds of the mesh's public HTTP API. Core
// machines and sidecars serve the API, and package meshclient calls it. The package imports only the standard
// library. It contains no logic apart from InstancePath, and no state.
//
// Running processes and operators' scripts depend on the JSON names in the field tags. A tag must not change when its
// field is renamed.
package meshapi
