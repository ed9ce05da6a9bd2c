package capacity

// Profile is the load profile of a run: the changes and faults that happen in it. Records and plans
// contain profiles under these names.
type Profile string

// The load profiles. ProfileQuiet has no changes, and all others have the target's changes. The profiles
// listed after ProfileOrdinary also have a fault or a rollout.
const (
	ProfileQuiet    Profile = "quiet"
	ProfileOrdinary Profile = "ordinary" // single agents restart or fail
	ProfileRollout  Profile = "rollout"  // all agents restart, in batches
	ProfileZone     Profile = "zone"     // the agents of a zone fail and restart
	ProfileRegion   Profile = "region"   // the regions are partitioned
	ProfileControl  Profile = "control"  // the leader of discovery fails and restarts
)

// Profiles lists all load profiles, in the page's order.
var Profiles = []Profile{
	ProfileQuiet, ProfileOrdinary, ProfileRollout, ProfileZone, ProfileRegion, ProfileControl,
}

// JoinProfiles returns a comma-separated list of profiles for a message.
func JoinProfiles(profiles []Profile) string { return joinNames(profiles) }
