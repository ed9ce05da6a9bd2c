package faultproxy

// Partition separates groups of processes from each other. A process of no group is separated from none.
type Partition struct {
	groupOf map[string]int // number of the group by process, from 1; 0: none
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
