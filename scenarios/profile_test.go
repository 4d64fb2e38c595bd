package scenarios

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipeshift.example/platform/standin"
	"snipeshift.example/scenarios/fleet"
)

// holds matches the metrics of a VM that holds a service.
var holds = regexp.MustCompile(`snipeshift_service_held\{[^}]*\} 1\n`)

const (
	profileCallers = 48
	// profileTime is that of a profile unless PROFILE asks for one to keep.
	profileTime = time.Second
	keptTime    = 10 * time.Second
)

// The processors of VMs are used up and callers are late. Metrics tell that, and a profile by what. PROFILE=dir keeps the
// profiles of the VM that holds the engines and of another one, both under load, in a folder.
func TestPlatformProfileOfAVMUnderLoad(t *testing.T) {
	dir, took := os.Getenv("PROFILE"), profileTime
	if dir != "" {
		took = keptTime
	}
	f := newFleet(t, 3)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range profileCallers {
		c := standin.NewClient("ward")
		wg.Go(func() {
			for n := i; ; n++ {
				select {
				case <-stop:
					return
				default:
					c.Call(f.VMs[n%len(f.VMs)].Caller, []string{"draft", "lookup"}[n%2])
				}
			}
		})
	}
	time.Sleep(time.Second)
	var profiles sync.WaitGroup
	for _, v := range f.VMs {
		profiles.Go(func() {
			held := get(t, v, "/metrics", time.Second)
			role := "gate"
			if holds.MatchString(held) {
				role = "holder"
			}
			profile := get(t, v, fmt.Sprintf("/debug/pprof/profile?seconds=%d", took/time.Second), took+5*time.Second)
			if dir != "" {
				if err := os.WriteFile(filepath.Join(dir, role+"-"+v.Name+".pprof"), []byte(profile), 0o600); err != nil {
					t.Error(err)
				}
			}
			if len(profile) == 0 {
				t.Errorf("%s gave no profile", v.Name)
			}
		})
	}
	profiles.Wait()
	close(stop)
	wg.Wait()
}

// get reads a page of a VM's metrics address.
func get(t *testing.T, v *fleet.VM, path string, within time.Duration) string {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.Metrics+path, http.NoBody)
	require.NoError(t, err)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Error(err)
		return ""
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("%s%s: %d %v", v.Name, path, resp.StatusCode, err)
	}
	return string(b)
}
