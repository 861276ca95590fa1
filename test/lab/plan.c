// Parses a plan with inih: sections system, load, expect, actions.
#include "plan.h"

#include <ini.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	MS_PER_S = 1000,
};

struct plan_key {
	const char *section;
	const char *name;
	size_t offset;
	int min;
	int max;
};

static const struct plan_key keys[] = {
	{"system", "domains", offsetof(struct plan, domains), 1, 4},
	{"system", "nodes_per_domain", offsetof(struct plan, nodes_per_domain),
	 1, 4},
	{"system", "services_per_domain",
	 offsetof(struct plan, services_per_domain), 0, 4},
	{"system", "engines_per_domain",
	 offsetof(struct plan, engines_per_domain), 0, 4},
	{"load", "calls_per_s", offsetof(struct plan, calls_per_s), 1, 200},
	{"load", "duration_s", offsetof(struct plan, duration_s), 1, 60},
	{"expect", "min_answered", offsetof(struct plan, min_answered), 0, 100},
	{"expect", "max_unknown", offsetof(struct plan, max_unknown), -1,
	 1000000},
};

/* Parse an action such as "2.5 kill node n2": seconds, then its words. */
static bool plan_action_add(struct plan *p, const char *text)
{
	struct plan_action *a = &p->actions[p->n_actions];
	char *end = NULL;
	char *strtok_state = NULL;
	int n = 0;
	double at_s = strtod(text, &end);

	if (p->n_actions == PLAN_ACTIONS_MAX || end == text || at_s < 0)
		return false;
	a->at_ms = (int)(at_s * MS_PER_S);
	snprintf(a->text, sizeof(a->text), "%s", end + strspn(end, " "));
	memcpy(a->buf, a->text, sizeof(a->buf));
	for (char *w = strtok_r(a->buf, " ", &strtok_state);
	     w && n < PLAN_WORDS_MAX; w = strtok_r(NULL, " ", &strtok_state))
		a->words[n++] = w;
	p->n_actions++;
	return n > 0;
}

static int plan_on_key(void *ctx, const char *section, const char *name,
		       const char *value)
{
	struct plan *p = ctx;

	if (strcmp(section, "actions") == 0 && strcmp(name, "at") == 0)
		return plan_action_add(p, value);
	for (size_t i = 0; i < sizeof(keys) / sizeof(keys[0]); i++) {
		const struct plan_key *k = &keys[i];
		char *end;
		long v = strtol(value, &end, 10);

		if (strcmp(section, k->section) != 0 ||
		    strcmp(name, k->name) != 0)
			continue;
		if (*end != '\0' || v < k->min || v > k->max)
			return 0;
		*(int *)((char *)p + k->offset) = (int)v;
		return 1;
	}
	return 0;
}

bool plan_load(const char *path, struct plan *p)
{
	int rc;

	*p = (struct plan){
		.domains = 3,
		.nodes_per_domain = 1,
		.services_per_domain = 1,
		.calls_per_s = 20,
		.duration_s = 10,
		.max_unknown = -1,
	};
	rc = ini_parse(path, plan_on_key, p);
	if (rc > 0)
		fprintf(stderr, "%s:%d: unknown key or value out of range\n",
			path, rc);
	else if (rc < 0)
		fprintf(stderr, "%s: cannot read the plan file\n", path);
	return rc == 0;
}
