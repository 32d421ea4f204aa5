// Package questionnaire reads the questionnaires that teams fill in, and
// publishes their JSON Schema. Two forms exist: one for each team, and one for
// the site, which describes the computers. Package coordination/derive derives the
// configuration from the answers.
package questionnaire

// Values of the field "form".
const (
	formTeam = "team"
	formSite = "site"
)

// teamForm is the questionnaire of one team. The doc tags are the questions; they
// appear in the JSON Schema.
type teamForm struct {
	Form    string          `json:"form" required:"true" enum:"team" doc:"Always \"team\" for this form."`
	Team    string          `json:"team" required:"true" pattern:"name" doc:"What is the team called? Lower-case letters, digits and hyphens."`
	Contact string          `json:"contact" doc:"Who answers questions about this form?"`
	AtMost  *resourceLimits `json:"at_most" doc:"How much may everything of the team together use at most at the same time?"`
	Work    []work          `json:"work" required:"true" min:"1" doc:"What does the team run? One entry for each kind of work."`
}

// work is one kind of work of a team.
type work struct {
	Name           string  `json:"name" required:"true" pattern:"name" doc:"What is this kind of work called? Callers use this name. Lower-case letters, digits and hyphens."`
	What           string  `json:"what" doc:"What does it do, in a sentence?"`
	MattersMost    string  `json:"matters_most" required:"true" enum:"starts_at_once,someone_is_waiting,nothing_is_lost,finished_in_time,keeps_running" doc:"What matters most: that it starts at once; that a person waits for the answer; that it may wait but is certainly done; that large work is finished in time; or that it keeps running?"`
	MayWait        *wait   `json:"may_wait" doc:"How long may it wait before it starts? \"no\", or a time such as \"2 hours\"."`
	NeverTwice     *bool   `json:"must_never_happen_twice" required:"true" doc:"Would it do harm if it ran twice, for example by granting or posting something twice?"`
	FinishedWithin *period `json:"finished_within" doc:"Within what time of handing it over must it be finished? For example \"4 hours\"."`
	UsualRunTime   *period `json:"usual_run_time" doc:"How long does one part usually run? Leave it out if nobody knows; it is learned."`
	TryAgain       *int    `json:"try_again" min:"0" doc:"How often should it be tried again after a failure? Leave it out for the usual number."`
	Size           *size   `json:"size" doc:"How much does one part need? Leave it out for small work, which takes one slot of a runner."`
	Parts          *parts  `json:"parts" doc:"Into how many parts may one request be divided? Leave it out for one."`
	BusiestSecond  int     `json:"busiest_second" min:"1" doc:"How many requests arrive in the busiest second? Leave it out if nobody knows."`
}

// resourceLimits bounds the resources that a team uses at the same time.
type resourceLimits struct {
	SmallTasks   int     `json:"small_tasks" min:"0" doc:"Small tasks at the same time; each takes one slot of a runner."`
	Cores        float64 `json:"cores" min:"0" doc:"Processor cores."`
	MemoryGB     float64 `json:"memory_gb" min:"0" doc:"Memory in gigabytes."`
	Accelerators int     `json:"accelerators" min:"0" doc:"Accelerators, whole devices."`
}

// size is the resources that one part of large work needs.
type size struct {
	Cores        float64 `json:"cores" required:"true" min:"0.001" doc:"Processor cores; parts of a core are allowed, such as 0.5."`
	MemoryGB     float64 `json:"memory_gb" required:"true" min:"0.001" doc:"Memory in gigabytes."`
	Accelerators int     `json:"accelerators" min:"0" doc:"Accelerators, whole devices."`
}

// parts describes how one request is divided.
type parts struct {
	AtMost        int  `json:"at_most" required:"true" min:"1" doc:"The largest number of parts of one request."`
	StartTogether bool `json:"start_together" doc:"Must all parts run at the same time, because they work with each other?"`
}

// siteForm describes the computers of a cell.
type siteForm struct {
	Form      string      `json:"form" required:"true" enum:"site" doc:"Always \"site\" for this form."`
	Site      string      `json:"site" doc:"What is the organisation called?"`
	Domains   int         `json:"domains" required:"true" min:"1" doc:"How many failure domains are there, that is, places that can fail or be cut off on their own?"`
	Computers []computers `json:"computers" required:"true" min:"1" doc:"Which computers run the work? One entry for each size."`
}

// computers is a group of identical runners or workers.
type computers struct {
	Count        int     `json:"count" required:"true" min:"1" doc:"How many of them are there?"`
	SmallTasks   int     `json:"small_tasks" min:"1" doc:"For runners: how many small tasks does one run at the same time?"`
	Cores        float64 `json:"cores" min:"0.001" doc:"For workers: processor cores of one."`
	MemoryGB     float64 `json:"memory_gb" min:"0.001" doc:"For workers: memory of one in gigabytes."`
	Accelerators int     `json:"accelerators" min:"0" doc:"For workers: accelerators of one."`
}
