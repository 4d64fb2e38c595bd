package script

import "os"

func init() {
	register("apply", apply)
	register("applyfile", applyFile)
	register("edit", edit)
}

// apply changes fields of the document and submits it with the operator command: apply PATH=VALUE...
func apply(s *session, args []string) error {
	text, err := s.world.Edit(args)
	if err != nil {
		return usageError(err.Error())
	}
	return s.world.Apply(s.ctx, text, s.world.AcceptedRevision())
}

// edit writes an edited document to a file and remembers the revision that it is based on, as if a second operator edited
// the document at the same time: edit FILE PATH=VALUE...
func edit(s *session, args []string) error {
	if len(args) < 2 {
		return usageError("edit FILE PATH=VALUE...")
	}
	text, err := s.world.Edit(args[1:])
	if err != nil {
		return usageError(err.Error())
	}
	s.baseRevisions[args[0]] = s.world.AcceptedRevision()
	return os.WriteFile(s.ts.MkAbs(args[0]), text, 0o600)
}

// applyFile submits the document in a file, on condition that the revision it is based on is still current: applyfile FILE
func applyFile(s *session, args []string) error {
	if len(args) != 1 {
		return usageError("applyfile FILE")
	}
	base, ok := s.baseRevisions[args[0]]
	if !ok {
		return usageError("no file written by edit: " + args[0])
	}
	return s.world.Apply(s.ctx, []byte(s.ts.ReadFile(args[0])), base)
}
