package replica

// Preview chooses as Pick does, one attempt after the other, without counting them in
// the picker. It is not safe for concurrent use.
type Preview struct {
	picker *Picker
	// copied has copies of the states of known replicas.
	copied *Picker
	known  map[string]bool
}

// Preview returns a preview of the next attempts.
func (picker *Picker) Preview() *Preview {
	copied := &Picker{Now: picker.Now, Random: picker.Random, Distance: picker.Distance, Suspected: picker.Suspected}
	return &Preview{picker: picker, copied: copied, known: make(map[string]bool)}
}

// Pick returns the index of the replica that Pick of the picker would return, had it
// been called for the earlier choices of the preview. It changes no state of the
// picker.
func (preview *Preview) Pick(addresses []string) int {
	preview.know(addresses)
	return preview.copied.Pick(addresses)
}

// PickAdmitted is to PickAdmitted of the picker what Pick is to Pick.
func (preview *Preview) PickAdmitted(addresses []string, admits func(index int) bool) int {
	preview.know(addresses)
	return preview.copied.PickAdmitted(addresses, admits)
}

// know copies the states of the replicas that the preview does not know yet.
func (preview *Preview) know(addresses []string) {
	for _, address := range addresses {
		if !preview.known[address] {
			preview.known[address] = true
			snapshot := preview.picker.snapshot(address)
			preview.copied.withState(address, func(state *state) { *state = snapshot })
		}
	}
}
