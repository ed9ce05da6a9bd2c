package emulator

import "time"

// simulateDelay blocks for a delay of the model, such as that of the network or of a client between two requests: the
// emulator runs in real time.
func simulateDelay(d time.Duration) { time.Sleep(d) }
