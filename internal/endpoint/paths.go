package endpoint

import "net/url"

// Paths of the discovery service. An instance serves ListPath at the address for reads, and all others
// at its admin address.
const (
	// ListPath answers a List: a poll without the parameter index, a watch with it.
	ListPath = "/api/targets"
	// StatusPath answers the status of an instance.
	StatusPath = "/v1/status"

	serversPath  = "/v1/servers/"
	settingsPath = "/v1/settings/"
	historyPath  = "/history"
	reportsPath  = "/heard"
)

// Names of the wildcards in the path patterns.
const (
	// WildcardID is the wildcard of a server's id.
	WildcardID = "id"
	// WildcardService is the wildcard of a service's name.
	WildcardService = "service"
)

// Path patterns with wildcards, in the form of net/http.ServeMux. Each has a function below that
// returns a path of it.
const (
	// ServerPattern is the pattern of ServerPath.
	ServerPattern = serversPath + "{" + WildcardID + "}"
	// SettingsPattern is the pattern of SettingsPath.
	SettingsPattern = settingsPath + "{" + WildcardService + "}"
	// SettingsHistoryPattern is the pattern of SettingsHistoryPath.
	SettingsHistoryPattern = SettingsPattern + historyPath
	// AgentReportsPattern is the pattern of AgentReportsPath.
	AgentReportsPattern = SettingsPattern + reportsPath
)

// ServerPath is the path of a server's entry: PUT replaces it, DELETE removes it. The id is part of
// the path as it is; it is not escaped.
func ServerPath(id string) string { return serversPath + id }

// SettingsPath is the path of a service's settings: PUT replaces them, GET answers a stored version.
func SettingsPath(service string) string { return settingsPath + url.PathEscape(service) }

// SettingsHistoryPath is the path of the stored versions of a service's settings.
func SettingsHistoryPath(service string) string { return SettingsPath(service) + historyPath }

// AgentReportsPath is the path of the reports that an instance has received from a service's agents.
func AgentReportsPath(service string) string { return SettingsPath(service) + reportsPath }
