package replica

// Baselines that the picker is measured against.
const (
	Random           = "Random"
	RoundRobin       = "RoundRobin"
	LeastOutstanding = "LeastOutstanding"
)

// Choice returns the named baseline's way to choose, or Pick for an empty
// name.
func (picker *Picker) Choice(name string) func(addresses []string) int {
	choose := picker.baseline(name)
	if choose == nil {
		return picker.Pick
	}
	return func(addresses []string) int {
		if len(addresses) == 0 {
			return -1
		}
		chosen := choose(addresses)
		picker.Start(addresses[chosen])
		return chosen
	}
}

func (picker *Picker) baseline(name string) func(addresses []string) int {
	switch name {
	case Random:
		return func(addresses []string) int { return picker.Random(len(addresses)) }
	case RoundRobin:
		return picker.roundRobin
	case LeastOutstanding:
		return picker.leastOutstanding
	}
	return nil
}

// roundRobin takes the address that was chosen the fewest times.
func (picker *Picker) roundRobin(addresses []string) int {
	return picker.least(addresses, func(known *state) int { return known.chosen })
}

func (picker *Picker) leastOutstanding(addresses []string) int {
	return picker.least(addresses, func(known *state) int { return known.outstanding })
}

// least returns the place with the least measure, at random among equals.
func (picker *Picker) least(addresses []string, measure func(*state) int) int {
	chosen, lowest, equals := 0, 0, 0
	for place, address := range addresses {
		value := 0
		picker.with(address, func(known *state) { value = measure(known) })
		switch {
		case equals == 0 || value < lowest:
			chosen, lowest, equals = place, value, 1
		case value == lowest:
			equals++
			if picker.Random(equals) == 0 {
				chosen = place
			}
		}
	}
	return chosen
}
