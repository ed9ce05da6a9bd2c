package dispatch

// unknownZone is the number of the agent's zone if the settings do not name it. No server is in that zone.
const unknownZone = -1

// nameNumbers assigns numbers to the names of zones and of machine kinds for the policy, which only compares them. A
// name keeps its number, whatever settings are put in force: the policy remembers the numbers of servers that have been
// sent a request, and two names must never be taken for one.
type nameNumbers map[string]int

// newNameNumbers returns numbers for names in their order.
func newNameNumbers(names []string) nameNumbers {
	numbers := nameNumbers{}
	for _, name := range names {
		numbers.number(name)
	}
	return numbers
}

// number returns the number of a name, and assigns the next one to a new name.
func (n nameNumbers) number(name string) int {
	number, ok := n[name]
	if !ok {
		number = len(n)
		n[name] = number
	}
	return number
}
