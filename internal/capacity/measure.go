package capacity

import (
	"fmt"
	"math"
)

// comparableRuns returns the runs of a load profile that share one rate factor, and that factor. It is 1
// for the quiet profile, which has no changes to accelerate. Metrics of roles use only the first plan's
// runs, changes in force those of all plans.
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

// measure fills a row from the runs of its load profile. A rate of the accelerated ordinary profile is
// scaled to the target's rate of changes (see rescaleToTarget). In other profiles the traffic of the
// fault and that of the accelerated changes can't be separated, so the metric is not scaled.
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

// predictAtTarget predicts the metric at the target's size, for the runs' rate of changes per agent
// multiplied by the rate factor.
func (p *Page) predictAtTarget(fit *Fit, s Source, runs []*Run, rateFactor float64) Prediction {
	n := float64(p.Target.Fleet.Agents)
	return s.widen(fit.Predict(n, changesPerAgent(runs)*n*rateFactor))
}

// rescale converts a row's value from the accelerated rate of changes to the target's where that is
// possible, and notes in the row's source whether it was.
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

// rescaleToTarget returns a profile's rate at the target's rate of changes: the quiet profile's rate,
// plus what the accelerated changes add to it divided by the rate factor.
func rescaleToTarget(quiet, accelerated Prediction, rateFactor float64) Prediction {
	fraction := 1 / rateFactor
	value := math.Max(quiet.Value*(1-fraction)+accelerated.Value*fraction, 0)
	below := math.Hypot((1-fraction)*(quiet.Value-quiet.Interval.Lo), fraction*(accelerated.Value-accelerated.Interval.Lo))
	above := math.Hypot((1-fraction)*(quiet.Interval.Hi-quiet.Value), fraction*(accelerated.Interval.Hi-accelerated.Value))
	return Prediction{Value: value, Interval: Interval{math.Max(value-below, 0), value + above}}
}
