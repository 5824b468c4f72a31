package main

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sapphiretack/sapphiretack/exchange"
	"github.com/sapphiretack/sapphiretack/settings"
)

// The metrics of a node that the command counters adds up.
const (
	attemptsMetric = "sapphiretack_attempts_total"
	retriesMetric  = "sapphiretack_retries_total"
)

const metricsTimeout = 5 * time.Second

// printCounters prints the number of attempts that the nodes made for calls of callers, and how many of these were retries.
func printCounters(file string) error {
	deployment, err := settings.ReadDeploymentFile(file)
	if err != nil {
		return err
	}
	client := &http.Client{Timeout: metricsTimeout, Transport: exchange.New(&http.Transport{Proxy: http.ProxyFromEnvironment})}
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

// addCounters reads the metrics at a URL in the Prometheus text format and adds the values of the counters to sums.
func addCounters(client *http.Client, url string, sums map[string]int64) error {
	response, err := client.Get(url)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		name, value, found := strings.Cut(scanner.Text(), " ")
		if !found || (name != attemptsMetric && name != retriesMetric) {
			continue
		}
		n, err := strconv.ParseInt(value, 10, 64)
		if err != nil {
			return fmt.Errorf("%s: metric %s has the value %q, which is not an integer; check that the node and this program have the same version", url, name, value)
		}
		sums[name] += n
	}
	return scanner.Err()
}
