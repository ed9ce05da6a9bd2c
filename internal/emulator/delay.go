package emulator

import "time"

// simulateDelay blocks for a delay of the model, such as a network delay or a client's pause before a retry. The
// emulator runs in real time, so it sleeps.
func simulateDelay(d time.Duration) { time.Sleep(d) }
