package demo

import (
	"bufio"
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var crowds = flag.Bool("crowds", false, "run the tests with crowds of clients that break the limits, which measure memory and must run alone")

const (
	// memoryBoundMB is twice the default memory limit of an entry: "spindle dev" runs two.
	memoryBoundMB = 1024
	crowdSize     = 400
	maxBody       = 4 << 20
	crowdTime     = 20 * time.Second
)

// Guards against bodies at the product's own interface that are held without a bound, whether or
// not they come with a key.
func TestCrowdOfBodiesAtTheOwnInterface(t *testing.T) {
	if !*crowds {
		t.Skip("measures the memory of a process, run with -crowds")
	}
	file := filepath.Join(t.TempDir(), "spindle")
	build := exec.Command("go", "build", "-o", file, "..")
	output, err := build.CombinedOutput()
	require.NoError(t, err, string(output))
	ctx, cancel := context.WithCancel(t.Context())
	dev := exec.CommandContext(ctx, file, "dev")
	dev.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	text, err := dev.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, dev.Start())
	t.Cleanup(func() {
		cancel()
		_ = dev.Wait()
	})
	line, err := bufio.NewReader(text).ReadString('\n')
	require.NoError(t, err)
	entry := regexp.MustCompile(`127\.0\.0\.1:\d+`).FindString(line)
	require.NotEmpty(t, entry, line)

	body := bytes.Repeat([]byte("b"), maxBody-1)
	for _, key := range []string{"", "Authorization: Bearer demo-surat-desk\r\n"} {
		var group sync.WaitGroup
		for range crowdSize {
			conn, err := net.Dial("tcp", entry)
			require.NoError(t, err)
			t.Cleanup(func() { _ = conn.Close() })
			_ = conn.SetDeadline(time.Now().Add(crowdTime))
			group.Go(func() {
				_, _ = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: e\r\n%sContent-Length: %d\r\n\r\n", key, maxBody)
				_, _ = conn.Write(body)
			})
		}
		group.Wait()
		require.Eventually(t, func() bool { return lookUp(entry) == http.StatusOK }, crowdTime, 100*time.Millisecond, "beside the crowd")
		require.Less(t, peakMemoryMB(t, dev.Process.Pid), memoryBoundMB)
	}
}

// lookUp sends an ordinary request and returns its status, 0 without an answer.
func lookUp(entry string) int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+"/register/17", nil)
	if err != nil {
		return 0
	}
	request.Header.Set("Authorization", "Bearer demo-surat-desk")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}

// peakMemoryMB returns the peak of a process's resident memory.
func peakMemoryMB(t *testing.T, pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	require.NoError(t, err)
	_, peak, ok := strings.Cut(string(status), "VmHWM:")
	require.True(t, ok)
	kilobytes, err := strconv.Atoi(strings.Fields(peak)[0])
	require.NoError(t, err)
	t.Logf("peak memory %d MB of %d", kilobytes>>10, memoryBoundMB)
	return kilobytes >> 10
}
