// Events posted to the receiver while a call runs, and their limits.
#include <stdlib.h>
#include <string.h>

#include "base/mbox.h"
#include "base/metric.h"
#include "curl_client.h"

enum {
	/// Bytes that an answer may hold even if max_held is reached; otherwise many
	/// partly received answers could block each other for good.
	UPSTREAM_CALL_MIN_BYTES = 65536,
	/// Bytes that a head may have if memory is short; common servers send less.
	UPSTREAM_HEAD_SHORT_BYTES = 16384,
	/// Answers get so many quarters of max_held, so that requests can still start.
	UPSTREAM_ANSWER_QUARTERS = 3,
};

void upstream_add_held(struct upstream *up, size_t more)
{
	metric_set(M_UP_HELD, atomic_fetch_add(&up->held_bytes, more) + more);
}

void upstream_sub_held(struct upstream *up, size_t less)
{
	metric_set(M_UP_HELD, atomic_fetch_sub(&up->held_bytes, less) - less);
}

static size_t answers_max(const struct upstream *up)
{
	return up->opts.max_held / 4 * UPSTREAM_ANSWER_QUARTERS;
}

static bool memory_is_short(const struct upstream *up, size_t more)
{
	return up->opts.max_held &&
	       atomic_load(&up->held_bytes) + more > answers_max(up);
}

bool upstream_call_is_greedy(const struct upstream_call *c, size_t more)
{
	const struct upstream *up = c->up;

	return c->opts.tag && memory_is_short(up, more) &&
	       c->body_cap >= UPSTREAM_CALL_MIN_BYTES &&
	       c->body_cap + more >
		       answers_max(up) / (atomic_load(&up->n_calls) + 1);
}

bool upstream_head_is_greedy(const struct upstream_call *c)
{
	return memory_is_short(c->up, 0) &&
	       c->head_len > UPSTREAM_HEAD_SHORT_BYTES;
}

bool upstream_call_must_pause(const struct upstream_call *c, size_t more)
{
	const struct upstream_opts *o = &c->up->opts;
	size_t queued_bytes = atomic_load(&c->queued_bytes);

	if (c->opts.streamed && upstream_events_full(c->up))
		return true;
	if (o->stream_buffer && queued_bytes >= o->stream_buffer)
		return true;
	return c->opts.tag && memory_is_short(c->up, more) &&
	       (queued_bytes >= UPSTREAM_CALL_MIN_BYTES ||
		c->body_cap >= UPSTREAM_CALL_MIN_BYTES);
}

void upstream_event_free(struct upstream_event *ev)
{
	struct upstream_call *c = ev->call;

	if (ev->kind != UPSTREAM_DONE) {
		atomic_fetch_sub(&c->up->n_events, 1);
		upstream_sub_held(c->up, ev->len);
		atomic_fetch_sub(&c->queued_bytes, ev->len);
		free(ev);
	}
	call_unref(c);
}

/// Half of the mailbox is reserved for UPSTREAM_DONE events, so none is ever lost.
bool upstream_events_full(const struct upstream *up)
{
	return atomic_load(&up->n_events) >= 2 * up->opts.max_calls;
}

bool upstream_post_head(struct upstream_call *c)
{
	struct upstream_event *ev;
	struct upstream_head *head;

	if (upstream_events_full(c->up))
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
	atomic_fetch_add(&c->up->n_events, 1);
	if (mbox_put(c->up->opts.events, ev) == ERR_OK)
		return true;
	upstream_event_free(ev);
	return false;
}

bool upstream_post_data(struct upstream_call *c, const char *data, size_t len)
{
	struct upstream_event *ev;
	char *copy;

	if (upstream_call_must_pause(c, len))
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
	atomic_fetch_add(&c->up->n_events, 1);
	upstream_add_held(c->up, len);
	atomic_fetch_add(&c->queued_bytes, len);
	if (mbox_put(c->up->opts.events, ev) == ERR_OK)
		return true;
	upstream_event_free(ev);
	return false;
}
