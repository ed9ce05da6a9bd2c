package emulator

// ErlangC returns the probability that a request has to wait in an M/M/k queue with k servers (Erlang, 1917). The
// offered load is in erlangs and must be below k.
func ErlangC(k int, load float64) float64 {
	// Compute Erlang B by its recursion, then Erlang C from Erlang B.
	blocking := 1.0
	for i := 1; i <= k; i++ {
		blocking = load * blocking / (float64(i) + load*blocking)
	}
	utilization := load / float64(k)
	return blocking / (1 - utilization*(1-blocking))
}

// MeanWait returns the mean waiting time, in seconds, of a queue with k servers and Poisson arrivals. The utilization
// of each server is from 0 to below 1; mean (in seconds) and cv are the mean and the coefficient of variation of the
// service time. The result is exact for M/M/k and M/G/1 (Pollaczek and Khinchine, 1932); for M/G/k it is the
// approximation of Lee and Longton.
func MeanWait(k int, utilization, mean, cv float64) float64 {
	waitProbability := ErlangC(k, utilization*float64(k))
	return (1 + cv*cv) / 2 * waitProbability * mean / (float64(k) * (1 - utilization))
}
