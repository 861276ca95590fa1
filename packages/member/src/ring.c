// Choice of neighbours: the live members form a ring by the hash of their ids; a
// node's neighbours are some steps away in both directions.
#include <stdlib.h>
#include <string.h>

#include "state.h"

enum {
	RING_SMALL = 9, ///< up to here, neighbours are 1, 2 and 3 steps away
	RING_SMALL_STEPS = 3,
	RING_FACTOR = 3, ///< in larger rings, they are 1, 3, 9, ... steps away
};

static int by_hash(const void *a, const void *b)
{
	const struct rec *x = *(const struct rec *const *)a;
	const struct rec *y = *(const struct rec *const *)b;

	return x->hash < y->hash ? -1 : x->hash > y->hash;
}

static int next_step(int step, int n)
{
	return n <= RING_SMALL ? step + 1 : step * RING_FACTOR;
}

static bool step_used(int step, int n)
{
	if (n <= RING_SMALL && step > RING_SMALL_STEPS)
		return false;
	return 2 * step <= n;
}

/// Number the neighbours; on a change, forget who has which part.
static void ring_assign_bits(struct member *m, const bool *old)
{
	bool same = true;
	int n = 0;

	for (int i = 0; i < m->t.n; i++) {
		struct rec *r = m->t.recs[i];

		same &= r->neighbour == old[i];
		if (!r->neighbour)
			continue;
		same &= r->neighbour_bit == n;
		r->neighbour_bit = n++;
	}
	for (int i = 0; !same && i < m->t.n; i++)
		memset(m->t.recs[i]->known_to, 0,
		       sizeof(m->t.recs[i]->known_to));
}

void ring_update(struct member *m)
{
	struct rec *ring[REC_MAX];
	int n = 0;
	bool old[REC_MAX];
	int self = 0;

	for (int i = 0; i < m->t.n; i++) {
		old[i] = m->t.recs[i]->neighbour;
		m->t.recs[i]->neighbour = false;
		if (m->t.recs[i]->state == MEMBER_ALIVE)
			ring[n++] = m->t.recs[i];
	}
	qsort(ring, (size_t)n, sizeof(struct rec *), by_hash);
	while (ring[self] != m->t.recs[SELF])
		self++;
	for (int step = 1; step_used(step, n); step = next_step(step, n)) {
		ring[(self + step) % n]->neighbour = true;
		ring[(self + n - step) % n]->neighbour = true;
	}
	m->t.recs[SELF]->neighbour = false;
	ring_assign_bits(m, old);
}
