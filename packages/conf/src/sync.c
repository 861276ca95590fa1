// State machine of conf/sync.h: accepts only higher revisions, and queries more
// nodes and the store once the last confirmation is too old.
#include "conf/sync.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sync_priv.h"

enum {
	WATCH_BACKOFF_MS = 200, ///< delay after a failed watch
	REJECTED_BACKOFF_MS = 1000, ///< delay after a rejected document
	WATCH_TIMEOUT_MARGIN_MS = 600, ///< added to the wait of a watch
	STALE_READ_MS = 2000, ///< least interval of reads while stale
	QUERY_JITTER_MS = 200, ///< desynchronizes nodes started together
	WATCHES_PER_READ = 5, ///< every 5th is a plain read
	DOMAIN_TTL_MS = 60000, ///< until an empty domain is dropped
};

enum err conf_sync_new(const struct conf_sync_opts *opts,
		       struct conf_sync **out)
{
	struct conf_sync *s = calloc(1, sizeof(*s));

	*out = s;
	if (!s)
		return ERR_NOMEM;
	snprintf(s->node, sizeof(s->node), "%s", opts->node);
	snprintf(s->domain, sizeof(s->domain), "%s", opts->domain);
	s->ops = opts->ops;
	s->ctx = opts->ctx;
	s->rng.state = opts->seed;
	s->confirmed_ms = SYNC_NEVER;
	sync_select_watchers(s);
	return ERR_OK;
}

void conf_sync_free(struct conf_sync *s)
{
	if (!s)
		return;
	conf_free(s->doc);
	free(s->peers);
	free(s);
}

const struct conf *conf_sync_doc(const struct conf_sync *s)
{
	return s->doc;
}

int64_t conf_sync_age_ms(const struct conf_sync *s, int64_t now)
{
	return s->confirmed_ms == SYNC_NEVER ? -1 : now - s->confirmed_ms;
}

static bool is_stale(const struct conf_sync *s, int64_t now)
{
	int64_t limit_ms = conf_sync_is_watcher(s) ? CONF_SYNC_STALE_WATCHER_MS
						   : CONF_SYNC_STALE_MS;

	return !s->doc || now - s->confirmed_ms > limit_ms;
}

/// Whether each other known failure domain answered a query sent since then.
static bool all_domains_answered(const struct conf_sync *s, int64_t since_ms)
{
	for (size_t i = 0; i < s->n_domains; i++) {
		const struct sync_domain *d = &s->domains[i];

		if (d->answered_ms < since_ms &&
		    strcmp(d->name, s->domain) != 0)
			return false;
	}
	return true;
}

enum conf_freshness conf_sync_freshness(const struct conf_sync *s, int64_t now)
{
	struct conf_scope scope = {.domain = s->domain};
	int64_t grace_ms;

	if (!s->doc)
		return CONF_NO_DOC;
	grace_ms = conf_get_int(s->doc, CF_CUT_OFF_GRACE, &scope);
	if (now - s->confirmed_ms <= grace_ms)
		return CONF_FRESH;
	return all_domains_answered(s, now - grace_ms) ? CONF_KV_DOWN
						       : CONF_CUT_OFF;
}

/// Put a document in force if its revision is higher.
///
/// @return ERR_OK also when it is not higher
static enum err accept_doc(struct conf_sync *s, const char *text, size_t len,
			   uint64_t *rev)
{
	struct conf *next;
	enum err e = conf_parse(text, len, &next);

	if (e)
		return e;
	*rev = conf_rev(next);
	if (s->doc && *rev <= conf_rev(s->doc)) {
		conf_free(next);
		return ERR_OK;
	}
	conf_free(s->doc);
	s->doc = next;
	s->ops->doc_changed(s->ctx);
	sync_push(s);
	return ERR_OK;
}

static void confirm_at(struct conf_sync *s, int64_t at_ms)
{
	if (at_ms > s->confirmed_ms)
		s->confirmed_ms = at_ms;
}

/// Confirm the document in force, and watch for later revisions.
static void confirm_kv(struct conf_sync *s,
		       const struct conf_sync_kv_result *kv)
{
	if (kv->kv_rev > s->kv_rev)
		s->kv_rev = kv->kv_rev;
	confirm_at(s, kv->asked_ms);
}

/// Reject the store's content: nothing is confirmed, and the next watch returns
/// it again.
static void reject_kv_doc(struct conf_sync *s, int64_t now, enum err e)
{
	s->ops->doc_rejected(s->ctx, "kv", e);
	s->next_watch_ms = now + REJECTED_BACKOFF_MS;
}

static void on_kv_doc(struct conf_sync *s, int64_t now,
		      const struct conf_sync_kv_result *kv)
{
	uint64_t rev = 0;
	enum err e = accept_doc(s, kv->text, kv->len, &rev);

	if (e)
		reject_kv_doc(s, now, e);
	else if (rev < conf_rev(s->doc))
		reject_kv_doc(s, now, ERR_CONF_OLDER);
	else
		confirm_kv(s, kv);
}

void conf_sync_on_kv(struct conf_sync *s, int64_t now,
		     const struct conf_sync_kv_result *kv)
{
	if (s->watch_in_flight && kv->asked_ms == s->watch_sent_ms) {
		s->watch_in_flight = false;
		s->next_watch_ms = now + (kv->err ? WATCH_BACKOFF_MS : 0);
	}
	if (kv->err)
		return;
	if (kv->unchanged)
		confirm_kv(s, kv);
	else
		on_kv_doc(s, now, kv);
}

static void on_query(struct conf_sync *s, int64_t now, const char *from,
		     const struct conf_msg *query)
{
	struct conf_msg m = {
		.type = CONF_MSG_REPLY,
		.nonce = query->nonce,
		.rev = s->doc ? conf_rev(s->doc) : 0,
		.age_ms = conf_sync_age_ms(s, now),
	};

	if (m.rev > query->rev)
		m.text = conf_text(s->doc, &m.len);
	s->ops->send(s->ctx, from, &m);
}

static struct sync_request *request_find(struct conf_sync *s, uint64_t nonce)
{
	for (size_t i = 0; nonce && i < SYNC_REQUESTS_MAX; i++) {
		if (s->requests[i].nonce == nonce)
			return &s->requests[i];
	}
	return NULL;
}

static void on_query_reply(struct conf_sync *s, int64_t now, const char *from,
			   const struct conf_msg *m)
{
	struct sync_request *req = request_find(s, m->nonce);
	const struct sync_peer *p = sync_peer_find(s, from);
	struct sync_domain *d = p ? sync_domain_find(s, p->m.domain) : NULL;

	if (!req)
		return;
	req->nonce = 0;
	if (d && req->sent_ms > d->answered_ms)
		d->answered_ms = req->sent_ms;
	if (m->age_ms >= 0 && s->doc && m->rev <= conf_rev(s->doc))
		confirm_at(s, req->sent_ms - m->age_ms);
	if (s->next_query_ms <
	    req->sent_ms + CONF_SYNC_QUERY_MS - QUERY_JITTER_MS)
		s->next_query_ms = req->sent_ms + CONF_SYNC_QUERY_MS -
				   (int64_t)rng_below(&s->rng, QUERY_JITTER_MS);
}

void conf_sync_on_msg(struct conf_sync *s, int64_t now, const char *from,
		      const struct conf_msg *m)
{
	struct sync_peer *p = sync_peer_find(s, from);
	uint64_t rev;

	if (p && m->rev > p->rev)
		p->rev = m->rev;
	if (m->text) {
		enum err e = accept_doc(s, m->text, m->len, &rev);

		if (e) {
			s->ops->doc_rejected(s->ctx, from, e);
			return;
		}
	}
	if (m->type == CONF_MSG_QUERY)
		on_query(s, now, from, m);
	else if (m->type == CONF_MSG_REPLY)
		on_query_reply(s, now, from, m);
}

static void tick_watch(struct conf_sync *s, int64_t now)
{
	if (s->watch_in_flight &&
	    now - s->watch_sent_ms >
		    CONF_SYNC_WATCH_WAIT_MS + WATCH_TIMEOUT_MARGIN_MS) {
		s->watch_in_flight = false; /* timed out: start another */
		s->next_watch_ms = now;
	}
	if (s->watch_in_flight || now < s->next_watch_ms ||
	    !conf_sync_is_watcher(s))
		return;
	s->watch_in_flight = true;
	s->watch_sent_ms = now;
	if (s->kv_rev && ++s->n_watches % WATCHES_PER_READ != 0)
		s->ops->watch(s->ctx, s->kv_rev, CONF_SYNC_WATCH_WAIT_MS);
	else
		s->ops->read(s->ctx);
}

/// Drop failure domains without members, but only while fresh: a node without
/// contact can't tell a partitioned domain from a removed one.
static void tick_domains(struct conf_sync *s, int64_t now)
{
	bool fresh = conf_sync_freshness(s, now) == CONF_FRESH;
	size_t n = 0;

	for (size_t i = 0; i < s->n_domains; i++) {
		struct sync_domain *d = &s->domains[i];

		if (d->has_members || !fresh)
			d->last_member_ms = now;
		if (now - d->last_member_ms <= DOMAIN_TTL_MS)
			s->domains[n++] = *d;
	}
	s->n_domains = n;
}

void conf_sync_tick(struct conf_sync *s, int64_t now)
{
	bool stale = is_stale(s, now);

	tick_domains(s, now);
	tick_watch(s, now);
	if (stale && now >= s->next_domain_query_ms) {
		s->next_domain_query_ms = now + CONF_SYNC_QUERY_MS;
		sync_query_domains(s, now);
	}
	if (stale && !conf_sync_is_watcher(s) && now >= s->next_read_ms) {
		s->next_read_ms = now + STALE_READ_MS +
				  (int64_t)rng_below(&s->rng, STALE_READ_MS);
		s->ops->read(s->ctx);
	}
	if (!conf_sync_is_watcher(s) && now >= s->next_query_ms) {
		s->next_query_ms = now + CONF_SYNC_RETRY_MS;
		sync_query_watcher(s, now);
	}
}
