// Identity of a request by a 128-bit hash.
#include "suspect/identity.h"

#include <string.h>
#include <xxhash.h>

/* Hash a part, and its place among the parts before it. */
static struct suspect_id add(struct suspect_id id, const char *part, size_t len)
{
	XXH128_hash_t h = XXH3_128bits_withSeed(part, len, id.low);

	return (struct suspect_id){h.high64 ^ id.high, h.low64};
}

struct suspect_id suspect_identify(const struct suspect_parts *p)
{
	const char *const texts[] = {p->method, p->host, p->path, p->query,
				     p->team};
	struct suspect_id id = {0, 0};

	for (size_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++)
		id = add(id, texts[i], strlen(texts[i]));
	id = add(id, p->body ? p->body : "", p->body_len);
	id.low |= 1;
	return id;
}
