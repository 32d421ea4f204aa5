package main

import (
	"fmt"
	"strings"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/primrosereach/primrosereach/coordination/derive"
	"github.com/primrosereach/primrosereach/protocol/questionnaire"
	"github.com/primrosereach/primrosereach/transport/cli"
)

func (a *app) questionnaireCommand() *cobra.Command {
	parent := &cobra.Command{
		Use:   "questionnaire",
		Short: "The teams' questionnaires and what follows from them",
		Long: `A questionnaire is a JSON file in which a team says in plain terms what it runs,
what matters most, what may wait, what must never happen twice, by when, and how
much at most. One more file describes the site. Name all of them together.`,
	}
	parent.AddCommand(a.questionnaireCheck(), a.questionnaireExplain(), a.questionnaireGenerate(), a.questionnaireSchema())
	return parent
}

func (a *app) questionnaireCheck() *cobra.Command {
	return &cobra.Command{
		Use:     "check FILE...",
		Short:   "Find mistakes, missing answers and contradictions",
		Example: "  primrosereach questionnaire check examples/claims/*.json",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, files []string) error {
			r, err := a.derive(files)
			if err != nil {
				return err
			}
			fmt.Fprintf(a.stdout, "no questions; %d teams\n", len(r.Configuration.Teams))
			return nil
		},
	}
}

func (a *app) questionnaireExplain() *cobra.Command {
	return &cobra.Command{
		Use:     "explain FILE...",
		Short:   "Show every derived value and the answer it comes from",
		Example: "  primrosereach questionnaire explain examples/claims/*.json",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, files []string) error {
			r, err := a.derive(files)
			if err != nil {
				return err
			}
			return a.printer().Explanations(r.Explanations)
		},
	}
}

func (a *app) questionnaireGenerate() *cobra.Command {
	return &cobra.Command{
		Use:     "generate FILE...",
		Short:   "Print the configuration that follows from the answers, as JSON",
		Example: "  primrosereach questionnaire generate examples/mail/*.json",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, files []string) error {
			r, err := a.derive(files)
			if err != nil {
				return err
			}
			return cli.Printer{Out: a.stdout, JSON: true}.Value(r.Configuration, nil)
		},
	}
}

func (a *app) questionnaireSchema() *cobra.Command {
	return &cobra.Command{
		Use:     "schema",
		Short:   "Print the JSON Schema of the questionnaire, with the questions",
		Example: "  primrosereach questionnaire schema > questionnaire.schema.json",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			schema, err := questionnaire.Schema()
			if err != nil {
				return err
			}
			fmt.Fprintln(a.stdout, string(schema))
			return nil
		},
	}
}

// derive reads questionnaires and derives the configuration. Questions that remain open
// are an input error.
func (a *app) derive(names []string) (*derive.Result, error) {
	files := make([]questionnaire.File, len(names))
	for i, name := range names {
		data, err := a.readInput(name)
		if err != nil {
			return nil, &cli.InputError{Err: errors.Wrap(err, "read questionnaire")}
		}
		files[i] = questionnaire.File{Name: name, Data: data}
	}
	answers, err := questionnaire.Parse(files)
	if err != nil {
		return nil, &cli.InputError{Err: errors.Errorf("the questionnaires have faults:\n%w", err)}
	}
	if len(answers.Teams) == 0 {
		return nil, inputErrorf("no team's questionnaire is named")
	}
	r := derive.Derive(answers)
	if len(r.Questions) > 0 {
		return nil, &cli.InputError{Err: errors.New(formatQuestions(r.Questions))}
	}
	return &r, nil
}

func formatQuestions(questions []derive.Question) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d questions remain:", len(questions))
	for _, q := range questions {
		fmt.Fprintf(&b, "\n%s: ", q.Source)
		if q.Work != "" {
			fmt.Fprintf(&b, "%s: ", q.Work)
		}
		fmt.Fprintf(&b, "%s\n    about: %s\n    proposal: %s", q.Text, q.Answers, q.Proposal)
	}
	return b.String()
}
