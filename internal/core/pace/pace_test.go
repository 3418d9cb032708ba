package pace

import (
	"testing"
	"time"
)

// TestLongestFollowsTheSlowestAnswers covers streams whose length follows from their number of tokens, and plain answers.
func TestLongestFollowsTheSlowestAnswers(t *testing.T) {
	now := time.Unix(1000, 0)
	stream := func(first, total time.Duration, tokens int) Answer {
		return Answer{First: first, Total: total, OutputTokens: tokens}
	}
	cases := []struct {
		name    string
		answers []Answer
		tokens  int
		after   time.Duration
		want    time.Duration
		known   bool
	}{
		{"nothing observed", nil, 100, 0, 0, false},
		{"plain answer", []Answer{{First: 20 * time.Millisecond, Total: 30 * time.Millisecond}}, 0, 0, 30 * time.Millisecond, true},
		{"stream of the same length", []Answer{stream(time.Second, 3*time.Second, 100)}, 100, 0, 3 * time.Second, true},
		{"longer stream", []Answer{stream(time.Second, 3*time.Second, 100)}, 300, 0, 7 * time.Second, true},
		{
			"slow start of one answer and slow tokens of another",
			[]Answer{stream(2*time.Second, 3*time.Second, 100), stream(time.Second, 5*time.Second, 100), stream(time.Second, 2*time.Second, 100)},
			100, 0, 6 * time.Second, true,
		},
		{"an old slow answer counts less", []Answer{stream(time.Second, 3*time.Second, 100)}, 100, halfLife, 1500 * time.Millisecond, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := NewEstimator()
			for _, a := range c.answers {
				e.Record(now, "draft", a)
			}
			got, known := e.Longest(now.Add(c.after), "draft", c.tokens)
			if known != c.known || (got-c.want).Abs() > time.Millisecond {
				t.Errorf("longest %v (known %v), want %v (%v)", got, known, c.want, c.known)
			}
		})
	}
}
