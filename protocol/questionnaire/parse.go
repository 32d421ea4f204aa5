package questionnaire

import (
	"encoding/json"
	"fmt"
	"math"
	"regexp"

	"github.com/primrosereach/primrosereach/coordination/derive"
	"github.com/primrosereach/primrosereach/protocol/strictjson"
	"github.com/primrosereach/primrosereach/state"
)

// namePattern is also published in the JSON Schema.
const namePattern = `^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`

var nameExpression = regexp.MustCompile(namePattern)

// File is one questionnaire.
type File struct {
	Name string
	Data []byte
}

// Parse reads all questionnaires of a cell: one for each team and at most one for
// the site. Its error is a strictjson.Faults that lists the faults of all files.
func Parse(files []File) (derive.Answers, error) {
	var a derive.Answers
	var all strictjson.Faults
	teams := map[string]string{}
	for _, f := range files {
		faults := parseFile(f, &a, teams)
		for _, fault := range faults {
			all.Add(f.Name, fault.String())
		}
	}
	return a, all.Err()
}

func parseFile(f File, a *derive.Answers, teams map[string]string) strictjson.Faults {
	switch form := formName(f.Data); form {
	case formSite:
		site, faults := parseSite(f)
		if a.Site != nil {
			faults.Add("form", fmt.Sprintf("%s describes the site already", a.Site.Source))
		}
		a.Site = site
		return faults
	case formTeam:
		team, faults := parseTeam(f)
		if first, ok := teams[team.Name]; ok {
			faults.Add("team", fmt.Sprintf("%q is the team of %s already", team.Name, first))
		}
		teams[team.Name] = f.Name
		a.Teams = append(a.Teams, *team)
		return faults
	default:
		// Decodes once more for the fault: a syntax error, or a missing or wrong form.
		var any struct {
			Form string `json:"form" required:"true" enum:"team,site"`
		}
		_, faults := strictjson.Decode(f.Data, &any)
		if len(faults) > 1 {
			return strictjson.Faults{{Path: "form", Text: `want "team" or "site"`}}
		}
		return faults
	}
}

func formName(data []byte) string {
	var f struct {
		Form string `json:"form"`
	}
	if json.Unmarshal(data, &f) != nil {
		return ""
	}
	return f.Form
}

func parseSite(f File) (*derive.Site, strictjson.Faults) {
	var form siteForm
	_, faults := strictjson.Decode(f.Data, &form)
	site := &derive.Site{Source: f.Name, Domains: max(1, form.Domains)}
	for i, c := range form.Computers {
		at := fmt.Sprintf("computers[%d]", i)
		group := derive.Computers{Count: c.Count, Capacity: resources(c.SmallTasks, c.Cores, c.MemoryGB, c.Accelerators)}
		isWorker := c.Cores > 0 || c.MemoryGB > 0 || c.Accelerators > 0
		switch {
		case c.SmallTasks > 0 && isWorker:
			faults.Add(at, "is a runner (small_tasks) or a worker (cores, memory_gb), not both")
		case c.SmallTasks > 0:
			site.Runners = append(site.Runners, group)
		case c.Cores > 0 && c.MemoryGB > 0:
			site.Workers = append(site.Workers, group)
		default:
			faults.Add(at, "want small_tasks for a runner, or cores and memory_gb for a worker")
		}
	}
	return site, faults
}

func parseTeam(f File) (*derive.Team, strictjson.Faults) {
	var form teamForm
	present, faults := strictjson.Decode(f.Data, &form)
	team := &derive.Team{Source: f.Name, Name: form.Team}
	checkName(&faults, present, "team", form.Team)
	if m := form.AtMost; m != nil {
		r := resources(m.SmallTasks, m.Cores, m.MemoryGB, m.Accelerators)
		team.AtMost = &r
	}
	seen := map[string]bool{}
	for i := range form.Work {
		w := &form.Work[i]
		at := fmt.Sprintf("work[%d].name", i)
		checkName(&faults, present, at, w.Name)
		if w.Name != "" && seen[w.Name] {
			faults.Add(at, fmt.Sprintf("%q appears more than once", w.Name))
		}
		seen[w.Name] = true
		team.Work = append(team.Work, w.answers())
	}
	return team, faults
}

func checkName(faults *strictjson.Faults, present strictjson.Present, path, name string) {
	if present[path] && !nameExpression.MatchString(name) {
		faults.Add(path, fmt.Sprintf("%q: want lower-case letters, digits and hyphens, at most 63", name))
	}
}

func (w *work) answers() derive.Work {
	a := derive.Work{
		Name:           w.Name,
		MattersMost:    derive.Priority(w.MattersMost),
		NeverTwice:     w.NeverTwice != nil && *w.NeverTwice,
		MayWaitMS:      (*int64)(w.MayWait),
		FinishWithinMS: (*int64)(w.FinishedWithin),
		UsualRunMS:     (*int64)(w.UsualRunTime),
		TryAgain:       w.TryAgain,
		Parts:          1,
		BusiestPerSec:  w.BusiestSecond,
	}
	if w.Size != nil {
		r := resources(0, w.Size.Cores, w.Size.MemoryGB, w.Size.Accelerators)
		a.Size = &r
	}
	if w.Parts != nil {
		a.Parts, a.StartTogether = w.Parts.AtMost, w.Parts.StartTogether
	}
	return a
}

// resources converts the units of the form, cores and gigabytes, to thousandths of a
// core and MiB.
func resources(slots int, cores, memoryGB float64, accelerators int) state.Resources {
	return state.Resources{
		Slots:        slots,
		MilliCores:   int(math.Round(cores * 1000)),
		MemoryMB:     int(math.Round(memoryGB * 1024)),
		Accelerators: accelerators,
	}
}
