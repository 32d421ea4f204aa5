package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/primrosereach/primrosereach/coordination/jobs"
)

// dryRunTimeout bounds a request for a dry run.
const dryRunTimeout = 5 * time.Second

// DryRunRequest names a job that is not submitted yet.
type DryRunRequest struct {
	Server string // metrics address of a member or a gateway, host:port
	Host   string // host of the queue
	Path   string // path of the job
	Key    string // key of the team, "" for none
	Job    []byte // as it would be submitted
	JSON   bool   // print the answer as JSON
}

// DryRun asks what would happen to a job and prints the answer. It submits nothing.
func DryRun(ctx context.Context, w io.Writer, client *http.Client, p *DryRunRequest) error {
	ctx, cancel := context.WithTimeout(ctx, dryRunTimeout)
	defer cancel()
	query := url.Values{"host": {p.Host}, "path": {p.Path}}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.Server+"/dry-run?"+query.Encode(), strings.NewReader(string(p.Job)))
	if err != nil {
		return &InputError{Err: errors.Wrap(err, "dry run")}
	}
	if p.Key != "" {
		r.Header.Set("Authorization", "Bearer "+p.Key)
	}
	res, err := client.Do(r)
	if err != nil {
		return errors.Wrapf(err, "ask %s for a dry run", p.Server)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	if err != nil {
		return errors.Wrapf(err, "read the answer of %s", p.Server)
	}
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("%s answers with %d: %s", p.Server, res.StatusCode, strings.TrimSpace(string(data)))
	}
	if p.JSON {
		_, err = fmt.Fprintln(w, strings.TrimSpace(string(data)))
		return errors.Wrap(err, "write")
	}
	var out jobs.DryRunResult
	if err := json.Unmarshal(data, &out); err != nil {
		return errors.Wrapf(err, "decode the answer of %s", p.Server)
	}
	_, err = io.WriteString(w, formatDryRun(&out))
	return errors.Wrap(err, "write")
}

func formatDryRun(p *jobs.DryRunResult) string {
	var b strings.Builder
	fmt.Fprintf(&b, "queue %s, pool %s", p.Queue, p.Pool)
	if p.Team != "" {
		fmt.Fprintf(&b, ", team %s", p.Team)
	}
	b.WriteString("\n")
	if !p.Accepted {
		fmt.Fprintf(&b, "would be refused: %s", p.Reason)
		if p.RetryAfterMS > 0 {
			fmt.Fprintf(&b, " (retry after %d ms)", p.RetryAfterMS)
		}
		b.WriteString("\n")
		return b.String()
	}
	b.WriteString("would be accepted")
	if p.Borrowed {
		b.WriteString(" beyond the rate of its team: all other work comes first")
	}
	fmt.Fprintf(&b, "; objective %d ms\n", p.ObjectiveMS)
	for i := range p.Steps {
		formatStep(&b, &p.Steps[i])
	}
	return b.String()
}

func formatStep(b *strings.Builder, s *jobs.DryRunStep) {
	fmt.Fprintf(b, "step %d: %d tasks, %d steps ahead, %d usable workers, room for %d now, %d within the team's limit\n",
		s.Step, s.Tasks, s.StepsAhead, s.Workers, s.FitNow, s.WithinLimit)
	if len(s.Candidates) > 0 {
		fmt.Fprintf(b, "  first workers: %s\n", strings.Join(s.Candidates, ", "))
	}
	if s.WaitsForCause != "" {
		fmt.Fprintf(b, "  waits: %s\n", s.WaitsForCause)
	}
	if s.FitsInMS >= 0 {
		fmt.Fprintf(b, "  room for all tasks expected in %d ms\n", s.FitsInMS)
	}
	fmt.Fprintf(b, "  run time of a task %d ms, nine of ten up to %d ms, reliability %.2f\n", s.RunMS, s.RunHighMS, s.RunsReliable)
}
