package faultproxy

// Partition separates groups of processes from each other. A process in no group is not separated from any other.
type Partition struct {
	groupOf map[string]int // group numbers from 1, by process; 0 means no group
}

// NewPartition returns the partition between groups of processes.
func NewPartition(groups ...[]string) Partition {
	groupOf := map[string]int{}
	for i, group := range groups {
		for _, name := range group {
			groupOf[name] = i + 1
		}
	}
	return Partition{groupOf: groupOf}
}

// Separates reports whether two processes are in different groups.
func (p Partition) Separates(a, b string) bool {
	groupA, groupB := p.groupOf[a], p.groupOf[b]
	return groupA != 0 && groupB != 0 && groupA != groupB
}
