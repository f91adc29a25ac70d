package main

import (
	"net"
	"sync"
	"sync/atomic"
)

// A proxy passes connections on to a target.
type proxy struct {
	target   string
	dialer   net.Dialer
	listener net.Listener

	mutex sync.Mutex
	open  map[*link]bool

	// healed is closed when a partition ends, nil while there is none.
	healed chan struct{}
}

// A link is one connection with its other half. A silent one drops all bytes, in both
// directions, and passes on no end.
type link struct {
	client, server net.Conn
	silent         atomic.Bool
}

// startProxy starts a proxy that connects to the target from a loopback address of its own.
func startProxy(target, source string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	started := &proxy{target: target, listener: listener, dialer: net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}}, open: map[*link]bool{}}
	go started.accept()
	return started, nil
}

func (proxy *proxy) address() string { return proxy.listener.Addr().String() }

// silence makes the open connections silent for good. It returns their number.
func (proxy *proxy) silence() int {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	for open := range proxy.open {
		open.silent.Store(true)
	}
	return len(proxy.open)
}

// cut begins a partition: bytes and new connections are held up until heal.
func (proxy *proxy) cut() {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.healed = make(chan struct{})
}

func (proxy *proxy) heal() {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	close(proxy.healed)
	proxy.healed = nil
}

// awaitPath blocks while a partition lasts.
func (proxy *proxy) awaitPath() {
	proxy.mutex.Lock()
	healed := proxy.healed
	proxy.mutex.Unlock()
	if healed != nil {
		<-healed
	}
}

func (proxy *proxy) accept() {
	for {
		client, err := proxy.listener.Accept()
		if err != nil {
			return
		}
		go proxy.connect(client)
	}
}

func (proxy *proxy) connect(client net.Conn) {
	proxy.awaitPath()
	server, err := proxy.dialer.Dial("tcp", proxy.target)
	if err != nil {
		client.Close()
		return
	}
	opened := &link{client: client, server: server}
	proxy.mutex.Lock()
	proxy.open[opened] = true
	proxy.mutex.Unlock()
	go proxy.pass(opened, client, server)
	go proxy.pass(opened, server, client)
}

func (proxy *proxy) pass(open *link, from, to net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		count, err := from.Read(buffer)
		proxy.awaitPath()
		if open.silent.Load() && err == nil {
			continue
		}
		if count > 0 {
			if _, failure := to.Write(buffer[:count]); failure != nil {
				err = failure
			}
		}
		if err != nil {
			break
		}
	}
	proxy.mutex.Lock()
	delete(proxy.open, open)
	proxy.mutex.Unlock()
	if !open.silent.Load() {
		open.client.Close()
		open.server.Close()
	}
}
