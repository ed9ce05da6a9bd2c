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

	Known           bool // Value is the one at the target
	Value           float64
	Interval        Interval
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

// Use is the fraction of the budget that is used at the target. Where that is not known but the
// largest size measured is over the budget already, it is the fraction there, and at is that size
// (else 0).
func (r *Row) Use() (use float64, at int, ok bool) {
	switch {
	case r.Budget <= 0:
		return 0, 0, false
	case r.Known:
		return r.Value / r.Budget, 0, true
	case r.LargestSize > 0 && r.LargestSizeMean > r.Budget:
		return r.LargestSizeMean / r.Budget, r.LargestSize, true
	}
	return 0, 0, false
}

// lacksRequiredMechanism reports whether the row is required daily and no mechanism meets it.
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
