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

// holderMetric matches the metrics of a VM that is the holder of a service.
var holderMetric = regexp.MustCompile(`snipeshift_service_held\{[^}]*\} 1\n`)

const (
	profileClients = 48
	// profileTime is the duration of a profile, keptProfileTime that of a profile written to the folder PROFILE.
	profileTime     = time.Second
	keptProfileTime = 10 * time.Second
)

// If the processors of VMs are saturated and clients are served late, metrics show the delay but not its cause. So each VM
// must serve a CPU profile while under load.
// PROFILE=dir writes the profiles of all VMs to a folder, each file named by role: holder of a service, or gate.
func TestPlatformProfileOfAVMUnderLoad(t *testing.T) {
	dir, duration := os.Getenv("PROFILE"), profileTime
	if dir != "" {
		duration = keptProfileTime
	}
	f := newFleet(t, 3)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range profileClients {
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
			metrics := getPage(t, v, "/metrics", time.Second)
			role := "gate"
			if holderMetric.MatchString(metrics) {
				role = "holder"
			}
			profile := getPage(t, v, fmt.Sprintf("/debug/pprof/profile?seconds=%d", duration/time.Second), duration+5*time.Second)
			if dir != "" {
				if err := os.WriteFile(filepath.Join(dir, role+"-"+v.Name+".pprof"), []byte(profile), 0o600); err != nil {
					t.Error(err)
				}
			}
			if len(profile) == 0 {
				t.Errorf("%s served an empty profile", v.Name)
			}
		})
	}
	profiles.Wait()
	close(stop)
	wg.Wait()
}

// getPage reads a page from a VM's metrics address.
func getPage(t *testing.T, v *fleet.VM, path string, timeout time.Duration) string {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
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
