// Table of the latest report of each node.
#include "room/room.h"

#include <stdlib.h>
#include <string.h>

enum {
	/// Clock drift that is tolerated between two nodes: 1 ms in this many ms,
	/// more than the error of an oscillator.
	DRIFT_DIVISOR = 1000,
};

struct node {
	char name[ROOM_NAME_MAX];
	bool live; ///< has a report that counts
	uint64_t process_start_ms;
	uint64_t seq;
	int64_t sent_ms; ///< when the report was sent, by this node's clock
	int64_t received_ms; ///< when the last report arrived
	/* Smallest difference of the clocks, including the network delay. What a
	 * report shows beyond it is the time by which that report was delayed. */
	int64_t offset_ms;
	int64_t offset_at_ms; ///< when it was measured
	struct room_server_requests servers[ROOM_SERVERS_MAX];
	size_t n_servers;
	struct room_step steps[ROOM_MODELS_MAX];
	size_t n_steps;
};

struct room {
	struct room_opts opts;
	struct node nodes[ROOM_NODES_MAX];
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

/* Add a node's requests to the servers' sums, or subtract them if sign is -1. */
static void apply_report(const struct room *r, const struct node *n, int sign)
{
	for (size_t i = 0; i < n->n_servers; i++) {
		if (n->servers[i].server)
			r->opts.on_change(r->opts.ctx, n->servers[i].server,
					  sign * n->servers[i].running);
	}
}

static void drop_report(const struct room *r, struct node *n)
{
	if (!n->live)
		return;
	apply_report(r, n, -1);
	n->live = false;
	n->n_servers = 0;
	n->n_steps = 0;
}

static struct node *find_node(struct room *r, const char *name)
{
	for (int i = 0; i < r->n; i++) {
		if (strcmp(r->nodes[i].name, name) == 0)
			return &r->nodes[i];
	}
	return NULL;
}

static void remove_node(struct room *r, struct node *n)
{
	drop_report(r, n);
	*n = r->nodes[--r->n];
}

/* In a full table, a node whose report has expired is replaced. */
static struct node *add_node(struct room *r, const char *name)
{
	struct node *n;

	for (int i = 0; r->n == ROOM_NODES_MAX && i < ROOM_NODES_MAX; i++) {
		if (!r->nodes[i].live)
			remove_node(r, &r->nodes[i]);
	}
	if (r->n == ROOM_NODES_MAX || strlen(name) >= ROOM_NAME_MAX)
		return NULL;
	n = &r->nodes[r->n++];
	n->live = false;
	n->process_start_ms = 0;
	n->seq = 0;
	n->n_servers = 0;
	n->n_steps = 0;
	strcpy(n->name, name);
	return n;
}

/* When a report was sent, by this node's clock. */
static int64_t local_sent_ms(struct node *n, int64_t now,
			     const struct room_report *rep)
{
	int64_t offset = now - rep->sent_ms;

	if (rep->process_start_ms != n->process_start_ms ||
	    offset <= n->offset_ms + (now - n->offset_at_ms) / DRIFT_DIVISOR) {
		n->offset_ms = offset;
		n->offset_at_ms = now;
	}
	return rep->sent_ms + n->offset_ms;
}

enum err room_accept_report(struct room *r, int64_t now, const char *node,
			    const struct room_report *rep)
{
	struct node *n = find_node(r, node);
	int64_t sent_ms;

	if (strcmp(node, r->opts.self) == 0 ||
	    rep->n_servers > ROOM_SERVERS_MAX ||
	    rep->n_steps > ROOM_MODELS_MAX || !rep->process_start_ms)
		return ERR_INVALID;
	if (n && (rep->process_start_ms < n->process_start_ms ||
		  (rep->process_start_ms == n->process_start_ms &&
		   rep->seq <= n->seq)))
		return ERR_INVALID;
	if (!n)
		n = add_node(r, node);
	if (!n)
		return ERR_FULL;
	sent_ms = local_sent_ms(n, now, rep);
	if (now - sent_ms > ROOM_REPORT_TTL_MS)
		return ERR_INVALID;
	drop_report(r, n);
	n->live = true;
	n->process_start_ms = rep->process_start_ms;
	n->seq = rep->seq;
	n->sent_ms = sent_ms;
	n->received_ms = now;
	n->n_servers = rep->n_servers;
	n->n_steps = rep->n_steps;
	memcpy(n->servers, rep->servers,
	       rep->n_servers * sizeof(*rep->servers));
	memcpy(n->steps, rep->steps, rep->n_steps * sizeof(*rep->steps));
	apply_report(r, n, 1);
	return ERR_OK;
}

int room_expire(struct room *r, int64_t now)
{
	int dropped = 0;

	for (int i = r->n - 1; i >= 0; i--) {
		struct node *n = &r->nodes[i];

		if (n->live && now - n->sent_ms > ROOM_REPORT_TTL_MS) {
			drop_report(r, n);
			dropped++;
		}
		if (!n->live && now - n->received_ms > ROOM_NODE_TTL_MS)
			remove_node(r, n);
	}
	return dropped;
}

int room_node_count(const struct room *r)
{
	int count = 0;

	for (int i = 0; i < r->n; i++)
		count += r->nodes[i].live;
	return count;
}

int room_peer_requests(const struct room *r, htab_handle server)
{
	int sum = 0;

	for (int i = 0; i < r->n; i++) {
		const struct node *n = &r->nodes[i];

		for (size_t k = 0; k < n->n_servers; k++) {
			if (n->servers[k].server == server)
				sum += n->servers[k].running;
		}
	}
	return sum;
}

static const struct room_step *find_step(const struct room_step *steps,
					 size_t n, const char *model)
{
	for (size_t i = 0; i < n; i++) {
		if (strcmp(steps[i].model, model) == 0)
			return &steps[i];
	}
	return NULL;
}

/* Whether a node's report counts, also between two calls of room_expire(). */
static bool is_live(const struct node *n, int64_t now)
{
	return n->live && now - n->sent_ms <= ROOM_REPORT_TTL_MS;
}

static void add_step_demand(struct room_demand *out, const struct room_step *s,
			    int64_t age_ms)
{
	if (!s)
		return;
	out->waiting += s->waiting;
	out->running += s->running;
	if (age_ms - s->due_in_ms > out->overdue_ms)
		out->overdue_ms = age_ms - s->due_in_ms;
}

bool room_sum_demand(const struct room *r, int64_t now, const char *model,
		     const struct room_step *own, size_t n_own,
		     struct room_demand *out)
{
	bool any_known = n_own > 0;

	*out = (struct room_demand){.as_of_ms = now};
	add_step_demand(out, find_step(own, n_own, model), 0);
	for (int i = 0; i < r->n; i++) {
		const struct node *n = &r->nodes[i];

		if (!is_live(n, now))
			continue;
		any_known = true;
		if (n->sent_ms < out->as_of_ms)
			out->as_of_ms = n->sent_ms;
		add_step_demand(out, find_step(n->steps, n->n_steps, model),
				now - n->sent_ms);
	}
	return any_known;
}

struct room_competitors room_competitors(const struct room *r, int64_t now,
					 const char *model, int64_t begun_ms)
{
	struct room_competitors out = {0};

	for (int i = 0; i < r->n; i++) {
		const struct node *n = &r->nodes[i];
		const struct room_step *s =
			is_live(n, now) ? find_step(n->steps, n->n_steps, model)
					: NULL;

		if (!s || !s->waiting)
			continue;
		if (!out.others || s->min_version < out.min_version)
			out.min_version = s->min_version;
		out.others++;
		out.rank += strcmp(n->name, r->opts.self) < 0;
		out.round += (uint32_t)n->seq;
	}
	if (!out.others && now - begun_ms < ROOM_ASSUME_PEER_MS) {
		out.others = 1;
		out.rank = 1;
		out.round = (uint32_t)begun_ms;
	}
	return out;
}

bool room_report_add_step(struct room_report *rep, const struct room_step *step)
{
	struct room_step *s = NULL;

	for (size_t i = 0; i < rep->n_steps && !s; i++) {
		if (strcmp(rep->steps[i].model, step->model) == 0)
			s = &rep->steps[i];
	}
	if (!s && rep->n_steps == ROOM_MODELS_MAX)
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
