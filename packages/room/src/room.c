// Table of the newest report of each node.
#include "room/room.h"

#include <stdlib.h>
#include <string.h>

enum {
	/// Difference of two nodes' clocks that is allowed for: one millisecond in
	/// so many, more than an oscillator's error.
	DRIFT = 1000,
};

struct node {
	char name[ROOM_NAME];
	bool counts; ///< the report is not too old
	uint64_t run;
	uint64_t seq;
	int64_t at_ms; ///< this node's time of its sending
	int64_t taken_ms; ///< when the last report came
	/* Least difference of the clocks, with the flight of the message: what is
	 * above it for a report is the time that the report was held up. */
	int64_t offset_ms;
	int64_t offset_at_ms; ///< when it was measured
	struct room_at at[ROOM_SERVERS];
	size_t n_at;
	struct room_step steps[ROOM_MODELS];
	size_t n_steps;
};

struct room {
	struct room_opts opts;
	struct node nodes[ROOM_NODES];
	int n; ///< rows in use
};

struct room *room_new(const struct room_opts *opts)
{
	struct room *r = calloc(1, sizeof(*r));

	if (r)
		r->opts = *opts;
	return r;
}

void room_free(struct room *r)
{
	free(r);
}

/* Add the node's requests to the servers' sums, or take them off. */
static void apply(const struct room *r, const struct node *n, int sign)
{
	for (size_t i = 0; i < n->n_at; i++) {
		if (n->at[i].server)
			r->opts.add(r->opts.ctx, n->at[i].server,
				    sign * n->at[i].running);
	}
}

static void drop(const struct room *r, struct node *n)
{
	if (!n->counts)
		return;
	apply(r, n, -1);
	n->counts = false;
	n->n_at = 0;
	n->n_steps = 0;
}

static struct node *find(struct room *r, const char *name)
{
	for (int i = 0; i < r->n; i++) {
		if (strcmp(r->nodes[i].name, name) == 0)
			return &r->nodes[i];
	}
	return NULL;
}

static void forget(struct room *r, struct node *n)
{
	drop(r, n);
	*n = r->nodes[--r->n];
}

/* A new row; one whose report has expired gives way. */
static struct node *add(struct room *r, const char *name)
{
	struct node *n;

	for (int i = 0; r->n == ROOM_NODES && i < ROOM_NODES; i++) {
		if (!r->nodes[i].counts)
			forget(r, &r->nodes[i]);
	}
	if (r->n == ROOM_NODES || strlen(name) >= ROOM_NAME)
		return NULL;
	n = &r->nodes[r->n++];
	n->counts = false;
	n->run = 0;
	n->seq = 0;
	n->n_at = 0;
	n->n_steps = 0;
	strcpy(n->name, name);
	return n;
}

/* Time of the report's sending by this node's clock. */
static int64_t sent_at(struct node *n, int64_t now,
		       const struct room_report *rep)
{
	int64_t offset = now - rep->sent_ms;

	if (rep->run != n->run ||
	    offset <= n->offset_ms + (now - n->offset_at_ms) / DRIFT) {
		n->offset_ms = offset;
		n->offset_at_ms = now;
	}
	return rep->sent_ms + n->offset_ms;
}

enum err room_take(struct room *r, int64_t now, const char *node,
		   const struct room_report *rep)
{
	struct node *n = find(r, node);
	int64_t at;

	if (strcmp(node, r->opts.self) == 0 || rep->n_at > ROOM_SERVERS ||
	    rep->n_steps > ROOM_MODELS || !rep->run)
		return ERR_INVALID;
	if (n &&
	    (rep->run < n->run || (rep->run == n->run && rep->seq <= n->seq)))
		return ERR_INVALID;
	if (!n)
		n = add(r, node);
	if (!n)
		return ERR_FULL;
	at = sent_at(n, now, rep);
	if (now - at > ROOM_KEEP_MS)
		return ERR_INVALID;
	drop(r, n);
	n->counts = true;
	n->run = rep->run;
	n->seq = rep->seq;
	n->at_ms = at;
	n->taken_ms = now;
	n->n_at = rep->n_at;
	n->n_steps = rep->n_steps;
	memcpy(n->at, rep->at, rep->n_at * sizeof(*rep->at));
	memcpy(n->steps, rep->steps, rep->n_steps * sizeof(*rep->steps));
	apply(r, n, 1);
	return ERR_OK;
}

int room_expire(struct room *r, int64_t now)
{
	int dropped = 0;

	for (int i = r->n - 1; i >= 0; i--) {
		struct node *n = &r->nodes[i];

		if (n->counts && now - n->at_ms > ROOM_KEEP_MS) {
			drop(r, n);
			dropped++;
		}
		if (!n->counts && now - n->taken_ms > ROOM_FORGET_MS)
			forget(r, n);
	}
	return dropped;
}

int room_nodes(const struct room *r)
{
	int count = 0;

	for (int i = 0; i < r->n; i++)
		count += r->nodes[i].counts;
	return count;
}

int room_others(const struct room *r, htab_handle server)
{
	int sum = 0;

	for (int i = 0; i < r->n; i++) {
		const struct node *n = &r->nodes[i];

		for (size_t k = 0; k < n->n_at; k++) {
			if (n->at[k].server == server)
				sum += n->at[k].running;
		}
	}
	return sum;
}

static const struct room_step *step_of(const struct room_step *steps, size_t n,
				       const char *model)
{
	for (size_t i = 0; i < n; i++) {
		if (strcmp(steps[i].model, model) == 0)
			return &steps[i];
	}
	return NULL;
}

/* Whether a report still counts, for calls between two room_expire(). */
static bool counts(const struct node *n, int64_t now)
{
	return n->counts && now - n->at_ms <= ROOM_KEEP_MS;
}

static void sum_step(struct room_need *out, const struct room_step *s,
		     int64_t late)
{
	if (!s)
		return;
	out->waiting += s->waiting;
	out->running += s->running;
	if (late - s->due_in_ms > out->late_ms)
		out->late_ms = late - s->due_in_ms;
}

bool room_need(const struct room *r, int64_t now, const char *model,
	       const struct room_step *own, size_t n_own, struct room_need *out)
{
	bool known = n_own > 0;

	*out = (struct room_need){.at_ms = now};
	sum_step(out, step_of(own, n_own, model), 0);
	for (int i = 0; i < r->n; i++) {
		const struct node *n = &r->nodes[i];

		if (!counts(n, now))
			continue;
		known = true;
		if (n->at_ms < out->at_ms)
			out->at_ms = n->at_ms;
		sum_step(out, step_of(n->steps, n->n_steps, model),
			 now - n->at_ms);
	}
	return known;
}

struct room_claims room_claims(const struct room *r, int64_t now,
			       const char *model, int64_t begun_ms)
{
	struct room_claims out = {0};

	for (int i = 0; i < r->n; i++) {
		const struct node *n = &r->nodes[i];
		const struct room_step *s =
			counts(n, now) ? step_of(n->steps, n->n_steps, model)
				       : NULL;

		if (!s || !s->waiting)
			continue;
		if (!out.others || s->min_version < out.min_version)
			out.min_version = s->min_version;
		out.others++;
		out.rank += strcmp(n->name, r->opts.self) < 0;
		out.round += (uint32_t)n->seq;
	}
	if (!out.others && now - begun_ms < ROOM_HOLD_MS) {
		out.others = 1;
		out.rank = 1;
		out.round = (uint32_t)begun_ms;
	}
	return out;
}

bool room_report_step(struct room_report *rep, const struct room_step *step)
{
	struct room_step *s = NULL;

	for (size_t i = 0; i < rep->n_steps && !s; i++) {
		if (strcmp(rep->steps[i].model, step->model) == 0)
			s = &rep->steps[i];
	}
	if (!s && rep->n_steps == ROOM_MODELS)
		return false;
	if (!s) {
		rep->steps[rep->n_steps++] = *step;
		return true;
	}
	s->waiting += step->waiting;
	s->running += step->running;
	s->events_left += step->events_left;
	if (step->step < s->step)
		s->step = step->step;
	if (step->min_version < s->min_version)
		s->min_version = step->min_version;
	if (step->due_in_ms < s->due_in_ms)
		s->due_in_ms = step->due_in_ms;
	return true;
}
