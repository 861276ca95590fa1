// Tokens are encoded as raw bytes: four each, in the host's little-endian
// order.
#include "codec.h"

#include <stdlib.h>
#include <string.h>

void codec_put_sample(struct pack *p, const struct sample *s)
{
	pack_u64(p, s->finish);
	pack_str(p, s->server);
	pack_u64(p, s->n_segments);
	for (size_t i = 0; i < s->n_segments; i++) {
		pack_u64(p, s->segments[i].version);
		pack_u64(p, s->segments[i].n);
	}
	pack_bin(p, s->tokens, s->n * sizeof(*s->tokens));
}

static void codec_get_tokens(struct unpack *u, struct sample *s)
{
	size_t len;
	const void *data = unpack_bin(u, &len);
	size_t total = 0;

	for (size_t i = 0; i < s->n_segments; i++)
		total += s->segments[i].n;
	if (u->bad || len != total * sizeof(*s->tokens)) {
		u->bad = true;
		return;
	}
	s->tokens = malloc(len + sizeof(*s->tokens));
	if (!s->tokens) {
		u->bad = true;
		return;
	}
	if (len > 0)
		memcpy(s->tokens, data, len);
	s->n = total;
	s->cap = total + 1;
}

void codec_get_sample(struct unpack *u, struct sample *s)
{
	uint64_t n;

	s->finish = (enum sample_finish)unpack_u64(u);
	unpack_str(u, s->server, sizeof(s->server));
	n = unpack_u64(u);
	if (u->bad || n > BATCH_MAX_TOKENS || s->finish > SAMPLE_LENGTH) {
		u->bad = true;
		return;
	}
	s->segments = calloc(n + 1, sizeof(*s->segments));
	if (!s->segments) {
		u->bad = true;
		return;
	}
	s->n_segments = n;
	s->cap_segments = n + 1;
	for (size_t i = 0; i < n; i++) {
		s->segments[i].version = unpack_u64(u);
		s->segments[i].n = (uint32_t)unpack_u64(u);
	}
	codec_get_tokens(u, s);
}

void codec_put_batch(struct pack *p, const struct batch *b)
{
	pack_str(p, b->id);
	pack_str(p, b->team);
	pack_str(p, b->trainer);
	pack_str(p, b->route);
	pack_u64(p, b->step);
	pack_u64(p, b->version);
	pack_u64(p, b->max_staleness);
	pack_u64(p, b->n_groups);
	for (size_t i = 0; i < b->n_groups; i++) {
		const struct batch_group *g = &b->groups[i];

		pack_str(p, g->name);
		pack_u64(p, g->n);
		pack_u64(p, g->max_tokens);
		pack_u64(p, g->expect_tokens);
		pack_bin(p, g->prompt, g->n_prompt * sizeof(*g->prompt));
	}
}

static void codec_get_group(struct unpack *u, struct batch *b,
			    struct batch_group *g)
{
	const void *prompt;
	size_t len;

	unpack_str(u, g->name, sizeof(g->name));
	g->n = (uint32_t)unpack_u64(u);
	g->max_tokens = (uint32_t)unpack_u64(u);
	g->expect_tokens = (uint32_t)unpack_u64(u);
	prompt = unpack_bin(u, &len);
	g->prompt = malloc(len + sizeof(*g->prompt));
	if (!prompt || !g->prompt || len % sizeof(*g->prompt) != 0) {
		u->bad = true;
		return;
	}
	memcpy(g->prompt, prompt, len);
	g->n_prompt = len / sizeof(*g->prompt);
	g->prefix = batch_prefix_hash(g->prompt, g->n_prompt);
	g->first = (uint32_t)b->n_slots;
	b->n_slots += g->n;
}

static void codec_get_groups(struct unpack *u, struct batch *b)
{
	uint64_t n = unpack_u64(u);

	if (u->bad || n == 0 || n > BATCH_MAX_GROUPS) {
		u->bad = true;
		return;
	}
	b->groups = calloc(n, sizeof(*b->groups));
	if (!b->groups) {
		u->bad = true;
		return;
	}
	for (size_t i = 0; i < n && !u->bad; i++) {
		b->n_groups = i + 1;
		codec_get_group(u, b, &b->groups[i]);
		if (b->n_slots > BATCH_MAX_SLOTS)
			u->bad = true;
	}
}

struct batch *codec_get_batch(struct unpack *u)
{
	struct batch *b = calloc(1, sizeof(*b));

	if (!b) {
		u->bad = true;
		return NULL;
	}
	unpack_str(u, b->id, sizeof(b->id));
	unpack_str(u, b->team, sizeof(b->team));
	unpack_str(u, b->trainer, sizeof(b->trainer));
	unpack_str(u, b->route, sizeof(b->route));
	b->step = unpack_u64(u);
	b->version = unpack_u64(u);
	b->max_staleness = unpack_u64(u);
	codec_get_groups(u, b);
	if (!u->bad)
		return b;
	batch_free(b);
	return NULL;
}
