// Servers of the table whose limit of requests a second was observed.
#include <string.h>

#include "server_table.h"

static bool is_listed(const struct site_servers *t, htab_handle h)
{
	for (int i = 0; i < t->n_limited; i++) {
		if (t->limited[i] == h)
			return true;
	}
	return false;
}

bool site_servers_observe_limit(struct site_servers *t, htab_handle h,
				double per_s, int64_t named_ms)
{
	struct site_server *s = site_servers_get(t, h);

	if (!s || !site_limit_observe(&s->limit, per_s, named_ms))
		return false;
	if (!is_listed(t, h) && t->n_limited < SITE_SERVERS_MAX)
		t->limited[t->n_limited++] = h;
	return true;
}

struct site_server *site_servers_next_limited(struct site_servers *t, int *iter)
{
	while (*iter < t->n_limited) {
		struct site_server *s = site_servers_get(t, t->limited[*iter]);

		if (s) {
			(*iter)++;
			return s;
		}
		t->limited[*iter] = t->limited[--t->n_limited];
	}
	return NULL;
}

static void add_to_outlook(const struct site_server *s, int64_t now,
			   struct site_limit_outlook *out)
{
	const struct site_limit *l = &s->limit;

	if (l->per_s <= 0) {
		out->unlimited++;
	} else if (site_limit_pending(l, now)) {
		out->pending++;
	} else if (l->refused_until_ms > now &&
		   (!out->refused_ms ||
		    l->refused_until_ms < out->refused_ms)) {
		out->refused_ms = l->refused_until_ms;
	}
}

void site_servers_limit_outlook(const struct site_servers *t, int64_t now,
				const char *service,
				struct site_limit_outlook *out)
{
	const struct index_group *g = server_index_group(&t->index, service);

	memset(out, 0, sizeof(*out));
	if (!g)
		return;
	for (int w = 0; w < g->words; w++) {
		uint64_t left = g->usable.bits[w];

		for (; left; left &= left - 1)
			add_to_outlook(g->members[w * INDEX_WORD_BITS +
						  __builtin_ctzll(left)]
					       .server,
				       now, out);
	}
}
