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

// atOnce bounds how many daemons are asked at the same time.
const atOnce = 16

// Fleet is all daemons of a deployment, found through any one of them.
type Fleet struct {
	client *Client
	// Members are all that are not gone, by name.
	Members []answers.Member
}

// MemberError is a daemon that gave no answer.
type MemberError struct {
	Member answers.Member
	Err    error
}

// Find asks the given addresses in turn for the members.
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

// Member finds a member by the name of its VM.
func (f *Fleet) Member(vm peer.VM) (answers.Member, bool) {
	for _, m := range f.Members {
		if m.VM == vm {
			return m, true
		}
	}
	return answers.Member{}, false
}

// Collect asks all daemons for a list and joins the lists in the order of the
// daemons' names. Daemons that did not answer are told apart: an operator must
// not take a part for the whole.
func Collect[E any](ctx context.Context, f *Fleet, path string) ([]E, []MemberError) {
	parts, misses := each(f, func(m answers.Member) ([]E, error) {
		return Get[[]E](ctx, f.client, m.Operator, path)
	})
	return slices.Concat(parts...), misses
}

// Behind lists the members on which a revision is not in force yet, each by its
// own word; one that gives no answer may be behind and is listed.
func (f *Fleet) Behind(ctx context.Context, r peer.Revision) []peer.VM {
	documents, _ := each(f, func(m answers.Member) (answers.Document, error) {
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

// Timeline collects the events of all daemons, each daemon's apart.
func (f *Fleet) Timeline(ctx context.Context, filter timeline.Filter) ([][]timeline.Event, []MemberError) {
	return each(f, func(m answers.Member) ([]timeline.Event, error) {
		return f.client.Timeline(ctx, m.Operator, filter)
	})
}

// each asks all members at once and keeps the answers in their order.
func each[A any](f *Fleet, ask func(answers.Member) (A, error)) ([]A, []MemberError) {
	found := make([]A, len(f.Members))
	var mu sync.Mutex
	var misses []MemberError
	var g errgroup.Group
	g.SetLimit(atOnce)
	for i, m := range f.Members {
		g.Go(func() error {
			a, err := ask(m)
			if err != nil {
				mu.Lock()
				defer mu.Unlock()
				misses = append(misses, MemberError{m, err})
				return nil
			}
			found[i] = a
			return nil
		})
	}
	_ = g.Wait() // the functions above return no error
	slices.SortFunc(misses, func(a, b MemberError) int { return cmp.Compare(a.Member.VM, b.Member.VM) })
	return found, misses
}
