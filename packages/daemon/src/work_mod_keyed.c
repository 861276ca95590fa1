// API calls with an idempotency key: claims the key, runs the request, records
// the outcome for repeats.
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/metric.h"
#include "core/settings.h"
#include "work_mod_int.h"

enum {
	KEYED_RETRY_AFTER_MS = 1000, ///< claim running or unavailable
	KEYED_DETAIL_LEN = 128, ///< bytes
};

/* Hash of team, route and the caller's key. */
static struct claim_u128 keyed_key_hash(const char *team, const char *route,
					const char *key)
{
	crypto_generichash_state st;
	struct claim_u128 n;

	crypto_generichash_init(&st, NULL, 0, sizeof(n));
	crypto_generichash_update(&st, (const unsigned char *)team,
				  strlen(team) + 1);
	crypto_generichash_update(&st, (const unsigned char *)route,
				  strlen(route) + 1);
	crypto_generichash_update(&st, (const unsigned char *)key, strlen(key));
	crypto_generichash_final(&st, (unsigned char *)&n, sizeof(n));
	return n;
}

static uint64_t keyed_request_hash(const struct work_opts *o)
{
	uint64_t path = XXH64(o->path, strlen(o->path), 0);

	return XXH64(o->body, o->body_len, path);
}

static void keyed_apply_step(struct core *c, struct work_call *call,
			     enum claim_step step,
			     const struct claim_answer *a);

void work_keyed_begin(struct core *c, struct work_call *call, const char *route)
{
	struct work_state *s = work_state(c);
	int64_t wall_now_ms = clock_wall_ms();
	int64_t remaining_ms = call->opts.deadline_ms - core_now(c);
	int64_t retention_ms =
		settings_int(core_settings(c), S_WORK_CLAIM_KEEP);
	bool self;

	call->keyed = true;
	call->claim = (struct claim_request){
		.key = keyed_key_hash(call->team, route, call->opts.idem_key),
		.id = {strtoull(core_incarnation(c), NULL, 16), ++s->next_id},
		.body = keyed_request_hash(&call->opts),
		.until_ms = wall_now_ms + remaining_ms,
		.expires_ms = wall_now_ms + remaining_ms + retention_ms,
	};
	self = work_claim_is_writer(c, call->claim.key);
	keyed_apply_step(c, call,
			 claim_acquire_begin(&call->ask, self, core_now(c),
					     call->opts.deadline_ms),
			 NULL);
}

/* Release a claim that may be in the log though this node won't run it. */
static void keyed_release(struct core *c, const struct work_call *call)
{
	struct claim_record r = {.op = CLAIM_OP_RELEASE, .req = call->claim};

	work_claim_note(c, &r);
}

void work_keyed_abort(struct core *c, struct work_call *call)
{
	keyed_release(c, call);
	work_call_free(c, call);
}

static void keyed_replay(struct core *c, htab_handle req,
			 const struct claim_answer *a)
{
	char detail[KEYED_DETAIL_LEN];

	if (!a) {
		log_event(EV_WORK_FAULT, "what=done-without-answer");
		core_reply_err(c, req, ERR_CLAIM_DONE, RUN_DONE, 0, NULL);
		return;
	}
	metric_add(M_CLAIM_REPLAYED, 1);
	if (a->len == 0 || a->body) {
		core_reply_header(c, req, "Catkin-Run", "done");
		core_reply_header(c, req, "Catkin-Replayed", "yes");
		core_reply(c, req, a->status, a->ctype, a->body, a->len);
		return;
	}
	snprintf(detail, sizeof(detail), "status %d, %zu bytes, digest %016llx",
		 a->status, a->len, (unsigned long long)a->digest);
	core_reply_err(c, req, ERR_CLAIM_DONE, RUN_DONE, 0, detail);
}

static void keyed_reply(struct core *c, struct work_call *call,
			const struct claim_answer *a)
{
	static const enum err errors[CLAIM_VERDICT_COUNT] = {
		[CLAIM_RUNNING] = ERR_CLAIM_RUNNING,
		[CLAIM_LOST] = ERR_CLAIM_LOST,
		[CLAIM_MISMATCH] = ERR_CLAIM_MISMATCH,
		[CLAIM_UNAVAILABLE] = ERR_CLAIM_UNAVAILABLE,
	};
	enum claim_verdict v = call->ask.verdict;
	htab_handle req = call->req;
	bool later = v == CLAIM_RUNNING || v == CLAIM_UNAVAILABLE;
	enum err e = errors[v];

	if (v == CLAIM_UNAVAILABLE) {
		metric_add(M_CLAIM_REFUSED, 1);
		keyed_release(c, call);
	}
	work_call_free(c, call);
	if (v == CLAIM_DONE)
		keyed_replay(c, req, a);
	else
		core_reply_err(c, req, e, err_run(e),
			       later ? KEYED_RETRY_AFTER_MS : 0, err_doc(e));
}

static void keyed_apply_step(struct core *c, struct work_call *call,
			     enum claim_step step, const struct claim_answer *a)
{
	struct work_call copy = *call;

	if (step == CLAIM_STEP_REQUEST_WRITER ||
	    step == CLAIM_STEP_REQUEST_LOCAL)
		work_claim_ask(c, &copy.claim, call->h,
			       step == CLAIM_STEP_REQUEST_LOCAL);
	else if (step == CLAIM_STEP_RUN && !work_call_submit(c, call))
		keyed_release(c, &copy);
	else if (step == CLAIM_STEP_REPLY)
		keyed_reply(c, call, a);
}

void work_keyed_verdict(struct core *c, htab_handle h, enum claim_verdict v,
			const struct claim_answer *a, bool self)
{
	struct work_call *call = htab_get(work_state(c)->calls, h);

	if (!call || !call->keyed)
		return;
	keyed_apply_step(c, call, claim_acquire_verdict(&call->ask, v, self),
			 a);
}

void work_keyed_tick(struct core *c, int64_t now)
{
	struct work_state *s = work_state(c);
	struct work_call *call;
	size_t iter = 0;

	if (htab_count(s->calls) == 0)
		return;
	while ((call = htab_next(s->calls, &iter, NULL))) {
		if (call->keyed && !call->work)
			keyed_apply_step(c, call,
					 claim_acquire_tick(&call->ask, now),
					 NULL);
	}
}

void work_keyed_end(struct core *c, const struct work_call *call,
		    const struct work_result *res)
{
	struct claim_record r = {.op = CLAIM_OP_DONE, .req = call->claim};

	if (res->err != ERR_OK) {
		if (res->run == RUN_NO)
			keyed_release(c, call);
		return;
	}
	r.answer = (struct claim_answer){
		.status = res->status,
		.ctype = res->ctype,
		.body = res->body,
		.len = res->body_len,
		.digest = XXH64(res->body, res->body_len, 0),
	};
	work_claim_note(c, &r);
}
