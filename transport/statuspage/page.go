// Package statuspage renders the status of the cell as one HTML page without
// scripts, images or other files.
package statuspage

import (
	"bytes"
	_ "embed"
	"html/template"
	"slices"
	"strings"
	"time"

	"github.com/primrosereach/primrosereach/coordination"
	"github.com/primrosereach/primrosereach/protocol"
	"github.com/primrosereach/primrosereach/state"
)

// Page is the data that the page shows.
type Page struct {
	Now         time.Time
	Process     protocol.ProcessStatus // status of the process that serves the page
	Domains     []protocol.GroupStatus // status of each domain group from its leader
	Unreachable []string               // failure domains that did not answer
}

//go:embed page.html
var source string

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"domain": func(group string) string { return strings.TrimPrefix(group, coordination.DomainGroup("")) },
	"voters": voters,
}).Parse(source))

// Render returns the page as HTML.
func Render(p Page) ([]byte, error) {
	var b bytes.Buffer
	if err := page.Execute(&b, p); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// Groups returns the status of all groups: the domain groups as reported by their
// leaders, and the other groups that the process hosts.
func (p Page) Groups() []protocol.GroupStatus {
	out := slices.Clone(p.Domains)
	for _, g := range p.Process.Groups {
		if !slices.ContainsFunc(out, func(o protocol.GroupStatus) bool { return o.Group == g.Group }) {
			out = append(out, g)
		}
	}
	return out
}

// Statuses lists the columns of the endpoint table.
func (p Page) Statuses() []state.EndpointStatus {
	return []state.EndpointStatus{
		state.EndpointReady, state.EndpointSuspect, state.EndpointLost, state.EndpointLeaving,
		state.EndpointFlapping, state.EndpointQuarantined,
	}
}

// Classes lists the classes in the order in which they are served.
func (p Page) Classes() []state.Class { return state.Classes }

// Since formats a time, in Unix milliseconds, as the time elapsed since then and the time
// of day.
func (p Page) Since(ms int64) string {
	t := time.UnixMilli(ms)
	return p.Now.Sub(t).Round(time.Second).String() + " (" + t.UTC().Format("15:04:05Z") + ")"
}

// Contact returns the time since the process last had contact with the cell group.
func (p Page) Contact() time.Duration {
	return (time.Duration(p.Process.CellContactMS) * time.Millisecond).Round(time.Second)
}

// voters lists the names of a group's members. Members that are not voters yet are marked
// as catching up.
func voters(g protocol.GroupStatus) string {
	var names []string
	for _, m := range g.Members {
		name := m.Name
		if !m.Voter {
			name += " (catching up)"
		}
		names = append(names, name)
	}
	return strings.Join(names, ", ")
}
