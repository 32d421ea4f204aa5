// Package primrosereach is a cluster scheduler for small organisations. The
// packages below it form four layers: transport, protocol, coordination and
// state, each of which imports only those after it. See docs/design.md.
package primrosereach
