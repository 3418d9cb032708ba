package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["resume-leaving"] = resumeBesideRunningServer }

// longRun are the events of a stream of 12 s.
const longRun = 120

// runLog records when each server began a request.
type runLog struct {
	rec *record

	mu     sync.Mutex
	begins []runBegin
}

type runBegin struct {
	server, id string
	at         time.Time
	resumed    bool
}

// of returns a log function for one server, which adds the begins of runs.
func (l *runLog) of(server string) func(string, ...any) {
	return func(format string, args ...any) {
		line := fmt.Sprintf(format, args...)
		l.rec.printf("%s", line)
		if _, rest, ok := strings.Cut(line, ": runs "); ok {
			l.mu.Lock()
			defer l.mu.Unlock()
			id, _, _ := strings.Cut(rest, " ")
			l.begins = append(l.begins, runBegin{server: server, id: id, at: time.Now(), resumed: strings.Contains(line, `Kv-From "1`)})
		}
	}
}

// resumed returns the runs of a request that went on at another server.
func (l *runLog) resumed(id string) []runBegin {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []runBegin
	for _, b := range l.begins {
		if b.id == id && b.resumed {
			out = append(out, b)
		}
	}
	return out
}

// startStreams starts two engines and streams through the gateway, of which each engine keeps a backup of the other's runs.
func (s *system) startStreams(ctx context.Context, log *runLog, streams int) (servers []*server, answers []answer, wg *sync.WaitGroup, err error) {
	members, front, err := s.startSmall(ctx)
	if err != nil {
		return nil, nil, nil, err
	}
	for i := range 2 {
		id := fmt.Sprintf("i-%d", i+1)
		b, err := startServer(serverConfig{
			ID: id, Service: modelName, Address: fmt.Sprintf("%s:8080", s.newIP()), Zone: "zone-a", Slots: 48,
			Control: s.operatorAddresses(members), Events: longRun, Pause: 100 * time.Millisecond,
		}, log.of(id))
		if err != nil {
			return nil, nil, nil, err
		}
		servers = append(servers, b)
	}
	if err := s.awaitRoute(ctx, front, streamPath); err != nil {
		return servers, nil, nil, err
	}
	if err := sleep(ctx, 2*time.Second); err != nil { // both servers are known
		return servers, nil, nil, err
	}
	answers = make([]answer, streams)
	wg = &sync.WaitGroup{}
	for i := range answers {
		wg.Go(func() {
			answers[i] = requestTo(s.frontAddress(front), streamPath, fmt.Sprintf("s-%d", i), streamLimit, map[string]string{
				"Guavastack-Model": "m", "Guavastack-Token-Count": "715,360", "Guavastack-Prompt-Prefix": fmt.Sprintf("5c1e07a2:172,%08x:543", 0xe4402b7d+i),
			})
			s.rec.printf("client: %v", answers[i])
		})
	}
	return servers, answers, wg, sleep(ctx, time.Second)
}

// runningAt returns the streams that run at a server.
func runningAt(b *server, streams int) []string {
	var out []string
	for i := range streams {
		if id := fmt.Sprintf("s-%d", i); b.isRunning(id) {
			out = append(out, id)
		}
	}
	return out
}

// resumeBesideRunningServer: a server leaves as planned. After its deregistration it accepts no connections any more and ends its
// requests at work. Meanwhile the answer of one of them is lost, while the run goes on.
func resumeBesideRunningServer(ctx context.Context, s *system, trouble bool) (string, error) {
	const streams = 6
	log := &runLog{rec: s.rec}
	servers, _, wg, err := s.startStreams(ctx, log, streams)
	defer closeServers(servers)
	if err != nil {
		return "", err
	}
	leaving := servers[0]
	if len(runningAt(servers[0], streams)) == 0 {
		leaving = servers[1]
	}
	if _, err := leaving.drain(); err != nil {
		return "", err
	}
	if err := sleep(ctx, drainBound+500*time.Millisecond); err != nil {
		return "", err
	}
	leaving.deregister()
	leaving.closeListener()
	s.rec.printf("server %s accepts no further connections and ends its requests at work", leaving.cfg.ID)
	ids := runningAt(leaving, streams)
	if len(ids) == 0 {
		return "", fmt.Errorf("no request at work at %s", leaving.cfg.ID)
	}
	var broken []string
	if trouble {
		for _, id := range ids[:1] {
			leaving.loseAnswer(id)
		}
	}
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); {
		if err := sleep(ctx, 20*time.Millisecond); err != nil {
			return "", err
		}
		for _, id := range ids {
			for _, b := range log.resumed(id) {
				if beside := time.Since(b.at); beside >= 400*time.Millisecond && leaving.isRunning(id) {
					text := fmt.Sprintf("%s goes on at %s since %v, and %s still works on it", id, b.server, beside.Round(10*time.Millisecond), leaving.cfg.ID)
					s.rec.printf("%s", text)
					broken = append(broken, text)
				}
			}
		}
		if broken != nil {
			break
		}
	}
	wg.Wait()
	return strings.Join(broken, "; "), nil
}

func closeServers(servers []*server) {
	for _, b := range servers {
		b.close()
	}
}
