// Drops remaining requests and events after the loop has ended.
#include "core.h"

static void drop_events(struct core *c)
{
	struct http_event *hev;
	struct upstream_event *uev;
	struct peer_msg *m;

	while (c->http && (hev = mbox_get(c->http_queue))) {
		if (hev->kind == HTTP_REQ)
			c->opts.http->drop(hev->req);
		else
			c->opts.http->release_gone(hev->req);
	}
	while (c->up && (uev = mbox_get(c->upstream_queue)))
		c->opts.upstream->event_free(uev);
	while (c->peer && (m = mbox_get(c->peer_queue)))
		c->opts.peer->msg_free(c->peer, m);
}

static void cancel_fetches(struct core *c)
{
	htab_handle h;
	size_t iter = 0;

	while (htab_next(c->fetches, &iter, &h))
		core_fetch_cancel(c, h);
}

void core_drop_all(struct core *c)
{
	if (c->reqs)
		core_drop_requests(c);
	if (c->fetches)
		cancel_fetches(c);
	drop_events(c);
}
