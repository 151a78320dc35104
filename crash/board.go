package crash

import (
	"time"

	"github.com/catkingap/catkingap/index"
	"github.com/catkingap/catkingap/work"
)

const (
	// newsAge is for how long a host tells others of a loss. Each host asks the owners
	// several times within it.
	newsAge = time.Second
	// maxNews bounds the tasks that one message names.
	maxNews = 64
)

// Board holds the losses that a host knows of: from its own owners, and from those of
// other hosts. A job takes them along to whichever owner gets it.
type Board struct {
	byJob *index.Recent[work.ID, []TaskLosses]
	// news holds the newest losses of this host's own owners, the oldest first.
	news []newsItem
}

type newsItem struct {
	at     time.Time
	losses TaskLosses
}

// NewBoard returns a Board without losses.
func NewBoard() *Board { return &Board{byJob: index.NewRecent[work.ID, []TaskLosses](Retention)} }

// Put replaces the losses under some tasks. What is disproved stays so.
func (b *Board) Put(now time.Time, all []TaskLosses) {
	b.byJob.Expire(now)
	for _, x := range all {
		id := work.JobOfTask(x.Task)
		known, _ := b.byJob.Get(id)
		var others []TaskLosses
		for _, k := range known {
			if k.Task != x.Task {
				others = append(others, k)
				continue
			}
			// An owner that has got the job since may not know yet what is disproved.
			x.Refuted = unite(k.Refuted, x.Refuted)
			x.Losses = x.Losses.without(x.Refuted)
		}
		b.byJob.Put(now, id, append(others, x))
	}
}

// PutOwn replaces the losses under some tasks of this host's own owners, and tells others
// of them.
func (b *Board) PutOwn(now time.Time, all []TaskLosses) {
	b.Put(now, all)
	for _, x := range all {
		b.news = append(b.news, newsItem{at: now, losses: x})
	}
	b.news = b.news[max(0, len(b.news)-maxNews):]
}

// News returns the losses that others are to be told of.
func (b *Board) News(now time.Time) []TaskLosses {
	for len(b.news) > 0 && now.Sub(b.news[0].at) > newsAge {
		b.news = b.news[1:]
	}
	var news []TaskLosses
	for _, x := range b.news {
		news = append(news, x.losses)
	}
	return news
}

// OfJob returns the losses under the tasks of a job.
func (b *Board) OfJob(id work.ID) []TaskLosses {
	all, _ := b.byJob.Get(id)
	return all
}
