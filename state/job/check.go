package job

import (
	"fmt"

	"github.com/primrosereach/primrosereach/state/resource"
)

// Check returns the first violated invariant.
func (s *State) Check() error {
	reserved := map[string]resource.Amount{}
	held := map[string]int{}
	for _, j := range s.jobs {
		n := 0
		j.eachHeld(func(r TaskRef, t *Task) {
			n++
			w := s.workers[t.Worker]
			if w != nil && w.Tasks[r] == t.Run {
				reserved[w.ID] = reserved[w.ID].Add(j.Steps[r.Step].Reserved())
				held[w.ID]++
			}
		})
		if n != j.AssignedTasks {
			return fmt.Errorf("job %s: %d tasks are held, %d counted", j.ID, n, j.AssignedTasks)
		}
	}
	for id, w := range s.workers {
		if reserved[id] != w.Reserved || held[id] != len(w.Tasks) {
			return fmt.Errorf("worker %s: reserved %+v for %d tasks, counted %+v for %d", id, w.Reserved, len(w.Tasks), reserved[id], held[id])
		}
		if !w.Reserved.FitsIn(w.Capacity) {
			return fmt.Errorf("worker %s: reserved %+v of %+v", id, w.Reserved, w.Capacity)
		}
	}
	return nil
}
