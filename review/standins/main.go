// Command standins plays the cases of the review that can't be put as a day of the users'
// bench. It starts the project's own processes on loopback addresses, with stand-ins for the
// platform's store, the runners and the clients.
//
//	standins CASE ROOT DIR
//
// It writes DIR/record.txt, and exits with 1 if the rule was broken, 0 if it held and 2 if the
// case could not run. With TROUBLE=0 in the environment the case is played without its
// disruption.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	held     = 0
	broken   = 1
	couldNot = 2

	longestRun = 118 * time.Second
)

// scenario plays a case. It returns whether the rule held, or an error if the case could not run.
type scenario func(d *deployment, r *record, trouble bool) (holds bool, err error)

var scenarios = map[string]scenario{
	"grants-forgotten":  grantsForgotten,
	"account-forgotten": accountForgotten,
	"turn-cut":          turnCut,
	"never-recovers":    neverRecovers,
	"versions-joined":   versionsJoined,
}

func main() {
	if len(os.Args) != 4 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE ROOT DIR")
		os.Exit(couldNot)
	}
	os.Exit(play(scenarios[os.Args[1]], os.Args[2], os.Args[3]))
}

func play(s scenario, root, dir string) int {
	r, err := newRecord(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.sayf("trouble: %v", trouble)
	d, err := startDeployment(root, r)
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		r.sayf("the case could not run: %v", err)
		return couldNot
	}
	type result struct {
		holds bool
		err   error
	}
	results := make(chan result, 1)
	go func() {
		holds, err := s(d, r, trouble)
		results <- result{holds, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	var out result
	select {
	case out = <-results:
	case <-time.After(longestRun - time.Since(r.started)):
		out.err = errors.New("time is up")
	case <-signals:
		out.err = errors.New("interrupted")
	}
	switch {
	case out.err != nil:
		r.sayf("the case could not run: %v", out.err)
		return couldNot
	case !out.holds:
		r.sayf("the rule is broken")
		return broken
	}
	r.sayf("the rule held")
	return held
}

// budgetHolds checks the rule BUDGET: the tokens handed to clients in all turns of a program
// are at most its Token-Budget and the most of one turn.
func budgetHolds(p *program, r *record) bool {
	r.sayf("program %s was handed %d tokens; budget %d and the most of one turn %d: at most %d", p.id, p.tokens, tokenBudget, turnTokens, tokenBudget+turnTokens)
	return p.tokens <= tokenBudget+turnTokens
}
