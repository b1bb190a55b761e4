// Package patch submits operators' patches against numbered versions of the
// configuration.
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

// Patch is a change that an operator asks for.
type Patch struct {
	// PatchID is the identity of the patch; asking again with it is safe.
	PatchID string `json:"PatchId"`
	// Against is the version that the patch was written for.
	Against uint64
	// Operator is who submits the patch.
	Operator string
	// Merge is a JSON merge patch (RFC 7386), or empty.
	Merge json.RawMessage `json:",omitempty"`
	// Operations is a JSON patch (RFC 6902), or empty.
	Operations json.RawMessage `json:",omitempty"`
}

// Outcome says what became of a patch.
type Outcome string

// Outcomes of a patch.
const (
	// Accepted means that the patch is the version in the reply.
	Accepted Outcome = "Accepted"
	// Refused means that the patch is not in force and will not be.
	Refused Outcome = "Refused"
	// Unknown means that the store did not tell; ask again with the same PatchId.
	Unknown Outcome = "Unknown"
)

// Reply answers a patch.
type Reply struct {
	Outcome Outcome
	// Version is the one the patch made, or for a refusal the one in force.
	Version  uint64
	Detail   string
	Problems []schema.Problem `json:",omitempty"`
}

func refused(version uint64, format string, args ...any) Reply {
	return Reply{Outcome: Refused, Version: version, Detail: fmt.Sprintf(format, args...)}
}

func unknown(err error) Reply {
	return Reply{Outcome: Unknown, Detail: fmt.Sprintf("store did not answer: %v; ask again with the same PatchId", err)}
}

// digest tells apart patches that use one identity.
func (patch Patch) digest() string {
	sum := xxhash.New()
	fmt.Fprintf(sum, "%d\n%s\n%s", patch.Against, patch.Merge, patch.Operations)
	return fmt.Sprintf("%016x", sum.Sum64())
}

// Apply returns the configuration after the patch, or the problems with it.
func (patch Patch) Apply(current *service.Configuration) (*service.Configuration, []schema.Problem) {
	document, err := json.Marshal(current)
	if err != nil {
		return nil, []schema.Problem{{Path: "/", Detail: err.Error()}}
	}
	changed, err := patch.change(document)
	if err != nil {
		return nil, []schema.Problem{{Path: "/", Detail: err.Error()}}
	}
	return service.Parse(changed)
}

func (patch Patch) change(document []byte) ([]byte, error) {
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
