package config

import "strings"

// Keys of the configuration file, as paths of object keys joined by dots. The keys of the objects of a list have the
// path of the list.

// requiredKeys are the keys that a file may not lack if the one in force has them. They are the keys of the platform's
// pages except those that may be absent (aimStretch of a class, passesDeadline and warmKeys of familyInfo) and those
// that only classes need that are idempotent by key (group, keyTtlMs; balancer.Settings.Validate checks these). The
// pages allow further keys, which an agent skips, so that a file may lack them too.
var requiredKeys = keySet(`
	name listen discovery management seed
	limits limits.cores limits.memory_mb limits.sockets
	known known.version known.full known.servers
	settings
	settings.classes settings.classes.aimMs settings.classes.credit settings.classes.effect settings.classes.giveUpMs
	settings.classes.lateShare settings.classes.name settings.classes.streamed
	settings.clients settings.clients.marksRetry
	settings.contract settings.contract.answerSlackMs settings.contract.askWithinMs settings.contract.coldFrom
	settings.contract.coldMs settings.contract.drainGraceMs settings.contract.fallMultiple settings.contract.tipAfterMs
	settings.failureDomains settings.family settings.familyInfo settings.index
	settings.limits settings.limits.cancelling settings.limits.connectTimeoutMs settings.limits.cpuUsPerRequest
	settings.limits.cpuUsPerS settings.limits.keepaliveMs settings.limits.maxAttempts settings.limits.maxRetryAfterMs
	settings.limits.maxStreams settings.limits.openCap settings.limits.parallelTries settings.limits.peerMessages
	settings.limits.probing settings.limits.retryAfter
	settings.membershipMode
	settings.objectiveMix settings.objectiveMix.whole settings.objectiveMix.worstClass settings.objectiveMix.worstTenant
	settings.objectiveMix.worstWindow
	settings.overShareWorth
	settings.prices settings.prices.connection settings.prices.crossZone settings.prices.handshake
	settings.prices.lateFail settings.prices.membershipMode settings.prices.moves settings.prices.origin
	settings.prices.peer settings.prices.probe settings.prices.waste
	settings.replicasOfMe
	settings.report settings.report.how settings.report.names
	settings.roundMs settings.shapes
	settings.tenants settings.tenants.name settings.tenants.portion settings.tenants.quotaPerS
	settings.tier settings.tiers settings.weights settings.worthBy settings.zone
	control fleet
`)

// requiredSections are the sections of which each key is required that the file in force has.
var requiredSections = []string{"control.", "fleet."}

// keySet returns the set of the keys in a text.
func keySet(text string) map[string]bool {
	set := map[string]bool{}
	for _, key := range strings.Fields(text) {
		set[key] = true
	}
	return set
}

// isRequiredKey reports whether a file may not lack a key that the one in force has.
func isRequiredKey(key string) bool {
	for _, section := range requiredSections {
		if strings.HasPrefix(key, section) {
			return true
		}
	}
	return requiredKeys[key]
}
