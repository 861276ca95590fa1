// Table of failure domains and their health.
#include "domains.h"

#include <stdio.h>
#include <string.h>

static int index_of(const struct site_domains *d, const char *name)
{
	for (int i = 0; i < d->n; i++) {
		if (strcmp(d->names[i], name) == 0)
			return i;
	}
	return -1;
}

struct site_health *site_domains_get(struct site_domains *d, const char *name)
{
	int i = index_of(d, name);

	if (i < 0 && d->n < SITE_DOMAINS_MAX) {
		i = d->n++;
		snprintf(d->names[i], SITE_NAME_SIZE, "%s", name);
	}
	return i < 0 ? NULL : &d->health[i];
}

void site_domains_recount(struct site_domains *d)
{
	d->n_ejected = 0;
	for (int i = 0; i < d->n; i++)
		d->n_ejected += d->health[i].ejected_until_ms != 0;
}

bool site_domains_ejected(const struct site_domains *d, const char *name,
			  int64_t now)
{
	int i = d->n_ejected ? index_of(d, name) : -1;

	return i >= 0 && site_health_ejected(&d->health[i], now);
}
