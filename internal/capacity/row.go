package capacity

// Row is one requirement of the page: a metric of a subject under a condition, its value at the target,
// its budget, and the mechanism that keeps it within the budget.
type Row struct {
	Subject           string
	Condition         string // the load profile, or the balancer's state for the data path
	Metric, Unit      string
	Budget            float64 // 0 if there is none
	Mechanism         string
	MechanismRequired bool // the requirement must be met by a mechanism

	Known           bool   // Prediction holds the value at the target
	Prediction             // for the data path, the value measured with the target's servers
	Extrapolated    bool   // the target is larger than the largest size measured
	UnknownReason   string // why there is no value at the target
	LargestSize     int    // the largest size measured; 0 if none was
	LargestSizeMean float64
	NeverInForce    int64 // pairs of change and agent for which the change never came into force
	Fit             *Fit
	Runs            int
	Source          string // the kind of agents that the value is from, and how it was derived
}

// The subjects of rows, besides RoleLeader and RoleFollower.
const (
	subjectAgent    = "agent"
	subjectInForce  = "in force"
	subjectDataPath = "data path"
)

// Name returns the name that the patterns of mechanisms are matched against.
func (r *Row) Name() string { return r.Subject + "/" + r.Condition + "/" + r.Metric }

// HasMechanism reports whether a mechanism keeps the row within its budget.
func (r *Row) HasMechanism() bool { return r.Mechanism != noMechanism }

// BudgetUse is the fraction of a row's budget that is used. The zero value means that it is not known.
type BudgetUse struct {
	Known    bool
	Fraction float64
	// Size is the size at which the fraction was measured, or 0 if Fraction is for the target.
	Size int
}

// Use returns the fraction of the budget that is used at the target. If the value at the target is not
// known, but the mean at the largest size measured already exceeds the budget, Use returns the fraction
// at that size.
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

// appendSource appends a remark to the row's source.
func (r *Row) appendSource(remark string) {
	if r.Source != "" {
		r.Source += "; "
	}
	r.Source += remark
}

// setLargest sets the largest size measured and the mean at that size.
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
