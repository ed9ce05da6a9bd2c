package capacity

import (
	"cmp"
	"slices"
)

// Ranked returns the rows with a budget or that every ordinary day requires, worst first:
// requirements of every ordinary day without a mechanism, then changes that never came into force at
// some agents, then by use of the budget. rest are the rows that can't be ranked, as nothing was
// measured.
func (p *Page) Ranked() (ranked, rest []*Row) {
	for _, r := range p.rows {
		_, _, known := r.Use()
		switch {
		case r.lacksRequiredMechanism(), r.NeverInForce > 0, known:
			ranked = append(ranked, r)
		case r.Budget > 0:
			rest = append(rest, r)
		}
	}
	slices.SortStableFunc(ranked, compareRank)
	return ranked, rest
}

// compareRank orders rows by their group, and within it by the use of the budget, most first.
func compareRank(a, b *Row) int {
	useA, _, _ := a.Use()
	useB, _, _ := b.Use()
	return cmp.Or(cmp.Compare(a.rankGroup(), b.rankGroup()), cmp.Compare(useB, useA))
}

// rankGroup is lower for rows that are ranked first.
func (r *Row) rankGroup() int {
	switch {
	case r.lacksRequiredMechanism():
		return 0
	case r.NeverInForce > 0:
		return 1
	}
	return 2
}
