package fleet

import (
	"encoding/gob"
	"net/rpc"

	"snipeshift.example/daemon/member"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/peer"
)

// counter counts the bytes written to it.
type counter int

// Write implements io.Writer.
func (c *counter) Write(b []byte) (int, error) {
	*c += counter(len(b))
	return len(b), nil
}

// sizer returns the size of messages in bytes.
type sizer struct {
	written *counter
	encoder *gob.Encoder
	// rows caches the sizes of descriptions of members.
	rows map[peer.Member]int
	// first is what the first message on a connection takes in addition, in each direction.
	first int
}

func newSizer() *sizer {
	s := &sizer{written: new(counter), rows: map[peer.Member]int{}}
	s.encoder = gob.NewEncoder(s.written)
	first, later := s.encode(&peer.BeatArgs{}), s.encode(&peer.BeatArgs{})
	s.first = first - later
	return s
}

// encode returns the size of a heartbeat with its net/rpc header.
func (s *sizer) encode(b *peer.BeatArgs) int {
	before := *s.written
	for _, v := range []any{rpc.Request{ServiceMethod: member.Name + ".Beat", Seq: 1000}, b} {
		if err := s.encoder.Encode(v); err != nil {
			panic(err) // messages consist of types that gob encodes
		}
	}
	return int(*s.written - before)
}

// heartbeat returns the size of a heartbeat or of its reply, and of the descriptions of members in it.
func (s *sizer) heartbeat(b *peer.BeatArgs) (whole, rows int) {
	for _, m := range b.Known {
		n, ok := s.rows[m]
		if !ok {
			n = s.encode(&peer.BeatArgs{Known: []peer.Member{m}}) - s.encode(&peer.BeatArgs{})
			s.rows[m] = n
		}
		rows += n
	}
	rest := *b
	rest.Known = nil
	return s.encode(&rest) + rows, rows
}

// idleClose is the time after which an unused connection between VMs is closed.
const idleClose = 30 * clock.Second

// connections records when each pair of VMs last used its connection.
type connections map[[2]string]clock.Milli

// opens reports whether a call at an instant opens a connection, and records the call.
func (c connections) opens(now clock.Milli, from, to string) bool {
	key := [2]string{from, to}
	last, used := c[key]
	c[key] = now
	return !used || now-last >= idleClose
}
