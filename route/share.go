package route

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"github.com/catkingap/catkingap/ident"
)

const (
	// demandShare is the weight of a new second in a host's learned demand.
	demandShare = 0.05
	// demandGrowth and demandStart bound what one second can add to the
	// demand, so that the burst of one job does not move the shares.
	demandGrowth = 2
	demandStart  = 32
	// initialWeight is the weight of a host that has said nothing else.
	initialWeight = 100
	// weightBeats is the number of heartbeats between changes of the weight.
	weightBeats = 4
	// weightStep is the factor by which a host's share of the demand must
	// differ from its share of the weights before its weight follows.
	weightStep = 1.1
)

// claimant is a host that shares the slots of a server.
type claimant struct {
	name   ident.Host
	weight float64
}

// share computes the slots that this host owns. All hosts that know the same
// hosts and weights compute the same shares.
func (p *Pool[Item]) share() {
	self := p.config.Self
	self.Weight = p.weight
	hosts := []Peer{self}
	for _, k := range p.peerOrder {
		if !k.silent {
			hosts = append(hosts, k.Peer)
		}
	}
	claims := claimants(p.order, hosts)
	for _, k := range p.peerOrder {
		k.owned, k.shares = 0, map[ident.Server]int{}
	}
	for _, s := range p.order {
		shares := apportion(s.Server, claims[s.DataCentre])
		owned := shares[self.Name]
		for _, k := range p.peerOrder {
			k.shares[s.Name] = shares[k.Name]
			if !s.Leaving {
				k.owned += shares[k.Name]
			}
		}
		if s.shared {
			s.fresh += max(owned-s.owned, 0)
			s.excess += max(s.owned-owned, 0)
		}
		s.owned, s.shared = owned, true
	}
}

// weigh learns how many slots the arrivals of this host need, and changes its
// weight if its share of the demand is another than its share of the weights.
func (p *Pool[Item]) weigh(elapsed time.Duration) {
	needed := float64(p.arrived) * p.meanRunTime() / elapsed.Seconds()
	needed = min(needed, demandGrowth*p.demand+demandStart)
	p.arrived = 0
	p.demand += max(demandShare, 1/float64(p.beats)) * (needed - p.demand)
	if p.beats%weightBeats != 0 {
		return
	}
	demand, weight := p.demand, p.weight
	for _, k := range p.peerOrder {
		if !k.silent {
			demand += k.demand
			weight += k.Weight
		}
	}
	if demand == 0 {
		return
	}
	fit := max(p.demand/demand*float64(weight), 1)
	if old := float64(p.weight); max(fit, old) > weightStep*min(fit, old) {
		p.weight = int(fit)
		p.share()
	}
}

// claimants returns which hosts share the servers of each data centre. Each
// data centre is due the part of all slots that its hosts weigh. It takes its
// own slots first, and from the data centres with more slots than they are due
// what it lacks.
func claimants(servers []*server, hosts []Peer) map[ident.DataCentre][]claimant {
	slots, weights := map[ident.DataCentre]float64{}, map[ident.DataCentre]float64{}
	allSlots, allWeights := 0.0, 0.0
	for _, s := range servers {
		if !s.isLeaving() {
			slots[s.DataCentre] += float64(s.Slots)
			allSlots += float64(s.Slots)
		}
	}
	for _, h := range hosts {
		weights[h.DataCentre] += float64(h.Weight)
		allWeights += float64(h.Weight)
	}
	due := func(c ident.DataCentre) float64 { return allSlots * weights[c] / allWeights }
	lack := 0.0
	for c := range weights {
		lack += max(due(c)-slots[c], 0)
	}
	claims := map[ident.DataCentre][]claimant{}
	for c, n := range slots {
		spare := max(n-due(c), 0)
		for _, h := range hosts {
			part := float64(h.Weight) / weights[h.DataCentre]
			weight := part * max(due(h.DataCentre)-slots[h.DataCentre], 0) / max(lack, 1) * spare
			if h.DataCentre == c {
				weight = part * (n - spare)
			}
			if weight > 0 {
				claims[c] = append(claims[c], claimant{h.Name, weight})
			}
		}
	}
	return claims
}

// apportion splits the slots of a server between hosts in proportion to their
// weights. The weights lie end to end on a line; a host gets the whole numbers
// in its part. A hash moves the line, so that the rounding differs from server
// to server and evens out.
func apportion(s Server, hosts []claimant) map[ident.Host]int {
	total := 0.0
	for _, h := range hosts {
		total += h.weight
	}
	if total == 0 {
		return nil
	}
	hosts = slices.SortedFunc(slices.Values(hosts), func(a, b claimant) int { return cmp.Compare(a.name, b.name) })
	shares := make(map[ident.Host]int, len(hosts))
	offset := hashUnit(s.Name)
	sum, taken := 0.0, 0
	for _, h := range hosts {
		sum += h.weight
		until := int(float64(s.Slots)*sum/total + offset)
		shares[h.name] = until - taken
		taken = until
	}
	return shares
}

// hashUnit returns a number from 0 up to 1 from a hash.
func hashUnit(s ident.Server) float64 {
	hash := fnv.New64a()
	hash.Write([]byte(s))
	// The multiplication spreads the high bits, which FNV mixes poorly.
	mixed := (hash.Sum64() ^ hash.Sum64()>>29) * 0xbf58476d1ce4e5b9
	return float64(mixed>>11) / (1 << 53)
}
