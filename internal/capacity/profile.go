package capacity

// Profile is the load profile of a run: what changes and which faults happen in it. Records and plans know profiles by
// these texts.
type Profile string

// The load profiles. ProfileQuiet has no changes; the others have those of the target, and all after ProfileOrdinary a
// fault or a rollout as well.
const (
	ProfileQuiet    Profile = "quiet"
	ProfileOrdinary Profile = "ordinary" // single agents restart or fail
	ProfileRollout  Profile = "rollout"  // all agents restart, a part at a time
	ProfileZone     Profile = "zone"     // the agents of a zone are lost and start again
	ProfileRegion   Profile = "region"   // the regions are partitioned
	ProfileControl  Profile = "control"  // the leader of discovery is lost and starts again
)

// Profiles are all load profiles, in the order of the page.
var Profiles = []Profile{
	ProfileQuiet, ProfileOrdinary, ProfileRollout, ProfileZone, ProfileRegion, ProfileControl,
}

// JoinProfiles lists profiles for a message.
func JoinProfiles(profiles []Profile) string { return joinNames(profiles) }
