// Remembers what was logged by hash: with a collision one entry is only counted.
#include "base/table_full.h"

#include <limits.h>
#include <string.h>
#include <xxhash.h>

#include "base/log.h"
#include "base/metric.h"

enum {
	LOGGED_BITS = 4096, ///< a power of two
};

static unsigned char logged[LOGGED_BITS / CHAR_BIT];

void table_full(const char *table, const char *key, int max)
{
	XXH64_hash_t hash =
		XXH64(key, strlen(key), XXH64(table, strlen(table), 0));
	unsigned int bit = hash & (LOGGED_BITS - 1);
	unsigned char mask = (unsigned char)(1U << (bit % CHAR_BIT));

	metric_add(M_TABLE_FULL, 1);
	if (logged[bit / CHAR_BIT] & mask)
		return;
	logged[bit / CHAR_BIT] |= mask;
	log_event(EV_TABLE_FULL, "table=%s key=%.128s max=%d", table, key, max);
}
