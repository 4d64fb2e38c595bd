package script

import "os"

func init() {
	register("apply", apply)
	register("applyfile", applyFile)
	register("edit", edit)
}

// apply changes fields of the document and puts it in force by the operator
// command: apply PATH=VALUE...
func apply(s *session, args []string) error {
	text, err := s.world.Edit(args)
	if err != nil {
		return usage(err.Error())
	}
	return s.world.Apply(s.ctx, text, s.world.AcceptedRevision())
}

// edit writes an edited document to a file, with the revision that it was made
// from, as a second operator's console would hold it: edit FILE PATH=VALUE...
func edit(s *session, args []string) error {
	if len(args) < 2 {
		return usage("edit FILE PATH=VALUE...")
	}
	text, err := s.world.Edit(args[1:])
	if err != nil {
		return usage(err.Error())
	}
	s.bases[args[0]] = s.world.AcceptedRevision()
	return os.WriteFile(s.ts.MkAbs(args[0]), text, 0o600)
}

// applyFile writes the document of a file on the revision that it was made from.
func applyFile(s *session, args []string) error {
	if len(args) != 1 {
		return usage("applyfile FILE")
	}
	base, ok := s.bases[args[0]]
	if !ok {
		return usage("no edit " + args[0])
	}
	return s.world.Apply(s.ctx, []byte(s.ts.ReadFile(args[0])), base)
}
