// Package site runs the processes of a deployment with a job group: members, which
// hold its state, and gateways, which forward calls to it. Front ends are handlers
// that the caller builds around a Client; workers and other services of the platform
// are reached through the interfaces of this package.
package site
