package emulator

// ErlangC returns the probability that a request of an M/M/k queue has to wait, for k servers and an offered load in
// erlangs, which must be below k (Erlang, 1917).
func ErlangC(k int, load float64) float64 {
	// Erlang B by its recursion, then C from B.
	blocking := 1.0
	for i := 1; i <= k; i++ {
		blocking = load * blocking / (float64(i) + load*blocking)
	}
	utilization := load / float64(k)
	return blocking / (1 - utilization*(1-blocking))
}

// MeanWait returns the mean waiting time, in seconds, of a queue with k servers, Poisson arrivals and a service time
// with a mean (in seconds) and a coefficient of variation, at a utilization of each server from 0 to 1. It is exact
// for M/M/k and M/G/1 (Pollaczek and Khinchine, 1932), and Lee and Longton's approximation for M/G/k.
func MeanWait(k int, utilization, mean, cv float64) float64 {
	waitProbability := ErlangC(k, utilization*float64(k))
	return (1 + cv*cv) / 2 * waitProbability * mean / (float64(k) * (1 - utilization))
}
