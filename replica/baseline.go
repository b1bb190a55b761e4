package replica

// Selection strategies that experiments compare Pick with.
const (
	Random           = "Random"
	RoundRobin       = "RoundRobin"
	LeastOutstanding = "LeastOutstanding"
)

// Strategy returns the function that selects a replica by the named strategy,
// or Pick when name is not one of the strategies above.
func (picker *Picker) Strategy(name string) func(addresses []string) int {
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

// roundRobin returns the index of the address that was picked the fewest times.
func (picker *Picker) roundRobin(addresses []string) int {
	return picker.lowest(addresses, func(state *state) int { return state.picks })
}

func (picker *Picker) leastOutstanding(addresses []string) int {
	return picker.lowest(addresses, func(state *state) int { return state.outstanding })
}

// lowest returns the index of the address with the lowest value, or a random
// one of those that share it.
func (picker *Picker) lowest(addresses []string, valueOf func(*state) int) int {
	chosen, lowest, ties := 0, 0, 0
	for index, address := range addresses {
		value := 0
		picker.withState(address, func(state *state) { value = valueOf(state) })
		switch {
		case ties == 0 || value < lowest:
			chosen, lowest, ties = index, value, 1
		case value == lowest:
			ties++
			if picker.Random(ties) == 0 {
				chosen = index
			}
		}
	}
	return chosen
}
