// Calls the platform's key-value store, directly or through a peer, and tells calls
// that had no effect from those with an unknown outcome.
#include "daemon/platform_mod.h"

#include <stdlib.h>
#include <string.h>

#include "base/contact.h"
#include "base/histogram.h"
#include "base/log.h"
#include "base/metric.h"
#include "core/settings.h"
#include "daemon/mods.h"
#include "kv_counts.h"
#include "platform_call.h"
#include "platform_wire.h"
#include "proxy.h"
#include "store_keys.h"
#include "wire/wire.h"

enum {
	PLATFORM_CALLS_MAX = 1024, ///< calls in flight
	PLATFORM_BODY_BYTES_MAX = 64 << 20, ///< bytes of a response
	PLATFORM_LOG_INTERVAL_MS = 10000, ///< between lines of call counts
	/// Interval of direct probes while calls go through a peer; shorter for
	/// lead candidates, as results and all other nodes depend on them.
	PLATFORM_PROBE_INTERVAL_MS = 1500,
	PLATFORM_CANDIDATE_PROBE_INTERVAL_MS = 250,
	/// Delay of probes after a relay reports the store down; relays are
	/// queried more often.
	PLATFORM_RELAY_DOWN_MS = 1000,
	/// A reachable store answers a probe within milliseconds, or a few
	/// hundred when slow; an unanswered probe is soon repeated.
	PLATFORM_PROBE_TIMEOUT_MS = 400,
	/// Once the store is reachable, cached state is confirmed within this
	/// time; allows for one lost call and its retry.
	PLATFORM_CONFIRM_MS = 1000,
	RETRY_AFTER_MIN_MS = 500, ///< enough to reach another node
	RETRY_AFTER_MAX_MS = 3000, ///< at most a third of the callers' time
};

struct platform {
	const struct kv_wire_ops *wire;
	struct htab *calls;
	struct contact contact; ///< store, directly or through a peer
	struct contact direct; ///< store, directly
	struct proxy *proxy; ///< NULL if nodes don't know each other
	bool via_peer; ///< send calls through a peer
	int64_t next_probe_ms; ///< next direct probe of the store
	struct kv_counts counts; ///< direct calls since the last log line
	int64_t counts_logged_ms;
	bool new_connection; ///< the next direct call needs one: the last failed
	int64_t no_answer_ms; ///< start of the last failed direct call on a new
		///< connection, 0 for none
	int64_t reachable_since_ms; ///< first direct response since then, 0 for none
	int64_t relay_down_ms; ///< last relay report that the store is down, 0 for none
};

/// Paths by which a call may reach the store.
enum call_path {
	PATH_ANY, ///< directly or through a peer
	PATH_DIRECT, ///< directly, on behalf of a peer
	PATH_PROBE, ///< directly, to check whether the store is reachable
};

struct platform_call {
	struct kv_call call;
	struct kv_cb cb;
	struct arena arena;
	int64_t start_ms;
	enum call_path path;
	bool new_connection; ///< sent on a new connection
};

static struct platform *platform_of(const struct core *c)
{
	return core_mod_state(c, MOD_PLATFORM);
}

static void proxy_done(struct core *c, htab_handle call,
		       const struct kv_result *res);

static enum err platform_start(struct core *c, void **state)
{
	struct platform *p = calloc(1, sizeof(*p));

	if (!p)
		return ERR_NOMEM;
	p->wire = core_wire(c) ? core_wire(c)->store : &kv_wire_json;
	p->counts_logged_ms = core_now(c);
	p->calls = htab_new(PLATFORM_CALLS_MAX, sizeof(struct platform_call *));
	if (!p->calls) {
		free(p);
		return ERR_NOMEM;
	}
	*state = p;
	return core_wire(c) ? proxy_start(c, &p->proxy, proxy_done) : ERR_OK;
}

static void platform_call_free(struct platform_call *pc)
{
	arena_free(&pc->arena);
	free(pc);
}

static void platform_stop(struct core *c, void *state)
{
	struct platform *p = state;
	size_t iter = 0;
	struct platform_call **pc;

	while ((pc = htab_next(p->calls, &iter, NULL)))
		platform_call_free(*pc);
	htab_free(p->calls);
	proxy_free(p->proxy);
	free(p);
}

int64_t kv_last_contact(struct core *c)
{
	return platform_of(c)->contact.heard_ms;
}

int64_t kv_last_response(struct core *c)
{
	return platform_of(c)->contact.answered_ms;
}

void kv_note_relay_contact(struct core *c, int64_t as_of_ms)
{
	struct platform *p = platform_of(c);

	contact_peer_report(&p->contact, as_of_ms);
	/* What the relay reaches may be reachable directly: probe now. */
	if (p->relay_down_ms)
		p->next_probe_ms = core_now(c);
	p->relay_down_ms = 0;
}

void kv_note_relay_down(struct core *c)
{
	platform_of(c)->relay_down_ms = core_now(c);
}

/* Latest time at which a response shows that the store was up. */
static int64_t store_up_ms(const struct platform_call *pc,
			   const struct kv_result *res)
{
	if (pc->call.op == KV_WATCH && res->err == ERR_OK &&
	    res->n_items == 0 && res->n_deleted == 0)
		return pc->start_ms + pc->call.ms;
	return pc->start_ms;
}

static bool is_failure(const struct kv_result *res)
{
	return res->err == ERR_KV_UNKNOWN || res->err == ERR_KV_DOWN;
}

/* Whether a failed call started before the latest answered one: it says nothing
 * about the store's current state. */
static bool is_outdated(const struct contact *contact,
			const struct platform_call *pc,
			const struct kv_result *res)
{
	return is_failure(res) && contact->answering_since_ms &&
	       pc->start_ms < contact->heard_ms;
}

static void note_outcome(struct platform *p, const struct platform_call *pc,
			 const struct kv_result *res, int64_t now)
{
	int64_t up_ms = store_up_ms(pc, res);
	int64_t silent_ms;

	if (is_failure(res))
		metric_add(M_KV_FAILED, 1);
	if (is_outdated(&p->contact, pc, res))
		return;
	if (is_failure(res)) {
		if (contact_call_failed(&p->contact))
			log_event(EV_KV_LOST, "error=%s call=%d",
				  err_code(res->err), (int)pc->call.op);
		return;
	}
	silent_ms = p->contact.answered_ms ? now - p->contact.answered_ms : 0;
	if (contact_call_succeeded(&p->contact, now, up_ms))
		log_event(EV_KV_FOUND, "silent_ms=%lld by_peer=%d",
			  (long long)silent_ms, p->via_peer);
}

static int64_t probe_interval_ms(struct core *c)
{
	bool candidate = settings_int(core_settings(c), S_LEAD_CANDIDATE) == 1;

	return candidate ? PLATFORM_CANDIDATE_PROBE_INTERVAL_MS
			 : PLATFORM_PROBE_INTERVAL_MS;
}

/* Ignores failures on reused connections, which may be dead while the store is up. */
static void note_new_connection(struct platform *p,
				const struct platform_call *pc, bool failed,
				int64_t now)
{
	if (failed && pc->new_connection) {
		p->no_answer_ms = pc->start_ms;
		p->reachable_since_ms = 0;
	} else if (!failed && p->no_answer_ms && !p->reachable_since_ms) {
		p->reachable_since_ms = now;
	}
}

/* Update the store's reachability from a direct call. */
static void note_direct(struct core *c, struct platform *p,
			const struct platform_call *pc,
			const struct kv_result *res)
{
	int64_t now = core_now(c);
	bool failed = is_failure(res);

	if (is_outdated(&p->direct, pc, res))
		return;
	p->new_connection = failed;
	note_new_connection(p, pc, failed, now);
	if (failed)
		contact_call_failed(&p->direct);
	else
		contact_call_succeeded(&p->direct, now, store_up_ms(pc, res));
	if (p->proxy && p->via_peer != failed) {
		p->via_peer = failed;
		p->next_probe_ms = now + probe_interval_ms(c);
		log_event(EV_KV_PROXY, "by_peer=%d error=%s", failed,
			  err_code(res->err));
	}
}

int64_t kv_retry_after(struct core *c)
{
	const struct platform *p = platform_of(c);
	int64_t silent_ms = core_now(c) - p->contact.heard_ms;
	bool peers_up =
		p->proxy && !proxy_peers_down(p->proxy, p->contact.heard_ms);

	if (p->contact.answering_since_ms || peers_up ||
	    silent_ms < RETRY_AFTER_MIN_MS)
		return RETRY_AFTER_MIN_MS;
	return silent_ms < RETRY_AFTER_MAX_MS ? silent_ms : RETRY_AFTER_MAX_MS;
}

int64_t kv_unreachable_since(struct core *c)
{
	const struct platform *p = platform_of(c);

	if (p->reachable_since_ms &&
	    core_now(c) - p->reachable_since_ms >= PLATFORM_CONFIRM_MS)
		return 0;
	return p->no_answer_ms;
}

int64_t kv_reachable_since(struct core *c)
{
	return platform_of(c)->reachable_since_ms;
}

int64_t kv_up_since(struct core *c)
{
	return platform_of(c)->contact.answering_since_ms;
}

static void platform_finish(struct core *c, htab_handle h,
			    struct platform_call *pc,
			    const struct kv_result *res)
{
	struct platform *p = platform_of(c);

	htab_del(p->calls, h);
	/* A node without calls of its own learns from its probes that the store
	 * is reachable again. */
	if (pc->path == PATH_ANY ||
	    (pc->path == PATH_PROBE && !is_failure(res)))
		note_outcome(p, pc, res, core_now(c));
	if (pc->call.op != KV_WATCH)
		histogram_add(H_KV_CALL, core_now(c) - pc->start_ms);
	pc->cb.fn(c, pc->cb.ctx, res);
	platform_call_free(pc);
}

static void proxy_done(struct core *c, htab_handle call,
		       const struct kv_result *res)
{
	struct platform_call **slot = htab_get(platform_of(c)->calls, call);

	if (slot)
		platform_finish(c, call, *slot, res);
}

/* Whether a call that failed directly may be retried through a peer: it certainly
 * had no effect, or it is idempotent. */
static bool may_retry(const struct platform_call *pc,
		      const struct kv_result *res)
{
	bool write = pc->call.op == KV_PUT || pc->call.op == KV_DEL ||
		     pc->call.op == KV_GRANT;

	return pc->path == PATH_ANY && (res->err == ERR_KV_DOWN ||
					(res->err == ERR_KV_UNKNOWN && !write));
}

static void platform_done(struct core *c, void *ctx,
			  const struct core_fetch_result *fetch)
{
	struct platform *p = platform_of(c);
	htab_handle h = (htab_handle)(uintptr_t)ctx;
	struct platform_call **slot = htab_get(p->calls, h);
	struct platform_call *pc = *slot;
	struct kv_result res = {
		.err = fetch->sent ? ERR_KV_UNKNOWN : ERR_KV_DOWN,
	};

	if (core_fetch_answered(fetch))
		p->wire->decode(&pc->call, fetch->status, fetch->body,
				fetch->body_len, &pc->arena, &res);
	note_direct(c, p, pc, &res);
	if (p->proxy && fetch->err != ERR_CLOSED && may_retry(pc, &res) &&
	    proxy_call(c, p->proxy, h, &pc->call))
		return;
	platform_finish(c, h, pc, &res);
}

static enum err platform_fetch(struct core *c, struct platform_call *pc,
			       htab_handle h)
{
	static const char *const headers[] = {"Content-Type: application/json",
					      NULL};
	const struct settings *s = core_settings(c);
	struct platform *p = platform_of(c);
	struct kv_wire_req req;
	enum err e = p->wire->encode(&pc->call, settings_str(s, S_PLATFORM_URL),
				     &pc->arena, &req);
	struct core_fetch_opts opts = {
		.headers = headers,
		.timeout_ms = pc->path == PATH_PROBE || pc->call.urgent
				      ? PLATFORM_PROBE_TIMEOUT_MS
				      : settings_int(s, S_PLATFORM_TIMEOUT),
		.max_body = PLATFORM_BODY_BYTES_MAX,
		.fresh = p->new_connection || pc->call.urgent,
		.on_done = platform_done,
		.ctx = (void *)(uintptr_t)h,
	};

	if (e != ERR_OK)
		return e;
	if (pc->call.op == KV_WATCH)
		opts.timeout_ms += pc->call.ms;
	pc->new_connection = opts.fresh;
	opts.method = req.method;
	opts.url = req.url;
	opts.body = req.body;
	opts.body_len = req.len;
	e = core_fetch(c, &opts, NULL);
	if (e == ERR_OK)
		kv_counts_add(&p->counts, pc->call.op, pc->call.key);
	return e;
}

static const enum metric op_metrics[KV_OP_COUNT] = {
	[KV_GET] = M_KV_GET,	 [KV_LIST] = M_KV_LIST,
	[KV_PUT] = M_KV_PUT,	 [KV_DEL] = M_KV_DEL,
	[KV_WATCH] = M_KV_WATCH, [KV_GRANT] = M_KV_GRANT,
	[KV_RENEW] = M_KV_RENEW, [KV_REVOKE] = M_KV_REVOKE,
};

/* Copy the caller's strings, which a retry can't use. */
static bool copy_call(struct platform_call *pc, const struct kv_call *call)
{
	pc->call = *call;
	if (call->key)
		pc->call.key = arena_strdup(&pc->arena, call->key);
	if (call->from)
		pc->call.from = arena_strdup(&pc->arena, call->from);
	if (call->value)
		pc->call.value =
			arena_strndup(&pc->arena, call->value, call->len);
	return !pc->call.key == !call->key && !pc->call.from == !call->from &&
	       !pc->call.value == !call->value;
}

/* Load pattern: the store is down while every module calls it. Even failed calls are
 * expensive, so they are not sent; probes detect the store's return. */
static bool fail_fast(const struct platform *p, const struct platform_call *pc)
{
	return p->proxy && pc->path == PATH_ANY && !pc->call.urgent &&
	       contact_is_lost(&p->direct);
}

static enum err call_begin(struct core *c, const struct kv_call *call,
			   struct kv_cb cb, enum call_path path)
{
	struct platform *p = platform_of(c);
	struct platform_call *pc = calloc(1, sizeof(*pc));
	struct platform_call **slot;
	htab_handle h;
	enum err e = ERR_FULL;

	if (!pc)
		return ERR_NOMEM;
	slot = htab_add(p->calls, &h);
	if (!slot)
		goto err_slot;
	*slot = pc;
	pc->cb = cb;
	pc->start_ms = core_now(c);
	pc->path = path;
	arena_init(&pc->arena, 0);
	e = copy_call(pc, call) ? ERR_OK : ERR_NOMEM;
	if (e == ERR_OK && (path != PATH_ANY || !p->via_peer || call->urgent ||
			    !proxy_call(c, p->proxy, h, &pc->call)))
		e = fail_fast(p, pc) ? ERR_KV_DOWN : platform_fetch(c, pc, h);
	if (e != ERR_OK)
		goto err_fetch;
	metric_add(M_KV_CALLS, 1);
	metric_add(op_metrics[call->op], 1);
	return ERR_OK;

err_fetch:
	htab_del(p->calls, h);
err_slot:
	platform_call_free(pc);
	return e;
}

enum err platform_begin(struct core *c, const struct kv_call *call,
			struct kv_cb cb)
{
	return call_begin(c, call, cb, PATH_ANY);
}

enum err kv_call_direct(struct core *c, const struct kv_call *call,
			struct kv_cb cb)
{
	if (!platform_of(c)->direct.answering_since_ms)
		return ERR_KV_DOWN;
	return call_begin(c, call, cb, PATH_DIRECT);
}

static void probe_done(struct core *c, void *ctx, const struct kv_result *res)
{
	/* note_direct() has already used the outcome. */
}

static void probe_step(struct core *c, struct platform *p, int64_t now_ms)
{
	const struct kv_call call = {.op = KV_GET, .key = KEY_LEADER};

	if (!p->via_peer || now_ms < p->next_probe_ms)
		return;
	/* Load pattern: the store is down, and hundreds of nodes probe it. */
	if (p->relay_down_ms &&
	    now_ms - p->relay_down_ms < PLATFORM_RELAY_DOWN_MS)
		return;
	p->next_probe_ms = now_ms + probe_interval_ms(c);
	call_begin(c, &call, (struct kv_cb){probe_done, NULL}, PATH_PROBE);
}

static void log_counts(const struct platform *p, int64_t ms)
{
	const struct kv_counts *n = &p->counts;
	char text[KV_COUNTS_TEXT_SIZE];

	kv_counts_format(n, text);
	log_event(EV_KV_CALLS,
		  "ms=%lld get=%llu list=%llu put=%llu del=%llu watch=%llu "
		  "grant=%llu renew=%llu revoke=%llu by=%s",
		  (long long)ms, (unsigned long long)kv_counts_sum(n, KV_GET),
		  (unsigned long long)kv_counts_sum(n, KV_LIST),
		  (unsigned long long)kv_counts_sum(n, KV_PUT),
		  (unsigned long long)kv_counts_sum(n, KV_DEL),
		  (unsigned long long)kv_counts_sum(n, KV_WATCH),
		  (unsigned long long)kv_counts_sum(n, KV_GRANT),
		  (unsigned long long)kv_counts_sum(n, KV_RENEW),
		  (unsigned long long)kv_counts_sum(n, KV_REVOKE),
		  *text ? text : "-");
}

static void platform_tick(struct core *c, void *state, int64_t now_ms)
{
	struct platform *p = state;

	if (p->proxy) {
		proxy_expire(c, p->proxy);
		probe_step(c, p, now_ms);
	}
	if (now_ms - p->counts_logged_ms < PLATFORM_LOG_INTERVAL_MS)
		return;
	log_counts(p, now_ms - p->counts_logged_ms);
	memset(&p->counts, 0, sizeof(p->counts));
	p->counts_logged_ms = now_ms;
}

const struct core_mod_ops platform_mod_ops = {
	.name = "platform",
	.start = platform_start,
	.tick = platform_tick,
	.stop = platform_stop,
};
