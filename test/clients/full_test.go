package clients_test

import (
	"bytes"
	"flag"
	"io"
	"net"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

var (
	fullClients = flag.Int("clients", 0, "number of clients of TestFullSize; 0: the test is skipped")
	fullStay    = flag.Duration("stay", time.Minute, "how long the clients of TestFullSize stay")
	fullKinds   = flag.String("kinds", "", "kinds of clients of TestFullSize, separated by commas; empty: all")
	fullBinary  = flag.String("binaries", "", "programs that TestFullSize runs side by side, separated by commas; empty: the one of the working directory")
)

// Limits of TestFullSize, as in a small deployment.
const (
	fullMemoryMB  = 134
	fullBodyBytes = 4 << 20
	fullMissing   = 64 << 10
)

// fullSend are the kinds of clients of TestFullSize.
var fullSend = []struct {
	name string
	send func(io.Writer) error
}{
	{"length", sendAll(lengthHead(gatewayPath, fullBodyBytes), make([]byte, fullBodyBytes-fullMissing))},
	{"chunks", sendAll(chunkedHead(gatewayPath), chunks(fullBodyBytes-fullMissing, 64<<10))},
	{"bytes", sendAll(chunkedHead(gatewayPath), chunks(fullBodyBytes-fullMissing, 1))},
	{"whole", sendAll(lengthHead(gatewayPath, fullBodyBytes), make([]byte, fullBodyBytes))},
	{"pieces", sendPieces(lengthHead(gatewayPath, fullBodyBytes), fullBodyBytes-fullMissing)},
	{"heads", sendEndless(requestHead("POST", gatewayPath), []byte("X-Fill: "+strings.Repeat("x", 1000)+"\r\n"))},
	{"lines", sendEndless(nil, bytes.Repeat([]byte("\r\n"), 512))},
	{"silent", sendAll()},
}

// TestFullSize connects clients of each kind for a minute to a gateway with the limits of a small deployment, and logs its memory, its
// descriptors and the answers to one ordinary request per second. It is a measurement, and runs only if -clients is set. Clients whose
// connection ends connect again.
func TestFullSize(t *testing.T) {
	if *fullClients == 0 {
		t.Skip("no -clients")
	}
	binaries := strings.Split(*fullBinary, ",")
	for _, kind := range append([]string{"mixed"}, names()...) {
		if *fullKinds != "" && !strings.Contains(","+*fullKinds+",", ","+kind+",") {
			continue
		}
		t.Run(kind, func(t *testing.T) {
			for _, b := range binaries {
				t.Run(filepath.Base(b), func(t *testing.T) {
					if len(binaries) > 1 {
						t.Parallel()
					}
					measure(t, b, kind)
				})
			}
		})
	}
}

func names() (out []string) {
	for _, k := range fullSend {
		out = append(out, k.name)
	}
	return out
}

// measure runs the clients of one kind, or of all kinds in turn.
func measure(t *testing.T, program, kind string) {
	s := newSystemOf(t, program, fullBodyBytes, fullMemoryMB, descriptors{limit: 4096})
	before := s.gateway.peakMemory(t)
	until := time.Now().Add(*fullStay)
	var connections atomic.Int64
	var clients sync.WaitGroup
	for i := range *fullClients {
		send := fullSend[i%len(fullSend)].send
		for _, k := range fullSend {
			if k.name == kind {
				send = k.send
			}
		}
		clients.Go(func() {
			for time.Now().Before(until) {
				connections.Add(1)
				connectOnce(s.gatewayAddress, send, until)
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	answers := make(map[int]int)
	most := 0
	for time.Now().Before(until) && !s.gateway.ended.Load() {
		status, _ := s.request(lengthHead(gatewayPath, 5), []byte("order"))
		answers[status]++
		most = max(most, s.gateway.openDescriptors(t))
		time.Sleep(time.Second)
	}
	peak := s.gateway.peakMemory(t)
	clients.Wait()
	t.Logf("RESULT %s %s, %d clients, %d connections: peak %d MiB, %d before; %d descriptors; statuses of ordinary requests %v",
		filepath.Base(program), kind, *fullClients, connections.Load(), peak>>20, before>>20, most, answers)
	s.expectAnswer(lengthHead(gatewayPath, 5), []byte("order"))
}

// connectOnce sends on one connection and stays until the gateway closes it or the time is over.
func connectOnce(address string, send func(io.Writer) error, until time.Time) {
	conn, err := net.DialTimeout("tcp", address, sendTimeout)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(until)
	if send(conn) == nil {
		_, _ = io.Copy(io.Discard, conn)
	}
}
