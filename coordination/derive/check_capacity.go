package derive

import (
	"fmt"

	"github.com/primrosereach/primrosereach/state"
)

// domains returns the number of failure domains of the site, or 1 if the site was not
// described.
func domains(site *Site) int {
	if site == nil {
		return 1
	}
	return max(1, site.Domains)
}

// needOf returns the quota without which a request of the work cannot start: the size of
// one task or, for a gang, of all its tasks, since only these must run at the same time.
func needOf(w *Work) state.Resources {
	if classOf(w) == state.ClassGang {
		return sizeOf(w).Scale(max(1, w.Parts))
	}
	return sizeOf(w)
}

// peakOf returns the resources that the work uses in its busiest second. The number of
// requests that run then is the arrivals per second times the usual run time, rounded
// up, and at least one.
func peakOf(w *Work) state.Resources {
	running := 1
	if w.UsualRunMS != nil {
		running = max(1, int((int64(w.BusiestPerSec)**w.UsualRunMS+999)/1000))
	}
	return needOf(w).Scale(running)
}

// askQuota asks for the missing limit of a team. It proposes the sum of the peaks, but at
// least enough in each failure domain for one request of each kind.
func (d *derivation) askQuota(t *Team, site *Site) {
	var sum, least state.Resources
	for i := range t.Work {
		sum = sum.Add(peakOf(&t.Work[i]))
		least = maxResources(least, needOf(&t.Work[i]))
	}
	d.ask(t, nil, answerAtMost, "How much may everything of the team together use at most?", formatResources(maxResources(sum, least.Scale(domains(site)))))
}

// checkQuota asks about a limit under which some work could never run, or urgent and
// interactive work could not start at once at its peak.
func (d *derivation) checkQuota(t *Team, site *Site) {
	n := domains(site)
	share := lowestShare(*t.AtMost, n)
	var atOnce int
	for i := range t.Work {
		w := &t.Work[i]
		if need := needOf(w); !need.FitsIn(share) {
			d.ask(t, w, answerAtMost+", "+answerSize+", "+answerParts,
				fmt.Sprintf("One request needs %s, but %s of the team is %s%s, so it could never run. How much may the team use?", formatResources(need), answerAtMost, formatResources(*t.AtMost), perDomain(share, n)),
				fmt.Sprintf("answer %s with at least %s", answerAtMost, formatResources(maxResources(*t.AtMost, need.Scale(n)))))
		}
		if c := classOf(w); c == state.ClassUrgent || c == state.ClassInteractive {
			atOnce += peakOf(w).Slots
		}
	}
	if atOnce > t.AtMost.Slots {
		d.ask(t, nil, answerAtMost+", "+answerBusiest+", "+answerUsualRun,
			fmt.Sprintf("In the busiest second, work that starts at once or for which someone waits runs %d small tasks at the same time, but the limit is %d. How much may the team use?", atOnce, t.AtMost.Slots),
			fmt.Sprintf("answer %s with small_tasks of at least %d", answerAtMost, atOnce))
	}
}

// lowestShare returns the smallest share of a quota that a failure domain gets. A
// request runs in the domain that its ID names, so it must fit into the share of each.
func lowestShare(q state.Resources, domains int) state.Resources {
	return state.Resources{Slots: q.Slots / domains, MilliCores: q.MilliCores / domains, MemoryMB: q.MemoryMB / domains, Accelerators: q.Accelerators / domains}
}

func perDomain(share state.Resources, domains int) string {
	if domains == 1 {
		return ""
	}
	return fmt.Sprintf(", that is %s in each of the %d failure domains", formatResources(share), domains)
}

// checkSite compares the limits and sizes with the computers of the site.
func (d *derivation) checkSite(site *Site, teams []Team) {
	total := capacity(site)
	var sum state.Resources
	for i := range teams {
		t := &teams[i]
		for j := range t.Work {
			d.checkFits(site, t, &t.Work[j])
		}
		if t.AtMost == nil {
			continue
		}
		sum = sum.Add(*t.AtMost)
		if !t.AtMost.FitsIn(total) {
			d.ask(t, nil, answerAtMost, fmt.Sprintf("The team may use %s, but there is only %s. How much may it use?", formatResources(*t.AtMost), formatResources(total)),
				"at most "+formatResources(minResources(*t.AtMost, total)))
		}
	}
	if !sum.FitsIn(total) {
		d.Questions = append(d.Questions, Question{Source: site.Source, Answers: answerAtMost + ", " + answerComputers,
			Text:     fmt.Sprintf("All teams together may use %s, but there is only %s. Who gets less?", formatResources(sum), formatResources(total)),
			Proposal: "multiply every team's limits by " + scaleFactor(sum, total) + "; idle limits are lent to other teams anyway"})
	}
}

// checkFits asks about work of which one task needs more than any computer has.
func (d *derivation) checkFits(site *Site, t *Team, w *Work) {
	computers, kind := site.Workers, "worker"
	if classOf(w).UsesSlots() {
		computers, kind = site.Runners, "runner"
	}
	for _, c := range computers {
		if c.Count > 0 && sizeOf(w).FitsIn(c.Capacity) {
			return
		}
	}
	proposal := "add such a " + kind + " to the site's answer computers"
	if len(computers) > 0 {
		proposal = fmt.Sprintf("answer %s with at most %s", answerSize, formatResources(largest(computers)))
	}
	d.ask(t, w, answerSize+", "+answerComputers, fmt.Sprintf("One part needs %s, but no %s is that large. Can it be smaller?", formatResources(sizeOf(w)), kind), proposal)
}

func capacity(site *Site) state.Resources {
	var total state.Resources
	for _, list := range [][]Computers{site.Runners, site.Workers} {
		for _, c := range list {
			total = total.Add(c.Capacity.Scale(c.Count))
		}
	}
	return total
}

func largest(list []Computers) state.Resources {
	var r state.Resources
	for _, c := range list {
		r = maxResources(r, c.Capacity)
	}
	return r
}
