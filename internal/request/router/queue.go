package router

// ticketHeap is a heap of queued requests, ordered by deadline and then by arrival.
type ticketHeap []*Ticket

// Len implements heap.Interface.
func (tkh ticketHeap) Len() int { return len(tkh) }

// Less implements heap.Interface.
func (tkh ticketHeap) Less(i, j int) bool {
	if tkh[i].deadline.Equal(tkh[j].deadline) {
		return tkh[i].seq < tkh[j].seq
	}
	return tkh[i].deadline.Before(tkh[j].deadline)
}

// Swap implements heap.Interface.
func (tkh ticketHeap) Swap(i, j int) {
	tkh[i], tkh[j] = tkh[j], tkh[i]
	tkh[i].index = i
	tkh[j].index = j
}

// Push implements heap.Interface.
func (tkh *ticketHeap) Push(item any) {
	tkt, _ := item.(*Ticket)
	tkt.index = len(*tkh)
	*tkh = append(*tkh, tkt)
}

// Pop implements heap.Interface.
func (tkh *ticketHeap) Pop() any {
	old := *tkh
	last := len(old) - 1
	tkt := old[last]
	old[last] = nil
	*tkh = old[:last]
	tkt.index = -1
	return tkt
}
