package command

import (
	"fmt"

	"fescuehall/answer"
	"fescuehall/verdict"
)

func init() {
	register("query", "Send a query to a service through an entry host.", &queryCommand{})
}

type queryCommand struct {
	Target
	Service        string `arg:"" help:"Service name."`
	Kind           string `arg:"" help:"Kind of the request."`
	Text           string `arg:"" optional:"" help:"Query text."`
	Key            string `help:"Key that selects the shard of a request that is not idempotent."`
	Limit          int    `default:"10" help:"Maximum number of results."`
	DeadlineMillis int    `help:"Deadline in milliseconds; the kind's deadline when not given."`
	ID             string `help:"Request ID; generated when empty."`
	JSON           bool   `help:"Print the answer as JSON."`
}

// Run sends the query and prints the answer.
func (queryCommand *queryCommand) Run() error {
	request := answer.Request{RequestID: queryCommand.ID, Service: queryCommand.Service, Kind: queryCommand.Kind, Text: queryCommand.Text, Key: queryCommand.Key, Limit: queryCommand.Limit, DeadlineMillis: queryCommand.DeadlineMillis}
	var reply answer.Answer
	if err := queryCommand.post("/v1/query", request, &reply); err != nil {
		return &ExitError{Code: ExitUnknown, Detail: fmt.Sprintf("%v (%s)", err, verdict.MayHaveRun)}
	}
	if queryCommand.JSON {
		if err := printJSON(reply); err != nil {
			return err
		}
	} else {
		printAnswer(&reply)
	}
	return answerError(&reply)
}

func printAnswer(reply *answer.Answer) {
	fmt.Printf("request %s, host %s, version %d, snapshot %s, %d of %d shards\n", reply.RequestID, reply.Host, reply.Version, reply.Snapshot, reply.ShardsCovered, reply.ShardsAsked)
	for _, missing := range reply.Missing {
		fmt.Printf("  missing shard %d: %s (%s) %s\n", missing.Shard, missing.Code, missing.Verdict, missing.Detail)
	}
	for _, result := range reply.Results {
		fmt.Printf("  %10.1f  %s\n", result.Score, result.ID)
	}
}

func answerError(reply *answer.Answer) error {
	if reply.Code == "" {
		return nil
	}
	exitError := &ExitError{Code: ExitUnknown, Detail: fmt.Sprintf("%s (%s): %s", reply.Code, reply.Verdict, reply.Detail)}
	if reply.Verdict == verdict.NotRun.String() {
		exitError.Code = ExitRefused
	}
	return exitError
}
