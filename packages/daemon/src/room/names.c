// Sorted array of hashes of ids.
#include "room/names.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum {
	/// Between two copies; a report follows each 200 ms.
	NAMES_MS = 200,
};

static int by_hash(const void *a, const void *b)
{
	uint64_t x = ((const struct room_name *)a)->hash;
	uint64_t y = ((const struct room_name *)b)->hash;

	return (x > y) - (x < y);
}

static void names_make(struct room_names *names, const struct site_servers *t,
		       int64_t now)
{
	const struct site_server *s;
	size_t iter = 0;

	names->n = 0;
	names->made_ms = now;
	while ((s = site_servers_next(t, &iter)) && names->n < SITE_SERVERS) {
		const char *id = s->entry.id;

		names->list[names->n++] = (struct room_name){
			XXH64(id, strlen(id), 0),
			s->self,
		};
	}
	qsort(names->list, names->n, sizeof(*names->list), by_hash);
}

static htab_handle lookup(const struct room_names *names,
			  const struct site_servers *t, const char *id,
			  size_t len)
{
	const struct room_name key = {.hash = XXH64(id, len, 0)};
	const struct room_name *found =
		bsearch(&key, names->list, names->n, sizeof(key), by_hash);
	const struct site_server *s =
		found ? site_servers_get(t, found->server) : NULL;

	return s && strlen(s->entry.id) == len &&
			       memcmp(s->entry.id, id, len) == 0
		       ? s->self
		       : 0;
}

htab_handle room_names_find(struct room_names *names,
			    const struct site_servers *t, int64_t now,
			    const char *id, size_t len)
{
	htab_handle h = lookup(names, t, id, len);

	if (h || (names->made_ms && now - names->made_ms < NAMES_MS))
		return h;
	names_make(names, t, now);
	return lookup(names, t, id, len);
}
