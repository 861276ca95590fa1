// Doubles its array as it grows.
#include "rollout/slots.h"

#include <stdlib.h>
#include <string.h>

enum {
	SLOTS_MIN = 16,
};

static enum err slots_reserve(struct slots *s, size_t need)
{
	size_t cap = s->cap ? s->cap : SLOTS_MIN;
	uint32_t *v;

	if (need <= s->cap)
		return ERR_OK;
	while (cap < need)
		cap *= 2;
	v = realloc(s->v, cap * sizeof(*v));
	if (!v)
		return ERR_NOMEM;
	s->v = v;
	s->cap = cap;
	return ERR_OK;
}

enum err slots_add(struct slots *s, uint32_t slot)
{
	enum err e = slots_reserve(s, s->n + 1);

	if (e == ERR_OK)
		s->v[s->n++] = slot;
	return e;
}

enum err slots_add_all(struct slots *s, const void *data, size_t len)
{
	size_t n = len / sizeof(*s->v);
	enum err e = slots_reserve(s, s->n + n);

	if (e != ERR_OK)
		return e;
	memcpy(s->v + s->n, data, n * sizeof(*s->v));
	s->n += n;
	return ERR_OK;
}

void slots_clear(struct slots *s)
{
	free(s->v);
	*s = (struct slots){0};
}
