package capacity

import (
	"fmt"
	"math"
)

// comparableRuns returns the runs of a load profile that share the most common rate factor, and that
// factor. For the quiet profile it returns all runs and the factor 1, because this profile has no changes
// to accelerate. The times until changes are in force are taken from the runs of all plans, and the
// metrics of roles only from those of the first plan.
func (p *Page) comparableRuns(subject string, profile Profile) ([]*Run, float64) {
	all := p.firstPlanRuns
	if subject == subjectInForce {
		all = p.Runs
	}
	runs := runsOfProfile(all, profile)
	if profile == ProfileQuiet {
		return runs, 1
	}
	return mostCommonRateFactor(runs)
}

// selector selects the points of a row from runs, and returns their source.
type selector func([]*Run) ([]Point, Source)

// measure fills a row from the runs of its load profile. If the changes of the ordinary profile were
// accelerated, a metric with Rate set is scaled to the target's rate of changes (see rescaleToTarget). In
// the profiles with a fault or a rollout, the traffic of the fault can't be separated from that of the
// accelerated changes, so no metric is scaled.
func (p *Page) measure(r *Row, metric Metric, selectPoints selector) {
	runs, rateFactor := p.comparableRuns(r.Subject, Profile(r.Condition))
	points, source := selectPoints(runs)
	r.Source = source.Description
	r.Runs = len(points)
	r.setLargest(points)
	if len(points) == 0 {
		r.UnknownReason = notMeasured
		return
	}
	fit, err := NewFit(points)
	if err != nil {
		r.UnknownReason = fmt.Sprintf("no fit: %v", err)
		return
	}
	r.Fit = fit
	r.Known = true
	r.Extrapolated = r.LargestSize < p.Target.Fleet.Agents
	r.Prediction = p.predictAtTarget(fit, source, runs, rateFactor)
	if rateFactor != 1 {
		p.rescale(r, metric, selectPoints, rateFactor)
	}
}

// predictAtTarget predicts the metric at the target's size. It assumes the rate of changes per agent that
// the runs have without acceleration (see changesPerAgent), multiplied by rateFactor.
func (p *Page) predictAtTarget(fit *Fit, s Source, runs []*Run, rateFactor float64) Prediction {
	n := float64(p.Target.Fleet.Agents)
	return s.widen(fit.Predict(n, changesPerAgent(runs)*n*rateFactor))
}

// rescale converts a row's value from the accelerated rate of changes to the target's rate if it can. The
// row's source notes whether the value was converted.
func (p *Page) rescale(r *Row, metric Metric, selectPoints selector, rateFactor float64) {
	factor := formatNumber(rateFactor)
	if !metric.Rate || r.Condition != string(ProfileOrdinary) {
		r.appendSource(fmt.Sprintf("at ×%s the rates", factor))
		return
	}
	quietRuns := runsOfProfile(p.firstPlanRuns, ProfileQuiet)
	points, source := selectPoints(quietRuns)
	fit, err := NewFit(points)
	if err != nil {
		r.appendSource(fmt.Sprintf("at ×%s the rates, as the quiet profile has no fit", factor))
		return
	}
	quiet := p.predictAtTarget(fit, source, quietRuns, 1)
	r.Prediction = rescaleToTarget(quiet, r.Prediction, rateFactor)
	r.appendSource(fmt.Sprintf("scaled from ×%s the rates", factor))
}

// rescaleToTarget returns a metric at the target's rate of changes. This is the metric of the quiet profile
// plus the part that the accelerated changes add, with the added part divided by the rate factor.
func rescaleToTarget(quiet, accelerated Prediction, rateFactor float64) Prediction {
	fraction := 1 / rateFactor
	value := math.Max(quiet.Value*(1-fraction)+accelerated.Value*fraction, 0)
	below := math.Hypot((1-fraction)*(quiet.Value-quiet.Interval.Lo), fraction*(accelerated.Value-accelerated.Interval.Lo))
	above := math.Hypot((1-fraction)*(quiet.Interval.Hi-quiet.Value), fraction*(accelerated.Interval.Hi-accelerated.Value))
	return Prediction{Value: value, Interval: Interval{math.Max(value-below, 0), value + above}}
}
