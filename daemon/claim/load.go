package claim

import (
	"context"
	"errors"

	"golang.org/x/sync/errgroup"

	"snipeshift.example/lib/fault"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/platform"
)

// errStale reports that a read returned a version older than one this VM has seen.
var errStale = platform.Class.New("stale read")

// maxConcurrentReads is the number of archives that are read concurrently when this VM
// loads a shard.
const maxConcurrentReads = 4

// load reads the page and the archives that are not in memory yet. A stale read does no
// harm, because a conditional write that is based on it fails.
func (s *shard) load(ctx context.Context) error {
	o, err := s.store.Get(ctx, Kind, s.id.page())
	if errors.Is(err, platform.ErrNotFound) && s.version == 0 {
		s.page, s.index, s.loaded = page{}, newIndex(), true
		return nil
	}
	if err != nil {
		return err
	}
	if o.Version < s.version {
		return errStale
	}
	p, err := decodePage(o.Value)
	if err != nil {
		return err
	}
	// Another VM may have moved records out of the page, so the index is rebuilt unless
	// the version is unchanged.
	if o.Version == s.version {
		s.loaded = true
		return nil
	}
	if err := s.rebuild(ctx, p); err != nil {
		return err
	}
	s.version, s.page, s.loaded = o.Version, p, true
	return nil
}

// rebuild updates the index from the archives and the page, in the order in which they
// were written.
func (s *shard) rebuild(ctx context.Context, p page) error {
	x := s.index
	if !s.isExtendedBy(p) {
		x = newIndex()
		s.loadedArchives = map[platform.Version]bool{}
	}
	var missing []archive
	for _, a := range p.Archives {
		if !s.loadedArchives[a.Version] {
			missing = append(missing, a)
		}
	}
	pages, err := s.readArchives(ctx, missing)
	if err != nil {
		return err
	}
	for i, a := range missing {
		for _, r := range pages[i].Records {
			x.apply(r, a.Version)
		}
		s.loadedArchives[a.Version] = true
	}
	for _, r := range p.Records {
		x.apply(r, 0)
	}
	s.index = x
	return nil
}

// isExtendedBy reports whether p is the page in memory with only records appended.
func (s *shard) isExtendedBy(p page) bool {
	if s.version == 0 || len(p.Archives) != len(s.page.Archives) || len(p.Records) < len(s.page.Records) {
		return false
	}
	for i, a := range s.page.Archives {
		if p.Archives[i] != a {
			return false
		}
	}
	for i, r := range s.page.Records {
		if p.Records[i].Nonce != r.Nonce || p.Records[i].State != r.State {
			return false
		}
	}
	return true
}

// readArchives reads archives. If any archive can't be read, for example because a stale
// read doesn't find it yet, readArchives fails: otherwise the claims in the archive would be lost.
func (s *shard) readArchives(ctx context.Context, as []archive) ([]page, error) {
	pages := make([]page, len(as))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxConcurrentReads)
	for i, a := range as {
		g.Go(func() error {
			var err error
			pages[i], err = s.readArchive(ctx, a)
			return err
		})
	}
	return pages, g.Wait()
}

func (s *shard) readArchive(ctx context.Context, a archive) (page, error) {
	o, err := s.store.Get(ctx, Kind, s.id.archive(a))
	if err != nil {
		return page{}, err
	}
	return decodePage(o.Value)
}

// readAnswer completes the reply to o with an answer that was moved to an archive.
func (s *shard) readAnswer(ctx context.Context, o *op) peer.ClaimReply {
	reply := o.reply
	p, err := s.readArchive(ctx, o.archive)
	for _, r := range p.Records {
		if r.Key == o.key && r.State == done {
			reply.Answer = r.Answer
			return reply
		}
	}
	f := fault.New(fault.Unavailable, "the key was answered; the kept answer can't be read now: %v", err)
	reply.Fault = wireFault(f.WithRan(fault.RanYes).WithRetry(retryAfter))
	return reply
}
