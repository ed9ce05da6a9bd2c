package capacity

// Row is one requirement of the page: a metric of a subject under a condition, its value at the target, its
// budget, and the mechanism that keeps it within the budget.
type Row struct {
	Subject           string
	Condition         string // the load profile, or the balancer's state for the data path
	Metric, Unit      string
	Budget            float64 // 0: there is none
	Mechanism         string
	MechanismRequired bool // a mechanism has to meet the requirement

	Known           bool   // Prediction is the value at the target
	Prediction             // for the data path: what was measured there
	Extrapolated    bool   // the target is larger than the largest size measured
	UnknownReason   string // why there is no value at the target
	LargestSize     int    // the largest size measured; 0: none was
	LargestSizeMean float64
	NeverInForce    int64 // pairs of change and agent for which the change never came into force
	Fit             *Fit
	Runs            int
	Source          string // the agents that it was taken from, and how
}

// The subjects of rows, beside RoleLeader and RoleFollower.
const (
	subjectAgent    = "agent"
	subjectInForce  = "in force"
	subjectDataPath = "data path"
)

// Name identifies the row in the patterns of mechanisms.
func (r *Row) Name() string { return r.Subject + "/" + r.Condition + "/" + r.Metric }

// HasMechanism reports whether a mechanism keeps the row within its budget.
func (r *Row) HasMechanism() bool { return r.Mechanism != noMechanism }

// BudgetUse is the part of a row's budget that is used. Its zero value says that it is not known.
type BudgetUse struct {
	Known    bool
	Fraction float64
	// Size is the size at which the fraction was measured; 0: it is that at the target.
	Size int
}

// Use is the part of the budget that is used at the target. Where that is not known but the largest size measured is
// over the budget already, it is the part there.
func (r *Row) Use() BudgetUse {
	switch {
	case r.Budget <= 0:
		return BudgetUse{}
	case r.Known:
		return BudgetUse{Known: true, Fraction: r.Value / r.Budget}
	case r.LargestSize > 0 && r.LargestSizeMean > r.Budget:
		return BudgetUse{Known: true, Fraction: r.LargestSizeMean / r.Budget, Size: r.LargestSize}
	}
	return BudgetUse{}
}

// lacksRequiredMechanism reports whether the row requires a mechanism and has none.
func (r *Row) lacksRequiredMechanism() bool { return r.MechanismRequired && !r.HasMechanism() }

// appendSource adds a remark to the row's source.
func (r *Row) appendSource(remark string) {
	if r.Source != "" {
		r.Source += "; "
	}
	r.Source += remark
}

// setLargest sets the largest size measured and the mean there.
func (r *Row) setLargest(points []Point) {
	for _, p := range points {
		r.LargestSize = max(r.LargestSize, p.Size)
	}
	sum := 0.0
	count := 0
	for _, p := range points {
		if p.Size == r.LargestSize {
			sum += p.Value
			count++
		}
	}
	if count > 0 {
		r.LargestSizeMean = sum / float64(count)
	}
}
