package route

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"github.com/catkingap/catkingap/ident"
)

const (
	// demandSmoothing is the least weight of a new sample in the moving average
	// of a host's demand. A sample covers one heartbeat.
	demandSmoothing = 0.05
	// maxDemandFactor and maxDemandOffset limit one sample to maxDemandFactor
	// times the demand plus maxDemandOffset slots, so that the burst of one job
	// does not change the shares.
	maxDemandFactor = 2
	maxDemandOffset = 32
	// initialWeight is the weight of a host before it has reported one.
	initialWeight = 100
	// heartbeatsPerWeight is the number of heartbeats between changes of the
	// weight.
	heartbeatsPerWeight = 4
	// weightTolerance is the factor by which a host's share of the demand must
	// differ from its share of the weights before its weight changes.
	weightTolerance = 1.1
)

// claimant is a host that gets a share of the slots of a server.
type claimant struct {
	name   ident.Host
	weight float64
}

// updateShares computes the slots that each host owns. All hosts that know the
// same hosts and weights compute the same shares.
func (p *Pool[Item]) updateShares() {
	self := p.config.Self
	self.Weight = p.weight
	hosts := []Peer{self}
	for _, k := range p.peerOrder {
		if !k.silent {
			hosts = append(hosts, k.Peer)
		}
	}
	claims := claimants(p.serverOrder, hosts)
	for _, k := range p.peerOrder {
		k.owned, k.shares = 0, map[ident.Server]int{}
	}
	for _, s := range p.serverOrder {
		shares := apportion(s.Server, claims[s.DataCentre])
		owned := shares[self.Name]
		for _, k := range p.peerOrder {
			k.shares[s.Name] = shares[k.Name]
			if !s.Leaving {
				k.owned += shares[k.Name]
			}
		}
		if s.ownedKnown {
			s.newlyOwned += max(owned-s.owned, 0)
			s.formerlyOwned += max(s.owned-owned, 0)
		}
		s.owned, s.ownedKnown = owned, true
	}
}

// updateWeight updates the demand of this host from its arrivals, and changes
// its weight if its share of the demand differs from its share of the weights.
func (p *Pool[Item]) updateWeight(elapsed time.Duration) {
	needed := float64(p.arrived) * p.meanRunTime() / elapsed.Seconds()
	needed = min(needed, maxDemandFactor*p.demand+maxDemandOffset)
	p.arrived = 0
	p.demand += max(demandSmoothing, 1/float64(p.heartbeats)) * (needed - p.demand)
	if p.heartbeats%heartbeatsPerWeight != 0 {
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
	if old := float64(p.weight); max(fit, old) > weightTolerance*min(fit, old) {
		p.weight = int(fit)
		p.updateShares()
	}
}

// claimants returns the hosts that share the servers of each data centre. A data
// centre is entitled to a part of all slots in proportion to the weights of its
// hosts. It gets its own slots first. What it lacks then comes from the data
// centres that have more slots than they are entitled to.
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
// weights. It rounds the cumulative weights, shifted by a hash of the server,
// so that the rounding differs between servers and averages out.
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
	offset := hashFraction(s.Name)
	sum, taken := 0.0, 0
	for _, h := range hosts {
		sum += h.weight
		until := int(float64(s.Slots)*sum/total + offset)
		shares[h.name] = until - taken
		taken = until
	}
	return shares
}

// hashFraction returns a number in [0, 1) derived from a hash of the name.
func hashFraction(s ident.Server) float64 {
	hash := fnv.New64a()
	hash.Write([]byte(s))
	// The multiplication spreads the high bits, which FNV mixes poorly.
	mixed := (hash.Sum64() ^ hash.Sum64()>>29) * 0xbf58476d1ce4e5b9
	return float64(mixed>>11) / (1 << 53)
}
