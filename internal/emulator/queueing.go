package emulator

// ErlangC is the probability that a request of an M/M/k queue waits, for k servers and an
// offered load of so many erlangs, below k (Erlang, 1917).
func ErlangC(k int, load float64) float64 {
	// Erlang's B by its recursion, then C from it.
	b := 1.0
	for i := 1; i <= k; i++ {
		b = load * b / (float64(i) + load*b)
	}
	rho := load / float64(k)
	return b / (1 - rho*(1-b))
}

// MeanWait is the mean wait in a queue with k servers, a Poisson stream and a service of a mean
// (seconds) and a coefficient of variation, at a load (0 to 1) of each server: exact for M/M/k
// and M/G/1 (Pollaczek and Khinchine, 1932), else Lee and Longton's approximation of M/G/k.
func MeanWait(k int, load, mean, cv float64) float64 {
	return (1 + cv*cv) / 2 * ErlangC(k, load*float64(k)) * mean / (float64(k) * (1 - load))
}
