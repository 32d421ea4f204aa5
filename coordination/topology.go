package coordination

import (
	"sort"
	"strings"

	"github.com/primrosereach/primrosereach/state"
)

// CellGroup is the name of the group of all entry processes.
const CellGroup = "cell"

const domainGroupPrefix = "domain-"

// DomainGroup returns the name of the group that owns a failure domain.
func DomainGroup(domain string) string { return domainGroupPrefix + domain }

// groupDomain is the inverse of DomainGroup. ok is false for any other group, such as
// the cell group.
func groupDomain(group string) (domain string, ok bool) {
	if !strings.HasPrefix(group, domainGroupPrefix) {
		return "", false
	}
	return group[len(domainGroupPrefix):], true
}

// Peer is an entry process as listed in the settings, which do not contain its
// Incarnation.
type Peer struct {
	state.Member
	Region        string
	PublicAddress string // host:port for callers, endpoints and operators
}

// Domains returns the failure domains of the peers, sorted.
func Domains(peers []Peer) []string {
	seen := map[string]bool{}
	var out []string
	for _, p := range peers {
		if !seen[p.Domain] {
			seen[p.Domain] = true
			out = append(out, p.Domain)
		}
	}
	sort.Strings(out)
	return out
}

// maxGroupSize is the largest size of a domain group: every voter adds a copy of each
// entry, and five voters already tolerate the loss of two.
const maxGroupSize = 5

// InitialMembers returns the names of the processes that form a group at its first
// start, sorted. The cell group consists of all processes. A domain group consists of
// at most maxGroupSize of the domain's own processes and of the fewest outside members
// that make the number odd and at least three, as far as the other domains have enough
// processes.
func InitialMembers(group string, peers []Peer) []string {
	domain, ok := groupDomain(group)
	var names []string
	if !ok {
		for _, p := range peers {
			names = append(names, p.Name)
		}
		sort.Strings(names)
		return names
	}
	var region string
	for _, p := range peers {
		if p.Domain == domain && len(names) < maxGroupSize {
			names = append(names, p.Name)
			region = p.Region
		}
	}
	for _, p := range outsideMembers(domain, region, peers) {
		if len(names) >= 3 && len(names)%2 == 1 {
			break
		}
		names = append(names, p)
	}
	sort.Strings(names)
	return names
}

// outsideMembers lists the processes of the other domains in rounds: the first process
// of every other domain, then the second process of every one, and so on. Within a
// round, the processes of the given region come first. Each round begins with the
// domain that follows the given one in name order, so that neighbouring domains use
// different processes as outside members.
func outsideMembers(domain, region string, peers []Peer) []string {
	domains := Domains(peers)
	ownIndex := sort.SearchStrings(domains, domain)
	var names []string
	for round := 0; len(names) < len(peers) && round < len(peers); round++ {
		var sameRegion, otherRegions []string
		for i := 1; i < len(domains); i++ {
			candidates := processesOf(domains[(ownIndex+i)%len(domains)], peers)
			switch {
			case round >= len(candidates):
			case candidates[round].Region == region:
				sameRegion = append(sameRegion, candidates[round].Name)
			default:
				otherRegions = append(otherRegions, candidates[round].Name)
			}
		}
		names = append(append(names, sameRegion...), otherRegions...)
	}
	return names
}

// processesOf returns the processes of a domain, those with a disk first, then by
// name.
func processesOf(domain string, peers []Peer) []Peer {
	var out []Peer
	for _, p := range peers {
		if p.Domain == domain {
			out = append(out, p)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Disk != out[j].Disk {
			return out[i].Disk
		}
		return out[i].Name < out[j].Name
	})
	return out
}

// share returns a domain's part of a team's quota. The parts of all domains add up
// to the quota, so it is never exceeded when domains cannot communicate. domains must
// be sorted.
func share(quota state.Resources, domain string, domains []string) state.Resources {
	i, n := sort.SearchStrings(domains, domain), len(domains)
	part := func(total int) int {
		p := total / n
		if i < total%n {
			p++
		}
		return p
	}
	return state.Resources{
		Slots:        part(quota.Slots),
		MilliCores:   part(quota.MilliCores),
		MemoryMB:     part(quota.MemoryMB),
		Accelerators: part(quota.Accelerators),
	}
}
