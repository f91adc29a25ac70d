package main

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
	"lacewingspoke.org/lacewingspoke/standin/process"
	"lacewingspoke.org/lacewingspoke/standin/remote"
	"lacewingspoke.org/lacewingspoke/standin/store"
)

const (
	keyPrefix = "bench-key"
	anyPort   = "127.0.0.1:0"

	// formTimeout is the time within which the groups of a new deployment must
	// form. The first leader waits for a lease and the longest order delay.
	formTimeout = 90 * time.Second

	pollInterval = 50 * time.Millisecond

	// seedNodes is the maximum number of seeds of a node. A node discovers the
	// other nodes through its seeds.
	seedNodes = 5
)

// failureDomains are the names of the failure domains, those of the users'
// first deployment.
var failureDomains = []string{"constanta-port", "mamaia-north", "eforie-south"}

// A deploymentSize holds the dimensions of a deployment.
type deploymentSize struct {
	nodes      int
	vms        int
	groupSize  int
	domains    int
	workspaces int
}

// A deployment is a running system: a stand-in store, stand-in engines and nodes
// as processes on loopback.
type deployment struct {
	size         deploymentSize
	dir          string
	bin          string
	client       *http.Client
	store        *process.Process
	engines      *process.Process
	nodes        []*node
	storeAddress string
	vms          []store.VM
}

// A node is the process of one node with its listen addresses.
type node struct {
	*process.Process
	callers string
	peers   string
	admin   string
}

// deploy starts a store, engines and nodes, applies a configuration and waits
// until the groups have formed.
func deploy(ctx context.Context, bin string, size deploymentSize) (*deployment, error) {
	dir, err := os.MkdirTemp("", "lacewingspoke-bench")
	if err != nil {
		return nil, errors.Trace(err)
	}
	started := &deployment{
		size:   size,
		dir:    dir,
		bin:    bin,
		client: &http.Client{Timeout: 5 * time.Second},
	}
	steps := []func(context.Context) error{
		started.startStore,
		started.startEngines,
		started.startNodes,
		func(ctx context.Context) error { return started.apply(ctx, "first", true) },
		started.awaitGroups,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			started.stop()
			return nil, errors.Trace(err)
		}
	}
	return started, nil
}

func (deployment *deployment) program(name string) string {
	return filepath.Join(deployment.bin, name)
}

// listenAddress returns the listen address that a stand-in printed for a label.
// The label is empty if the stand-in prints a single address.
func listenAddress(ctx context.Context, started *process.Process, label string) (string, error) {
	line, err := started.AwaitLine(ctx, "listening on ")
	if err != nil {
		return "", errors.Trace(err)
	}
	_, list, _ := strings.Cut(line, "listening on ")
	for _, item := range strings.Fields(list) {
		name, address, labelled := strings.Cut(item, "=")
		if !labelled {
			name, address = "", item
		}
		if name == label {
			return address, nil
		}
	}
	return "", errors.NotFoundf("listen address of %q in line %q", label, line)
}

func (deployment *deployment) startStore(ctx context.Context) error {
	started, err := process.Start(deployment.dir, "store", deployment.program("lacewingspoke-standin"),
		"store", "--listen", anyPort)
	if err != nil {
		return errors.Trace(err)
	}
	deployment.store = started
	deployment.storeAddress, err = listenAddress(ctx, started, "")
	return errors.Trace(err)
}

func vmName(index int) string { return fmt.Sprintf("vm-%03d", index) }

func (deployment *deployment) startEngines(ctx context.Context) error {
	arguments := []string{deployment.program("lacewingspoke-standin"), "engine",
		"--checks-fencing", "--load-time", "50ms", "--token-interval", "1ms"}
	for index := range deployment.size.vms {
		arguments = append(arguments, "--vm", vmName(index)+"="+anyPort)
	}
	started, err := process.Start(deployment.dir, "engines", arguments...)
	if err != nil {
		return errors.Trace(err)
	}
	deployment.engines = started
	for index := range deployment.size.vms {
		address, err := listenAddress(ctx, started, vmName(index))
		if err != nil {
			return errors.Trace(err)
		}
		domain := index % deployment.size.domains
		deployment.vms = append(deployment.vms, store.VM{
			Name:          vmName(index),
			Address:       address,
			FabricDomain:  fmt.Sprintf("fabric-%d", domain),
			FailureDomain: failureDomains[domain%len(failureDomains)],
			Accelerators:  4,
			State:         "live",
		})
	}
	return deployment.post("http://"+deployment.storeAddress+"/v1/vms", vmsBody{VMs: deployment.vms})
}

type vmsBody struct {
	VMs []store.VM `json:"vms"`
}

func (deployment *deployment) post(url string, body any) error {
	return remote.Post(deployment.client, url, body)
}

func (deployment *deployment) startNodes(ctx context.Context) error {
	for index := range deployment.size.nodes {
		if err := deployment.startNode(ctx, index, deployment.storeAddress); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// startNode starts a node that uses the store at storeAddress.
func (deployment *deployment) startNode(ctx context.Context, index int, storeAddress string) error {
	added := &node{}
	for _, address := range []*string{&added.callers, &added.peers, &added.admin} {
		free, err := process.FreeAddress()
		if err != nil {
			return errors.Trace(err)
		}
		*address = free
	}
	name := fmt.Sprintf("node-%d", index)
	path := filepath.Join(deployment.dir, name+".ini")
	if err := os.WriteFile(path, []byte(deployment.settings(added, name, index, storeAddress)), 0o600); err != nil {
		return errors.Trace(err)
	}
	started, err := process.Start(deployment.dir, name, deployment.program("lacewingspoke"), "node", "--settings", path)
	if err != nil {
		return errors.Trace(err)
	}
	added.Process = started
	deployment.nodes = append(deployment.nodes, added)
	_, err = started.AwaitLine(ctx, `"msg":"started"`)
	return errors.Trace(err)
}

func (deployment *deployment) settings(added *node, name string, index int, storeAddress string) string {
	var text strings.Builder
	fmt.Fprintf(&text, "[node]\nname = %s\nfailure-domain = %s\nstop-notice = 100ms\n", name, failureDomains[index%len(failureDomains)])
	fmt.Fprintf(&text, "[listen]\ncallers = %s\npeers = %s\nadmin = %s\n", added.callers, added.peers, added.admin)
	fmt.Fprintf(&text, "[store]\naddresses = %s\n", storeAddress)
	var seeds []string
	for _, other := range deployment.nodes[:min(seedNodes, len(deployment.nodes))] {
		seeds = append(seeds, other.peers)
	}
	if len(seeds) > 0 {
		fmt.Fprintf(&text, "[peers]\nseeds = %s\n", strings.Join(seeds, ", "))
	}
	return text.String()
}

func (deployment *deployment) groupCount() int {
	return deployment.size.vms / deployment.size.groupSize
}

// folder returns the content of a configuration file. A different version gives
// a different content, so that each apply is a change.
func (deployment *deployment) folder(version string) string {
	var text strings.Builder
	weight := sha256.Sum256([]byte(version))
	fmt.Fprintf(&text, "[policy]\ndowntime-weight = 3\nstranded-weight = 1.%d\n", weight[0])
	text.WriteString("[target-class engine]\nchecks-fencing = yes\norder-delay = 500ms\n")
	fmt.Fprintf(&text, "[group letters]\nmodel = letters\nversion = 1\nsize = %d\nreplicas = %d\nweight-bytes = 1MiB\ntarget-class = engine\n",
		deployment.size.groupSize, deployment.groupCount())
	for index := range deployment.size.workspaces {
		digest := sha256.Sum256([]byte(workspaceKey(index)))
		fmt.Fprintf(&text, "[workspace workspace-%d]\nkey-digests = sha256:%s\nmax-in-flight = 4096\n",
			index, hex.EncodeToString(digest[:]))
		fmt.Fprintf(&text, "[route drafts-%d]\nworkspace = workspace-%d\npath-prefix = /v1\nkind = draft\ngroup = letters\n", index, index)
	}
	return text.String()
}

// workspaceKey returns the caller key of a workspace.
func workspaceKey(index int) string { return fmt.Sprintf("%s-%d", keyPrefix, index) }

// apply writes the configuration of a version and applies it with the command
// lacewingspoke. With wait the command returns once the configuration is in
// force at every node.
func (deployment *deployment) apply(ctx context.Context, version string, wait bool) error {
	folder := filepath.Join(deployment.dir, "folder")
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return errors.Trace(err)
	}
	if err := os.WriteFile(filepath.Join(folder, "10-all.ini"), []byte(deployment.folder(version)), 0o600); err != nil {
		return errors.Trace(err)
	}
	arguments := []string{"apply", folder, "--reason", version, "--author", "bench",
		"--store", deployment.storeAddress, "--node", deployment.nodes[0].admin}
	if wait {
		arguments = append(arguments, "--wait", "30s")
	}
	output, err := exec.CommandContext(ctx, deployment.program("lacewingspoke"), arguments...).CombinedOutput()
	return errors.Annotatef(err, "lacewingspoke apply printed: %s", output)
}

func (deployment *deployment) status(node *node) (admin.Status, error) {
	var status admin.Status
	err := remote.Get(deployment.client, "http://"+node.admin+"/v1/status", &status)
	return status, errors.Trace(err)
}

// awaitGroups waits until every node holds a grant for every group.
func (deployment *deployment) awaitGroups(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, formTimeout)
	defer cancel()
	for _, node := range deployment.nodes {
		for deployment.grantedGroups(node) < deployment.groupCount() {
			if ctx.Err() != nil {
				return errors.Annotatef(ctx.Err(), "wait for grants: %d of %d groups granted at a node", deployment.grantedGroups(node), deployment.groupCount())
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

func (deployment *deployment) grantedGroups(node *node) int {
	status, err := deployment.status(node)
	if err != nil {
		return 0
	}
	count := 0
	for _, group := range status.Groups {
		if group.Granted {
			count++
		}
	}
	return count
}

// stop kills every process of the deployment and removes its directory.
func (deployment *deployment) stop() {
	for _, node := range deployment.nodes {
		node.Kill()
	}
	for _, running := range []*process.Process{deployment.engines, deployment.store} {
		if running != nil {
			running.Kill()
		}
	}
	os.RemoveAll(deployment.dir)
}
