// The state machine: take only higher revisions, count freshness from the
// moment of the question, ask further the older the last confirmation is.
#include "conf/sync.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sync_priv.h"

enum {
	WATCH_BACKOFF_MS = 200, ///< after a failed watch
	WATCH_LOST_MS = 600, ///< a watch this much over its wait is given up
	READ_MS = 2000, ///< interval between reads of a stale node
	ASK_JITTER_MS = 200, ///< so that nodes started together don't ask so
	WATCHES_PER_READ = 5, ///< a plain read now and then instead of a watch
	DOMAIN_FORGET_MS = 60000, ///< unseen failure domains are forgotten
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
	s->fresh_ms = SYNC_NEVER;
	sync_choose_watchers(s);
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

int64_t conf_sync_age(const struct conf_sync *s, int64_t now)
{
	return s->fresh_ms == SYNC_NEVER ? -1 : now - s->fresh_ms;
}

static bool stale(const struct conf_sync *s, int64_t now)
{
	int64_t limit = conf_sync_watcher(s) ? CONF_SYNC_STALE_WATCHER_MS
					     : CONF_SYNC_STALE_MS;

	return !s->doc || now - s->fresh_ms > limit;
}

/// Whether every other known failure domain answered a question of late.
static bool all_heard(const struct conf_sync *s, int64_t since)
{
	for (size_t i = 0; i < s->n_domains; i++) {
		const struct sync_domain *d = &s->domains[i];

		if (d->heard_ms < since && strcmp(d->name, s->domain) != 0)
			return false;
	}
	return true;
}

enum conf_fresh conf_sync_fresh(const struct conf_sync *s, int64_t now)
{
	struct conf_scope scope = {.domain = s->domain};
	int64_t grace;

	if (!s->doc)
		return CONF_NONE;
	grace = conf_int(s->doc, CF_CUT_OFF_GRACE, &scope);
	if (now - s->fresh_ms <= grace)
		return CONF_FRESH;
	return all_heard(s, now - grace) ? CONF_KV_DOWN : CONF_CUT_OFF;
}

/// Take a document if its revision is higher.
///
/// @return ERR_OK also when it is not higher
static enum err take(struct conf_sync *s, const char *text, size_t len,
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
	s->ops->changed(s->ctx);
	sync_push(s);
	return ERR_OK;
}

static void confirm(struct conf_sync *s, int64_t at)
{
	if (at > s->fresh_ms)
		s->fresh_ms = at;
}

void conf_sync_on_kv(struct conf_sync *s, int64_t now,
		     const struct conf_sync_kv *kv)
{
	uint64_t rev = 0;
	enum err e;

	if (s->watching && kv->asked_ms == s->watch_sent) {
		s->watching = false;
		s->watch_at = now + (kv->err ? WATCH_BACKOFF_MS : 0);
	}
	if (kv->err && kv->err != ERR_NOT_FOUND)
		return;
	if (kv->kv_rev > s->kv_rev)
		s->kv_rev = kv->kv_rev;
	if (kv->unchanged) {
		confirm(s, kv->asked_ms);
		return;
	}
	if (kv->err == ERR_NOT_FOUND)
		return;
	e = take(s, kv->text, kv->len, &rev);
	if (e)
		s->ops->bad(s->ctx, "kv", e);
	else if (rev == conf_rev(s->doc))
		confirm(s, kv->asked_ms);
	else
		s->ops->bad(s->ctx, "kv", ERR_CONF_OLDER);
}

static void on_ask(struct conf_sync *s, int64_t now, const char *from,
		   const struct conf_msg *ask)
{
	struct conf_msg m = {
		.type = CONF_MSG_ANSWER,
		.nonce = ask->nonce,
		.rev = s->doc ? conf_rev(s->doc) : 0,
		.age_ms = conf_sync_age(s, now),
	};

	if (m.rev > ask->rev)
		m.text = conf_text(s->doc, &m.len);
	s->ops->send(s->ctx, from, &m);
}

static struct sync_question *question_of(struct conf_sync *s, uint64_t nonce)
{
	for (size_t i = 0; nonce && i < SYNC_SENT; i++) {
		if (s->sent[i].nonce == nonce)
			return &s->sent[i];
	}
	return NULL;
}

static void on_answer(struct conf_sync *s, int64_t now, const char *from,
		      const struct conf_msg *m)
{
	struct sync_question *q = question_of(s, m->nonce);
	const struct sync_peer *p = sync_peer_find(s, from);
	struct sync_domain *d = p ? sync_domain_find(s, p->m.domain) : NULL;

	if (!q)
		return;
	q->nonce = 0;
	if (d && q->asked_ms > d->heard_ms)
		d->heard_ms = q->asked_ms;
	if (m->age_ms >= 0 && s->doc && m->rev <= conf_rev(s->doc))
		confirm(s, q->asked_ms - m->age_ms);
	if (s->ask_at < q->asked_ms + CONF_SYNC_ASK_MS - ASK_JITTER_MS)
		s->ask_at = q->asked_ms + CONF_SYNC_ASK_MS -
			    (int64_t)rng_below(&s->rng, ASK_JITTER_MS);
}

void conf_sync_on_msg(struct conf_sync *s, int64_t now, const char *from,
		      const struct conf_msg *m)
{
	struct sync_peer *p = sync_peer_find(s, from);
	uint64_t rev;

	if (p && m->rev > p->rev)
		p->rev = m->rev;
	if (m->text) {
		enum err e = take(s, m->text, m->len, &rev);

		if (e) {
			s->ops->bad(s->ctx, from, e);
			return;
		}
	}
	if (m->type == CONF_MSG_ASK)
		on_ask(s, now, from, m);
	else if (m->type == CONF_MSG_ANSWER)
		on_answer(s, now, from, m);
}

static void tick_watch(struct conf_sync *s, int64_t now)
{
	if (s->watching &&
	    now - s->watch_sent > CONF_SYNC_WATCH_MS + WATCH_LOST_MS) {
		s->watching = false; /* went silent: start another */
		s->watch_at = now;
	}
	if (s->watching || now < s->watch_at || !conf_sync_watcher(s))
		return;
	s->watching = true;
	s->watch_sent = now;
	if (s->kv_rev && ++s->watches % WATCHES_PER_READ != 0)
		s->ops->watch(s->ctx, s->kv_rev, CONF_SYNC_WATCH_MS);
	else
		s->ops->read(s->ctx);
}

/// Forget failure domains without a node, but only while fresh: a node that
/// has lost contact must not take silence for absence.
static void tick_domains(struct conf_sync *s, int64_t now)
{
	bool fresh = conf_sync_fresh(s, now) == CONF_FRESH;
	size_t n = 0;

	for (size_t i = 0; i < s->n_domains; i++) {
		struct sync_domain *d = &s->domains[i];

		if (d->in_view || !fresh)
			d->seen_ms = now;
		if (now - d->seen_ms <= DOMAIN_FORGET_MS)
			s->domains[n++] = *d;
	}
	s->n_domains = n;
}

void conf_sync_tick(struct conf_sync *s, int64_t now)
{
	bool old = stale(s, now);

	tick_domains(s, now);
	tick_watch(s, now);
	if (old && now >= s->spread_at) {
		s->spread_at = now + CONF_SYNC_ASK_MS;
		sync_ask_domains(s, now);
	}
	if (old && !conf_sync_watcher(s) && now >= s->read_at) {
		s->read_at =
			now + READ_MS + (int64_t)rng_below(&s->rng, READ_MS);
		s->ops->read(s->ctx);
	}
	if (!conf_sync_watcher(s) && now >= s->ask_at) {
		s->ask_at = now + CONF_SYNC_RETRY_MS;
		sync_ask_watcher(s, now);
	}
}
