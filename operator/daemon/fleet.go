package daemon

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"golang.org/x/sync/errgroup"

	answers "snipeshift.example/lib/operator"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/timeline"
)

// maxConcurrent bounds how many daemons are queried concurrently.
const maxConcurrent = 16

// Fleet is the set of all daemons of a deployment, as listed by any one of them.
type Fleet struct {
	client *Client
	// Members lists all members except those that are gone, sorted by the name of the VM.
	Members []answers.Member
}

// MemberError is a daemon that could not be queried, with the error.
type MemberError struct {
	Member answers.Member
	Err    error
}

// Find requests the list of members from the given addresses, one after the other, until one responds.
func Find(ctx context.Context, c *Client, addresses []string) (*Fleet, error) {
	var err error
	for _, a := range addresses {
		var ms []answers.Member
		ms, err = Get[[]answers.Member](ctx, c, a, answers.PathMembers)
		if err == nil {
			return newFleet(c, ms), nil
		}
	}
	return nil, err
}

func newFleet(c *Client, ms []answers.Member) *Fleet {
	f := &Fleet{client: c}
	for _, m := range ms {
		if m.State != answers.Gone {
			f.Members = append(f.Members, m)
		}
	}
	slices.SortFunc(f.Members, func(a, b answers.Member) int { return cmp.Compare(a.VM, b.VM) })
	return f
}

// Member returns the member with the given VM name.
func (f *Fleet) Member(vm peer.VM) (answers.Member, bool) {
	for _, m := range f.Members {
		if m.VM == vm {
			return m, true
		}
	}
	return answers.Member{}, false
}

// Collect requests a list from all daemons and joins the lists in the order of the daemons' names.
// Daemons that could not be queried are returned separately, so that operators see that the list is
// incomplete.
func Collect[E any](ctx context.Context, f *Fleet, path string) ([]E, []MemberError) {
	parts, failures := queryAll(f, func(m answers.Member) ([]E, error) {
		return Get[[]E](ctx, f.client, m.Operator, path)
	})
	return slices.Concat(parts...), failures
}

// Behind lists the members that do not report revision r or a later one as in force. A member that does
// not respond may be behind and is listed too.
func (f *Fleet) Behind(ctx context.Context, r peer.Revision) []peer.VM {
	documents, _ := queryAll(f, func(m answers.Member) (answers.Document, error) {
		return Get[answers.Document](ctx, f.client, m.Operator, answers.PathDocument)
	})
	var behind []peer.VM
	for i, m := range f.Members {
		if documents[i].Revision < r {
			behind = append(behind, m.VM)
		}
	}
	return behind
}

// Timeline requests the events of all daemons and returns one list for each daemon.
func (f *Fleet) Timeline(ctx context.Context, filter timeline.Filter) ([][]timeline.Event, []MemberError) {
	return queryAll(f, func(m answers.Member) ([]timeline.Event, error) {
		return f.client.Timeline(ctx, m.Operator, filter)
	})
}

// queryAll calls ask for all members concurrently and returns the results in the order of Members.
func queryAll[A any](f *Fleet, query func(answers.Member) (A, error)) ([]A, []MemberError) {
	results := make([]A, len(f.Members))
	var mu sync.Mutex
	var failures []MemberError
	var g errgroup.Group
	g.SetLimit(maxConcurrent)
	for i, m := range f.Members {
		g.Go(func() error {
			a, err := query(m)
			if err != nil {
				mu.Lock()
				defer mu.Unlock()
				failures = append(failures, MemberError{m, err})
				return nil
			}
			results[i] = a
			return nil
		})
	}
	_ = g.Wait() // the functions above return no error
	slices.SortFunc(failures, func(a, b MemberError) int { return cmp.Compare(a.Member.VM, b.Member.VM) })
	return results, failures
}
