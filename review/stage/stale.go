package main

import (
	"fmt"
	"sync"
	"time"
)

// Times of the case, from the beginning of the cut.
const (
	revokeAfter = 2500 * time.Millisecond
	// sendAgainAfter is when the requesters go on sending: none has a request under way as the cut begins.
	sendAgainAfter = 5 * time.Second
	healAfter      = 10 * time.Second
	endAfter       = 13 * time.Second
	// channels is the number of kept channels of the tenant to the machine, each with a request every sendEvery.
	channels  = 16
	sendEvery = 100 * time.Millisecond
	// revocation is revocation_ms.
	revocation = 5 * time.Second
)

// playStaleHeartbeat cuts one of three machines off from the others and from the store, and takes a key away
// meanwhile. The tenant goes on using its kept channels to that machine.
func playStaleHeartbeat(s *stage) (bool, string, error) {
	if err := s.open(1, 2, 3); err != nil {
		return false, "", err
	}
	if err := s.startBehindLinks(); err != nil {
		return false, "", err
	}
	cutOff := s.vms[2]
	time.Sleep(4 * time.Second) // longer than contact_window_ms
	end, again := make(chan struct{}), make(chan struct{})
	sent := make(chan sentCall, 1<<16)
	var wg sync.WaitGroup
	for i := range channels {
		wg.Go(func() { s.keepSending(cutOff, i, again, end, sent) })
	}
	time.Sleep(time.Second)
	begin := time.Now()
	if s.trouble {
		s.record.add("%s is cut off from the other machines and from the store", cutOff.name)
		s.eachLink(func(l *link, source string) { l.cut(source) })
	}
	time.Sleep(time.Until(begin.Add(revokeAfter)))
	s.store.put("config", "main", configuration(13, map[string][]string{"hule930": nil, "daxo111": {"k-two"}}))
	confirmed := time.Now()
	s.record.add("the store confirms version 13, without the key k-one")
	time.Sleep(time.Until(begin.Add(sendAgainAfter)))
	close(again)
	time.Sleep(time.Until(begin.Add(healAfter)))
	if s.trouble {
		s.record.add("the cut heals")
		s.eachLink(func(l *link, source string) { l.heal(source) })
	}
	time.Sleep(time.Until(begin.Add(endAfter)))
	close(end)
	wg.Wait()
	close(sent)
	late, served := 0, 0
	for x := range sent {
		if x.answer.sent.Before(confirmed.Add(revocation)) {
			served += len(s.runsOf(x.id))
			continue
		}
		for _, at := range s.runsOf(x.id) {
			late++
			s.record.add("%s, with the key k-one, was sent %.3f s after the confirmation and ran %.3f s after it; it got %v",
				x.id, x.answer.sent.Sub(confirmed).Seconds(), at.Sub(confirmed).Seconds(), x.answer)
		}
	}
	if served == 0 {
		return false, "", fmt.Errorf("no request ran before the key was taken away")
	}
	return late > 0, fmt.Sprintf("%d requests with a key that was taken away ran, sent later than %v after the confirmation", late, revocation), nil
}

// sentCall is a request with its answer.
type sentCall struct {
	id     string
	answer answer
}

func (s *stage) runsOf(id string) []time.Time {
	var all []time.Time
	for _, r := range s.runners {
		all = append(all, r.ran(id)...)
	}
	return all
}

// keepSending opens a channel and sends a request, and goes on sending on that channel between again and end, unless the
// machine closes it or asks for that: the platform would then choose another machine for the next one.
func (s *stage) keepSending(v *vm, requester int, again, end chan struct{}, sent chan sentCall) {
	c, err := open(v.frontend)
	if err != nil {
		s.record.add("requester %d: no channel to %s: %v", requester, v.name, err)
		return
	}
	defer c.close()
	last := ""
	for n := 0; ; n++ {
		if n == 1 {
			<-again
		}
		select {
		case <-end:
			return
		case <-time.After(sendEvery):
		}
		id := fmt.Sprintf("r%d-%d", requester, n)
		a := c.send(call{id: id, method: "GET", path: fmt.Sprintf("/status/%d", n), key: "k-one", limit: 1500 * time.Millisecond})
		if outcome := fmt.Sprint(a.status); outcome != last {
			s.record.add("requester %d: %s is answered otherwise than those before: %v", requester, id, a)
			last = outcome
		}
		sent <- sentCall{id, a}
		if a.err != nil || a.last {
			return
		}
	}
}

// startBehindLinks starts the machines, each with a link in front of its address for the others. The last one has a link
// to the store, too.
func (s *stage) startBehindLinks() error {
	var seeds, more []string
	for _, v := range s.vms {
		l, err := s.newLink(v.control, s.opener)
		if err != nil {
			return err
		}
		seeds = append(seeds, l.address())
		more = append(more, fmt.Sprintf("\t\"advertise\": %q,", l.address()))
	}
	toStore, err := s.newLink(s.store.address(), nil)
	if err != nil {
		return err
	}
	for i, v := range s.vms {
		at := s.store.address()
		if i == len(s.vms)-1 {
			at = toStore.address()
		}
		if err := s.writeSettings(v, "tvm-hall", seeds, at, more[i]); err != nil {
			return err
		}
		if err := s.start(v); err != nil {
			return err
		}
	}
	for _, v := range s.vms {
		if err := v.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// eachLink calls f for all links that carry data of the last machine, with the sources that are to be cut there.
func (s *stage) eachLink(f func(l *link, source string)) {
	last := len(s.vms) - 1
	for i, l := range s.links {
		switch {
		case i < last: // in front of another machine
			f(l, s.vms[last].name)
		case i == last: // in front of the machine itself
			for _, v := range s.vms[:last] {
				f(l, v.name)
			}
		default: // in front of the store
			f(l, "")
		}
	}
}
