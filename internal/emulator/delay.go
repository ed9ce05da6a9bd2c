package emulator

import "time"

// simulateDelay blocks for a delay of the model, such as a network delay or a client's pause before a retry. It sleeps,
// because the emulator runs in real time.
func simulateDelay(d time.Duration) { time.Sleep(d) }
