// Limits that backend servers name: permits of this node, and permits that it grants.
#include "site/limit.h"

#include <string.h>
#include <xxhash.h>

enum {
	/// An answer that was made before the server named its limit may arrive this
	/// much later than one that names it.
	OVERTAKE_MS = 200,
	/// Longest time until a refused node asks again.
	RETURN_MAX_MS = 500,
	MS_PER_S = 1000,
};

/// Of the first home. The remainder covers requests that arrive closer together than
/// they were sent.
static const double FIRST_SHARE = 0.95;
/// Of the homes after it, together.
static const double NEXT_SHARES = 0.3;

bool site_limit_observe(struct site_limit *l, double per_s, int64_t named_ms)
{
	bool changed = per_s != l->per_s;

	if (per_s <= 0 && (!l->per_s || named_ms < l->named_ms + OVERTAKE_MS))
		return false;
	if (named_ms < l->named_ms)
		return false;
	l->per_s = per_s;
	l->named_ms = named_ms;
	return changed;
}

/* Index of the first permit that has not expired. */
static int expired_permits(const struct site_limit *l, int64_t now)
{
	double next = l->permit_ms;
	int i = 0;

	while (i < l->permits && (double)now >= next + SITE_LIMIT_USE_MS) {
		next += l->interval_ms;
		i++;
	}
	return i;
}

bool site_limit_allows(const struct site_limit *l, int64_t now)
{
	int i;

	if (l->per_s <= 0)
		return true;
	i = expired_permits(l, now);
	return i < l->permits &&
	       (double)now >= l->permit_ms + i * l->interval_ms;
}

bool site_limit_pending(const struct site_limit *l, int64_t now)
{
	return l->asked_ms || l->wanted > 0 ||
	       expired_permits(l, now) < l->permits;
}

bool site_limit_should_ask(const struct site_limit *l, int64_t now)
{
	return l->per_s > 0 && l->wanted > 0 && !l->asked_ms &&
	       now >= l->refused_until_ms &&
	       expired_permits(l, now) == l->permits;
}

void site_limit_use(struct site_limit *l, int64_t now)
{
	int used = expired_permits(l, now) + 1;

	if (l->per_s <= 0)
		return;
	used = used < l->permits ? used : l->permits;
	l->permits -= used;
	l->permit_ms += used * l->interval_ms;
}

void site_limit_granted(struct site_limit *l, const struct site_grant *g,
			int64_t now)
{
	l->asked_ms = 0;
	l->wanted = 0;
	l->permits = g->n;
	l->permit_ms = (double)now + g->wait_ms;
	l->interval_ms = g->interval_ms;
	if (!g->n)
		l->refused_until_ms = now + (int64_t)g->wait_ms + 1;
}

static double larger(double a, double b)
{
	return a > b ? a : b;
}

static double smaller(double a, double b)
{
	return a < b ? a : b;
}

static struct site_grant refuse(struct site_limit *l, double interval,
				int64_t now)
{
	double at = larger(l->free_ms - SITE_LIMIT_HORIZON_MS, l->return_ms);

	at = smaller(larger(at, (double)now), (double)now + RETURN_MAX_MS);
	l->return_ms = at + interval;
	return (struct site_grant){.wait_ms = at - (double)now};
}

struct site_grant site_limit_grant(struct site_limit *l, double share,
				   int count, int64_t now)
{
	double interval = MS_PER_S / (l->per_s * share);
	struct site_grant g = {.interval_ms = interval};
	/* The first home keeps one permit that nobody asked for in time. */
	double kept = share >= FIRST_SHARE ? interval : 0;

	l->free_ms = larger(l->free_ms, (double)now - kept);
	g.wait_ms = larger(l->free_ms - (double)now, 0);
	while (g.n < count && g.n < SITE_LIMIT_COUNT_MAX &&
	       l->free_ms <= (double)now + SITE_LIMIT_HORIZON_MS) {
		l->free_ms += interval;
		g.n++;
	}
	return g.n ? g : refuse(l, interval, now);
}

double site_limit_share(int rank, size_t homes, bool settled)
{
	size_t next = homes < SITE_LIMIT_GRANTORS ? homes : SITE_LIMIT_GRANTORS;

	if (rank < 0 || rank >= SITE_LIMIT_GRANTORS)
		return 0;
	if (rank == 0 && settled)
		return FIRST_SHARE;
	return NEXT_SHARES / (next > 1 ? (double)(next - 1) : 1);
}

static uint64_t score(const char *server, const char *home)
{
	return XXH64(home, strlen(home), XXH64(server, strlen(server), 0));
}

int site_limit_rank(const char *server, const char *const *names, size_t n,
		    const char *home)
{
	uint64_t own = score(server, home);
	int rank = 0;
	bool found = false;

	for (size_t i = 0; i < n; i++) {
		found |= strcmp(names[i], home) == 0;
		rank += score(server, names[i]) > own;
	}
	return found ? rank : -1;
}
