// Table of the actions, applied to processes and network links.
#include "act.h"

#include <signal.h>
#include <string.h>

#include "support/ctl.h"
#include "support/link.h"

enum {
	ACT_END_MS = 10000, ///< for a process to exit before it is restarted
};

enum act_kind {
	ACT_SIGNAL,
	ACT_START,
	ACT_LINK,
};

struct act_row {
	const char *verb;
	enum act_kind kind;
	int arg; ///< signal or link mode
};

static const struct act_row rows[] = {
	{"kill", ACT_SIGNAL, SIGKILL},
	{"term", ACT_SIGNAL, SIGTERM},
	{"freeze", ACT_SIGNAL, SIGSTOP},
	{"thaw", ACT_SIGNAL, SIGCONT},
	{"start", ACT_START, 0},
	{"cut", ACT_LINK, LINK_CUT},
	{"silence", ACT_LINK, LINK_SILENT},
	{"heal", ACT_LINK, LINK_PASS},
};

static void act_signal(struct proc *p, int sig)
{
	if (sig == SIGKILL)
		proc_kill(p);
	else
		proc_signal(p, sig);
}

static bool act_nodes(struct sys *s, const struct act_row *r, const char *scope,
		      const char *name)
{
	bool any = false;

	for (int i = 0; i < s->n_nodes; i++) {
		struct sys_node *n = &s->nodes[i];
		const char *own =
			strcmp(scope, "domain") == 0 ? n->domain : n->id;

		if (strcmp(own, name) != 0)
			continue;
		any = true;
		if (r->kind == ACT_START)
			any &= proc_wait(&n->proc, ACT_END_MS, NULL) &&
			       sys_node_start(s, i);
		else
			act_signal(&n->proc, r->arg);
	}
	return any;
}

static bool act_servers(struct sys *s, const struct act_row *r,
			const char *scope, const char *name)
{
	bool any = false;

	for (int i = 0; i < s->n_servers; i++) {
		struct sys_server *v = &s->servers[i];
		const char *own =
			strcmp(scope, "domain") == 0 ? v->domain : v->id;

		if (strcmp(own, name) != 0)
			continue;
		any = true;
		if (r->kind == ACT_START)
			any &= sys_server_start(s, i);
		else
			act_signal(&v->proc, r->arg);
	}
	return any;
}

static bool act_link(struct sys *s, const struct act_row *r, const char *name)
{
	bool any = false;

	for (int i = 0; i < s->n_nodes; i++) {
		if (!s->nodes[i].link || (strcmp(name, "all") != 0 &&
					  strcmp(name, s->nodes[i].id) != 0))
			continue;
		link_set(s->nodes[i].link, (enum link_mode)r->arg);
		any = true;
	}
	return any;
}

static bool act_row(struct sys *s, const struct act_row *r, const char *scope,
		    const char *name)
{
	if (r->kind == ACT_LINK)
		return strcmp(scope, "platform") == 0 && act_link(s, r, name);
	if (strcmp(scope, "node") == 0)
		return act_nodes(s, r, scope, name);
	if (strcmp(scope, "server") == 0)
		return act_servers(s, r, scope, name);
	if (strcmp(scope, "domain") == 0)
		return act_servers(s, r, scope, name) &&
		       act_nodes(s, r, scope, name);
	return false;
}

bool act(struct sys *s, const char *const *words)
{
	if (strcmp(words[0], "ctl") == 0)
		return words[1] && ctl_ok(s, words + 1);
	for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		if (strcmp(words[0], rows[i].verb) == 0)
			return words[1] && words[2] &&
			       act_row(s, &rows[i], words[1], words[2]);
	}
	return false;
}
