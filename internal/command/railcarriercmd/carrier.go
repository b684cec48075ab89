package railcarriercmd

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/fulmarrail/fulmarrail/internal/command/railfactory"
	"github.com/fulmarrail/fulmarrail/internal/command/railsiteprocess"
	"github.com/fulmarrail/fulmarrail/internal/core/raillog"
	"github.com/fulmarrail/fulmarrail/internal/membership/railinstance"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/node/railcarrier"
	"github.com/fulmarrail/fulmarrail/internal/platform/railrows"
	"github.com/fulmarrail/fulmarrail/internal/wire/raildatagram"
	"github.com/fulmarrail/fulmarrail/internal/wire/raildialer"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
	"github.com/fulmarrail/fulmarrail/platform"
)

const (
	// configWait is the time for which the store may hold a call for a change of the configuration.
	configWait = 15 * time.Second
	// entriesFor is the time for which the entries' addresses are used before they are read again.
	entriesFor      = 10 * time.Second
	bytesPerMegabit = 1e6 / 8
	// noticeLimit bounds the time for which a change of weights waits for the entries' addresses.
	noticeLimit = 200 * time.Millisecond
)

// NewCmdCarrier returns the command.
func NewCmdCarrier(f *railfactory.Factory) *cobra.Command {
	return railsiteprocess.Command(f, "carrier", "Bring weights to the engine beside the process",
		"Bring weights to the engine beside the process, and pass them on to the other carriers.", run)
}

func run(ctx context.Context, p *railsiteprocess.Process) error {
	site := p.Site.Process
	inner, err := net.Listen("tcp", site.Inner)
	if err != nil {
		return errors.Wrap(err, "listen on inner")
	}
	host, port, err := net.SplitHostPort(site.Inner)
	if err != nil {
		return errors.Wrap(err, "read the setting inner")
	}
	list := &lister{Process: p}
	datagrams, err := net.ListenPacket("udp4", site.Inner)
	if err != nil {
		return errors.Wrap(err, "listen on inner for datagrams")
	}
	socket := &raildatagram.Socket{Conn: datagrams, Log: raillog.Part(p.Log, "datagrams")}
	notifier := &notifier{Process: p, socket: socket}
	dialer := &raildialer.Dialer{Key: []byte(site.SharedKey), Timeout: site.Timeout}
	defer func() { _ = dialer.Close() }()
	carrier := &railcarrier.Carrier{
		Self: railmember.Member{Name: host, Role: railmember.RoleAgent, Address: site.Inner, Zone: site.Zone, Region: site.Region, Service: site.Service},
		Key:  []byte(site.SharedKey), Inner: inner, Port: port, Dialer: dialer, Socket: socket, Catalog: p.Current.Get, Named: p.Current.Namings,
		Engine: &platform.Engine{
			HTTP: p.Store.HTTP, Origin: &platform.Caller{Timeout: site.Timeout, Single: true}, Address: site.Endpoint,
			Layers: func() int { return p.Layers(site.Service) },
		},
		Link:    int(site.Link * bytesPerMegabit),
		Weights: p.Site.Bounds.Weights, Regions: p.Site.Regions, Log: p.Log,
		Instances: list.instances, Notify: notifier.notify,
	}
	go p.FollowConfig(configWait, carrier.Changed).Run(ctx)
	go notifier.addresses() // Known before the first change, which should not wait for them.
	return carrier.Run(ctx)
}

// notifier tells the entries of the engine's changes.
type notifier struct {
	*railsiteprocess.Process

	socket *raildatagram.Socket

	mu      sync.Mutex
	read    time.Time
	entries []*net.UDPAddr
}

// notify tells every entry which version serves, and when it is to change.
func (n *notifier) notify(version int64, changesIn time.Duration) {
	notice := &railproto.EndpointNotice{Address: n.Site.Process.Endpoint, Version: version, ChangesInMillis: changesIn.Milliseconds()}
	n.socket.Send(&railproto.Datagram{Content: &railproto.Datagram_Notice{Notice: notice}}, n.addresses()...)
}

// addresses returns the entries' addresses as they were a moment ago, or as they could be read last.
func (n *notifier) addresses() []*net.UDPAddr {
	n.mu.Lock()
	defer n.mu.Unlock()
	if time.Since(n.read) < entriesFor {
		return n.entries
	}
	ctx, cancel := context.WithTimeout(context.Background(), noticeLimit)
	defer cancel()
	page, err := n.Store.Table(ctx, railsiteprocess.TableEntries)
	if err != nil {
		n.Log.Warn("entries not read, those known last are told", "err", err, "known", len(n.entries))
		return n.entries
	}
	n.read = time.Now()
	n.entries = n.Entries(page.Rows)
	return n.entries
}

// lister reads the list of endpoints when it is asked for, since a carrier needs it only while it fetches weights.
type lister struct {
	*railsiteprocess.Process

	mu   sync.Mutex
	read time.Time
	last []railinstance.Instance
}

// instances returns the list as it was a given time ago at the most, or the last one that could be read.
func (l *lister) instances(oldest time.Duration) []railinstance.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.read) < oldest {
		return l.last
	}
	l.read = time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), l.Site.Process.Timeout)
	defer cancel()
	page, err := l.Store.Table(ctx, platform.TableInstances)
	if err != nil {
		l.Log.Warn("list of endpoints not read, the last one is used", "err", err, "known", len(l.last))
		return l.last
	}
	rows := make(map[string]railrows.Row, len(page.Rows))
	for _, row := range page.Rows {
		rows[row.Key] = row
	}
	l.last = l.Instances(rows)
	return l.last
}
