package slots

import "time"

// Servers share their hosts with others and tell how many times as long as usual work
// takes at the moment. A request keeps the slowdown of the moment at which it begins,
// so it may gain by waiting for a better one. What lasts is not waited for: a slowdown
// counts relative to the least one of late.

const (
	// slowdownKeep is how long a reported slowdown is believed.
	slowdownKeep = 250 * time.Millisecond
	// slow is how many times the steady pace a slowdown has to be to count.
	slow = 1.5
	// firstSpell is how long a slowdown is expected to last until some were
	// seen, and maxSpell bounds what is learned: a longer one is no spell.
	firstSpell = 150 * time.Millisecond
	maxSpell   = time.Second
	// holdStep is how soon a request that waits for a better moment is looked
	// at again if the server reports nothing.
	holdStep = 20 * time.Millisecond
	// steadyFor is the span whose least slowdown is the steady pace. It covers
	// several spells, so that a lasting slowdown is not waited for.
	steadyFor = time.Second
)

// pace returns the current slowdown, 1 if it is not known.
func (g *gate) pace(now time.Time) float64 {
	if g.slowdown > 0 && now.Sub(g.slowedAt) < slowdownKeep {
		return g.slowdown
	}
	return 1
}

// steadyPace returns the least slowdown of late, 1 if it is not known.
func (g *gate) steadyPace(now time.Time) float64 {
	if g.steady > 0 && now.Sub(g.steadyAt) < 2*steadyFor {
		return g.steady
	}
	return 1
}

// hold reports whether a request gains by waiting: the server is slowed down, and
// that is expected to end before the request would. Servers fix the duration of
// a request when it begins.
func (g *gate) hold(now time.Time, t *ticket) bool {
	p := g.pace(now) / g.steadyPace(now)
	if p < slow {
		return false
	}
	e := g.expected(now, t)
	if time.Duration((p-1)*float64(e)) < g.spell {
		return false
	}
	return now.Add(holdStep + time.Duration(dueMargin*float64(e))).Before(t.request.Deadline)
}

// learnPace takes a reported slowdown and learns how long a spell of it lasts.
func (g *gate) learnPace(now time.Time, slowdown float64) {
	g.slowdown, g.slowedAt = slowdown, now
	if slowdown <= g.steady || now.Sub(g.steadyAt) > steadyFor {
		g.steady, g.steadyAt = slowdown, now
	}
	switch fast := slowdown < slow*g.steady; {
	case !fast && g.spellFrom.IsZero():
		g.spellFrom = now
	case fast && !g.spellFrom.IsZero():
		g.spell = mean(g.spell, min(now.Sub(g.spellFrom), maxSpell))
		g.spellFrom = time.Time{}
	}
}
