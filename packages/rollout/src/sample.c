// Samples: tokens and segments in two growing arrays.
#include "rollout/sample.h"

#include <stdlib.h>
#include <string.h>

enum {
	SAMPLE_TOKENS_MIN = 64,
	SAMPLE_SEGMENTS_MIN = 2,
};

void sample_init(struct sample *s)
{
	memset(s, 0, sizeof(*s));
}

void sample_clear(struct sample *s)
{
	free(s->tokens);
	free(s->segments);
	sample_init(s);
}

static enum err sample_grow_tokens(struct sample *s, size_t need)
{
	size_t cap = s->cap ? s->cap : SAMPLE_TOKENS_MIN;
	uint32_t *tokens;

	while (cap < need)
		cap *= 2;
	if (cap == s->cap)
		return ERR_OK;
	tokens = realloc(s->tokens, cap * sizeof(*tokens));
	if (!tokens)
		return ERR_NOMEM;
	s->tokens = tokens;
	s->cap = cap;
	return ERR_OK;
}

static enum err sample_grow_segments(struct sample *s)
{
	size_t cap =
		s->cap_segments ? 2 * s->cap_segments : SAMPLE_SEGMENTS_MIN;
	struct sample_segment *segments;

	if (s->n_segments < s->cap_segments)
		return ERR_OK;
	segments = realloc(s->segments, cap * sizeof(*segments));
	if (!segments)
		return ERR_NOMEM;
	s->segments = segments;
	s->cap_segments = cap;
	return ERR_OK;
}

static bool sample_same_version(const struct sample *s, uint64_t version)
{
	return s->n_segments > 0 &&
	       s->segments[s->n_segments - 1].version == version;
}

enum err sample_add(struct sample *s, uint64_t version, const uint32_t *tokens,
		    size_t n)
{
	enum err e;

	if (n == 0)
		return ERR_OK;
	e = sample_grow_tokens(s, s->n + n);
	if (e != ERR_OK)
		return e;
	if (!sample_same_version(s, version)) {
		e = sample_grow_segments(s);
		if (e != ERR_OK)
			return e;
		s->segments[s->n_segments++] =
			(struct sample_segment){version, 0};
	}
	memcpy(s->tokens + s->n, tokens, n * sizeof(*tokens));
	s->n += n;
	s->segments[s->n_segments - 1].n += (uint32_t)n;
	return ERR_OK;
}

enum err sample_copy(struct sample *dst, const struct sample *src)
{
	const uint32_t *tokens = src->tokens;

	sample_init(dst);
	for (size_t i = 0; i < src->n_segments; i++) {
		const struct sample_segment *g = &src->segments[i];
		enum err e = sample_add(dst, g->version, tokens, g->n);

		if (e != ERR_OK) {
			sample_clear(dst);
			return e;
		}
		tokens += g->n;
	}
	dst->finish = src->finish;
	memcpy(dst->server, src->server, sizeof(dst->server));
	return ERR_OK;
}

uint64_t sample_oldest_version(const struct sample *s)
{
	uint64_t oldest = UINT64_MAX;

	for (size_t i = 0; i < s->n_segments; i++) {
		if (s->segments[i].version < oldest)
			oldest = s->segments[i].version;
	}
	return oldest;
}

bool sample_is_fresh(const struct sample *s, uint64_t version,
		     uint64_t max_staleness)
{
	uint64_t oldest = sample_oldest_version(s);

	return oldest >= version || version - oldest <= max_staleness;
}
