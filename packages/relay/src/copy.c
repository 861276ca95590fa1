// Items in one unsorted array; recent deletions stay as items without a value.
#include "relay/copy.h"

#include <stdlib.h>
#include <string.h>

enum {
	COPY_INITIAL_CAP = 32, ///< items
	COPY_DELETED_MAX = 256, ///< deletions kept
};

void relay_copy_free(struct relay_copy *c)
{
	for (size_t i = 0; i < c->n; i++) {
		free(c->items[i].key);
		free(c->items[i].value);
	}
	free(c->items);
	memset(c, 0, sizeof(*c));
}

static struct relay_item *find(const struct relay_copy *c, const char *key)
{
	for (size_t i = 0; i < c->n; i++) {
		if (strcmp(c->items[i].key, key) == 0)
			return &c->items[i];
	}
	return NULL;
}

static struct relay_item *add(struct relay_copy *c, const char *key)
{
	size_t cap = c->cap ? 2 * c->cap : COPY_INITIAL_CAP;
	struct relay_item *p;

	if (c->n == c->cap) {
		p = realloc(c->items, cap * sizeof(*p));
		if (!p)
			return NULL;
		c->items = p;
		c->cap = cap;
	}
	p = &c->items[c->n];
	*p = (struct relay_item){.key = strdup(key)};
	if (!p->key)
		return NULL;
	c->n++;
	return p;
}

enum err relay_copy_put(struct relay_copy *c, const char *key,
			const char *value, size_t len, uint64_t rev)
{
	struct relay_item *it = find(c, key);
	char *copy;

	if (it)
		it->list_gen = c->list_gen;
	if (it && it->rev >= rev)
		return ERR_OK;
	copy = malloc(len + 1);
	if (!copy)
		return ERR_NOMEM;
	if (!it)
		it = add(c, key);
	if (!it) {
		free(copy);
		return ERR_NOMEM;
	}
	memcpy(copy, value, len);
	copy[len] = '\0';
	free(it->value);
	it->value = copy;
	it->len = len;
	it->rev = rev;
	it->list_gen = c->list_gen;
	return ERR_OK;
}

static void drop(struct relay_copy *c, size_t i)
{
	free(c->items[i].key);
	free(c->items[i].value);
	c->items[i] = c->items[--c->n];
}

/* Discard the oldest deletion if there are too many. */
static void limit_deletions(struct relay_copy *c)
{
	size_t n = 0;
	size_t oldest = 0;

	for (size_t i = 0; i < c->n; i++) {
		if (c->items[i].value)
			continue;
		if (!n || c->items[i].rev < c->items[oldest].rev)
			oldest = i;
		n++;
	}
	if (n <= COPY_DELETED_MAX)
		return;
	if (c->items[oldest].rev > c->compacted_rev)
		c->compacted_rev = c->items[oldest].rev;
	drop(c, oldest);
}

void relay_copy_del(struct relay_copy *c, const char *key, uint64_t rev)
{
	struct relay_item *it = find(c, key);

	if (!it || !it->value || it->rev > rev)
		return;
	free(it->value);
	it->value = NULL;
	it->len = 0;
	it->rev = rev;
	limit_deletions(c);
}

void relay_copy_begin_list(struct relay_copy *c)
{
	c->list_gen++;
}

void relay_copy_end_list(struct relay_copy *c, uint64_t rev)
{
	for (size_t i = 0; i < c->n; i++) {
		if (c->items[i].value && c->items[i].list_gen != c->list_gen)
			relay_copy_del(c, c->items[i].key, rev);
	}
	if (rev > c->rev)
		c->rev = rev;
}

bool relay_copy_changed(const struct relay_copy *c, uint64_t after)
{
	for (size_t i = 0; i < c->n; i++) {
		if (c->items[i].rev > after)
			return true;
	}
	return false;
}

bool relay_copy_needs_full(const struct relay_copy *c, uint64_t after)
{
	return after == 0 || after < c->compacted_rev;
}
