package claim

import (
	"context"
	"errors"
	"slices"

	"snipeshift.example/lib/platform"
)

// extension is the next state of a page, with the changes to its list of archives.
type extension struct {
	page page
	// rotated is set if the earlier records of the page were moved to an archive.
	rotated bool
	// expired are the archives past retention, and merged are those whose records were
	// copied to a later archive. The page no longer lists any of them.
	expired, merged []archive
}

// extend returns the page with records added. If the page is full, or its oldest record
// too old, its earlier records are moved to an archive first.
func (s *shard) extend(ctx context.Context, records []record) (extension, error) {
	if !s.full() {
		all := slices.Concat(s.page.Records, records)
		return extension{page: page{Archives: s.page.Archives, Records: all}}, nil
	}
	a, merged, err := s.rotate(ctx)
	if err != nil {
		return extension{}, err
	}
	remaining := s.page.Archives[:len(s.page.Archives)-len(merged)]
	e := extension{page: page{Records: records}, rotated: true, merged: merged}
	for _, o := range append(slices.Clone(remaining), a) {
		if o.Until < s.clock.Now()-s.rules.Retention {
			e.expired = append(e.expired, o)
		} else {
			e.page.Archives = append(e.page.Archives, o)
		}
	}
	return e, nil
}

// rotate writes the records of the page, and those of the archives to be merged
// with them, to a new archive.
func (s *shard) rotate(ctx context.Context) (a archive, merged []archive, err error) {
	records := s.page.Records
	merged = s.mergeable(len((&page{Records: records}).encode()))
	older, err := s.readArchives(ctx, merged)
	if err != nil {
		// Don't delay the claims for the merge, which a later rotation can do.
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
	return a, merged, s.putArchive(ctx, a, value)
}

// mergeable returns the newest archives whose total size is about that of the records
// to be merged with them, size bytes. An archive roughly doubles with each merge, so
// each record is copied only a few times, and the list of archives, which is written with
// every commit, stays short.
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

// putArchive writes an archive. If the object exists already, an earlier attempt or another VM
// wrote the same content.
func (s *shard) putArchive(ctx context.Context, a archive, value []byte) error {
	_, err := s.store.Put(ctx, Kind, s.id.archive(a), value, platform.IfAbsent)
	if errors.Is(err, platform.ErrUnknown) {
		_, err = s.store.Put(ctx, Kind, s.id.archive(a), value, platform.IfAbsent)
	}
	if errors.Is(err, platform.ErrConflict) {
		return nil
	}
	return err
}

// full reports whether the records of the page must be moved to an archive before more
// are added.
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

// recordSize is the largest encoded size in bytes of a record without an answer.
const recordSize = 160

// archiveOf returns the archive with the records that were moved out of version v of the
// page: the first one listed whose version is v or later. It returns the zero archive
// for records that are still in the page, which v = 0 stands for.
func (s *shard) archiveOf(v platform.Version) archive {
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
