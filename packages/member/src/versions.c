// Nodes whose digests differ exchange versions, then newer parts of records.
#include <stdlib.h>
#include <string.h>

#include "state.h"

enum {
	ITEMS_MAX = 64, ///< parts per message
};

void versions_send(struct member *m, struct rec *to)
{
	struct wire_version v[REC_MAX];
	msgpack_sbuffer buf;
	int n = 0;

	for (int i = 0; i < m->t.n; i++) {
		const struct rec *r = m->t.recs[i];

		if (r->state != MEMBER_ALIVE)
			continue;
		v[n].hash = r->hash;
		v[n].inc = r->inc;
		memcpy(v[n++].seq, r->seq, sizeof(r->seq));
	}
	ensure_connection(m, to);
	msgpack_sbuffer_init(&buf);
	wire_put_versions(&buf, m->domain, v, n);
	action_send(m, to->id, MEMBER_VERSIONS, buf.data, buf.size);
	msgpack_sbuffer_destroy(&buf);
}

static const struct wire_version *version_of(const struct wire_versions *v,
					     uint32_t hash)
{
	for (int i = 0; i < v->n; i++) {
		if (v->v[i].hash == hash)
			return &v->v[i];
	}
	return NULL;
}

/// Whether a node with this version needs a part.
static bool needs_part(const struct wire_version *v, const struct rec *r,
		       int part)
{
	if (r->seq[part] == 0)
		return false;
	if (!v || v->inc != r->inc)
		return !v || v->inc < r->inc;
	return v->seq[part] < r->seq[part];
}

static void send_newer(struct member *m, struct rec *to,
		       const struct wire_versions *v)
{
	struct wire_item items[ITEMS_MAX];
	int n = 0;

	for (int i = 0; i < m->t.n; i++) {
		struct rec *r = m->t.recs[i];
		const struct wire_version *theirs = version_of(v, r->hash);

		for (int k = 0; k < REC_PARTS; k++) {
			if (r->state != MEMBER_ALIVE ||
			    !needs_part(theirs, r, k))
				continue;
			items[n++] = (struct wire_item){(enum rec_part)k,
							r->seq[k], r};
			if (n < ITEMS_MAX)
				continue;
			heartbeat_send(m, to, items, n);
			n = 0;
		}
	}
	if (n)
		heartbeat_send(m, to, items, n);
}

static bool is_newer(const struct wire_version *v, const struct rec *r)
{
	if (v->inc != r->inc)
		return v->inc > r->inc;
	for (int k = 0; k < REC_PARTS; k++) {
		if (v->seq[k] > r->seq[k])
			return true;
	}
	return false;
}

/// Whether the list has a part that this node lacks.
static bool any_newer(const struct member *m, const struct wire_versions *v)
{
	for (int i = 0; i < v->n; i++) {
		int idx = rec_find_hash(&m->t, v->v[i].hash);

		if (idx == REC_NONE || is_newer(&v->v[i], m->t.recs[idx]))
			return true;
	}
	return false;
}

enum err versions_receive(struct member *m, const char *from, const void *buf,
			  size_t len)
{
	struct wire_versions v;
	enum err e = wire_get_versions(buf, len, &v);
	int i;

	if (e != ERR_OK)
		return e;
	i = rec_find(&m->t, from);
	if (i != REC_NONE && strcmp(v.domain, m->domain) == 0) {
		struct rec *r = m->t.recs[i];

		send_newer(m, r, &v);
		if (any_newer(m, &v) && reply_allowed(m, r))
			versions_send(m, r);
	}
	free(v.v);
	return ERR_OK;
}
