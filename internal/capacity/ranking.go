package capacity

import (
	"cmp"
	"slices"
)

// The groups of ranked rows, first ones first.
const (
	groupLacksMechanism = iota
	groupNeverInForce
	groupByUse
)

// Ranked returns the rows that have a budget or require a mechanism, worst first: those that lack the
// required mechanism, then changes that never came into force at some agents, then by use of the budget. rest are the
// rows that can't be ranked, as nothing was measured.
func (p *Page) Ranked() (ranked, rest []*Row) {
	for _, r := range p.rows {
		switch {
		case r.lacksRequiredMechanism(), r.NeverInForce > 0, r.Use().Known:
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
	return cmp.Or(cmp.Compare(a.rankGroup(), b.rankGroup()), cmp.Compare(b.Use().Fraction, a.Use().Fraction))
}

// rankGroup is lower for rows that are ranked first.
func (r *Row) rankGroup() int {
	switch {
	case r.lacksRequiredMechanism():
		return groupLacksMechanism
	case r.NeverInForce > 0:
		return groupNeverInForce
	}
	return groupByUse
}
