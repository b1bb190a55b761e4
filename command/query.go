package command

import (
	"fmt"

	"fescuehall/answer"
	"fescuehall/verdict"
)

func init() {
	register("query", "Ask a service through an entry host.", &ask{})
}

type ask struct {
	Target
	Service        string `arg:"" help:"Service name."`
	Kind           string `arg:"" help:"Kind of work."`
	Text           string `arg:"" optional:"" help:"Query text."`
	Key            string `help:"Chooses the shard of a request that is not idempotent."`
	Limit          int    `default:"10" help:"Results wanted."`
	DeadlineMillis int    `help:"Time to answer in milliseconds, the kind's when not given."`
	ID             string `help:"Identity of the request, made up when empty."`
	JSON           bool   `help:"Print the answer as JSON."`
}

// Run asks and prints the answer.
func (ask *ask) Run() error {
	request := answer.Request{RequestID: ask.ID, Service: ask.Service, Kind: ask.Kind, Text: ask.Text, Key: ask.Key, Limit: ask.Limit, DeadlineMillis: ask.DeadlineMillis}
	var got answer.Answer
	if err := ask.post("/v1/query", request, &got); err != nil {
		return &ExitError{Code: ExitUnknown, Detail: fmt.Sprintf("%v (%s)", err, verdict.MayHaveRun)}
	}
	if ask.JSON {
		if err := printJSON(got); err != nil {
			return err
		}
	} else {
		printAnswer(&got)
	}
	return answerError(&got)
}

func printAnswer(got *answer.Answer) {
	fmt.Printf("request %s, host %s, version %d, snapshot %s, %d of %d shards\n", got.RequestID, got.Host, got.Version, got.Snapshot, got.ShardsCovered, got.ShardsAsked)
	for _, missing := range got.Missing {
		fmt.Printf("  missing shard %d: %s (%s) %s\n", missing.Shard, missing.Code, missing.Verdict, missing.Detail)
	}
	for _, result := range got.Results {
		fmt.Printf("  %10.1f  %s\n", result.Score, result.ID)
	}
}

func answerError(got *answer.Answer) error {
	if got.Code == "" {
		return nil
	}
	exit := &ExitError{Code: ExitUnknown, Detail: fmt.Sprintf("%s (%s): %s", got.Code, got.Verdict, got.Detail)}
	if got.Verdict == verdict.NotRun.String() {
		exit.Code = ExitRefused
	}
	return exit
}
