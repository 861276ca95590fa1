// Compares the members with those of the previous call.
#include "member_log.h"

#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "base/metric.h"

static bool was_alive(const struct member_log *l, const char *id)
{
	for (size_t i = 0; i < l->n; i++) {
		if (strcmp(l->rows[i].id, id) == 0)
			return l->rows[i].alive;
	}
	return false;
}

static bool still_listed(const struct member_view *v, size_t n, const char *id)
{
	for (size_t i = 0; i < n; i++) {
		if (strcmp(v[i].id, id) == 0)
			return true;
	}
	return false;
}

static void log_members(struct member_log *l, const struct member_view *v,
			size_t n)
{
	for (size_t i = 0; i < n; i++) {
		bool alive_before = was_alive(l, v[i].id);

		if (v[i].state == MEMBER_ALIVE && !alive_before)
			log_event(EV_MEMBER_ALIVE, "member=%s domain=%s",
				  v[i].id, v[i].domain);
		if (v[i].state == MEMBER_DEAD && alive_before)
			log_event(EV_MEMBER_DEAD, "member=%s domain=%s",
				  v[i].id, v[i].domain);
	}
	for (size_t i = 0; i < l->n; i++) {
		if (l->rows[i].alive && !still_listed(v, n, l->rows[i].id))
			log_event(EV_MEMBER_DEAD, "member=%s left=1",
				  l->rows[i].id);
	}
}

static void save_members(struct member_log *l, const struct member_view *v,
			 size_t n)
{
	struct member_log_row *rows = calloc(n + 1, sizeof(*rows));

	if (!rows)
		return;
	for (size_t i = 0; i < n; i++) {
		memcpy(rows[i].id, v[i].id, sizeof(rows[i].id));
		/* A suspect keeps its logged state until it is dead or alive. */
		rows[i].alive =
			v[i].state == MEMBER_ALIVE ||
			(v[i].state == MEMBER_SUSPECT && was_alive(l, v[i].id));
	}
	free(l->rows);
	l->rows = rows;
	l->n = n;
}

static void log_domains(struct member_log *l, const struct member *m)
{
	size_t n;
	const struct member_domain *d = member_domains(m, &n);
	uint64_t heard = 0;

	for (size_t i = 0; i < n; i++) {
		heard += d[i].heard;
		if (d[i].heard != l->heard[i])
			log_event(d[i].heard ? EV_DOMAIN_HEARD : EV_DOMAIN_LOST,
				  "domain=%s", d[i].name);
		l->heard[i] = d[i].heard;
	}
	metric_set(M_DOMAINS_HEARD, heard);
	metric_set(M_MEMBERS_ALIVE, n ? (uint64_t)d[0].alive - 1 : 0);
}

void member_log_changes(struct member_log *l, const struct member *m)
{
	size_t n;
	const struct member_view *v = member_views(m, &n);

	log_members(l, v, n);
	save_members(l, v, n);
	log_domains(l, m);
}

void member_log_clear(struct member_log *l)
{
	free(l->rows);
	l->rows = NULL;
	l->n = 0;
}
