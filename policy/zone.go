package policy

const (
	// minZonePreference and maxZonePreference bound the zone preference. The minimum is above 1 because
	// traffic to another zone takes longer and may have a cost.
	minZonePreference = 1.5
	maxZonePreference = 8.0
	// zonePreferenceStep scales the relative change of the zone preference that one attempt causes.
	zonePreferenceStep = 0.1
)

// zonePreference is the factor that increases the weight of the servers in the agent's own zone in the
// order of a request. The factor is in equilibrium when the fraction of the zone's attempts that miss the
// objective equals the cost of traffic to another zone. The factor grows while that fraction is lower. It
// shrinks while the fraction is higher, because the zone then gets more load than its servers can serve.
type zonePreference struct {
	env    *environment
	factor float64
}

// newZonePreference returns a zonePreference with the minimum factor.
func newZonePreference(env *environment) *zonePreference {
	return &zonePreference{env: env, factor: minZonePreference}
}

// record adjusts the factor after an attempt at the server.
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

// weight returns the weight of the server, multiplied by the factor if the server is in the agent's zone.
func (z *zonePreference) weight(s *server, weight float64) float64 {
	if s.zone == z.env.settings.Zone {
		weight *= z.factor
	}
	return weight
}
