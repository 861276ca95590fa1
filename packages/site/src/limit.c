// Limits that backend servers name.
#include "site/limit.h"

enum {
	/// An answer that was made before the server named its limit may arrive this
	/// much later than one that names it.
	OVERTAKE_MS = 200,
};

bool site_limit_observe(struct site_limit *l, double per_s, int64_t named_ms)
{
	bool changed = per_s != l->per_s;

	if (per_s <= 0 && (!l->per_s || named_ms < l->named_ms + OVERTAKE_MS))
		return false;
	if (named_ms < l->named_ms)
		return false;
	l->per_s = per_s;
	l->named_ms = named_ms;
	return changed;
}
