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

// groupDomain is the inverse of DomainGroup. The domain of the cell group is "".
func groupDomain(group string) (domain string, ok bool) {
	if !strings.HasPrefix(group, domainGroupPrefix) {
		return "", false
	}
	return group[len(domainGroupPrefix):], true
}

// Peer is an entry process as the settings name it. Its Incarnation is not known
// from there.
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

// maxGroupSize bounds a domain group: every voter adds a copy of each entry, and
// five already survive two losses.
const maxGroupSize = 5

// Founders returns the names of the processes that form a group at first start,
// sorted. A domain group is made of the domain's own processes and of outside ones,
// of its own region if possible, that make the number odd and at least three.
func Founders(group string, peers []Peer) []string {
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
	for _, p := range outsiders(domain, region, peers) {
		if len(names) >= 3 && len(names)%2 == 1 {
			break
		}
		names = append(names, p)
	}
	sort.Strings(names)
	return names
}

// outsiders lists one process of each other domain, those of the same region
// first. It starts after the domain in name order, so that neighbouring domains use
// different processes as outside members.
func outsiders(domain, region string, peers []Peer) []string {
	domains := Domains(peers)
	at := sort.SearchStrings(domains, domain)
	var near, far []string
	for i := 1; i < len(domains); i++ {
		p := firstOf(domains[(at+i)%len(domains)], peers)
		if p.Region == region {
			near = append(near, p.Name)
		} else {
			far = append(far, p.Name)
		}
	}
	return append(near, far...)
}

// firstOf returns the domain's first process by name that has a disk, or its first
// one if none has.
func firstOf(domain string, peers []Peer) Peer {
	var best Peer
	for _, p := range peers {
		if p.Domain != domain {
			continue
		}
		better := p.Disk && !best.Disk || p.Disk == best.Disk && p.Name < best.Name
		if best.Name == "" || better {
			best = p
		}
	}
	return best
}

// share returns a domain's part of a team's quota. The parts of all domains add up
// to the quota, so it is never exceeded when domains cannot communicate.
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
