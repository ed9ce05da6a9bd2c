package dispatch

// LoopStatus is a snapshot of the versions in force in the event loop and of its traffic to discovery.
type LoopStatus struct {
	// ListVersion is the version of the endpoint list in force, and Servers the number of servers in it.
	ListVersion uint64
	Servers     int
	// SettingsVersion is the version of the settings in force, or 0 if they come from a file.
	SettingsVersion uint64
	// ListIn and ListOut count the bytes received and sent in calls to discovery since the agent's start, including
	// headers. ListCalls counts these calls.
	ListIn, ListOut, ListCalls uint64
}

// Status returns the loop's status without waiting for the loop.
func (l *Loop) Status() LoopStatus {
	traffic := l.discovery.Traffic()
	return LoopStatus{
		ListVersion:     l.published.listVersion.Load(),
		Servers:         int(l.published.servers.Load()),
		SettingsVersion: l.published.settingsVersion.Load(),
		ListIn:          traffic.BytesIn,
		ListOut:         traffic.BytesOut,
		ListCalls:       traffic.Calls,
	}
}
