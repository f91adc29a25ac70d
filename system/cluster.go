// Package system contains tests of the whole system. They run the nodes and the
// stand-ins for the platform as processes on loopback addresses, and callers in
// the test process. The tests stop, kill or disturb processes while callers
// send requests, and compare the result of every request with the records of
// the stand-ins.
//
// # Usage
//
//	test := start(t, 3)
//	load := startLoad(test.cluster, test.balancerAddress, "load", loadCallers)
//	test.awaitMoreAnswers(load, caller.KindDraft)
//	...
//	test.verify(load.stop())
package system

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/admin"
	"lacewingspoke.org/lacewingspoke/engine"
	"lacewingspoke.org/lacewingspoke/standin/caller"
	"lacewingspoke.org/lacewingspoke/standin/fault"
	"lacewingspoke.org/lacewingspoke/standin/process"
	"lacewingspoke.org/lacewingspoke/standin/remote"
	"lacewingspoke.org/lacewingspoke/standin/store"
)

const (
	callerKey    = "system-test-key"
	groupSize    = 2
	vmsPerDomain = 3
	stopNotice   = time.Second
	httpTimeout  = 2 * time.Second
)

// domains are the failure domains. Each contains one fabric domain with the VMs
// of one replica and a spare VM.
var domains = []string{"lj-a", "lj-b"}

// programs are the paths of the built programs.
type programs struct {
	node    string
	standin string
}

// node is the process of one entry node, with its addresses.
type node struct {
	*process.Process
	name    string
	callers string
	peers   string
	admin   string
}

// vm is one VM and the process of its engine.
type vm struct {
	*process.Process
	name    string
	domain  string
	address string
	control string
}

// cluster is one running system: the stand-ins, the nodes and the balancer.
type cluster struct {
	programs programs
	dir      string
	ctx      context.Context
	client   *http.Client

	storeProcess     *process.Process
	storeAddress     string
	storeControl     string
	engines          []*vm
	services         []*process.Process
	serviceAddresses []string
	nodes            []*node
	balancerAddress  string
	balancerProcess  *process.Process
}

// newCluster starts the stand-ins and the nodes, and applies a folder. The
// caller must call stop on the returned cluster even if newCluster fails.
func newCluster(ctx context.Context, programs programs, dir string, nodes int) (*cluster, error) {
	started := &cluster{
		programs: programs,
		dir:      dir,
		ctx:      ctx,
		client:   &http.Client{Timeout: httpTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	steps := []func() error{
		started.startStore,
		started.startEngines,
		started.startServices,
		func() error { return started.startNodes(nodes) },
		started.startBalancer,
		started.applyFolder,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return started, errors.Trace(err)
		}
	}
	return started, nil
}

// startStandin starts a stand-in and returns the addresses that it printed,
// keyed by their label.
func (cluster *cluster) startStandin(name string, arguments ...string) (*process.Process, map[string]string, error) {
	started, err := process.Start(cluster.dir, name, append([]string{cluster.programs.standin}, arguments...)...)
	if err != nil {
		return nil, nil, err
	}
	line, err := started.AwaitLine(cluster.ctx, "listening on ")
	if err != nil {
		return started, nil, err
	}
	_, list, _ := strings.Cut(line, "listening on ")
	addresses := map[string]string{}
	for _, item := range strings.Fields(list) {
		label, address, labelled := strings.Cut(item, "=")
		if !labelled {
			label, address = "", item
		}
		addresses[label] = address
	}
	return started, addresses, nil
}

const anyPort = "127.0.0.1:0"

func (cluster *cluster) startStore() error {
	started, addresses, err := cluster.startStandin("store", "store", "--listen", anyPort, "--control", anyPort)
	cluster.storeProcess = started
	cluster.storeAddress = addresses[""]
	cluster.storeControl = addresses["control"]
	return err
}

func (cluster *cluster) startEngines() error {
	for _, domain := range domains {
		for index := range vmsPerDomain {
			added := &vm{name: fmt.Sprintf("%s-%d", domain, index), domain: domain}
			cluster.engines = append(cluster.engines, added)
			if err := cluster.startEngine(added, anyPort); err != nil {
				return err
			}
		}
	}
	return cluster.publishVMs("")
}

// startEngine starts or restarts the engine of a VM at the given address.
func (cluster *cluster) startEngine(target *vm, address string) error {
	started, addresses, err := cluster.startStandin("engine-"+target.name, "engine",
		"--vm", target.name+"="+address, "--control", anyPort, "--record", cluster.dir,
		"--token-interval", "5ms", "--load-time", "50ms", "--checks-fencing")
	target.Process = started
	target.address = addresses[target.name]
	target.control = addresses["control"] + "/vm/" + target.name
	return err
}

type vmsBody struct {
	VMs []store.VM `json:"vms"`
}

// publishVMs sets the VM list of the store stand-in from the reports of the
// engines. The prefix is added to each incarnation.
func (cluster *cluster) publishVMs(prefix string) error {
	var body vmsBody
	for _, target := range cluster.engines {
		var report engine.Report
		if err := cluster.get("http://"+target.address+"/v1/report", &report); err != nil {
			return err
		}
		body.VMs = append(body.VMs, store.VM{
			Name: target.name, Address: target.address, Incarnation: prefix + report.Incarnation, FabricDomain: "fabric-" + target.domain,
			FailureDomain: target.domain, Accelerators: 4, State: "live",
		})
	}
	return cluster.post("http://"+cluster.storeAddress+"/v1/vms", body)
}

func (cluster *cluster) startServices() error {
	for index := range domains {
		name := fmt.Sprintf("bookings-%d", index)
		started, addresses, err := cluster.startStandin("service-"+name, "service", "--name", name,
			"--listen", anyPort, "--record", filepath.Join(cluster.dir, "service-"+name+".jsonl"))
		cluster.services = append(cluster.services, started)
		cluster.serviceAddresses = append(cluster.serviceAddresses, addresses[""])
		if err != nil {
			return err
		}
	}
	return nil
}

func (cluster *cluster) startNodes(count int) error {
	for range count {
		added, err := cluster.startNode()
		if err != nil {
			return err
		}
		if err := cluster.awaitStarted(added); err != nil {
			return err
		}
	}
	return nil
}

// startNode starts one more node. The peer addresses of the existing nodes are
// its seeds.
func (cluster *cluster) startNode() (*node, error) {
	added := &node{name: fmt.Sprintf("node-%d", len(cluster.nodes))}
	for _, address := range []*string{&added.callers, &added.peers, &added.admin} {
		free, err := process.FreeAddress()
		if err != nil {
			return nil, err
		}
		*address = free
	}
	path := filepath.Join(cluster.dir, added.name+".ini")
	if err := os.WriteFile(path, []byte(cluster.settings(added)), 0o600); err != nil {
		return nil, errors.Trace(err)
	}
	started, err := process.Start(cluster.dir, added.name, cluster.programs.node, "node", "--settings", path)
	if err != nil {
		return nil, err
	}
	added.Process = started
	cluster.nodes = append(cluster.nodes, added)
	return added, nil
}

func (cluster *cluster) awaitStarted(added *node) error {
	_, err := added.AwaitLine(cluster.ctx, `"msg":"started"`)
	return err
}

func (cluster *cluster) settings(added *node) string {
	domain := domains[len(cluster.nodes)%len(domains)]
	text := fmt.Sprintf("[node]\nname = %s\nfailure-domain = %s\nstop-notice = %s\n", added.name, domain, stopNotice)
	text += fmt.Sprintf("[listen]\ncallers = %s\npeers = %s\nadmin = %s\n", added.callers, added.peers, added.admin)
	text += fmt.Sprintf("[store]\naddresses = %s\ntimeout = 1s\n", cluster.storeAddress)
	var seeds []string
	for _, other := range cluster.nodes {
		seeds = append(seeds, other.peers)
	}
	if len(seeds) > 0 {
		text += fmt.Sprintf("[peers]\nseeds = %s\n", strings.Join(seeds, ", "))
	}
	return text
}

func (cluster *cluster) startBalancer() error {
	arguments := []string{"balancer", "--listen", anyPort, "--interval", "50ms"}
	for _, target := range cluster.nodes {
		arguments = append(arguments, "--node", target.callers+"="+target.admin)
	}
	started, addresses, err := cluster.startStandin("balancer", arguments...)
	cluster.balancerProcess = started
	cluster.balancerAddress = addresses[""]
	return err
}

const folderText = `[policy]
downtime-weight = 1
stranded-weight = 4
[target-class engine]
checks-fencing = yes
order-delay = 500ms
[group letters]
model = letters
version = 1
size = %d
replicas = %d
weight-bytes = 1MiB
target-class = engine
[service bookings]
addresses = %s
[workspace farul]
key-digests = sha256:%s
max-in-flight = 512
deadline = 20s
[route drafts]
workspace = farul
path-prefix = /v1
kind = draft
group = letters
[route bookings]
workspace = farul
path-prefix = /bookings
kind = service
service = bookings
idempotent = no
[route planks]
workspace = farul
path-prefix = /planks
kind = service
service = bookings
idempotent = yes
`

// applyFolder writes a folder for the cluster and applies it.
func (cluster *cluster) applyFolder() error {
	digest := sha256.Sum256([]byte(callerKey))
	var runners []string
	for index, address := range cluster.serviceAddresses {
		runners = append(runners, address+" "+domains[index])
	}
	text := fmt.Sprintf(folderText, groupSize, len(domains), strings.Join(runners, ", "), hex.EncodeToString(digest[:]))
	folder := filepath.Join(cluster.dir, "folder")
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return errors.Trace(err)
	}
	if err := os.WriteFile(filepath.Join(folder, "10-all.ini"), []byte(text), 0o600); err != nil {
		return errors.Trace(err)
	}
	return cluster.runOperatorCommand("apply", folder, "--reason", "test", "--wait", "10s")
}

// runOperatorCommand runs a command of the operators' program. Its error
// contains the command's output.
func (cluster *cluster) runOperatorCommand(command string, arguments ...string) error {
	var admins []string
	for _, target := range cluster.nodes {
		admins = append(admins, target.admin)
	}
	arguments = append([]string{command, "--store", cluster.storeAddress, "--node", strings.Join(admins, ","), "--author", "test"}, arguments...)
	output, err := exec.CommandContext(cluster.ctx, cluster.programs.node, arguments...).CombinedOutput()
	return errors.Annotatef(err, "%s: %s", command, output)
}

// processes returns all processes, the nodes first. A process that was not
// started is nil.
func (cluster *cluster) processes() []*process.Process {
	var all []*process.Process
	for _, target := range cluster.nodes {
		all = append(all, target.Process)
	}
	all = append(all, cluster.balancerProcess)
	for _, target := range cluster.engines {
		all = append(all, target.Process)
	}
	all = append(all, cluster.services...)
	return append(all, cluster.storeProcess)
}

// stop ends every process of the cluster.
func (cluster *cluster) stop() {
	for _, running := range cluster.processes() {
		if running != nil {
			running.Kill()
		}
	}
}

func (cluster *cluster) post(url string, body any) error {
	return remote.Post(cluster.client, url, body)
}

func (cluster *cluster) get(url string, target any) error {
	return remote.Get(cluster.client, url, target)
}

// startFault sends a fault order to the control address of a stand-in.
func (cluster *cluster) startFault(control string, order fault.Order) error {
	return cluster.post("http://"+control+"/control", order)
}

// status returns the status that a node reports.
func (cluster *cluster) status(target *node) (admin.Status, error) {
	var status admin.Status
	err := cluster.get("http://"+target.admin+"/v1/status", &status)
	return status, err
}

// healthy reports whether the node's health check passes.
func (cluster *cluster) healthy(target *node) bool {
	response, err := cluster.client.Get("http://" + target.admin + "/healthz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// grantedGroups returns the groups for which the node reports a grant.
func (cluster *cluster) grantedGroups(target *node) []admin.GroupStatus {
	status, err := cluster.status(target)
	if err != nil {
		return nil
	}
	var groups []admin.GroupStatus
	for _, group := range status.Groups {
		if group.Granted {
			groups = append(groups, group)
		}
	}
	return groups
}

// newCaller returns a client that sends requests to the address.
func (cluster *cluster) newCaller(address string) *caller.Client {
	return caller.New(caller.Config{Address: address, Key: callerKey})
}
