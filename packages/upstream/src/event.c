// Events posted to the receiver while a call runs, and their limits.
#include <stdlib.h>
#include <string.h>

#include "base/mbox.h"
#include "edge.h"

enum {
	/// Bytes that an answer may hold even if max_held is reached; otherwise many
	/// partly received answers could block each other for good.
	EDGE_SMALL = 65536,
};

void upstream_hold(struct upstream *up, size_t more)
{
	atomic_fetch_add(&up->held, more);
}

void upstream_unhold(struct upstream *up, size_t less)
{
	atomic_fetch_sub(&up->held, less);
}

bool upstream_call_behind(const struct upstream_call *c)
{
	const struct upstream_opts *o = &c->up->opts;
	size_t waiting = atomic_load(&c->waiting);

	if (c->opts.streamed && upstream_behind(c->up))
		return true;
	if (o->stream_buffer && waiting >= o->stream_buffer)
		return true;
	return c->opts.tag && o->max_held &&
	       atomic_load(&c->up->held) >= o->max_held &&
	       (waiting >= EDGE_SMALL || c->body_cap >= EDGE_SMALL);
}

void upstream_event_free(struct upstream_event *ev)
{
	struct upstream_call *c = ev->call;

	if (ev->kind != UPSTREAM_DONE) {
		atomic_fetch_sub(&c->up->events, 1);
		upstream_unhold(c->up, ev->len);
		atomic_fetch_sub(&c->waiting, ev->len);
		free(ev);
	}
	call_unref(c);
}

/// Half of the mailbox is reserved for UPSTREAM_DONE events, so none is ever lost.
bool upstream_behind(const struct upstream *up)
{
	return atomic_load(&up->events) >= 2 * up->opts.max_calls;
}

bool upstream_post_head(struct upstream_call *c)
{
	struct upstream_event *ev;
	struct upstream_head *head;

	if (upstream_behind(c->up))
		return false;
	ev = malloc(sizeof(*ev) + sizeof(*head));
	if (!ev)
		return false;
	/* A copy: a trailer may add fields to the call's head at any time. */
	head = (struct upstream_head *)(ev + 1);
	*head = c->result.head;
	*ev = (struct upstream_event){
		.kind = UPSTREAM_HEAD,
		.id = c->opts.id,
		.tag = c->opts.tag,
		.call = c,
		.status = c->result.status,
		.head = head,
	};
	call_ref(c);
	atomic_fetch_add(&c->up->events, 1);
	if (mbox_put(c->up->opts.events, ev) == ERR_OK)
		return true;
	upstream_event_free(ev);
	return false;
}

bool upstream_post_data(struct upstream_call *c, const char *data, size_t len)
{
	struct upstream_event *ev;
	char *copy;

	if (upstream_call_behind(c))
		return false;
	ev = malloc(sizeof(*ev) + len);
	if (!ev)
		return false;
	copy = (char *)(ev + 1);
	memcpy(copy, data, len);
	*ev = (struct upstream_event){
		.kind = UPSTREAM_DATA,
		.id = c->opts.id,
		.tag = c->opts.tag,
		.call = c,
		.data = copy,
		.len = len,
	};
	call_ref(c);
	atomic_fetch_add(&c->up->events, 1);
	upstream_hold(c->up, len);
	atomic_fetch_add(&c->waiting, len);
	if (mbox_put(c->up->opts.events, ev) == ERR_OK)
		return true;
	upstream_event_free(ev);
	return false;
}
