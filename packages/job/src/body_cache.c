// Rows of batches that are read or kept; the least recently used one is replaced.
#include "job/body_cache.h"

#include <stdio.h>
#include <string.h>

static void row_clear(struct body_cache_row *row)
{
	job_spec_free(row->spec);
	*row = (struct body_cache_row){0};
}

static struct body_cache_row *find_row(struct body_cache *c, const char *id)
{
	for (int i = 0; i < BODY_CACHE_BATCHES; i++) {
		struct body_cache_row *row = &c->rows[i];

		if (row->state != BODY_CACHE_FREE && strcmp(row->id, id) == 0)
			return row;
	}
	return NULL;
}

/* Kept row that was unused for longest, NULL for none. */
static struct body_cache_row *oldest_kept(struct body_cache *c)
{
	struct body_cache_row *oldest = NULL;

	for (int i = 0; i < BODY_CACHE_BATCHES; i++) {
		struct body_cache_row *row = &c->rows[i];

		if (row->state == BODY_CACHE_KEPT &&
		    (!oldest || row->used_ms < oldest->used_ms))
			oldest = row;
	}
	return oldest;
}

static struct body_cache_row *replaceable(struct body_cache *c)
{
	for (int i = 0; i < BODY_CACHE_BATCHES; i++) {
		if (c->rows[i].state == BODY_CACHE_FREE)
			return &c->rows[i];
	}
	return oldest_kept(c);
}

static size_t kept_bytes(const struct body_cache *c)
{
	size_t bytes = 0;

	for (int i = 0; i < BODY_CACHE_BATCHES; i++)
		bytes += c->rows[i].bytes;
	return bytes;
}

const struct job_spec *body_cache_find(struct body_cache *c, const char *id,
				       int64_t now)
{
	struct body_cache_row *row = find_row(c, id);

	if (!row || row->state != BODY_CACHE_KEPT)
		return NULL;
	row->used_ms = now;
	return row->spec;
}

int body_cache_begin(struct body_cache *c, const char *id, int64_t now)
{
	struct body_cache_row *row = find_row(c, id) ? NULL : replaceable(c);

	if (!row)
		return -1;
	row_clear(row);
	row->state = BODY_CACHE_READING;
	row->used_ms = now;
	snprintf(row->id, sizeof(row->id), "%s", id);
	return (int)(row - c->rows);
}

bool body_cache_end(struct body_cache *c, int row, struct job_spec *spec,
		    size_t bytes, int64_t now)
{
	struct body_cache_row *r = &c->rows[row];

	if (!spec || bytes > BODY_CACHE_MAX_BYTES) {
		row_clear(r);
		return false;
	}
	while (kept_bytes(c) + bytes > BODY_CACHE_MAX_BYTES)
		row_clear(oldest_kept(c));
	r->state = BODY_CACHE_KEPT;
	r->spec = spec;
	r->bytes = bytes;
	r->used_ms = now;
	return true;
}

void body_cache_expire(struct body_cache *c, int64_t now)
{
	for (int i = 0; i < BODY_CACHE_BATCHES; i++) {
		struct body_cache_row *row = &c->rows[i];

		if (row->state == BODY_CACHE_KEPT &&
		    now - row->used_ms >= BODY_CACHE_KEEP_MS)
			row_clear(row);
	}
}

void body_cache_free(struct body_cache *c)
{
	for (int i = 0; i < BODY_CACHE_BATCHES; i++)
		row_clear(&c->rows[i]);
}
