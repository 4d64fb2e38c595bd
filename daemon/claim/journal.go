package claim

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"slices"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/fault"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/platform"
)

// Kind is the collection of the store that contains the journals.
const Kind platform.Kind = "claims"

// Shards is the number of journals. It is part of the stored format: VMs with different
// values would look for the same key in different journals and miss each other's claims.
const Shards = 64

// shardID is the number of a shard, from 0 to Shards-1.
type shardID int

// page returns the name of the object with the newest records of a shard. It is the only
// object of the shard that is overwritten, and it is never deleted.
func (s shardID) page() platform.Name { return platform.Name(fmt.Sprintf("%02x", int(s))) }

// archive returns the name of the object of an archive. The page version and the number
// of merged archives determine its content, so all VMs that write it write the same.
func (s shardID) archive(a archive) platform.Name {
	return platform.Name(fmt.Sprintf("%02x-%d-%d", int(s), a.Version, a.Merged))
}

// digest is a hash of a workspace and an idempotency key, which identifies the pair in
// the journal.
type digest string

// digestOf returns the digest and the shard of a key. The digest has 128 bits, so finding
// two keys that collide takes a search of about 2^64 keys.
func digestOf(w decide.WorkspaceID, key string) (digest, shardID) {
	h := sha256.Sum256([]byte(string(w) + "\x00" + key))
	return digest(base64.RawURLEncoding.EncodeToString(h[:16])), shardID(int(h[31]) % Shards)
}

// state is the state of a key after a record.
type state string

const (
	claimed  state = "claimed"
	released state = "released"
	done     state = "done"
)

// record is one line of the journal.
type record struct {
	Key   digest `json:"key"`
	Nonce string `json:"nonce"`
	State state  `json:"state"`
	// At is the time of the record by the wall clock of the VM that wrote it. It is
	// used only for retention and for the age of a page.
	At clock.Milli `json:"at"`
	// Status is the HTTP status of the answer, or zero if the answer was not stored.
	Status int    `json:"status,omitempty"`
	Answer []byte `json:"answer,omitempty"`
}

// page is the content of the object that holds the newest records of a shard.
type page struct {
	// Archives lists the archives with earlier records, oldest first.
	Archives []archive `json:"archives,omitempty"`
	Records  []record  `json:"records"`
}

// archive is an object with records that were moved out of the page.
type archive struct {
	// Version is that of the page when its records were moved to the archive.
	Version platform.Version `json:"version"`
	// Merged is the number of earlier archives that were merged into this one.
	Merged int `json:"merged,omitempty"`
	// Until is the time of the archive's newest record.
	Until clock.Milli `json:"until"`
	// Size is the encoded size in bytes.
	Size int `json:"size"`
}

func (p *page) encode() []byte {
	b, err := json.Marshal(p)
	if err != nil {
		panic(err) // no value of these types fails to encode
	}
	return b
}

func decodePage(value []byte) (page, error) {
	var p page
	if err := json.Unmarshal(value, &p); err != nil {
		return page{}, fmt.Errorf("claim journal: %w", err)
	}
	return p, nil
}

// entry is the state of one key according to the journal.
type entry struct {
	nonce string
	// state is claimed or done; a released key has no entry.
	state  state
	at     clock.Milli
	status int
	// answer is set only while its record is in the page.
	answer []byte
	// archiveVersion identifies the archive with the record: it is the version of the page
	// from which the record was moved out, or the Version of an archive that contains the
	// record. It is zero while the record is in the page.
	archiveVersion platform.Version
}

// index is the in-memory state of a shard's journal.
type index struct {
	keys map[digest]entry
	// voidNonces has the nonces that were released, with the time of release. A claim under
	// such a nonce may still be on its way and must not be written.
	voidNonces map[string]clock.Milli
	// copied is used only in the temporary index of a commit. It has the keys that were
	// copied from the index of the shard; see copyFrom.
	copied map[digest]bool
}

func newIndex() *index { return &index{keys: map[digest]entry{}, voidNonces: map[string]clock.Milli{}} }

// apply applies one record. Argument archiveVersion is the Version of the archive with the
// record, or zero if the record is in the page.
func (x *index) apply(r record, archiveVersion platform.Version) {
	e, exists := x.keys[r.Key]
	switch r.State {
	case claimed:
		x.keys[r.Key] = entry{nonce: r.Nonce, state: claimed, at: r.At, archiveVersion: archiveVersion}
	case released:
		x.voidNonces[r.Nonce] = r.At
		if exists && e.nonce == r.Nonce && e.state == claimed {
			delete(x.keys, r.Key)
		}
	case done:
		if exists && e.nonce != r.Nonce {
			return
		}
		d := entry{nonce: r.Nonce, state: done, at: r.At, status: r.Status, archiveVersion: archiveVersion}
		if archiveVersion == 0 {
			d.answer = r.Answer
		}
		x.keys[r.Key] = d
	}
}

// expire removes the keys and the void nonces with a time of until or earlier.
func (x *index) expire(until clock.Milli) {
	for k, e := range x.keys {
		if e.at <= until {
			delete(x.keys, k)
		}
	}
	for n, at := range x.voidNonces {
		if at <= until {
			delete(x.voidNonces, n)
		}
	}
}

// markArchived records that all records of the page were moved to the archive of version v.
func (x *index) markArchived(records []record, v platform.Version) {
	for _, r := range records {
		e, ok := x.keys[r.Key]
		if ok && e.archiveVersion == 0 {
			e.archiveVersion, e.answer = v, nil
			x.keys[r.Key] = e
		}
	}
}

// op is one operation on a shard: a claim, a release or the recording of an answer.
type op struct {
	key   digest
	nonce string
	// want is claimed, released or done.
	want state
	// voidNonces lists earlier nonces of the same request, which are released in the same
	// write.
	voidNonces []string
	status     int
	answer     []byte
	// brief is set if the operation has a short timeout because the store seems to be
	// unavailable.
	brief bool

	// reply is set once, before finished is closed.
	reply peer.ClaimReply
	// archive is the archive with the answer, if the answer is not in reply.
	archive archive
	// finished is closed when the operation ends. It is nil if nothing waits for that.
	finished chan struct{}
	// completed is set once reply is set, and abandoned once the caller has stopped
	// waiting for the reply.
	completed, abandoned bool
}

// verdict is the result of evaluating an operation against the index.
type verdict struct {
	reply peer.ClaimReply
	// archiveVersion is copied from the entry from which the reply is derived.
	archiveVersion platform.Version
	// records has the records that must be written before the reply is valid.
	records []record
	// final is set if the verdict holds whatever other VMs have written meanwhile.
	final bool
}

// evaluate evaluates an operation against the index. It is the only function that grants a
// claim.
func (x *index) evaluate(o *op, now clock.Milli) verdict {
	if o.want != claimed {
		return x.evaluateSettle(o, now)
	}
	if _, void := x.voidNonces[o.nonce]; void {
		return verdict{reply: unknownReply("the claim was withdrawn"), final: true}
	}
	e, exists := x.keys[o.key]
	switch {
	case exists && e.state == done:
		return verdict{reply: doneReply(e), archiveVersion: e.archiveVersion, final: true}
	case exists && e.nonce == o.nonce:
		return verdict{reply: peer.ClaimReply{State: peer.ClaimWon}, final: true}
	case exists && !slices.Contains(o.voidNonces, e.nonce):
		return verdict{reply: takenReply()}
	}
	v := verdict{reply: peer.ClaimReply{State: peer.ClaimWon}}
	for _, n := range o.voidNonces {
		v.records = append(v.records, record{Key: o.key, Nonce: n, State: released, At: now})
	}
	v.records = append(v.records, record{Key: o.key, Nonce: o.nonce, State: claimed, At: now})
	return v
}

func (x *index) evaluateSettle(o *op, now clock.Milli) verdict {
	r := record{Key: o.key, Nonce: o.nonce, State: o.want, At: now, Status: o.status, Answer: o.answer}
	_, void := x.voidNonces[o.nonce]
	e, exists := x.keys[o.key]
	switch {
	case void, exists && e.nonce == o.nonce && e.state == done:
		return verdict{final: true}
	case o.want == done && exists && e.nonce != o.nonce:
		return verdict{}
	}
	return verdict{records: []record{r}}
}

func doneReply(e entry) peer.ClaimReply {
	r := peer.ClaimReply{State: peer.ClaimDone, Status: e.status, Answer: e.answer}
	if e.status == 0 {
		f := fault.New(fault.Duplicate, "the key was answered; the answer was too large to be kept").WithRan(fault.RanYes)
		r.Fault = wireFault(f)
	}
	return r
}

func takenReply() peer.ClaimReply {
	f := fault.New(fault.Duplicate, "the key is in use, or its outcome is unknown")
	return peer.ClaimReply{State: peer.ClaimTaken, Fault: wireFault(f)}
}

// retryAfter is the time after which clients are asked to retry when the store is
// unavailable.
const retryAfter = 2 * clock.Second

func unknownReply(text string) peer.ClaimReply {
	f := fault.New(fault.Unavailable, "%s", text).WithRan(fault.RanNo).WithRetry(retryAfter)
	return peer.ClaimReply{State: peer.ClaimUnknown, Fault: wireFault(f)}
}

func wireFault(e *fault.Error) *peer.Fault {
	return &peer.Fault{Kind: e.Kind, Ran: e.Ran, Retry: e.Retry, Text: e.Text}
}
