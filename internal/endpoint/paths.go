package endpoint

import "net/url"

// URL paths of the discovery service. An instance serves ListPath at its read address and all other
// paths at its admin address.
const (
	// ListPath returns a List. A request with QueryIndex is a watch, a request without it is a poll.
	ListPath = "/api/targets"
	// StatusPath returns the status of an instance.
	StatusPath = "/v1/status"

	serversPath  = "/v1/servers/"
	settingsPath = "/v1/settings/"
	historyPath  = "/history"
	reportsPath  = "/heard"
)

// Names of the wildcards in the path patterns.
const (
	// WildcardID matches a server's id.
	WildcardID = "id"
	// WildcardService matches a service's name.
	WildcardService = "service"
)

// Path patterns for http.ServeMux. For each there is a function that returns a matching path.
const (
	// ServerPattern matches ServerPath.
	ServerPattern = serversPath + "{" + WildcardID + "}"
	// SettingsPattern matches SettingsPath.
	SettingsPattern = settingsPath + "{" + WildcardService + "}"
	// SettingsHistoryPattern matches SettingsHistoryPath.
	SettingsHistoryPattern = SettingsPattern + historyPath
	// AgentReportsPattern matches AgentReportsPath.
	AgentReportsPattern = SettingsPattern + reportsPath
)

// ServerPath returns the path of a server's entry: PUT replaces the entry, DELETE removes it. The id
// is not escaped.
func ServerPath(id string) string { return serversPath + id }

// SettingsPath returns the path of a service's settings: PUT replaces them, GET returns a stored version.
func SettingsPath(service string) string { return settingsPath + url.PathEscape(service) }

// SettingsHistoryPath returns the path of the stored versions of a service's settings.
func SettingsHistoryPath(service string) string { return SettingsPath(service) + historyPath }

// AgentReportsPath returns the path of the reports that an instance has received from a service's agents.
func AgentReportsPath(service string) string { return SettingsPath(service) + reportsPath }
