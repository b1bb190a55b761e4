// Package patch applies operators' patches to the configuration, each of which
// turns one numbered version into the next.
package patch

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"
	jsonpatch "github.com/evanphx/json-patch/v5"

	"fescuehall/schema"
	"fescuehall/service"
)

// Patch is a change of the configuration that an operator submits.
type Patch struct {
	// PatchID identifies the patch. A patch that is resubmitted under the same
	// PatchID is applied at most once.
	PatchID string `json:"PatchId"`
	// Against is the version that the patch was written for. The patch is refused
	// when another patch has already created the next version.
	Against uint64
	// Operator is the person or program that submits the patch.
	Operator string
	// Merge is a JSON merge patch (RFC 7386), or empty.
	Merge json.RawMessage `json:",omitempty"`
	// Operations is a JSON patch (RFC 6902), or empty.
	Operations json.RawMessage `json:",omitempty"`
}

// Outcome is the result of a submission.
type Outcome string

// Outcomes of a patch.
const (
	// Accepted means that the patch created the version in the reply.
	Accepted Outcome = "Accepted"
	// Refused means that the patch was not applied and will not be.
	Refused Outcome = "Refused"
	// Unknown means that the store did not confirm whether the patch was
	// applied; it may be resubmitted with the same PatchId.
	Unknown Outcome = "Unknown"
)

// Reply is the answer to a submission.
type Reply struct {
	Outcome Outcome
	// Version is the version that the patch created, or for a refusal the active
	// version.
	Version  uint64
	Detail   string
	Problems []schema.Problem `json:",omitempty"`
}

func refusedReply(version uint64, format string, args ...any) Reply {
	return Reply{Outcome: Refused, Version: version, Detail: fmt.Sprintf(format, args...)}
}

func unknownReply(err error) Reply {
	return Reply{Outcome: Unknown, Detail: fmt.Sprintf("store did not confirm the patch: %v; submit it again with the same PatchId", err)}
}

// digest returns a hash of the patch's version and content, which reveals when
// a PatchID is reused for a different patch.
func (patch Patch) digest() string {
	sum := xxhash.New()
	fmt.Fprintf(sum, "%d\n%s\n%s", patch.Against, patch.Merge, patch.Operations)
	return fmt.Sprintf("%016x", sum.Sum64())
}

// Apply returns the configuration with the patch applied, or the problems that
// make the result invalid.
func (patch Patch) Apply(current *service.Configuration) (*service.Configuration, []schema.Problem) {
	document, err := json.Marshal(current)
	if err != nil {
		return nil, []schema.Problem{{Path: "/", Detail: err.Error()}}
	}
	changed, err := patch.applyTo(document)
	if err != nil {
		return nil, []schema.Problem{{Path: "/", Detail: err.Error()}}
	}
	return service.Parse(changed)
}

// applyTo returns a JSON document with the patch applied.
func (patch Patch) applyTo(document []byte) ([]byte, error) {
	if len(patch.Merge) > 0 && len(patch.Operations) > 0 {
		return nil, fmt.Errorf("patch %q has both Merge and Operations", patch.PatchID)
	}
	if len(patch.Operations) > 0 {
		operations, err := jsonpatch.DecodePatch(patch.Operations)
		if err != nil {
			return nil, fmt.Errorf("patch %q: %w", patch.PatchID, err)
		}
		return operations.Apply(document)
	}
	if len(bytes.TrimSpace(patch.Merge)) == 0 {
		return nil, fmt.Errorf("patch %q has neither Merge nor Operations", patch.PatchID)
	}
	return jsonpatch.MergePatch(document, patch.Merge)
}
