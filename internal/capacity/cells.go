package capacity

import (
	"fmt"
	"slices"
	"strings"
)

// noFit is the text in the cells of a row without a fit.
const noFit = "no fit"

// title returns the row's title in the ranking and in the alarm.
func (r *Row) title() string {
	if r.Subject == subjectInForce {
		return r.Metric + " in force everywhere, " + r.Condition + ", s"
	}
	return r.Subject + ", " + r.Condition + ", " + r.Metric + ", " + r.Unit
}

// targetCell returns the row's value at the target, or the reason why there is none.
func (r *Row) targetCell() string {
	switch {
	case !r.Known && r.LargestSize > 0:
		return fmt.Sprintf("%s; %s at %d", r.UnknownReason, formatNumber(r.LargestSizeMean), r.LargestSize)
	case !r.Known:
		return r.UnknownReason
	case r.Extrapolated && r.Fit.unreliable():
		return "~? " + formatEstimate(r.Value, r.Interval)
	case r.Extrapolated:
		return "~ " + formatEstimate(r.Value, r.Interval)
	}
	return formatEstimate(r.Value, r.Interval)
}

// budgetCell returns the row's budget, or "none".
func (r *Row) budgetCell() string {
	if r.Budget == 0 {
		return "none"
	}
	return formatNumber(r.Budget)
}

// usageCell returns the fraction of the budget that is used, or the reason why it is not known.
func (r *Row) usageCell() string {
	use := r.Use()
	text := "not known"
	switch {
	case r.Budget == 0:
		text = "no budget"
	case use.Size > 0:
		text = fmt.Sprintf("%s at %d already", formatNumber(use.Fraction), use.Size)
	case use.Known:
		text = formatNumber(use.Fraction)
	case r.LargestSize == 0:
		text = notMeasured
	}
	if r.NeverInForce > 0 {
		text += fmt.Sprintf("; not in force at %d agents in all runs together", r.NeverInForce)
	}
	return text
}

// slopeCell returns the slope with its shape, and the shapes that fit about as well.
func (f *Fit) slopeCell() string {
	if f == nil {
		return noFit
	}
	text := string(f.Shape)
	switch {
	case f.GrowsQuadratically:
		text = fmt.Sprintf("**alarm:** %s × n²", formatEstimate(f.Slope, f.SlopeInterval))
	case f.Shape != ShapeFlat:
		text = fmt.Sprintf("%s × %s", formatEstimate(f.Slope, f.SlopeInterval), f.Shape)
	}
	if len(f.Indistinguishable) > 0 {
		var names []string
		for _, s := range f.Indistinguishable {
			names = append(names, string(s))
		}
		text += "; not distinguished from " + strings.Join(names, ", ")
	}
	return text
}

// sizesCell returns the fitted sizes and the number of runs.
func (f *Fit) sizesCell() string {
	if f == nil {
		return noFit
	}
	return fmt.Sprintf("%s (%d)", joinInts(f.Sizes), f.Runs)
}

// errorCell returns the prediction error at the held-out size.
func (f *Fit) errorCell() string {
	if f == nil {
		return noFit
	}
	if f.HeldOutSize == 0 {
		return "none held out of 3 sizes"
	}
	text := fmt.Sprintf("%d: both 0", f.HeldOutSize)
	if relative, ok := f.RelativeError(); ok {
		text = fmt.Sprintf("%d: %+.1f %%", f.HeldOutSize, percent*relative)
	} else if f.Measured > 0 {
		text = fmt.Sprintf("%d: %s for 0", f.HeldOutSize, formatNumber(f.Measured))
	}
	if f.outsideInterval() {
		text += ", outside of its interval"
	}
	return text
}

// sourceCell returns the records and the kind of agents that a row was computed from.
func (p *Page) sourceCell(r *Row) string {
	var parts []string
	for i, record := range p.Records {
		if r.Runs > 0 && slices.ContainsFunc(record.valid, func(run *Run) bool { return p.usesRun(run, r) }) {
			parts = append(parts, fmt.Sprintf("[%d]", i+1))
		}
	}
	if r.Source != "" && r.Source != notMeasured {
		parts = append(parts, r.Source)
	}
	if len(parts) == 0 {
		return notMeasured
	}
	return strings.Join(parts, " ")
}

// ratioCell returns the ratio of hollow to real agents, and the source that was selected because of it.
func (s Source) ratioCell() string {
	if !s.HasRatio {
		return s.Description
	}
	ratio := formatEstimate(s.Ratio.Mean, s.Ratio.Interval)
	if !s.Ratio.Stable {
		return fmt.Sprintf("%s in %d runs, not steady: %s", ratio, s.Ratio.Runs, s.Description)
	}
	return fmt.Sprintf("%s in %d runs: %s", ratio, s.Ratio.Runs, s.Description)
}
