// Sends this node's address to nodes that may get requests.
#include "site/hello.h"

#include <msgpack.h>
#include <string.h>

#include "base/metric.h"
#include "core/settings.h"
#include "daemon/suspect_mod.h"
#include "packed_msg.h"
#include "site/limits.h"

enum {
	HELLO_CONNECT_DELAY_MS = 100, ///< for the connection to be established
	HELLO_RESEND_MS = 150, ///< the first one may have been dropped
	HELLO_INTERVAL_MS = 3000,
};

static bool read_addr(const msgpack_object *o, void *ctx)
{
	char *addr = ctx;

	if (o->type != MSGPACK_OBJECT_STR || o->via.str.size >= SITE_ADDR_SIZE)
		return false;
	memcpy(addr, o->via.str.ptr, o->via.str.size);
	addr[o->via.str.size] = '\0';
	return true;
}

/* What the sender may have missed, or forgotten by a restart. */
static void send_state(struct core *c, const char *node)
{
	limits_send_state(c, node);
	suspect_mod_send_state(c, node);
}

static void on_hello(struct core *c, void *ctx, const char *from,
		     const void *buf, size_t len)
{
	char addr[SITE_ADDR_SIZE];

	if (packed_decode(buf, len, read_addr, addr) != ERR_OK ||
	    core_peer_add(c, from, addr) != ERR_OK)
		metric_add(M_PEER_MALFORMED, 1);
	else
		send_state(c, from);
}

enum err hello_start(struct core *c)
{
	return core_peer_on(c, PEER_HELLO, on_hello, NULL);
}

static bool is_due(const struct site_node *n, int64_t now)
{
	if (!n->hello_sent_ms)
		return now - n->known_ms >= HELLO_CONNECT_DELAY_MS;
	if (n->hello_sent_ms - n->known_ms <
	    HELLO_CONNECT_DELAY_MS + HELLO_RESEND_MS)
		return now - n->hello_sent_ms >= HELLO_RESEND_MS;
	return now - n->hello_sent_ms >= HELLO_INTERVAL_MS;
}

static void send_hello(struct core *c, const char *node)
{
	msgpack_sbuffer buf;
	msgpack_packer pk;

	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
	packed_put_str(&pk, settings_str(core_settings(c), S_PEER_LISTEN));
	/* No retry: the message is repeated anyway. */
	if (core_peer_send(c, node, PEER_HELLO, buf.data, buf.size) != ERR_OK)
		metric_add(M_PEER_DROPPED, 1);
	msgpack_sbuffer_destroy(&buf);
}

void hello_step(struct core *c, struct site *s)
{
	for (size_t i = 0; i < s->n_homes; i++) {
		struct site_node *n = &s->homes[i];

		if (!is_due(n, core_now(c)) ||
		    strcmp(n->node, core_node(c)) == 0)
			continue;
		n->hello_sent_ms = core_now(c);
		send_hello(c, n->node);
	}
}
