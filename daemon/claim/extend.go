package claim

import (
	"context"
	"errors"
	"slices"

	"snipeshift.example/lib/platform"
)

// extension is the next state of a page.
type extension struct {
	page page
	// moved is set when the earlier records are in an archive now.
	moved bool
	// expired are archives past retention, and merged those whose records are
	// in a later one; the page lists neither any more.
	expired, merged []archive
}

// extend returns the page with records added. A page that is full, or whose
// window has passed, starts anew, and its records move to an archive.
func (s *shard) extend(ctx context.Context, add []record) (extension, error) {
	if !s.full() {
		all := slices.Concat(s.page.Records, add)
		return extension{page: page{Archives: s.page.Archives, Records: all}}, nil
	}
	a, merged, err := s.move(ctx)
	if err != nil {
		return extension{}, err
	}
	left := s.page.Archives[:len(s.page.Archives)-len(merged)]
	e := extension{page: page{Records: add}, moved: true, merged: merged}
	for _, o := range append(slices.Clone(left), a) {
		if o.Until < s.clock.Now()-s.rules.Retention {
			e.expired = append(e.expired, o)
		} else {
			e.page.Archives = append(e.page.Archives, o)
		}
	}
	return e, nil
}

// move writes the records of the page, and those of the archives to be merged
// with them, to a new archive.
func (s *shard) move(ctx context.Context) (a archive, merged []archive, err error) {
	records := s.page.Records
	merged = s.mergeable(len((&page{Records: records}).encode()))
	older, err := s.fetch(ctx, merged)
	if err != nil {
		// Merging can wait; the claims can't.
		older, merged = nil, nil
	}
	for _, p := range slices.Backward(older) {
		records = slices.Concat(p.Records, records)
	}
	value := (&page{Records: records}).encode()
	a = archive{Version: s.version, Merged: len(merged), Size: len(value)}
	for _, r := range records {
		a.Until = max(a.Until, r.At)
	}
	return a, merged, s.keep(ctx, a, value)
}

// mergeable picks the newest archives that together are about as large as
// what is added to them. So each record is moved only a few times more, as its
// archive doubles, and the list in the page, which is written with each claim,
// stays short.
func (s *shard) mergeable(size int) []archive {
	as := s.page.Archives
	from := len(as)
	for from > 0 {
		a := as[from-1]
		old := a.Until < s.clock.Now()-s.rules.Retention/4
		if old || a.Size > size+size/2 || a.Size+size > s.rules.MaxArchiveSize {
			break
		}
		size += a.Size
		from--
	}
	return slices.Clone(as[from:])
}

// keep writes an archive. If it exists already, another attempt wrote the
// same content.
func (s *shard) keep(ctx context.Context, a archive, value []byte) error {
	_, err := s.store.Put(ctx, Kind, s.id.archive(a), value, platform.IfAbsent)
	if errors.Is(err, platform.ErrUnknown) {
		_, err = s.store.Put(ctx, Kind, s.id.archive(a), value, platform.IfAbsent)
	}
	if errors.Is(err, platform.ErrConflict) {
		return nil
	}
	return err
}

// full tells whether the page has to be moved out before the next record.
func (s *shard) full() bool {
	if len(s.page.Records) == 0 {
		return false
	}
	size := 0
	for _, r := range s.page.Records {
		size += recordSize + len(r.Answer)*4/3
	}
	return size > s.rules.MaxPageSize || s.clock.Now()-s.page.Records[0].At > s.rules.MaxPageAge
}

// recordSize is what a record without an answer takes at most, in bytes.
const recordSize = 160

// covering is the archive that holds what was moved out at a version: the
// first one listed that is not older. The zero archive stands for the page.
func (s *shard) covering(v platform.Version) archive {
	if v == 0 {
		return archive{}
	}
	for _, a := range s.page.Archives {
		if a.Version >= v {
			return a
		}
	}
	return archive{}
}
