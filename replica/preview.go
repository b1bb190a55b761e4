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
	for _, address := range addresses {
		if !preview.known[address] {
			preview.known[address] = true
			snapshot := preview.picker.snapshot(address)
			preview.copied.withState(address, func(state *state) { *state = snapshot })
		}
	}
	return preview.copied.Pick(addresses)
}
