package job

import (
	"fmt"

	"github.com/primrosereach/primrosereach/state/resource"
)

// Check verifies that the recorded reservations match the assigned tasks and fit into
// the workers' capacity. It returns the first violation. It scans all jobs.
func (s *State) Check() error {
	reserved := map[string]resource.Amount{}
	taskCounts := map[string]int{}
	usage := map[string]resource.Amount{}
	for _, j := range s.jobs {
		n := 0
		j.eachOnWorker(func(r TaskRef, t *Task) {
			n++
			if j.Team != "" {
				usage[j.Team] = usage[j.Team].Add(j.Steps[r.Step].Reserved())
			}
			w := s.workers[t.Worker]
			if w != nil && w.Tasks[r] == t.Run {
				reserved[w.ID] = reserved[w.ID].Add(j.Steps[r.Step].Reserved())
				taskCounts[w.ID]++
			}
		})
		if n != j.AssignedTasks {
			return fmt.Errorf("job %s: %d tasks reserve capacity, %d are recorded", j.ID, n, j.AssignedTasks)
		}
	}
	for _, u := range []map[string]resource.Amount{usage, s.usage} {
		for team := range u {
			if usage[team] != s.usage[team] {
				return fmt.Errorf("team %s: recorded usage %+v, its tasks reserve %+v", team, s.usage[team], usage[team])
			}
		}
	}
	for id, w := range s.workers {
		if reserved[id] != w.Reserved || taskCounts[id] != len(w.Tasks) {
			return fmt.Errorf("worker %s: recorded reservation %+v for %d tasks, its tasks reserve %+v for %d", id, w.Reserved, len(w.Tasks), reserved[id], taskCounts[id])
		}
		if !w.Reserved.FitsIn(w.Capacity) {
			return fmt.Errorf("worker %s: reserved %+v exceeds capacity %+v", id, w.Reserved, w.Capacity)
		}
	}
	return nil
}
