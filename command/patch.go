package command

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"

	"fescuehall/patch"
)

func init() {
	register("patch", "Submit a patch against a version of the configuration.", &submit{})
}

type submit struct {
	Target
	File       string `arg:"" type:"existingfile" help:"JSON merge patch, or JSON patch with --operations."`
	Against    uint64 `required:"" help:"Version that the patch was written for, 0 for the first."`
	ID         string `help:"Identity of the patch; give the same one to ask again. Made up when empty."`
	Operator   string `env:"USER" help:"Who submits the patch."`
	Operations bool   `help:"The file is a list of JSON patch operations (RFC 6902)."`
}

// Run submits the patch and prints what became of it.
func (submit *submit) Run() error {
	content, err := os.ReadFile(submit.File)
	if err != nil {
		return err
	}
	if !json.Valid(content) {
		return &ExitError{Code: ExitUsage, Detail: fmt.Sprintf("file %q is not JSON", submit.File)}
	}
	submitted := patch.Patch{PatchID: submit.ID, Against: submit.Against, Operator: submit.Operator, Merge: content}
	if submit.Operations {
		submitted.Merge, submitted.Operations = nil, content
	}
	if submitted.PatchID == "" {
		submitted.PatchID = fmt.Sprintf("%016x", rand.Uint64())
	}
	var reply patch.Reply
	if err := submit.post("/v1/patch", submitted, &reply); err != nil {
		reply = patch.Reply{Outcome: patch.Unknown, Detail: err.Error()}
	}
	return show(submitted, reply)
}

func show(submitted patch.Patch, reply patch.Reply) error {
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
	fmt.Printf("unknown: %s\nask again safely with --id %s --against %d\n", reply.Detail, submitted.PatchID, submitted.Against)
	return &ExitError{Code: ExitUnknown, Detail: "it is not known whether the patch was accepted"}
}
