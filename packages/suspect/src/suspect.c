// Table of requests under which servers ended.
#include "suspect/suspect.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	TRIAL_WAITS = 3,
};

/// Wait before the first, second and further trials, after the end or trial before it, in
/// ms. What is likely to end servers is tried seldom: each trial may cost others their
/// requests.
static const int64_t TRIAL_WAIT_MS[2][TRIAL_WAITS] = {
	{1000, 5000, 60000},
	{60000, 60000, 300000},
};

struct answered {
	struct suspect_id id;
	int64_t at_ms;
};

struct suspects {
	struct suspect_entry entries[SUSPECT_ENTRIES_MAX];
	struct answered answered[SUSPECT_ANSWERED_MAX];
	int n; ///< entries in use
};

struct suspects *suspects_new(void)
{
	return calloc(1, sizeof(struct suspects));
}

void suspects_free(struct suspects *t)
{
	free(t);
}

static bool is_used(const struct suspect_entry *e)
{
	return e->id.low || e->id.high;
}

static void release(struct suspects *t, struct suspect_entry *e)
{
	memset(e, 0, sizeof(*e));
	t->n--;
}

static struct suspect_entry *find(struct suspects *t, int64_t now,
				  struct suspect_id id)
{
	for (int i = 0; t->n && i < SUSPECT_ENTRIES_MAX; i++) {
		struct suspect_entry *e = &t->entries[i];

		if (!is_used(e))
			continue;
		if (now - e->seen_ms >= SUSPECT_KEEP_MS)
			release(t, e);
		else if (suspect_same(e->id, id))
			return e;
	}
	return NULL;
}

/* Entry to be given up for a new one: those not barred first, then the oldest. */
static struct suspect_entry *least_needed(struct suspects *t)
{
	struct suspect_entry *worst = &t->entries[0];

	for (int i = 0; i < SUSPECT_ENTRIES_MAX; i++) {
		struct suspect_entry *e = &t->entries[i];

		if (!is_used(e))
			return e;
		if (!e->barred_ms != !worst->barred_ms) {
			worst = e->barred_ms ? worst : e;
			continue;
		}
		if (e->seen_ms < worst->seen_ms)
			worst = e;
	}
	release(t, worst);
	return worst;
}

static struct suspect_entry *find_or_add(struct suspects *t, int64_t now,
					 struct suspect_id id)
{
	struct suspect_entry *e = find(t, now, id);

	if (!e) {
		e = least_needed(t);
		e->id = id;
		e->seen_ms = now;
		t->n++;
	}
	return e;
}

static struct answered *answered_slot(struct suspects *t, struct suspect_id id)
{
	return &t->answered[id.high & (SUSPECT_ANSWERED_MAX - 1)];
}

bool suspects_answered_lately(struct suspects *t, int64_t now,
			      struct suspect_id id)
{
	const struct answered *a = answered_slot(t, id);

	return suspect_same(a->id, id) && now - a->at_ms < SUSPECT_ANSWERED_MS;
}

static int server_index(const struct suspect_entry *e, const char *server,
			int64_t started_ms)
{
	for (int i = 0; i < e->n_servers; i++) {
		if (e->servers[i].started_ms == started_ms &&
		    strcmp(e->servers[i].id, server) == 0)
			return i;
	}
	return -1;
}

static void set_next_trial(struct suspect_entry *e, int64_t now)
{
	int i = e->trials < TRIAL_WAITS ? e->trials : TRIAL_WAITS - 1;

	e->next_trial_ms = now + TRIAL_WAIT_MS[e->confirmed][i];
}

/* @return whether the end is of another moment than those before */
static bool count_moment(struct suspect_entry *e, int64_t now, int64_t sent_ms)
{
	bool is_new = e->moments == 0 ||
		      sent_ms - e->moment_end_ms >= SUSPECT_MOMENT_MS;

	e->moments += is_new;
	if (is_new || now > e->moment_end_ms)
		e->moment_end_ms = now;
	return is_new;
}

/* Nodes that confirm a request by evidence of their own agree on the smallest number. */
static enum suspect_change confirm(struct suspect_entry *e, int64_t now,
				   int last_trial)
{
	if (!e->confirmed || last_trial < e->last_trial)
		e->last_trial = last_trial;
	if (e->confirmed)
		return SUSPECT_SAME;
	e->confirmed = true;
	set_next_trial(e, now);
	return SUSPECT_CONFIRMED;
}

static enum suspect_change confirm_here(struct suspect_entry *e, int64_t now)
{
	return confirm(e, now, e->trials + SUSPECT_TRIALS_CONFIRMED);
}

enum suspect_change suspects_ended(struct suspects *t, int64_t now,
				   struct suspect_id id, const char *server,
				   int64_t started_ms, int64_t sent_ms)
{
	struct suspect_entry *e;
	struct suspect_server *s;
	bool new_moment;

	if (suspects_answered_lately(t, now, id))
		return SUSPECT_SAME;
	e = find_or_add(t, now, id);
	e->seen_ms = now;
	if (server_index(e, server, started_ms) >= 0)
		return SUSPECT_SAME;
	new_moment = count_moment(e, now, sent_ms);
	if (e->barred_ms)
		return new_moment ? confirm_here(e, now) : SUSPECT_SAME;
	s = &e->servers[e->n_servers++];
	*s = (struct suspect_server){.started_ms = started_ms, .ended_ms = now};
	snprintf(s->id, sizeof(s->id), "%s", server);
	if (e->n_servers < SUSPECT_SERVERS)
		return SUSPECT_COUNTED;
	e->barred_ms = now;
	set_next_trial(e, now);
	if (e->moments >= SUSPECT_MOMENTS)
		confirm_here(e, now);
	return SUSPECT_BARRED;
}

enum suspect_verdict suspects_verdict(struct suspects *t, int64_t now,
				      struct suspect_id id, int64_t *wait_ms)
{
	struct suspect_entry *e = suspects_find(t, now, id);

	*wait_ms = 0;
	if (!e || !e->barred_ms)
		return SUSPECT_SEND;
	if (now >= e->next_trial_ms &&
	    (!e->confirmed || e->trials < e->last_trial))
		return SUSPECT_TRY;
	if (e->confirmed)
		return SUSPECT_REFUSE;
	*wait_ms = e->next_trial_ms - now;
	return SUSPECT_WAIT;
}

void suspects_trial_granted(struct suspects *t, int64_t now,
			    struct suspect_id id, int trial)
{
	struct suspect_entry *e = find(t, now, id);

	if (!e || trial <= e->trials)
		return;
	e->trials = trial;
	set_next_trial(e, now);
}

void suspects_trial_unused(struct suspects *t, int64_t now,
			   struct suspect_id id)
{
	struct suspect_entry *e = find(t, now, id);

	if (!e || !e->barred_ms || !e->trials)
		return;
	e->trials--;
	e->next_trial_ms = now + TRIAL_WAIT_MS[0][0];
}

static void reset(struct suspect_entry *e, int64_t cleared_ms)
{
	e->barred_ms = 0;
	e->confirmed = false;
	e->moments = 0;
	e->trials = 0;
	e->cleared_ms = cleared_ms;
}

static enum suspect_change clear(struct suspect_entry *e, int64_t now)
{
	bool was_suspected = e->barred_ms || e->n_servers;

	reset(e, now);
	e->n_servers = 0;
	return was_suspected ? SUSPECT_CLEARED : SUSPECT_SAME;
}

enum suspect_change suspects_answered(struct suspects *t, int64_t now,
				      struct suspect_id id)
{
	struct suspect_entry *e = find(t, now, id);

	*answered_slot(t, id) = (struct answered){id, now};
	return e ? clear(e, now) : SUSPECT_SAME;
}

/* @return whether the entry counted the server; it no longer does */
static bool forget_server(struct suspect_entry *e, const char *server,
			  int64_t started_ms, int64_t sent_ms)
{
	int i = server_index(e, server, started_ms);

	if (i < 0 || sent_ms <= e->servers[i].ended_ms)
		return false;
	e->servers[i] = e->servers[--e->n_servers];
	return true;
}

size_t suspects_outlived(struct suspects *t, const char *server,
			 int64_t started_ms, int64_t sent_ms,
			 struct suspect_id *changed, size_t max, bool *known)
{
	size_t n = 0;

	*known = false;
	for (int i = 0; t->n && i < SUSPECT_ENTRIES_MAX; i++) {
		struct suspect_entry *e = &t->entries[i];

		if (!e->n_servers ||
		    !forget_server(e, server, started_ms, sent_ms))
			continue;
		*known = true;
		if (!e->barred_ms)
			continue;
		reset(e, sent_ms);
		if (n < max)
			changed[n++] = e->id;
	}
	return n;
}

enum suspect_change suspects_set_barred(struct suspects *t, int64_t now,
					struct suspect_id id, int64_t barred_ms,
					int64_t seen_ms)
{
	bool is_new = !find(t, now, id);
	struct suspect_entry *e;

	if (now - seen_ms >= SUSPECT_KEEP_MS ||
	    suspects_answered_lately(t, now, id))
		return SUSPECT_SAME;
	e = find_or_add(t, now, id);
	if (is_new || seen_ms > e->seen_ms)
		e->seen_ms = seen_ms;
	if (e->barred_ms || (e->cleared_ms && barred_ms <= e->cleared_ms))
		return SUSPECT_SAME;
	e->barred_ms = barred_ms;
	/* Ends of the same moment may still be on their way. */
	if (!e->moments || barred_ms > e->moment_end_ms)
		e->moment_end_ms = barred_ms;
	if (!e->moments)
		e->moments = 1;
	set_next_trial(e, barred_ms);
	return SUSPECT_BARRED;
}

enum suspect_change suspects_confirm(struct suspects *t, int64_t now,
				     struct suspect_id id, int last_trial)
{
	struct suspect_entry *e = find(t, now, id);

	return e && e->barred_ms ? confirm(e, now, last_trial) : SUSPECT_SAME;
}

enum suspect_change suspects_clear(struct suspects *t, int64_t now,
				   struct suspect_id id)
{
	struct suspect_entry *e = find(t, now, id);

	return e ? clear(e, now) : SUSPECT_SAME;
}

struct suspect_entry *suspects_find(struct suspects *t, int64_t now,
				    struct suspect_id id)
{
	struct suspect_entry *e = find(t, now, id);

	if (e)
		e->seen_ms = now;
	return e;
}

bool suspects_may_retry(struct suspects *t, int64_t now, struct suspect_id id)
{
	const struct suspect_entry *e = find(t, now, id);

	return !e || (!e->barred_ms && e->n_servers < SUSPECT_SERVERS - 1);
}

struct suspect_entry *suspects_next(struct suspects *t, size_t *iter)
{
	while (*iter < SUSPECT_ENTRIES_MAX) {
		struct suspect_entry *e = &t->entries[(*iter)++];

		if (is_used(e))
			return e;
	}
	return NULL;
}
