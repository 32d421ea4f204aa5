package coordination

import "github.com/primrosereach/primrosereach/state"

// configure proposes a configuration change to the cell group. If the change ID has
// already been decided, the answer repeats the original result.
func (n *Node) configure(e ConfigureCell) {
	r := n.owner(CellGroup, e.Token)
	if r == nil {
		return
	}
	if original, ok := r.cell.Result(e.Configure.ChangeID); ok {
		n.reply(e.Token, configurationAnswer(original))
		return
	}
	change := e.Configure
	change.AtMS = n.clock.WallMS
	if currentConfig := r.cell.Configuration(); change.Expected == currentConfig.Version {
		// With any other expected version the command keeps the whole configuration:
		// an earlier change that is not committed yet may still produce the expected
		// version.
		change.Change, change.Config = state.ChangeBetween(currentConfig.Configuration, change.Config), state.Configuration{}
	}
	ok := n.propose(r, state.Command{Configure: &change}, func(_ state.Applied, committed bool) {
		result, known := r.cell.Result(e.Configure.ChangeID)
		if !committed || !known {
			n.reply(e.Token, unavailable("leadership of the cell group changed"))
			return
		}
		n.reply(e.Token, configurationAnswer(result))
	})
	if !ok {
		n.reply(e.Token, unavailable("the log of the cell group accepts no entries now"))
	}
}

func configurationAnswer(r state.ConfigureResult) Answer {
	code := CodeOK
	if !r.Applied {
		code = CodeConflict
	}
	return Answer{Code: code, Message: r.Reason, Configured: &r}
}

func (n *Node) readCell(e ReadCell) {
	r := n.owner(CellGroup, e.Token)
	if r == nil {
		return
	}
	n.reply(e.Token, Answer{Code: CodeOK, Cell: r.cell.Snapshot()})
}

// adoptConfiguration proposes that the domain adopt the newest configuration known to
// this process. The domain state rejects a version that is not newer than its own, so
// a leader whose replica of the cell group lags behind cannot revert a configuration.
func (n *Node) adoptConfiguration(r *replica) {
	newest := n.cell.cell.Configuration()
	if r.leaderState.adopting || newest.Version <= r.domain.Configuration().Version {
		return
	}
	adopted := r.domain.Configuration()
	change := state.ChangeBetween(adopted.Configuration, newest.Configuration)
	shares := make(map[string]state.Resources, len(change.Set))
	for team, t := range change.Set {
		shares[team] = share(t.Quota, r.domainName, n.domains)
	}
	cmd := state.Command{Adopt: &state.AdoptConfiguration{
		AtMS: n.clock.WallMS, Config: state.VersionedConfiguration{Version: newest.Version}, Change: change, From: adopted.Version, Shares: shares,
	}}
	l := r.leaderState
	l.adopting = n.propose(r, cmd, func(a state.Applied, committed bool) {
		l.adopting = false
		if committed && a.Rejected == nil {
			n.log("info", "adopt configuration", "", r.group+" adopted a new configuration")
		}
	})
}
