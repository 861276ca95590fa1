// Fairness of admission among eight teams under a flood, a retry storm, a slow
// backend server and a cold prefix cache, compared with FIFO and with round robin
// by requests. Virtual time.
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "admit/admit.h"
#include "base/rng.h"
#include "support/bench.h"

enum {
	TEAMS = 8,
	ENGINES = 4,
	ENGINE_SLOTS = 8,
	SLOTS = ENGINES * ENGINE_SLOTS,
	TOKEN_MS = 20,
	TEAM_OUTSTANDING = 24, ///< requests of a team, queued or running
	FLOOD_OUTSTANDING = 1500, ///< of the flooding team
	QUEUE_CAPACITY = 4000,
	TEAM_QUEUE_MAX = 1000,
	STORM_TEAM_QUEUE_MAX = 100, ///< when rejections are retried
	STORM_TRIES_PER_MS = 50,
	RUN_MS = 300000,
	WARMUP_MS = 30000, ///< not measured
	SLOW_FACTOR = 5, ///< times slower
	COLD_COST_FACTOR = 3, ///< times the expected cost
	SEED = 11,
};

enum policy {
	POLICY_ADMIT,
	POLICY_FIFO,
	POLICY_ROUND_ROBIN,
	POLICIES
};

enum scenario {
	SCENE_FLOOD,
	SCENE_STORM,
	SCENE_SLOW,
	SCENE_COLD,
	SCENES
};

static const char *const policy_names[] = {"admit", "fifo", "round_robin"};
static const char *const scene_names[] = {"flood", "retry_storm", "slow_server",
					  "cold_cache"};

struct req {
	int team;
	uint64_t cost; ///< expected, tokens
	uint64_t actual_cost; ///< tokens
};

struct ring {
	uint32_t items[QUEUE_CAPACITY];
	size_t head;
	size_t n;
};

struct slot {
	int64_t end_ms; ///< 0: the slot is free
	uint32_t req;
};

struct sim {
	enum policy policy;
	enum scenario scene;
	struct rng rng;
	struct admit *admit;
	struct ring rings[TEAMS]; ///< FIFO uses the first
	int last_team;
	struct req reqs[QUEUE_CAPACITY + SLOTS + 1];
	uint32_t free_list[QUEUE_CAPACITY + SLOTS + 1];
	size_t n_free;
	size_t outstanding[TEAMS]; ///< queued or running
	size_t waiting[TEAMS];
	struct slot slots[SLOTS];
	uint64_t served[TEAMS]; ///< tokens
	int64_t now_ms;
};

static bool ring_put(struct ring *r, uint32_t v)
{
	if (r->n == QUEUE_CAPACITY)
		return false;
	r->items[(r->head + r->n++) % QUEUE_CAPACITY] = v;
	return true;
}

static bool ring_get(struct ring *r, uint32_t *v)
{
	if (r->n == 0)
		return false;
	*v = r->items[r->head];
	r->head = (r->head + 1) % QUEUE_CAPACITY;
	r->n--;
	return true;
}

static bool push(struct sim *w, uint32_t i, size_t team_max)
{
	const struct req *r = &w->reqs[i];
	struct admit_bounds b = {QUEUE_CAPACITY, team_max};
	struct admit_request q = {
		.level = ADMIT_FAIR_SHARE,
		.team = (uint64_t)r->team + 1,
		.weight = 1,
		.cost = r->cost,
		.deadline_ms = w->now_ms + 60000,
		.user = i,
	};

	if (w->policy == POLICY_ADMIT)
		return admit_push(w->admit, w->now_ms, &q, &b).err == ERR_OK;
	if (w->waiting[r->team] >= team_max)
		return false;
	return ring_put(&w->rings[w->policy == POLICY_FIFO ? 0 : r->team], i);
}

static bool pop(struct sim *w, uint32_t *i)
{
	if (w->policy == POLICY_ADMIT)
		return admit_pop(w->admit, i);
	if (w->policy == POLICY_FIFO)
		return ring_get(&w->rings[0], i);
	for (int k = 0; k < TEAMS; k++) {
		w->last_team = (w->last_team + 1) % TEAMS;
		if (ring_get(&w->rings[w->last_team], i))
			return true;
	}
	return false;
}

/* Team 0 has long requests; the others' mean costs differ. */
static uint64_t draw_cost(struct sim *w, int team)
{
	uint64_t mean = team == 0 ? 600 : 40 + 30 * (uint64_t)team;

	return mean / 2 + rng_below(&w->rng, mean);
}

static bool submit(struct sim *w, int team, size_t team_max)
{
	uint32_t i;
	struct req *r;

	if (w->n_free == 0)
		return false;
	i = w->free_list[w->n_free - 1];
	r = &w->reqs[i];
	r->team = team;
	r->cost = draw_cost(w, team);
	r->actual_cost = r->cost;
	if (w->scene == SCENE_COLD && team == TEAMS - 1)
		r->actual_cost *= COLD_COST_FACTOR;
	if (!push(w, i, team_max))
		return false;
	w->n_free--;
	w->outstanding[team]++;
	w->waiting[team]++;
	return true;
}

static void submit_requests(struct sim *w)
{
	bool storm = w->scene == SCENE_STORM;
	size_t team_max = storm ? STORM_TEAM_QUEUE_MAX : TEAM_QUEUE_MAX;

	for (int t = 0; t < TEAMS; t++) {
		size_t target = TEAM_OUTSTANDING;

		if (t == 0 && w->scene == SCENE_FLOOD)
			target = FLOOD_OUTSTANDING;
		while (w->outstanding[t] < target && submit(w, t, team_max)) {
		}
	}
	for (int k = 0; storm && k < STORM_TRIES_PER_MS; k++)
		submit(w, 0, team_max);
}

static void finish_runs(struct sim *w)
{
	for (int i = 0; i < SLOTS; i++) {
		struct slot *s = &w->slots[i];
		struct req *r = &w->reqs[s->req];

		if (s->end_ms == 0 || s->end_ms > w->now_ms)
			continue;
		s->end_ms = 0;
		if (w->now_ms > WARMUP_MS)
			w->served[r->team] += r->actual_cost;
		w->outstanding[r->team]--;
		w->free_list[w->n_free++] = s->req;
		if (w->policy != POLICY_ADMIT)
			continue;
		admit_settle(w->admit, (uint64_t)r->team + 1, 1, r->cost,
			     r->actual_cost);
		admit_progress(w->admit, w->now_ms, r->actual_cost);
	}
}

static void start_runs(struct sim *w)
{
	for (int i = 0; i < SLOTS; i++) {
		struct slot *s = &w->slots[i];
		bool slow = w->scene == SCENE_SLOW && i < ENGINE_SLOTS;
		const struct req *r;

		if (s->end_ms != 0 || !pop(w, &s->req))
			continue;
		r = &w->reqs[s->req];
		w->waiting[r->team]--;
		s->end_ms = w->now_ms + (int64_t)r->actual_cost * TOKEN_MS *
						(slow ? SLOW_FACTOR : 1);
	}
}

/* Worst-served team's fraction of its fair share; all demand more than that. */
static double worst_team_share(enum policy p, enum scenario scene)
{
	struct sim *w = calloc(1, sizeof(*w));
	uint64_t sum = 0;
	uint64_t least = UINT64_MAX;

	w->policy = p;
	w->scene = scene;
	w->rng.state = SEED;
	w->admit = admit_new(QUEUE_CAPACITY + 1);
	for (uint32_t i = 0; i < QUEUE_CAPACITY + SLOTS; i++)
		w->free_list[w->n_free++] = i;
	for (w->now_ms = 1; w->now_ms < RUN_MS; w->now_ms++) {
		finish_runs(w);
		submit_requests(w);
		start_runs(w);
	}
	for (int t = 0; t < TEAMS; t++) {
		sum += w->served[t];
		least = w->served[t] < least ? w->served[t] : least;
	}
	admit_free(w->admit);
	free(w);
	return (double)least * TEAMS / (double)sum;
}

int main(void)
{
	bool ok = true;

	for (int s = 0; s < SCENES; s++) {
		char name[64];

		snprintf(name, sizeof(name), "admit_worst_team_%s",
			 scene_names[s]);
		ok &= bench_check(
			name, worst_team_share(POLICY_ADMIT, (enum scenario)s),
			"of_fair_share", BENCH_AT_LEAST, 0.9);
		for (int p = POLICY_FIFO; p < POLICIES; p++)
			printf("# %s with %s: %.3f\n", scene_names[s],
			       policy_names[p],
			       worst_team_share((enum policy)p,
						(enum scenario)s));
	}
	return !ok;
}
