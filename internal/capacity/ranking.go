package capacity

import (
	"cmp"
	"slices"
)

// The groups of ranked rows, in the order of the ranking.
const (
	groupLacksMechanism = iota
	groupNeverInForce
	groupByUse
)

// Ranked returns the ranked rows, worst first. Rows that lack a required mechanism come first, then rows
// with changes that never came into force at some agent, then all other rows whose use of the budget is
// known, in descending order of that use. unranked has the rows with a budget whose use is not known.
func (p *Page) Ranked() (ranked, unranked []*Row) {
	for _, r := range p.rows {
		switch {
		case r.lacksRequiredMechanism(), r.NeverInForce > 0, r.Use().Known:
			ranked = append(ranked, r)
		case r.Budget > 0:
			unranked = append(unranked, r)
		}
	}
	slices.SortStableFunc(ranked, compareRank)
	return ranked, unranked
}

// compareRank orders rows by their group, and within a group by the use of the budget in descending
// order.
func compareRank(a, b *Row) int {
	return cmp.Or(cmp.Compare(a.rankGroup(), b.rankGroup()), cmp.Compare(b.Use().Fraction, a.Use().Fraction))
}

// rankGroup returns the row's group in the ranking.
func (r *Row) rankGroup() int {
	switch {
	case r.lacksRequiredMechanism():
		return groupLacksMechanism
	case r.NeverInForce > 0:
		return groupNeverInForce
	}
	return groupByUse
}
