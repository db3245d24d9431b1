package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"lovagestack/lovageapi"
	"lovagestack/lovageconfig"
	"lovagestack/lovagefake"
	"lovagestack/lovagejob"
	"lovagestack/lovageplatform"
	"lovagestack/lovageresource"
)

// devCommand runs an embedded platform, one entry instance and sample workers in one process.
type devCommand struct {
	Once     bool   `arg:"--once" help:"submit a sample ticketing job, print its answer and end"`
	Caller   string `arg:"--caller" default:"127.0.0.1:7001" placeholder:"ADDRESS" help:"caller API; with --once a free port is used"`
	Operator string `arg:"--operator" default:"127.0.0.1:7002" placeholder:"ADDRESS" help:"operator API; with --once a free port is used"`
	Workers  int    `arg:"--workers" default:"6" help:"number of sample workers"`
}

// help says that nothing is persisted.
func (*devCommand) help() string {
	return `Everything lives in this process and is lost at its end. The sample workers differ threefold in speed.`
}

const (
	devDataCentre = "kandla"
	devService    = "ticket"
	devTeam       = "gate"
	devTimeout    = 30 * time.Second // maximum time for the resource writes, and for the sample job
)

// devWorkerSpeeds are the relative speeds of the sample workers, assigned in turn.
var devWorkerSpeeds = []float64{1, 0.5, 1.5}

// devStack is an embedded platform with an entry instance and sample workers.
type devStack struct {
	platform       *lovageplatform.Memory
	workers        []*lovagefake.Worker
	pool           lovageresource.Pool
	serveErr       chan error // error of the stopped instance
	callerClient   *lovageapi.Client
	operatorClient *lovageapi.Client
}

func (cmd *devCommand) run(ctx context.Context, en *environment) int {
	if cmd.Workers < 1 {
		return en.fail(exitBadInput, errors.Newf("--workers is %d, want at least 1", cmd.Workers))
	}
	if cmd.Once {
		cmd.Caller, cmd.Operator = "127.0.0.1:0", "127.0.0.1:0"
	}
	ctx, cancel := context.WithCancel(ctx)
	ds := &devStack{platform: lovageplatform.NewMemory(), serveErr: make(chan error, 1)}
	defer ds.close(cancel)
	if err := ds.start(ctx, cmd); err != nil {
		return en.fail(exitFailed, err)
	}
	if err := ds.declareResources(ctx); err != nil {
		return en.fail(exitFailed, errors.Wrap(err, "declare the sample resources"))
	}
	if !cmd.Once {
		_, _ = fmt.Fprintf(en.stdout, devIntroduction, cmd.Caller, cmd.Operator)
		<-ctx.Done()
		return exitOK
	}
	return ds.runSampleJob(ctx, en)
}

const devIntroduction = `The dispatcher is running. Try in another terminal:
  lovagestack submit --caller %[1]s --service ticket --team gate --payload '{"girth":212}'
  lovagestack get --operator %[2]s Pool
  lovagestack watch --operator %[2]s
  curl http://%[2]s/metrics
End it with Ctrl-C.
`

// close stops the instance before its workers.
func (ds *devStack) close(cancel context.CancelFunc) {
	cancel()
	if ds.callerClient != nil {
		ds.callerClient.Close()
		ds.operatorClient.Close()
		<-ds.serveErr
	}
	for _, wo := range ds.workers {
		wo.Close()
	}
}

func (ds *devStack) start(ctx context.Context, cmd *devCommand) error {
	ds.pool = lovageresource.Pool{DataCentre: devDataCentre, Services: []string{devService}}
	for i := range cmd.Workers {
		wo := lovagefake.NewWorker(lovagefake.WorkerSettings{
			ID: fmt.Sprintf("%s-w%d", devDataCentre, i), DataCentre: devDataCentre, Speed: devWorkerSpeeds[i%len(devWorkerSpeeds)],
		})
		address, err := wo.Listen("127.0.0.1:0")
		if err != nil {
			return errors.Wrap(err, "start a sample worker")
		}
		ds.workers = append(ds.workers, wo)
		in := wo.Instance()
		ds.platform.PutInstance(in)
		ds.pool.Workers = append(ds.pool.Workers, lovageresource.Worker{
			ID: in.ID, Address: netip.MustParseAddrPort(address), Slots: 8, Connections: 64,
		})
	}
	settings := lovageconfig.Defaults()
	settings.ID, settings.DataCentre = "dev", devDataCentre
	settings.Shutdown.BalancerLag = 0
	for _, it := range []struct {
		target *netip.AddrPort
		text   string
	}{
		{&settings.Addresses.Caller, cmd.Caller},
		{&settings.Addresses.Operator, cmd.Operator},
		{&settings.Addresses.Peer, "127.0.0.1:0"},
	} {
		address, err := netip.ParseAddrPort(it.text)
		if err != nil {
			return errors.Wrapf(err, "address %q", it.text)
		}
		*it.target = address
	}
	ei, err := newEntryInstance(ctx, settings, ds.platform, zap.NewNop())
	if err != nil {
		return err
	}
	cmd.Caller, cmd.Operator = ei.caller.Address(), ei.operator.Address()
	ds.callerClient, ds.operatorClient = lovageapi.NewClient(cmd.Caller), lovageapi.NewClient(cmd.Operator)
	go ei.run(ctx, ds.serveErr)
	return nil
}

// declareResources writes the sample service, team and pool.
func (ds *devStack) declareResources(ctx context.Context) error {
	service := lovageresource.DefaultService()
	service.RunTime = lovageresource.Duration(200 * time.Millisecond)
	ctx, cancel := context.WithTimeout(ctx, devTimeout)
	defer cancel()
	for _, re := range []lovageresource.Resource{
		{Kind: lovageresource.KindService, Name: devService, Spec: service},
		{Kind: lovageresource.KindTeam, Name: devTeam, Spec: lovageresource.DefaultTeam()},
		{Kind: lovageresource.KindPool, Name: "yard", Spec: ds.pool},
	} {
		if res, err := ds.operatorClient.Put(ctx, re); err != nil {
			return errors.Wrapf(err, "%s %s", re.Kind, re.Name)
		} else if res.Outcome != lovageresource.WriteAccepted {
			return errors.Newf("%s %s: %s", re.Kind, re.Name, res.Outcome)
		}
	}
	return nil
}

// devPayloads are the payloads of the sample job's tasks: a girth check, a price and a check of the gate register.
var devPayloads = []string{
	`{"step":"girth","runTime":"120ms"}`, `{"step":"price","runTime":"80ms"}`, `{"step":"gate","runTime":"200ms"}`,
}

// runSampleJob submits the sample job. It prints the answer and, except as JSON, the response time over the ideal time,
// which is the run time of the longest task on the fastest worker. The ideal time leaves out the round trip on
// loopback, so the ratio is slightly too high.
func (ds *devStack) runSampleJob(ctx context.Context, en *environment) int {
	ctx, cancel := context.WithTimeout(ctx, devTimeout)
	defer cancel()
	key, err := ds.mintKey(ctx)
	if err != nil {
		return en.failCall(errors.Wrap(err, "mint a key"), false)
	}
	jo := lovageapi.JobRequest{
		Key: key.String(), Service: devService, Team: devTeam, Deadline: time.Now().Add(devTimeout),
	}
	for _, text := range devPayloads {
		jo.Tasks = append(jo.Tasks, lovageapi.TaskRequest{Payload: json.RawMessage(text)})
	}
	submittedAt := time.Now()
	answer, err := ds.callerClient.Submit(ctx, jo)
	if err != nil {
		return en.failCall(errors.Wrap(err, "submit the sample job"), true)
	}
	responseTime := time.Since(submittedAt)
	status := printAnswer(en, &answer)
	idealTime := 200 * time.Millisecond
	fastest := 0.0
	for i := range ds.workers {
		fastest = max(fastest, devWorkerSpeeds[i%len(devWorkerSpeeds)])
	}
	idealTime = time.Duration(float64(idealTime) / fastest)
	if !en.json {
		_, _ = fmt.Fprintf(en.stdout, "response %s, ideal %s, response over ideal %.3f\n",
			responseTime.Round(time.Millisecond/10), idealTime.Round(time.Millisecond/10), float64(responseTime)/float64(idealTime))
	}
	return status
}

// mintKey retries until the instance mints a key, which it can do once it has claimed a key range.
func (ds *devStack) mintKey(ctx context.Context) (lovagejob.Key, error) {
	var lastErr error
	for ctx.Err() == nil {
		mi, err := ds.callerClient.Mint(ctx, lovagejob.MintRequest{Count: 1})
		if err == nil && len(mi.Keys) == 1 {
			return mi.Keys[0], nil
		}
		lastErr = err
		time.Sleep(20 * time.Millisecond)
	}
	return lovagejob.Key{}, errors.CombineErrors(ctx.Err(), lastErr)
}
