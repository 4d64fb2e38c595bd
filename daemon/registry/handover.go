package registry

import (
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/route"
)

// Limits of sending documents to peers.
const (
	// At most handoverLimit documents are sent in each handoverWindow. A document of 1,100 routes
	// is 12 KB compressed (65 KB plain), so on the smallest supported link, of 20 Mbit/s, they take
	// 40 ms of the window.
	handoverLimit  = 8
	handoverWindow = 100 * clock.Milli(1)
)

// handover limits the rate at which a VM sends documents to peers. Answers to all VMs of a fleet at
// once would fill its link and delay heartbeats. A peer that is refused asks another peer that has
// the document, or the store.
type handover struct {
	clock Clock
	// began is the start of the current window, count the number of documents requested in it.
	began clock.Milli
	count int
}

// admit counts a request for a document and reports whether the document may be sent now.
func (h *handover) admit() bool {
	now := h.clock.Now()
	if now-h.began >= handoverWindow {
		h.began, h.count = now, 0
	}
	h.count++
	return h.count <= handoverLimit
}

// packed is the compressed document of one revision. Compression takes some milliseconds of
// processor time on a small VM, and twenty VMs request the same document.
type packed struct {
	revision route.Revision
	bytes    []byte
}

// addDocument adds the document to a reply, compressed if the peer supports that. The lock must be
// held.
func (r *Registry) addDocument(args *peer.RegistrySummary, reply *peer.RegistryReply) error {
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
