package local

import (
	"context"

	"snipeshift.example/emulator/engine"
	"snipeshift.example/emulator/fleet"
	"snipeshift.example/emulator/service"
	"snipeshift.example/emulator/settings"
	"snipeshift.example/lib/document"
)

// startUpstreams starts all stand-ins at once, then writes their addresses into the document.
func (l *Local) startUpstreams(ctx context.Context) error {
	if l.options.SingleProcess {
		return l.startFleet(ctx)
	}
	started := make([]*process, len(l.document.Upstreams))
	for i, u := range l.document.Upstreams {
		args, err := l.arguments(&l.document.Upstreams[i])
		if err != nil {
			return err
		}
		if started[i], err = l.run(upstreamTier, u.Name, l.options.EmulatorProgram, args...); err != nil {
			return err
		}
	}
	for i, p := range started {
		a, err := p.address(ctx)
		if err != nil {
			return err
		}
		l.document.Upstreams[i].Address = a
		l.ready.Upstreams[p.name] = a
	}
	return nil
}

// startFleet starts all stand-ins in one process.
func (l *Local) startFleet(ctx context.Context) error {
	var s fleet.Settings
	for i := range l.document.Upstreams {
		u := &l.document.Upstreams[i]
		if u.Model == "" {
			s.Services = append(s.Services, serviceSettings(u))
			continue
		}
		e, err := l.engineSettings(u)
		if err != nil {
			return err
		}
		s.Engines = append(s.Engines, e)
	}
	args, err := l.withSettings("fleet", "fleet", s)
	if err != nil {
		return err
	}
	p, err := l.run(upstreamTier, "fleet", l.options.EmulatorProgram, args...)
	if err != nil {
		return err
	}
	r, err := p.line(ctx)
	if err != nil {
		return err
	}
	for i, u := range l.document.Upstreams {
		l.document.Upstreams[i].Address = r.Addresses[u.Name]
		l.ready.Upstreams[u.Name] = r.Addresses[u.Name]
	}
	return nil
}

// arguments of the stand-in for one upstream.
func (l *Local) arguments(u *document.Upstream) ([]string, error) {
	if u.Model == "" {
		return l.withSettings("service", u.Name, serviceSettings(u))
	}
	s, err := l.engineSettings(u)
	if err != nil {
		return nil, err
	}
	return l.withSettings("engine", u.Name, s)
}

func serviceSettings(u *document.Upstream) service.Settings {
	s := service.Defaults()
	s.Name = u.Name
	return s
}

// engineSettings are those that the document states; the document then states those that Sets replace.
func (l *Local) engineSettings(u *document.Upstream) (engine.Settings, error) {
	s := engine.Defaults()
	s.Name, s.Model = u.Name, u.Model
	s.Slots, s.Memory = u.Slots, u.Memory
	s.Prefill, s.Decode = u.Prefill, u.Decode
	s.CheckFence = u.Fenced
	if err := settings.Load("", l.options.EngineSettings, &s); err != nil {
		return s, err
	}
	u.Slots, u.Memory = s.Slots, s.Memory
	u.Prefill, u.Decode = s.Prefill, s.Decode
	u.Fenced = s.CheckFence
	return s, nil
}

func (l *Local) withSettings(program, name string, s any) ([]string, error) {
	file, err := l.write(name+".json", s)
	return []string{program, "--settings", file}, err
}
