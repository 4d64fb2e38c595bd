package placer

import (
	"strings"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide/blame"
	"snipeshift.example/lib/logline"
	"snipeshift.example/lib/route"
)

// exchangeCrashes adds a gate's copy to what is known here, and replies with the present copy if the gate's differs. The
// pool's lock is held.
func (p *ownedPool) exchangeCrashes(now clock.Milli, args *PresentArgs, reply *PresentReply) {
	parts := p.pool.Parts()
	parts.Merge(now, args.Crashes)
	known := parts.ForPeers(now)
	if blame.Digest(known) != args.CrashDigest {
		reply.Crashes, reply.NewCrashes = known, true
	}
}

// logParts logs what has become known of parts of prompts. The pool's lock is held.
func (o *Owner) logParts(s route.ServiceID, p *ownedPool) {
	for _, c := range p.pool.Parts().TakeChanges() {
		o.Log.Warn().Str(logline.Key, logline.Blame).Str("service", string(s)).Str("part", c.Part.String()).Str("verdict", string(c.Kind)).
			Int("crashes", len(c.Crashes)).Str("upstreams", strings.Join(c.Crashes[:min(len(c.Crashes), maxNamedCrashes)], " ")).
			Int64("first", int64(c.First)).Bool("familiar", c.Familiar).Msg("what is known of a part of prompts that crashes upstreams has changed")
	}
}

// maxNamedCrashes bounds the upstreams that a log line names.
const maxNamedCrashes = 8
