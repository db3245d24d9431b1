package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"lovagestack/lovagefake"
	"lovagestack/lovagejob"
	"lovagestack/lovageplatform"
)

// serviceList is a flag value: run times by service, given as a comma-separated list of "name=median" or
// "name=median:sigma".
type serviceList map[string]lovagefake.RunTimeDistribution

// UnmarshalText parses the list.
func (li *serviceList) UnmarshalText(text []byte) error {
	*li = serviceList{}
	for part := range strings.SplitSeq(string(text), ",") {
		name, runTime, ok := strings.Cut(part, "=")
		if !ok || !lovagejob.ValidName(name) {
			return errors.Newf("service %q is not of the form name=median:sigma", part)
		}
		median, sigma, ok := strings.Cut(runTime, ":")
		var rd lovagefake.RunTimeDistribution
		if err := rd.Median.Set(median); err != nil {
			return errors.Wrapf(err, "service %q: median", part)
		}
		if ok {
			var err error
			if rd.Sigma, err = strconv.ParseFloat(sigma, 64); err != nil {
				return errors.Wrapf(err, "service %q: sigma", part)
			}
			if rd.Sigma == 0 {
				rd.Sigma = -1 // no spread; 0 would select the default
			}
		}
		(*li)[name] = rd
	}
	return nil
}

// workerFlags are the flags shared by the worker and workers commands.
type workerFlags struct {
	Slots       int         `arg:"--slots" default:"8" help:"tasks that run at the same time"`
	Connections int         `arg:"--connections" default:"64" help:"open connections"`
	Control     string      `arg:"--control" help:"address of the control endpoint; none if empty"`
	Platform    string      `arg:"--platform" help:"address of the stand-in platform to register with"`
	Services    serviceList `arg:"--services" help:"run times, as name=median:sigma,... (default 150ms:0.6 for each)"`
	Seed        uint64      `arg:"--seed" default:"1" help:"seed of the run times"`
	NoStarts    bool        `arg:"--no-starts" help:"do not record which tasks were started"`
}

type workerCommand struct {
	Listen     string  `arg:"--listen" default:"127.0.0.1:9100"`
	ID         string  `arg:"--id,required"`
	DataCentre string  `arg:"--data-centre,required"`
	Speed      float64 `arg:"--speed" default:"1.0" help:"run times are divided by it"`
	workerFlags
}

type workersCommand struct {
	Count       int    `arg:"--count" default:"48"`
	Listen      string `arg:"--listen" default:"127.0.0.1:9100" help:"address of the first worker; the others follow"`
	DataCentres string `arg:"--data-centres" default:"kandla" help:"separated by commas, taken in turn"`
	Speeds      string `arg:"--speeds" default:"1" help:"separated by commas, taken in turn within a data centre"`
	workerFlags
}

func (co *workerCommand) run(ctx context.Context) error {
	wo, err := co.startWorker(co.ID, co.DataCentre, co.Listen, co.Speed)
	if err != nil {
		return err
	}
	defer wo.Close()
	return co.serveWorkers(ctx, []*lovagefake.Worker{wo})
}

func (co *workersCommand) run(ctx context.Context) error {
	host, portText, err := net.SplitHostPort(co.Listen)
	if err != nil {
		return errors.Wrap(err, "--listen")
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return errors.Wrap(err, "--listen")
	}
	var speeds []float64
	for text := range strings.SplitSeq(co.Speeds, ",") {
		speed, err := strconv.ParseFloat(text, 64)
		if err != nil || speed <= 0 {
			return errors.Newf("--speeds: %q is not a positive number", text)
		}
		speeds = append(speeds, speed)
	}
	dataCentres := strings.Split(co.DataCentres, ",")
	var workers []*lovagefake.Worker
	for i := range co.Count {
		addr := net.JoinHostPort(host, "0")
		if port != 0 {
			addr = net.JoinHostPort(host, strconv.Itoa(port+i))
		}
		dc, number := dataCentres[i%len(dataCentres)], i/len(dataCentres)
		wo, err := co.startWorker(fmt.Sprintf("%s-w%d", dc, number), dc, addr, speeds[number%len(speeds)])
		if err != nil {
			return err
		}
		defer wo.Close()
		workers = append(workers, wo)
	}
	return co.serveWorkers(ctx, workers)
}

func (fl *workerFlags) startWorker(id, dc, addr string, speed float64) (*lovagefake.Worker, error) {
	if !lovagejob.ValidName(id) || !lovagejob.ValidName(dc) {
		return nil, errors.Newf("worker %q in data centre %q: not a valid name", id, dc)
	}
	wo := lovagefake.NewWorker(lovagefake.WorkerSettings{
		ID: id, DataCentre: dc, Slots: fl.Slots, Connections: fl.Connections, Speed: speed,
		Services: fl.Services, Seed: fl.Seed, NoStarts: fl.NoStarts,
	})
	boundAddress, err := wo.Listen(addr)
	if err != nil {
		return nil, err
	}
	fmt.Println("listening", id, boundAddress)
	return wo, nil
}

// serveWorkers serves the control endpoint, registers the workers and waits until ctx is done.
func (fl *workerFlags) serveWorkers(ctx context.Context, workers []*lovagefake.Worker) error {
	if fl.Control != "" {
		sv, err := startServer("control", fl.Control, lovagefake.WorkerControlHandler(workers...))
		if err != nil {
			return err
		}
		defer func() { _ = sv.Close() }()
	}
	if fl.Platform != "" {
		for _, wo := range workers {
			if err := registerWorker(ctx, fl.Platform, wo.Instance()); err != nil {
				return err
			}
		}
	}
	fmt.Println("ready")
	<-ctx.Done()
	return nil
}

// registerWorker adds the worker to the platform's instance list. It retries for up to 10 s, because the platform may still be
// starting.
func registerWorker(ctx context.Context, platform string, in lovageplatform.Instance) error {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	body, err := json.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "encode instance")
	}
	for {
		err := putJSON(ctx, "http://"+platform+"/control/instances/"+url.PathEscape(in.ID), body)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(err, "register %s", in.ID)
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func putJSON(ctx context.Context, address string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, address, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	reply, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("status %d: %s", resp.StatusCode, reply)
	}
	return nil
}
