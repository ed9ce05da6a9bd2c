package handover

// DiscoveryChoice is which address of discovery a process uses, and between which it had the choice. The environment is
// set at the start of a process; the file may be replaced at any time.
type DiscoveryChoice struct {
	// Environment is the address that the environment has; empty if it has none.
	Environment string `json:"environment"`
	// File is the address that the configuration file had when it was last read.
	File string `json:"file"`
	// UsesFile means that the address of the file is in use.
	UsesFile bool `json:"uses_file"`
}

// FirstChoice returns the choice of a process that starts without a predecessor: the environment was set for it.
func FirstChoice(environment, file string) DiscoveryChoice {
	return DiscoveryChoice{Environment: environment, File: file, UsesFile: environment == ""}
}

// Next returns the choice of a process that starts with the given addresses after one that had choice c. The address
// that has changed is the newer one; if both have, that of the environment is, as it was set for this start. If none
// has, the choice stays.
func (c DiscoveryChoice) Next(environment, file string) DiscoveryChoice {
	next := FirstChoice(environment, file)
	switch {
	case environment == "" || file == "":
	case environment != c.Environment:
	case file != c.File:
		next.UsesFile = true
	default:
		next.UsesFile = c.UsesFile
	}
	return next
}

// Reloaded returns the choice after the file was read again with the given address, which is then the newest.
func (c DiscoveryChoice) Reloaded(file string) DiscoveryChoice {
	return DiscoveryChoice{Environment: c.Environment, File: file, UsesFile: true}
}

// HasOneAddress reports whether the environment and the file have the same address, or only one of them has any.
func (c DiscoveryChoice) HasOneAddress() bool {
	return c.Environment == "" || c.File == "" || c.Environment == c.File
}

// Address returns the address in use.
func (c DiscoveryChoice) Address() string {
	if c.UsesFile {
		return c.File
	}
	return c.Environment
}
