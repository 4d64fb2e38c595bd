package main

import (
	"io"
	"net/http"
	"strconv"
	"syscall"
	"time"
)

func init() { cases["slow"] = slowCase }

const (
	// answerBytes is the size of an answer, firstPart what its client reads before it pauses for readPause.
	answerBytes = 1 << 20
	firstPart   = 64 << 10
	readPause   = 1500 * time.Millisecond
)

// whole answers with a long body at once.
func whole(x *runner, w http.ResponseWriter, q *http.Request, _ []byte) {
	id := q.Header.Get("X-Attempt-Id")
	w.Header().Set("Content-Length", strconv.Itoa(answerBytes))
	n := 0
	for b := make([]byte, 4<<10); n < answerBytes; {
		k, err := w.Write(b)
		if n += k; err != nil {
			x.run.note("%s: the channel of %s is closed after %d of %d bytes", x.id, id, n, answerBytes)
			return
		}
	}
	x.run.note("%s: %s is answered whole", x.id, id)
}

// slowCase stops a VM as planned while a client reads a long answer slowly.
func slowCase(r *run) int {
	r.coulee = true
	r.store = startStore()
	for i := range 3 {
		r.startRunner([]string{"i-desk-1", "i-desk-2", "i-desk-3"}[i], "alert-desk", zones[i], 6, whole)
	}
	r.configure(3, "notice-llm")
	r.startVMs(3)
	a := r.send(r.vms[0], "5b7e21f09ac4d683", record, "")
	defer a.conn.Close()
	_ = a.conn.SetReadDeadline(time.Now().Add(12 * time.Second))
	resp, err := a.head()
	if err != nil {
		cannotRun("no answer: %v", err)
	}
	r.note("client: %s is answered %d, %d bytes to come", a.id, resp.StatusCode, resp.ContentLength)
	if resp.StatusCode != 200 {
		cannotRun("no success")
	}
	r.vms[0].signal(syscall.SIGTERM)
	r.note("SIGTERM to %s", r.vms[0].name)
	n, err := io.CopyN(io.Discard, resp.Body, firstPart)
	if err != nil {
		cannotRun("%v", err)
	}
	if r.trouble {
		r.note("client: reads nothing for %v", readPause)
		time.Sleep(readPause)
	}
	m, err := io.Copy(io.Discard, resp.Body)
	r.note("client: the channel or the answer ends after %d of %d bytes, error: %v", n+m, answerBytes, err)
	return r.verdict(n+m < answerBytes)
}
