package job

import (
	"maps"
	"slices"

	"github.com/primrosereach/primrosereach/state/resource"
)

// State is the replicated state of the job group. It is used by one goroutine.
type State struct {
	applied uint64
	config  Configuration
	queues  queueIndex       // index of the queues of config
	teams   teamIndex        // index of the teams of config
	retired map[string]Queue // queues that were removed from the configuration; their jobs still use them
	jobs    map[ID]*Job
	workers map[string]*Worker // by ID
	waves   map[int]*Wave
	usage   map[string]resource.Amount // capacity that the tasks of a team reserve, by team

	epoch        int64 // submission epoch, see AdvanceEpoch
	epochStartMS int64 // Unix milliseconds, 0 for the first epoch
	tombstones   tombstones
}

// New returns an empty state.
func New() *State {
	return &State{
		retired: map[string]Queue{}, jobs: map[ID]*Job{}, workers: map[string]*Worker{}, waves: map[int]*Wave{},
		usage: map[string]resource.Amount{}, epoch: 1, tombstones: newTombstones(),
	}
}

// Applied returns the log index of the last applied command.
func (s *State) Applied() uint64 { return s.applied }

// Configuration returns the configuration in force. The caller must not change it.
func (s *State) Configuration() *Configuration { return &s.config }

// QueueOf returns the settings of a job's queue, even if the queue has been removed
// from the configuration.
func (s *State) QueueOf(j *Job) Queue {
	if q := s.queues.byName[j.Queue]; q != nil {
		return *q
	}
	return s.retired[j.Queue]
}

// Resolve returns the queue of a path, by host and longest prefix, and the rest of the
// path. The queue is nil if there is none.
func (s *State) Resolve(host, path string) (q *Queue, rest string) {
	return s.queues.resolve(host, path)
}

// Pool returns the settings of the named pool, or the defaults if the pool is not
// configured.
func (s *State) Pool(name string) Pool {
	for _, p := range s.config.Pools {
		if p.Name == name {
			return p
		}
	}
	return Pool{Name: name}
}

// Job returns a job, or nil.
func (s *State) Job(id ID) *Job { return s.jobs[id] }

// Jobs calls f for every job until it returns false.
func (s *State) Jobs(f func(*Job) bool) {
	for _, j := range s.jobs {
		if !f(j) {
			return
		}
	}
}

// Worker returns a worker, or nil.
func (s *State) Worker(id string) *Worker { return s.workers[id] }

// Workers returns all workers, sorted by ID.
func (s *State) Workers() []*Worker {
	out := slices.Collect(maps.Values(s.workers))
	slices.SortFunc(out, func(a, b *Worker) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}

// Wave returns a wave, or nil.
func (s *State) Wave(number int) *Wave { return s.waves[number] }

// Waves returns the waves, sorted by number.
func (s *State) Waves() []*Wave {
	var out []*Wave
	for _, n := range slices.Sorted(maps.Keys(s.waves)) {
		out = append(out, s.waves[n])
	}
	return out
}

// Snapshot is the serialisable state at one log index.
type Snapshot struct {
	Applied uint64           `json:"applied"`
	Config  Configuration    `json:"config"`
	Retired map[string]Queue `json:"retired,omitempty"`
	Jobs    []*Job           `json:"jobs,omitempty"`
	Workers []*Worker        `json:"workers,omitempty"`
	Waves   []*Wave          `json:"waves,omitempty"`

	// Members of earlier versions know neither epochs nor tombstones and leave these fields out.
	Epoch        int64       `json:"epoch,omitempty"` // submission epoch
	EpochStartMS int64       `json:"epoch_start_ms,omitempty"`
	Tombstones   []Tombstone `json:"tombstones,omitempty"`
}

// Snapshot returns a copy of the state. It leaves out Worker.Tasks, which Restore
// rebuilds from the jobs.
func (s *State) Snapshot() *Snapshot {
	out := &Snapshot{
		Applied: s.applied, Config: s.config, Retired: maps.Clone(s.retired),
		Epoch: s.epoch, EpochStartMS: s.epochStartMS, Tombstones: s.tombstones.list(),
	}
	for _, j := range s.jobs {
		out.Jobs = append(out.Jobs, j.clone())
	}
	for _, w := range s.Workers() {
		c := *w
		c.Tasks = nil
		out.Workers = append(out.Workers, &c)
	}
	for _, w := range s.Waves() {
		out.Waves = append(out.Waves, w.clone())
	}
	return out
}

func (j *Job) clone() *Job {
	c := *j
	c.FinishedOccurrences = maps.Clone(j.FinishedOccurrences)
	c.Occurrences = make(map[int]*Occurrence, len(j.Occurrences))
	for k, o := range j.Occurrences {
		n := &Occurrence{Open: slices.Clone(o.Open)}
		for _, tasks := range o.Steps {
			n.Steps = append(n.Steps, slices.Clone(tasks))
		}
		c.Occurrences[k] = n
	}
	return &c
}

// Restore rebuilds the state from a snapshot.
func Restore(snap *Snapshot) *State {
	s := New()
	s.applied, s.config = snap.Applied, snap.Config
	s.epoch, s.epochStartMS = max(1, snap.Epoch), snap.EpochStartMS
	for _, t := range snap.Tombstones {
		s.tombstones.add(t)
	}
	s.queues = s.config.index()
	s.teams = indexTeams(s.config.Teams)
	maps.Copy(s.retired, snap.Retired)
	for _, w := range snap.Workers {
		c := *w
		c.Tasks = map[TaskRef]int{}
		s.workers[w.ID] = &c
	}
	for _, j := range snap.Jobs {
		c := j.clone()
		s.jobs[c.ID] = c
		c.eachOnWorker(func(r TaskRef, t *Task) {
			s.addUsage(c, c.Steps[r.Step].Reserved())
			if w := s.workers[t.Worker]; w != nil {
				w.Tasks[r] = t.Run
			}
		})
	}
	for _, w := range snap.Waves {
		s.waves[w.Number] = w.clone()
	}
	return s
}

// eachOnWorker calls f for each task that reserves capacity of a worker. A task that
// is done can still do so: the members of a gang are done with the first one, and each
// reserves its capacity until its own end is recorded.
func (j *Job) eachOnWorker(f func(r TaskRef, t *Task)) {
	for k, o := range j.Occurrences {
		for s, tasks := range o.Steps {
			for i := range tasks {
				if tasks[i].Worker != "" {
					f(TaskRef{StepRef{j.ID, k, s}, i}, &tasks[i])
				}
			}
		}
	}
}
