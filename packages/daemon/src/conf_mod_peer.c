// Messages between the conf modules of daemons, in msgpack, and the list of
// members for conf_sync.
#include <msgpack.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/log.h"
#include "base/metric.h"
#include "conf_mod_priv.h"
#include "daemon/fleet_mod.h"
#include "daemon/member_mod.h"

enum {
	MSG_FIELDS = 4,
	MEMBERS_MAX = 1024, ///< members passed to conf_sync
};

static const enum core_peer_msg peer_msg_types[] = {
	[CONF_MSG_QUERY] = PEER_CONF_ASK,
	[CONF_MSG_REPLY] = PEER_CONF_ANSWER,
	[CONF_MSG_DOC] = PEER_CONF_DOC,
};

void conf_mod_peer_send(struct conf_mod *m, const char *to,
			const struct conf_msg *msg)
{
	/* A query is answered while it is handled. */
	struct core_peer_run asker = core_peer_sender(m->c);
	msgpack_sbuffer buf;
	msgpack_packer pk;
	enum err e;

	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, MSG_FIELDS);
	msgpack_pack_uint64(&pk, msg->nonce);
	msgpack_pack_uint64(&pk, msg->rev);
	msgpack_pack_int64(&pk, msg->age_ms);
	if (msg->text)
		msgpack_pack_str_with_body(&pk, msg->text, msg->len);
	else
		msgpack_pack_nil(&pk);
	e = msg->type == CONF_MSG_REPLY
		    ? core_peer_reply(m->c, &asker, PEER_CONF_ANSWER, buf.data,
				      buf.size)
		    : core_peer_send(m->c, to, peer_msg_types[msg->type],
				     buf.data, buf.size);
	if (e != ERR_OK)
		metric_add(M_PEER_DROPPED, 1);
	msgpack_sbuffer_destroy(&buf);
}

static bool msg_decode(const msgpack_object *o, struct conf_msg *msg)
{
	const msgpack_object *f = o->via.array.ptr;

	if (o->type != MSGPACK_OBJECT_ARRAY ||
	    o->via.array.size != MSG_FIELDS ||
	    f[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    f[1].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    (f[2].type != MSGPACK_OBJECT_POSITIVE_INTEGER &&
	     f[2].type != MSGPACK_OBJECT_NEGATIVE_INTEGER) ||
	    (f[3].type != MSGPACK_OBJECT_STR &&
	     f[3].type != MSGPACK_OBJECT_NIL))
		return false;
	msg->nonce = f[0].via.u64;
	msg->rev = f[1].via.u64;
	msg->age_ms = f[2].via.i64;
	if (f[3].type == MSGPACK_OBJECT_STR) {
		msg->text = f[3].via.str.ptr;
		msg->len = f[3].via.str.size;
	}
	return true;
}

static void on_msg(struct conf_mod *m, enum conf_msg_type type,
		   const char *from, const void *buf, size_t len)
{
	struct conf_msg msg = {.type = type};
	msgpack_unpacked u;
	size_t off = 0;

	msgpack_unpacked_init(&u);
	if (msgpack_unpack_next(&u, buf, len, &off) == MSGPACK_UNPACK_SUCCESS &&
	    msg_decode(&u.data, &msg)) {
		conf_sync_on_msg(m->sync, core_now(m->c), from, &msg);
	} else {
		metric_add(M_CONF_BAD, 1);
		log_event(EV_CONF_MSG_BAD, "from=%s bytes=%zu", from, len);
	}
	msgpack_unpacked_destroy(&u);
}

static void on_query(struct core *c, void *ctx, const char *from,
		     const void *buf, size_t len)
{
	on_msg(ctx, CONF_MSG_QUERY, from, buf, len);
}

static void on_query_reply(struct core *c, void *ctx, const char *from,
			   const void *buf, size_t len)
{
	on_msg(ctx, CONF_MSG_REPLY, from, buf, len);
}

static void on_doc(struct core *c, void *ctx, const char *from, const void *buf,
		   size_t len)
{
	on_msg(ctx, CONF_MSG_DOC, from, buf, len);
}

enum err conf_mod_peer_start(struct conf_mod *m)
{
	enum err e;

	if ((e = core_peer_on(m->c, PEER_CONF_ASK, on_query, m)) ||
	    (e = core_peer_on(m->c, PEER_CONF_ANSWER, on_query_reply, m)))
		return e;
	return core_peer_on(m->c, PEER_CONF_DOC, on_doc, m);
}

static bool vm_listed(const struct fleet_vm *vms, size_t n, const char *id)
{
	for (size_t i = 0; i < n; i++) {
		if (vms[i].kind == VM_ENTRY && strcmp(vms[i].id, id) == 0)
			return true;
	}
	return false;
}

bool conf_mod_member_replaced(struct conf_mod *m, const struct member_view *v)
{
	size_t n;
	const struct fleet_vm *vms = fleet_mod_vms(m->c, &n);

	return v->state == MEMBER_DEAD && n > 0 && !vm_listed(vms, n, v->id);
}

static size_t collect_members(struct conf_mod *m, struct conf_sync_member *out)
{
	size_t n_members;
	const struct member_view *v = member_mod_members(m->c, &n_members);
	size_t n = 0;

	for (size_t i = 0; i < n_members && n < MEMBERS_MAX; i++) {
		if (conf_mod_member_replaced(m, &v[i]))
			continue;
		memset(&out[n], 0, sizeof(out[n]));
		snprintf(out[n].id, sizeof(out[n].id), "%s", v[i].id);
		snprintf(out[n].domain, sizeof(out[n].domain), "%s",
			 v[i].domain);
		out[n++].alive = v[i].state == MEMBER_ALIVE;
	}
	return n;
}

void conf_mod_update_members(struct conf_mod *m)
{
	struct conf_sync_member *members =
		calloc(MEMBERS_MAX, sizeof(*members));
	uint64_t hash;
	size_t n;

	if (!members)
		return;
	n = collect_members(m, members);
	hash = XXH64(members, n * sizeof(*members), n + 1);
	if (hash != m->members_hash)
		conf_sync_set_members(m->sync, members, n);
	m->members_hash = hash;
	free(members);
}
