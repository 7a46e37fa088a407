// Command capacity measures the figures from which docs/CAPACITY.md calculates. With
// -check it compares the counts and sizes with that page, and exits with status 1 when
// one is outside the tolerance.
package main

import (
	"flag"
	"fmt"
	"os"
	"regexp"
	"strconv"
)

// tolerance is the relative deviation allowed between a measured figure and the page.
const tolerance = 0.25

// figure is one row of the printed table.
type figure struct {
	name        string
	value       float64
	unit        string
	isUnchecked bool // printed but not compared: times, rates, processor use, resident memory
}

func main() {
	page := flag.String("check", "", "page whose figures are compared")
	isTarget := flag.Bool("target", false, "only measure one entry in fleets up to the target size")
	flag.Parse()
	run := measure
	if *isTarget {
		run = measureTarget
	}
	figures, err := run()
	if err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
	fmt.Println("| figure | measured | unit |")
	fmt.Println("|---|---|---|")
	for _, fig := range figures {
		fmt.Printf("| %s | %.4g | %s |\n", fig.name, fig.value, fig.unit)
	}
	if *page == "" {
		return
	}
	if !check(*page, figures) {
		os.Exit(1)
	}
}

func measure() ([]figure, error) {
	figures, err := measureRecords()
	if err != nil {
		return nil, err
	}
	state, err := measureState()
	if err != nil {
		return nil, err
	}
	figures = append(figures, state...)
	traffic, err := measureTraffic()
	if err != nil {
		return nil, err
	}
	figures = append(figures, traffic...)
	target, err := measureTarget()
	return append(figures, target...), err
}

// check compares the figures with the page's table rows of the same names. It prints
// the deviations to standard error and reports whether there are none.
func check(path string, figures []figure) bool {
	text, err := os.ReadFile(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		return false
	}
	isMatching := true
	for _, fig := range figures {
		line := regexp.MustCompile(`(?m)^\| ` + regexp.QuoteMeta(fig.name) + ` \| ([0-9.e+]+) \|`)
		found := line.FindSubmatch(text)
		if found == nil {
			fmt.Fprintf(os.Stderr, "capacity: the page has no row named %q\n", fig.name)
			isMatching = false
			continue
		}
		want, err := strconv.ParseFloat(string(found[1]), 64)
		isOutside := err != nil || fig.value > want*(1+tolerance) || fig.value < want*(1-tolerance)
		if isOutside && !fig.isUnchecked {
			fmt.Fprintf(os.Stderr, "capacity: measured %s as %.4g, the page says %s\n", fig.name, fig.value, found[1])
			isMatching = false
		}
	}
	return isMatching
}
