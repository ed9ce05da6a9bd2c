package policy_test

// scheduledEvent is an event at a point in the virtual time of a simulation.
type scheduledEvent struct {
	at       float64 // milliseconds
	sequence int     // orders events with equal times
	run      func()
}

// eventQueue is a heap of events, the earliest first. It implements heap.Interface.
type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(scheduledEvent)) }

func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}
