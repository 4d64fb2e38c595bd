package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync/atomic"
	"syscall"

	"golang.org/x/sync/errgroup"

	"snipeshift.example/emulator/engine"
	"snipeshift.example/emulator/listen"
	"snipeshift.example/emulator/local"
	"snipeshift.example/emulator/service"
	"snipeshift.example/emulator/settings"
	"snipeshift.example/lib/clock"
)

// runFakeDaemon plays a daemon until SIGTERM: it is ready, and answers callers
// from an engine and a service inside itself.
func runFakeDaemon() {
	var s local.DaemonSettings
	if err := settings.Load(os.Args[2], nil, &s); err != nil {
		panic(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	g, ctx := errgroup.WithContext(ctx)
	ready := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	for address, h := range map[string]http.Handler{s.Operator: ready, s.Caller: answerer()} {
		g.Go(func() error { return listen.Serve(ctx, listen.Server{Address: address, Handler: h}, os.Stdout) })
	}
	if err := g.Wait(); err != nil {
		panic(err)
	}
}

func answerer() http.Handler {
	s := engine.Defaults()
	s.Prefill = 5_000_000
	e, err := engine.New(s, clock.New())
	if err != nil {
		panic(err)
	}
	v, err := service.New(service.Defaults(), clock.New())
	if err != nil {
		panic(err)
	}
	var n atomic.Int64
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/services/") {
			v.ServeHTTP(w, r)
			return
		}
		r.Header.Set("X-Request-Id", fmt.Sprint(n.Add(1)))
		e.ServeHTTP(w, r)
	})
}
