package main

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sapphiretack/sapphiretack/settings"
)

// The counters of a node that the command counters adds up.
const (
	attemptsMetric = "sapphiretack_attempts_total"
	retriesMetric  = "sapphiretack_retries_total"
)

const metricsTimeout = 5 * time.Second

// printCounters prints how many attempts the nodes made for the calls of callers, and how many of them were retries.
func printCounters(file string) error {
	deployment, err := settings.ReadDeploymentFile(file)
	if err != nil {
		return err
	}
	client := &http.Client{Timeout: metricsTimeout}
	sums := map[string]int64{}
	for _, m := range deployment.Instances {
		s, err := deployment.Settings(m.Name)
		if err != nil {
			return err
		}
		if err := addCounters(client, "http://"+s.Listeners.Operator.String()+"/metrics", sums); err != nil {
			return err
		}
	}
	attempts, retries := sums[attemptsMetric], sums[retriesMetric]
	ratio := 0.0
	if first := attempts - retries; first > 0 {
		ratio = float64(attempts) / float64(first)
	}
	fmt.Printf("attempts by the first nodes: %d, %d of them retries; %.3f attempts per call that was sent\n", attempts, retries, ratio)
	return nil
}

// addCounters adds the counters in a response of Prometheus text to the sums.
func addCounters(client *http.Client, url string, sums map[string]int64) error {
	response, err := client.Get(url)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		name, value, found := strings.Cut(lines.Text(), " ")
		if !found || (name != attemptsMetric && name != retriesMetric) {
			continue
		}
		n, err := strconv.ParseInt(value, 10, 64)
		if err != nil {
			return fmt.Errorf("%s: %s has the value %q; compare the versions of the programs", url, name, value)
		}
		sums[name] += n
	}
	return lines.Err()
}
