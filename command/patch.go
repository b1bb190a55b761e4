package command

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"

	"fescuehall/patch"
)

func init() {
	register("patch", "Submit a patch against a version of the configuration.", &patchCommand{})
}

type patchCommand struct {
	Target
	File       string `arg:"" type:"existingfile" help:"JSON merge patch, or JSON patch with --operations."`
	Against    uint64 `required:"" help:"Version that the patch was written against, 0 for the first patch."`
	ID         string `help:"ID of the patch; use the same ID to retry. Generated when empty."`
	Operator   string `env:"USER" help:"Who submits the patch."`
	Operations bool   `help:"The file is a list of JSON patch operations (RFC 6902)."`
}

// Run submits the patch and prints its outcome.
func (patchCommand *patchCommand) Run() error {
	content, err := os.ReadFile(patchCommand.File)
	if err != nil {
		return err
	}
	if !json.Valid(content) {
		return &ExitError{Code: ExitUsage, Detail: fmt.Sprintf("file %q is not JSON", patchCommand.File)}
	}
	submitted := patch.Patch{PatchID: patchCommand.ID, Against: patchCommand.Against, Operator: patchCommand.Operator, Merge: content}
	if patchCommand.Operations {
		submitted.Merge, submitted.Operations = nil, content
	}
	if submitted.PatchID == "" {
		submitted.PatchID = fmt.Sprintf("%016x", rand.Uint64())
	}
	var reply patch.Reply
	if err := patchCommand.post("/v1/patch", submitted, &reply); err != nil {
		reply = patch.Reply{Outcome: patch.Unknown, Detail: err.Error()}
	}
	return printOutcome(submitted, reply)
}

func printOutcome(submitted patch.Patch, reply patch.Reply) error {
	switch reply.Outcome {
	case patch.Accepted:
		fmt.Printf("accepted as version %d\n", reply.Version)
		return nil
	case patch.Refused:
		fmt.Printf("refused: %s\n", reply.Detail)
		for _, problem := range reply.Problems {
			fmt.Printf("  %s\n", problem)
		}
		return &ExitError{Code: ExitRefused, Detail: "patch was refused"}
	}
	fmt.Printf("unknown: %s\nretry safely with --id %s --against %d\n", reply.Detail, submitted.PatchID, submitted.Against)
	return &ExitError{Code: ExitUnknown, Detail: "it is not known whether the patch was accepted"}
}
