package registry

import (
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/route"
)

// Limits of handing documents over to peers.
const (
	// handoverLimit documents are handed over in handoverWindow. A document of 1,100 routes is 12 KB packed (65 KB
	// plain), so on the smallest link planned for, of 20 Mbit/s, they take 40 ms of the span.
	handoverLimit  = 8
	handoverWindow = 100 * clock.Milli(1)
)

// handover limits how many documents a VM hands over at a time.
// Answers to all VMs of a fleet at once would fill its link, and heartbeats wait behind them. Whoever is turned away asks the next peer that
// knows, or the store.
type handover struct {
	clock Clock
	// began is the start of the present span, and count what was handed over in it.
	began clock.Milli
	count int
}

// admit tells whether one more document may be handed over now, and counts it.
func (h *handover) admit() bool {
	now := h.clock.Now()
	if now-h.began >= handoverWindow {
		h.began, h.count = now, 0
	}
	h.count++
	return h.count <= handoverLimit
}

// packed is one document as it goes over the wire. Packing takes some milliseconds of a small VM's
// processor, and twenty VMs ask for the same one.
type packed struct {
	revision route.Revision
	bytes    []byte
}

// addDocument adds the document to a reply. The lock is held.
func (r *Registry) addDocument(args *peer.RegistryWord, reply *peer.RegistryReply) error {
	d := r.table.Document()
	if !args.Packs {
		reply.Document = d
		return nil
	}
	if r.packed.revision != d.Revision || r.packed.bytes == nil {
		b, err := peer.PackDocument(d)
		if err != nil {
			return err
		}
		r.packed = packed{d.Revision, b}
	}
	reply.Packed = r.packed.bytes
	return nil
}
