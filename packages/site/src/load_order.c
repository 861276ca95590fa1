// Load orders announced by other nodes: which version a server will have, and when.
#include <stdio.h>
#include <string.h>

#include "server_table.h"

enum {
	LOADING_MS = 1000, ///< longest usual load time, from the order
	/// From an accepted order until the load is likely done.
	EXPECTED_AFTER_MS = 950,
	/// An entry shows a load up to a heartbeat of 2 s later. After this time the entry
	/// is trusted and the order ignored.
	ORDER_EXPIRY_MS = 4000,
};

/* Whether an order is recent and not yet reflected in the server's entry. */
static bool order_pending(const struct site_server *s, int64_t now)
{
	const struct site_weight_load *l = &s->load;

	return l->version && now - l->sent_ms < ORDER_EXPIRY_MS &&
	       site_server_version(s, l->model) < l->version;
}

enum err site_servers_record_order(struct site_servers *t, int64_t now,
				   const struct site_order *o)
{
	struct site_server *s = site_servers_find(t, o->server);
	struct site_weight_load *l;
	bool same;

	if (!s || s->entry.started_ms != o->started_ms)
		return ERR_NOT_FOUND;
	l = &s->load;
	same = l->version == o->version && strcmp(l->model, o->model) == 0;
	if (o->state == SITE_ORDER_LOADED || o->state == SITE_ORDER_PRESENT) {
		site_servers_observe_version(t, s->self, now, o->model,
					     o->version);
		return ERR_OK;
	}
	if (o->state == SITE_ORDER_FAILED) {
		if (same)
			l->version = 0;
		return ERR_OK;
	}
	if (order_pending(s, now) && !same && o->sent_ms < l->sent_ms)
		return ERR_OK;
	*l = (struct site_weight_load){
		.version = o->version,
		.sent_ms = o->sent_ms,
		.accepted = o->state == SITE_ORDER_ACCEPTED,
		.expected_from_ms = o->sent_ms + EXPECTED_AFTER_MS,
	};
	snprintf(l->model, sizeof(l->model), "%s", o->model);
	server_index_mark_ordered(s);
	return ERR_OK;
}

bool site_server_is_loading(const struct site_server *s, int64_t now)
{
	return order_pending(s, now) && now - s->load.sent_ms < LOADING_MS;
}

bool site_server_load_unseen(const struct site_server *s, int64_t now,
			     const char *model)
{
	return order_pending(s, now) && strcmp(s->load.model, model) == 0;
}

void site_server_probe_load(struct site_server *s, int64_t now,
			    const char *model)
{
	if (site_server_load_unseen(s, now, model))
		s->load_probe_ms = now;
}

void site_server_record_old_version(struct site_server *s, const char *model,
				    uint64_t version)
{
	struct site_weight_load *l = &s->load;

	if (l->version > version && strcmp(l->model, model) == 0)
		l->version = 0;
}

/* Version of a model that a server likely has loaded by order, 0 if none. */
static uint64_t ordered_version(const struct site_server *s, int64_t now,
				const char *model)
{
	const struct site_weight_load *l = &s->load;

	return order_pending(s, now) && l->accepted &&
			       now >= l->expected_from_ms &&
			       strcmp(l->model, model) == 0
		       ? l->version
		       : 0;
}

uint64_t site_server_expected_version(const struct site_server *s, int64_t now,
				      const char *model, uint64_t min_version)
{
	uint64_t v = ordered_version(s, now, model);
	bool needed = site_server_is_loading(s, now) ||
		      site_server_version(s, model) < min_version;

	return needed && v >= min_version ? v : 0;
}

bool site_server_has_version(const struct site_server *s, int64_t now,
			     const char *model, uint64_t min_version)
{
	uint64_t v = site_server_version(s, model);

	if (v && v >= min_version && !site_server_is_loading(s, now))
		return true;
	return site_server_expected_version(s, now, model, min_version) > 0;
}
