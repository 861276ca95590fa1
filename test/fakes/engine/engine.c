// Initialization, warm-up and overload.
#include "engine.h"

#include <string.h>

#include "load.h"
#include "weights.h"

void engine_init(struct engine *e, const struct engine_opts *opts)
{
	pthread_condattr_t attr;

	memset(e, 0, sizeof(*e));
	e->opts = *opts;
	e->rng.state = opts->seed;
	e->capacity = opts->cold ? 1 : opts->slots;
	e->version = 1;
	e->next_seq = 1;
	pthread_mutex_init(&e->lock, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&e->changed, &attr);
	pthread_condattr_destroy(&attr);
}

void engine_tick(struct engine *e, int64_t now_ms)
{
	pthread_mutex_lock(&e->lock);
	weights_tick(e, now_ms);
	load_take_snapshot(e, now_ms);
	pthread_mutex_unlock(&e->lock);
}

void engine_overload(struct engine *e, int64_t now_ms)
{
	e->overloads++;
	e->outage_end_ms = now_ms + ENGINE_OUTAGE_MS;
	for (size_t i = 0; i < ENGINE_STREAMS_MAX; i++)
		e->streams[i].aborted = true;
	pthread_cond_broadcast(&e->changed);
}

void engine_add_tokens(struct engine *e, size_t tokens)
{
	int warm;

	e->tokens_made += tokens;
	if (!e->opts.cold)
		return;
	warm = 1 + (int)(e->tokens_made / ENGINE_TOKENS_PER_SLOT);
	e->capacity = warm < e->opts.slots ? warm : e->opts.slots;
}
