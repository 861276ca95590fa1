// Replicates the counters to two peers: the collector of this node's failure
// domain (on the collector itself: the member ranked next) and a node of
// another failure domain.
#include <msgpack.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "base/log.h"
#include "base/metric.h"
#include "core/settings.h"
#include "usage_mod_priv.h"

enum {
	FULL_RESEND_MS = 30000, ///< interval between full resends
	MESSAGE_ROWS_MAX = 4000, ///< soft limit: runs are not split
	REPLICA_OWN_DOMAIN = 0, ///< in this node's failure domain
	REPLICA_OTHER_DOMAIN = 1, ///< in another one
};

static uint64_t rank_of(const char *id)
{
	return XXH64(id, strlen(id), 1);
}

/// Alive member of a failure domain with the lowest hash, salted with this
/// node's id for other failure domains, so that replicas spread.
static const struct member_view *pick_member(struct usage_mod *m,
					     const char *domain, bool salted)
{
	uint64_t salt = salted ? rank_of(core_node(m->c)) : 0;
	const struct member_view *best = NULL;
	size_t n;
	const struct member_view *v = member_mod_members(m->c, &n);

	for (size_t i = 0; i < n; i++) {
		if (v[i].state != MEMBER_ALIVE || v[i].draining ||
		    strcmp(v[i].domain, domain) != 0)
			continue;
		if (!best ||
		    (rank_of(v[i].id) ^ salt) < (rank_of(best->id) ^ salt))
			best = &v[i];
	}
	return best;
}

/// Next failure domain by name, wrapping around, with an alive member.
static const char *other_domain(struct usage_mod *m)
{
	const char *own = core_domain(m->c);
	const char *next = NULL;
	const char *first = NULL;
	size_t n;
	const struct member_view *v = member_mod_members(m->c, &n);

	for (size_t i = 0; i < n; i++) {
		const char *d = v[i].domain;

		if (v[i].state != MEMBER_ALIVE || strcmp(d, own) == 0)
			continue;
		if (!first || strcmp(d, first) < 0)
			first = d;
		if (strcmp(d, own) > 0 && (!next || strcmp(d, next) < 0))
			next = d;
	}
	return next ? next : first;
}

static void replica_set_node(struct usage_replica *rep,
			     const struct member_view *v, int64_t now)
{
	const char *id = v ? v->id : "";

	if (strcmp(rep->node, id) == 0)
		return;
	memset(rep, 0, sizeof(*rep));
	snprintf(rep->node, sizeof(rep->node), "%s", id);
	rep->next_full_ms = now + FULL_RESEND_MS;
}

static void choose_replicas(struct usage_mod *m, int64_t now)
{
	const struct member_view *own =
		pick_member(m, core_domain(m->c), false);
	const char *domain = other_domain(m);

	m->is_collector = !own || rank_of(core_node(m->c)) < rank_of(own->id);
	replica_set_node(&m->replicas[REPLICA_OWN_DOMAIN], own, now);
	replica_set_node(&m->replicas[REPLICA_OTHER_DOMAIN],
			 domain ? pick_member(m, domain, true) : NULL, now);
}

static size_t rows_after(const struct usage_entry *e, uint64_t after)
{
	size_t n = 0;

	for (size_t i = 0; i < e->n_rows; i++)
		n += e->rows[i].changed > after;
	return n;
}

static void pack_entry(msgpack_packer *pk, const struct usage_entry *e,
		       uint64_t after)
{
	msgpack_pack_array(pk, 2);
	msgpack_pack_str_with_body(pk, e->run, strlen(e->run));
	msgpack_pack_array(pk, rows_after(e, after));
	for (size_t i = 0; i < e->n_rows; i++) {
		const struct usage_row *r = &e->rows[i];

		if (r->changed <= after)
			continue;
		msgpack_pack_array(pk, 1 + USAGE_UNITS);
		msgpack_pack_str_with_body(pk, r->team, strlen(r->team));
		for (int u = 0; u < USAGE_UNITS; u++)
			msgpack_pack_uint64(pk, r->v[u]);
	}
}

/// Whether a run has changes for a replica: the own run is sent to both, copies
/// of other runs only to the collector.
static bool has_changes_for(const struct usage_mod *m,
			    const struct usage_entry *e,
			    const struct usage_replica *rep)
{
	if (e->changed <= rep->sent_version)
		return false;
	return strcmp(e->run, m->run) == 0 ||
	       (rep == &m->replicas[REPLICA_OWN_DOMAIN] && !m->is_collector);
}

static void send_copies(struct usage_mod *m, struct usage_replica *rep)
{
	uint64_t after = rep->sent_version;
	msgpack_sbuffer buf;
	msgpack_packer pk;
	size_t n = 0;
	size_t rows = 0;

	for (size_t i = 0; i < m->counters.n_entries && rows < MESSAGE_ROWS_MAX;
	     i++) {
		if (has_changes_for(m, &m->counters.entries[i], rep)) {
			rows += rows_after(&m->counters.entries[i], after);
			n++;
		}
	}
	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, 2);
	msgpack_pack_uint64(&pk, m->counters.version);
	msgpack_pack_array(&pk, n);
	for (size_t i = 0; i < m->counters.n_entries && n > 0; i++) {
		if (!has_changes_for(m, &m->counters.entries[i], rep))
			continue;
		pack_entry(&pk, &m->counters.entries[i], after);
		n--;
	}
	if (core_peer_send(m->c, rep->node, PEER_USAGE_COPY, buf.data,
			   buf.size) == ERR_OK) {
		metric_add(M_USAGE_COPIES, 1);
		rep->sent_version = m->counters.version;
	}
	msgpack_sbuffer_destroy(&buf);
}

/// Whether a replica has not been sent the latest changes.
static bool replica_is_due(const struct usage_mod *m,
			   const struct usage_replica *rep)
{
	for (size_t i = 0; i < m->counters.n_entries; i++) {
		if (has_changes_for(m, &m->counters.entries[i], rep))
			return true;
	}
	return false;
}

void usage_mod_copy_tick(struct usage_mod *m, int64_t now)
{
	int64_t interval = settings_int(core_settings(m->c), S_USAGE_COPY);

	choose_replicas(m, now);
	for (int i = 0; i < USAGE_REPLICAS; i++) {
		struct usage_replica *rep = &m->replicas[i];

		if (!*rep->node)
			continue;
		if (now >= rep->next_full_ms) {
			rep->next_full_ms = now + FULL_RESEND_MS;
			rep->sent_version = 0;
		}
		if (now - rep->last_sent_ms < interval ||
		    !replica_is_due(m, rep))
			continue;
		rep->last_sent_ms = now;
		send_copies(m, rep);
	}
}

bool usage_mod_replicated(const struct usage_mod *m)
{
	uint64_t changed = 0;

	for (size_t i = 0; i < m->counters.n_entries; i++) {
		if (strcmp(m->counters.entries[i].run, m->run) == 0)
			changed = m->counters.entries[i].changed;
	}
	for (int i = 0; i < USAGE_REPLICAS; i++) {
		if (m->replicas[i].acked_version >= changed)
			return true;
	}
	return changed == 0;
}

static bool merge_row(struct usage_mod *m, const char *run,
		      const msgpack_object *o)
{
	const msgpack_object *f = o->via.array.ptr;
	char team[USAGE_NAME_MAX + 1];
	uint64_t v[USAGE_UNITS];

	if (o->type != MSGPACK_OBJECT_ARRAY ||
	    o->via.array.size != 1 + USAGE_UNITS ||
	    f[0].type != MSGPACK_OBJECT_STR ||
	    f[0].via.str.size > USAGE_NAME_MAX)
		return false;
	snprintf(team, sizeof(team), "%.*s", (int)f[0].via.str.size,
		 f[0].via.str.ptr);
	for (int u = 0; u < USAGE_UNITS; u++) {
		if (f[1 + u].type != MSGPACK_OBJECT_POSITIVE_INTEGER)
			return false;
		v[u] = f[1 + u].via.u64;
	}
	return usage_counters_raise(&m->counters, run, team, v) == ERR_OK;
}

static bool merge_entry(struct usage_mod *m, const msgpack_object *o)
{
	const msgpack_object *f = o->via.array.ptr;
	char run[USAGE_RUN_MAX + 1];

	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size != 2 ||
	    f[0].type != MSGPACK_OBJECT_STR ||
	    f[0].via.str.size > USAGE_RUN_MAX ||
	    f[1].type != MSGPACK_OBJECT_ARRAY)
		return false;
	snprintf(run, sizeof(run), "%.*s", (int)f[0].via.str.size,
		 f[0].via.str.ptr);
	if (strcmp(run, m->run) == 0)
		return true; /* own counters are authoritative */
	for (size_t i = 0; i < f[1].via.array.size; i++) {
		if (!merge_row(m, run, &f[1].via.array.ptr[i]))
			return false;
	}
	return true;
}

static bool merge_copies(struct usage_mod *m, const msgpack_object *o,
			 uint64_t *version)
{
	const msgpack_object *f = o->via.array.ptr;

	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size != 2 ||
	    f[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    f[1].type != MSGPACK_OBJECT_ARRAY)
		return false;
	*version = f[0].via.u64;
	for (size_t i = 0; i < f[1].via.array.size; i++) {
		if (!merge_entry(m, &f[1].via.array.ptr[i]))
			return false;
	}
	return true;
}

static void send_ack(struct usage_mod *m, uint64_t version)
{
	struct core_peer_run to = core_peer_sender(m->c);
	msgpack_sbuffer buf;
	msgpack_packer pk;

	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
	msgpack_pack_uint64(&pk, version);
	if (core_peer_reply(m->c, &to, PEER_USAGE_ACK, buf.data, buf.size) !=
	    ERR_OK)
		metric_add(M_PEER_DROPPED, 1);
	msgpack_sbuffer_destroy(&buf);
}

static void drop_bad_message(const char *from, size_t len)
{
	metric_add(M_USAGE_BAD, 1);
	log_event(EV_USAGE_MSG_BAD, "from=%s bytes=%zu", from, len);
}

static void on_copy(struct core *c, void *ctx, const char *from,
		    const void *buf, size_t len)
{
	struct usage_mod *m = ctx;
	uint64_t version;
	msgpack_unpacked u;
	size_t off = 0;

	msgpack_unpacked_init(&u);
	if (msgpack_unpack_next(&u, buf, len, &off) == MSGPACK_UNPACK_SUCCESS &&
	    merge_copies(m, &u.data, &version))
		send_ack(m, version);
	else
		drop_bad_message(from, len);
	msgpack_unpacked_destroy(&u);
}

static void on_ack(struct core *c, void *ctx, const char *from, const void *buf,
		   size_t len)
{
	struct usage_mod *m = ctx;
	msgpack_unpacked u;
	size_t off = 0;

	msgpack_unpacked_init(&u);
	if (msgpack_unpack_next(&u, buf, len, &off) != MSGPACK_UNPACK_SUCCESS ||
	    u.data.type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
		drop_bad_message(from, len);
		msgpack_unpacked_destroy(&u);
		return;
	}
	for (int i = 0; i < USAGE_REPLICAS; i++) {
		struct usage_replica *rep = &m->replicas[i];

		if (strcmp(rep->node, from) == 0 &&
		    u.data.via.u64 > rep->acked_version)
			rep->acked_version = u.data.via.u64;
	}
	msgpack_unpacked_destroy(&u);
}

enum err usage_mod_copy_start(struct usage_mod *m)
{
	enum err e = core_peer_on(m->c, PEER_USAGE_COPY, on_copy, m);

	return e ? e : core_peer_on(m->c, PEER_USAGE_ACK, on_ack, m);
}
