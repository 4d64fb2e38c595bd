package script

func init() {
	register("renew", renew)
	register("former", former)
	register("strangers", eachName(func(s *session, name string) error { return s.world.CheckUnauthorized(s.ctx, name) }))
}

// renew replaces all certificates and their authority under the running processes.
func renew(s *session, args []string) error {
	if len(args) > 0 {
		return usage("renew")
	}
	return s.world.RenewCertificates()
}

// former makes exec snipeshift show the certificate from before the renewal.
func former(s *session, args []string) error {
	if len(args) > 0 {
		return usage("former")
	}
	for k, v := range s.world.FormerOperatorEnv() {
		s.ts.Setenv(k, v)
	}
	return nil
}
