package script

import (
	"flag"
	"os"

	"snipeshift.example/scenarios/world"
)

func init() { register("deploy", deploy) }

// deploy starts a deployment and waits until all daemons are ready.
func deploy(s *session, args []string) error {
	var p world.Plan
	var engine, daemon, platform, document many
	f := flag.NewFlagSet("deploy", flag.ContinueOnError)
	f.IntVar(&p.Daemons, "daemons", 3, "")
	f.IntVar(&p.Engines, "engines", 2, "")
	f.IntVar(&p.Services, "services", 1, "")
	f.IntVar(&p.Domains, "domains", 1, "")
	f.BoolVar(&p.TLS, "secure", false, "")
	f.Var(&engine, "engine", "")
	f.Var(&daemon, "daemon", "")
	f.Var(&platform, "platform", "")
	f.Var(&document, "document", "")
	rest, err := flags(f, args)
	if err != nil {
		return err
	}
	if len(rest) > 0 {
		return usage("deploy takes flags only")
	}
	p.EngineSettings, p.DaemonSettings, p.PlatformSettings, p.DocumentEdits = engine, daemon, platform, document
	if err := s.world.Deploy(s.ctx, p); err != nil {
		return err
	}
	s.operators()
	return nil
}

// operators lets scripts run the operators' command by exec snipeshift.
func (s *session) operators() {
	for k, v := range s.world.OperatorEnv() {
		s.ts.Setenv(k, v)
	}
	s.ts.Setenv("PATH", s.bin+string(os.PathListSeparator)+s.ts.Getenv("PATH"))
}
