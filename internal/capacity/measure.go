package capacity

import (
	"fmt"
	"math"
)

// comparableRuns are the runs of a load profile with one rate factor, and that factor: 1 for the quiet one, which
// has nothing to accelerate. For metrics of roles they are the first plan's runs; changes in force
// come from all plans.
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

// selector selects the points of a row from runs, and says where they come from.
type selector func([]*Run) ([]Point, Source)

// measure fills a row from the runs of its load profile. A rate of the accelerated ordinary profile is scaled to the
// target's rate of changes (see rescaleToTarget). In other profiles the traffic of the fault and that of
// the accelerated changes can't be separated, and the metric is taken as it is.
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

// predictAtTarget predicts the metric at the target's size, with the runs' changes per agent times
// the rate factor.
func (p *Page) predictAtTarget(fit *Fit, s Source, runs []*Run, rateFactor float64) Prediction {
	n := float64(p.Target.Fleet.Agents)
	return s.widen(fit.Predict(n, changesPerAgent(runs)*n*rateFactor))
}

// rescale converts a row's value from the accelerated rate of changes to the target's, where that can
// be done, and says in the row's source what was done.
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

// rescaleToTarget is a profile's rate at the target's rate of changes: the quiet one's, and of what the
// accelerated changes add to it, the part that is due without the acceleration.
func rescaleToTarget(quiet, accelerated Prediction, rateFactor float64) Prediction {
	part := 1 / rateFactor
	value := math.Max(quiet.Value*(1-part)+accelerated.Value*part, 0)
	below := math.Hypot((1-part)*(quiet.Value-quiet.Interval.Lo), part*(accelerated.Value-accelerated.Interval.Lo))
	above := math.Hypot((1-part)*(quiet.Interval.Hi-quiet.Value), part*(accelerated.Interval.Hi-accelerated.Value))
	return Prediction{Value: value, Interval: Interval{math.Max(value-below, 0), value + above}}
}
