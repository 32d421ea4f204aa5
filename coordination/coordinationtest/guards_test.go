package coordinationtest

import (
	"strings"
	"testing"
	"time"
)

// guardSeeds is the number of seeds that are tried until a history violates a
// guarantee.
const guardSeeds = 16

// Guards against endpoint checks without coverage: if endpoints do not make one of
// these checks, some history must violate a guarantee. The term check and the lease
// check of a start are not listed: 40 histories passed without either.
func TestInvariantsDetectMissingEndpointChecks(t *testing.T) {
	endpointFaults := []Fault{DisconnectEndpoint, RestartEndpoint, SlowNetwork, LossyNetwork, SlowNetwork}
	for name, c := range map[string]struct {
		guards   EndpointGuards
		faults   []Fault
		from     uint64 // first seed, close to one that is known to violate a guarantee
		violated string // guarantees of which one must be violated
	}{
		"incarnation":       {EndpointGuards{NoIncarnation: true}, endpointFaults, 9000, "G1 G2 G3 G5"},
		"duplicates":        {EndpointGuards{NoDuplicates: true}, endpointFaults, 9000, "G1 G2 G5"},
		"low watermark":     {EndpointGuards{NoWatermark: true}, endpointFaults, 9000, "G1 G2 G4 G5"},
		"stop at lease end": {EndpointGuards{NoStopAtLeaseEnd: true}, endpointFaults, 9000, "G2"},
		"restart decline":   {EndpointGuards{DeclineAfterRestart: true}, []Fault{RestartEndpoint, SlowNetwork, LossyNetwork}, 9004, "G4 G5"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := c.from; seed < c.from+guardSeeds; seed++ {
				_, err := history(Options{Seed: seed, Guards: c.guards}, 50*time.Millisecond, 500*time.Millisecond, 60*time.Second, c.faults...)
				if err != nil && strings.Contains(c.violated, err.Error()[:2]) {
					t.Log(err)
					return
				}
			}
			t.Errorf("%d histories without the endpoint check violate none of %s", guardSeeds, c.violated)
		})
	}
}
