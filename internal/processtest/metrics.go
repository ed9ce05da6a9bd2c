package processtest

// Metrics are a case's measurements by name, with their unit in the name.
type Metrics map[string]float64
