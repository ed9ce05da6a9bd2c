package policy

const (
	// minZonePreference and maxZonePreference bound the zone preference: traffic to another zone
	// takes longer and may have a cost.
	minZonePreference = 1.5
	maxZonePreference = 8.0
	// zonePreferenceStep is how fast the zone preference changes, as a part of itself.
	zonePreferenceStep = 0.1
)

// zonePreference is the factor by which a server of the agent's own zone weighs more in the order of
// a key. Its equilibrium is where the part of the zone's attempts that are not served in time equals the
// cost of traffic to another zone: below that cost it grows, above it the zone is sent more than its
// servers can serve and it shrinks.
type zonePreference struct {
	env    *environment
	factor float64
}

// newZonePreference returns the weakest preference.
func newZonePreference(env *environment) *zonePreference {
	return &zonePreference{env: env, factor: minZonePreference}
}

// record counts the outcome of an attempt at the server.
func (z *zonePreference) record(s *server, outcome objectiveOutcome) {
	if s.zone != z.env.settings.Zone {
		return
	}
	step := z.env.settings.Costs.CrossZone
	if outcome == objectiveMissed {
		step--
	}
	z.factor = min(max(z.factor*(1+zonePreferenceStep*step), minZonePreference), maxZonePreference)
}

// weight is the server's weight, with the preference if it is of the agent's zone.
func (z *zonePreference) weight(s *server, weight float64) float64 {
	if s.zone == z.env.settings.Zone {
		weight *= z.factor
	}
	return weight
}
