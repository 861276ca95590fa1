// Table of the actions, applied to processes and network links.
#include "act.h"

#include <signal.h>
#include <string.h>

#include "support/ctl.h"
#include "support/link.h"

enum {
	ACT_EXIT_MS = 10000, ///< for a process to exit before it is restarted
};

enum action_kind {
	ACT_SIGNAL,
	ACT_START,
	ACT_LINK,
};

struct action {
	const char *verb;
	enum action_kind kind;
	int arg; ///< signal or link mode
};

static const struct action actions[] = {
	{"kill", ACT_SIGNAL, SIGKILL},
	{"term", ACT_SIGNAL, SIGTERM},
	{"freeze", ACT_SIGNAL, SIGSTOP},
	{"thaw", ACT_SIGNAL, SIGCONT},
	{"start", ACT_START, 0},
	{"cut", ACT_LINK, LINK_RESET},
	{"silence", ACT_LINK, LINK_BLACKHOLE},
	{"heal", ACT_LINK, LINK_PASS},
};

static void send_signal(struct proc *p, int sig)
{
	if (sig == SIGKILL)
		proc_kill(p);
	else
		proc_signal(p, sig);
}

static bool run_on_nodes(struct sys *s, const struct action *r,
			 const char *scope, const char *name)
{
	bool found = false;

	for (int i = 0; i < s->n_nodes; i++) {
		struct sys_node *n = &s->nodes[i];
		const char *target =
			strcmp(scope, "domain") == 0 ? n->domain : n->id;

		if (strcmp(target, name) != 0)
			continue;
		found = true;
		if (r->kind == ACT_START)
			found &= proc_wait(&n->proc, ACT_EXIT_MS, NULL) &&
				 sys_node_start(s, i);
		else
			send_signal(&n->proc, r->arg);
	}
	return found;
}

static bool run_on_servers(struct sys *s, const struct action *r,
			   const char *scope, const char *name)
{
	bool found = false;

	for (int i = 0; i < s->n_servers; i++) {
		struct sys_server *v = &s->servers[i];
		const char *target =
			strcmp(scope, "domain") == 0 ? v->domain : v->id;

		if (strcmp(target, name) != 0)
			continue;
		found = true;
		if (r->kind == ACT_START)
			found &= sys_server_start(s, i);
		else
			send_signal(&v->proc, r->arg);
	}
	return found;
}

static bool run_on_links(struct sys *s, const struct action *r,
			 const char *name)
{
	bool found = false;

	for (int i = 0; i < s->n_nodes; i++) {
		if (!s->nodes[i].link || (strcmp(name, "all") != 0 &&
					  strcmp(name, s->nodes[i].id) != 0))
			continue;
		link_set_mode(s->nodes[i].link, (enum link_mode)r->arg);
		found = true;
	}
	return found;
}

static bool run_table_action(struct sys *s, const struct action *r,
			     const char *scope, const char *name)
{
	if (r->kind == ACT_LINK)
		return strcmp(scope, "platform") == 0 &&
		       run_on_links(s, r, name);
	if (strcmp(scope, "node") == 0)
		return run_on_nodes(s, r, scope, name);
	if (strcmp(scope, "server") == 0)
		return run_on_servers(s, r, scope, name);
	if (strcmp(scope, "domain") == 0)
		return run_on_servers(s, r, scope, name) &&
		       run_on_nodes(s, r, scope, name);
	return false;
}

bool run_action(struct sys *s, const char *const *words)
{
	if (strcmp(words[0], "ctl") == 0)
		return words[1] && ctl_run_ok(s, words + 1);
	for (size_t i = 0; i < sizeof(actions) / sizeof(actions[0]); i++) {
		if (strcmp(words[0], actions[i].verb) == 0)
			return words[1] && words[2] &&
			       run_table_action(s, &actions[i], words[1],
						words[2]);
	}
	return false;
}
