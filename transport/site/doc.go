// Package site runs the processes of a deployment with a job group: members, which
// replicate its state, and gateways, which forward calls to the leader. Front ends are
// HTTP handlers that the caller builds around a Client. Workers and the other services
// of the platform are reached through the interfaces of this package.
package site
