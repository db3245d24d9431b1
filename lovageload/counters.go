package lovageload

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// ParseCounters reads metrics in the Prometheus text format. It returns the values by name and labels as written.
func ParseCounters(r io.Reader) (map[string]float64, error) {
	out := make(map[string]float64)
	scanner := bufio.NewScanner(r)
	for line := 1; scanner.Scan(); line++ {
		text := strings.TrimSpace(scanner.Text())
		if text == "" || text[0] == '#' {
			continue
		}
		// Label values may contain spaces, so the value is what follows the labels.
		labelsEnd := max(strings.LastIndexByte(text, '}')+1, 0)
		space := strings.IndexByte(text[labelsEnd:], ' ')
		if space < 0 {
			return nil, errors.Newf("metrics, line %d: %q has no value", line, text)
		}
		fields := strings.Fields(text[labelsEnd+space:]) // value and optional timestamp
		if len(fields) == 0 {
			return nil, errors.Newf("metrics, line %d: %q has no value", line, text)
		}
		value, err := strconv.ParseFloat(fields[0], 64)
		if err != nil {
			return nil, errors.Wrapf(err, "metrics, line %d", line)
		}
		out[text[:labelsEnd+space]] = value
	}
	return out, errors.Wrap(scanner.Err(), "read metrics")
}

// SumByName returns the sum over all label values for each metric name.
func SumByName(counters map[string]float64) map[string]float64 {
	out := make(map[string]float64)
	for key, value := range counters {
		name, _, _ := strings.Cut(key, "{")
		out[name] += value
	}
	return out
}

// messagesCounter is read by MessagesFromCounters. The values of its label kind are the JSON names of Messages' fields.
const messagesCounter = "lovage_messages_total"

// MessagesFromCounters returns the values of lovage_messages_total with the label kind set to useful, refused, probed,
// forwarded, polled or duplicate. If all these series are missing, it returns an error, because a table would otherwise
// report zero messages.
func MessagesFromCounters(counters map[string]float64) (Messages, error) {
	found := false
	count := func(kind string) int64 {
		value, ok := counters[messagesCounter+`{kind="`+kind+`"}`]
		found = found || ok
		return int64(value)
	}
	me := Messages{
		Useful: count("useful"), Refused: count("refused"), Probed: count("probed"),
		Forwarded: count("forwarded"), Polled: count("polled"), Duplicate: count("duplicate"),
	}
	if !found {
		return me, errors.Newf("the metrics have no counter %s", messagesCounter)
	}
	return me, nil
}

// ScrapeCounters reads the metrics from all URLs and sums each series over the URLs.
func ScrapeCounters(ctx context.Context, client *http.Client, urls []string) (map[string]float64, error) {
	out := make(map[string]float64)
	for _, url := range urls {
		counters, err := scrape(ctx, client, url)
		if err != nil {
			return nil, errors.Wrapf(err, "scrape %s", url)
		}
		for key, value := range counters {
			out[key] += value
		}
	}
	return out, nil
}

func scrape(ctx context.Context, client *http.Client, url string) (map[string]float64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("status %d", resp.StatusCode)
	}
	return ParseCounters(resp.Body)
}
