package watch

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"testing/synctest"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"caperarch/internal/mesh/registry"
)

func TestPeersDigest(t *testing.T) {
	Convey("The digest depends on the machines and their zones but not on their order, and is never 0", t, func() {
		a, b := Peer{"a:1", "x"}, Peer{"b:1", "y"}
		So(digestPeers([]Peer{a, b}), ShouldEqual, digestPeers([]Peer{b, a}))
		for _, other := range [][]Peer{nil, {a}, {a, {"b:1", ""}}, {a, {"b:2", "y"}}, {a, b, {"c:1", "y"}}} {
			So(digestPeers(other), ShouldNotEqual, digestPeers([]Peer{a, b}))
			So(digestPeers(other), ShouldNotEqual, PeersDigest(0))
		}
	})
}

func TestPeerListSentOnlyAfterChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A sidecar receives the list of core machines once, and again after a change on either side", t, func() {
			network := newNetwork()
			peers := []Peer{{"m1:1", "x"}, {"m2:1", "y"}}
			contact := Contact{OK: true}
			var receivedDigests []PeersDigest
			stop := network.startScriptedMember("m1:1", func(w http.ResponseWriter, r *http.Request) {
				var request leaseRequest
				if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
					t.Error(err)
				}
				receivedDigests = append(receivedDigests, request.KnownPeersDigest)
				response := &LeaseResponse{Contact: contact, PeersDigest: digestPeers(peers)}
				if request.KnownPeersDigest != response.PeersDigest {
					response.Peers = peers
				}
				_ = json.NewEncoder(w).Encode(response)
			}, http.NotFound)
			defer stop()
			client := NewClient(ClientConfig{
				Node: "s", Incarnation: 1, HTTP: network.client("s"), Log: zap.NewNop(),
				State: func() registry.Lease { return registry.Lease{} }, ConfigVersion: func() int64 { return 0 },
			})
			renew := func() {
				response, err := client.sendLease(context.Background(), "m1:1", client.nextLease())
				So(err, ShouldBeNil)
				client.recordMembers(response)
			}
			first := digestPeers(peers)
			renew()
			renew()
			So(client.Peers(), ShouldHaveLength, 2)
			peers = append(peers, Peer{"m3:1", "z"})
			renew()
			renew()
			So(client.Peers(), ShouldHaveLength, 3)
			// The list of a core machine without contact is added to the known list, so the result has no
			// digest.
			contact, peers = Contact{}, []Peer{{"m4:1", "x"}}
			second := client.knownPeersDigest()
			renew()
			So(client.Peers(), ShouldHaveLength, 4)
			contact, peers = Contact{OK: true}, []Peer{{"m1:1", "x"}, {"m2:1", "y"}, {"m3:1", "z"}}
			renew()
			renew()
			So(client.Peers(), ShouldHaveLength, 3)
			So(receivedDigests, ShouldResemble, []PeersDigest{0, first, first, second, second, 0, second})
		})
	})
}
