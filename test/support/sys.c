// Writes the settings files and starts the processes of a local system.
#include "support/sys.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "support/addr.h"
#include "support/http.h"
#include "support/link.h"

enum {
	SYS_START_TIMEOUT_MS = 20000,
	SYS_ARGS_MAX = 40,
	SYS_PLATFORM_IP_INDEX = 0,
	SYS_NODE_IP_BASE = 10,
	SYS_SERVER_IP_BASE = 40,
};

struct args {
	const char *v[SYS_ARGS_MAX];
	int n;
};

static void args_add(struct args *a, const char *s)
{
	a->v[a->n++] = s;
	a->v[a->n] = NULL;
}

static void args_add_all(struct args *a, const char *const *list)
{
	for (; list && *list; list++)
		args_add(a, *list);
}

static bool sys_platform_start(struct sys *s)
{
	struct args a = {.n = 0};
	char listen[32];

	addr_ip(SYS_PLATFORM_IP_INDEX, s->platform_ip);
	snprintf(listen, sizeof(listen), "%s:%d", s->platform_ip,
		 SYS_PLATFORM_PORT);
	snprintf(s->platform_url, sizeof(s->platform_url), "http://%s", listen);
	args_add(&a, "fake_platform");
	args_add(&a, "--listen");
	args_add(&a, listen);
	args_add_all(&a, s->opts.platform_args);
	return proc_start(&s->platform, "platform", a.v) &&
	       wait_port(s->platform_ip, SYS_PLATFORM_PORT,
			 SYS_START_TIMEOUT_MS);
}

bool sys_server_start(struct sys *s, int i)
{
	struct sys_server *v = &s->servers[i];
	struct args a = {.n = 0};
	char listen[32];

	snprintf(listen, sizeof(listen), "%s:%d", v->ip, SYS_SERVER_PORT);
	snprintf(v->url, sizeof(v->url), "http://%s", listen);
	args_add(&a, v->engine ? "fake_engine" : "fake_service");
	args_add(&a, "--listen");
	args_add(&a, listen);
	args_add(&a, "--id");
	args_add(&a, v->id);
	args_add(&a, "--domain");
	args_add(&a, v->domain);
	args_add(&a, "--platform");
	args_add(&a, s->platform_url);
	if (!v->engine) {
		args_add(&a, "--service");
		args_add(&a, "desk");
	}
	args_add_all(&a,
		     v->engine ? s->opts.engine_args : s->opts.service_args);
	return proc_start(&v->proc, v->id, a.v) &&
	       wait_port(v->ip, SYS_SERVER_PORT, SYS_START_TIMEOUT_MS);
}

static bool sys_servers_start(struct sys *s, int d, bool engine, int count)
{
	for (int i = 0; i < count; i++) {
		struct sys_server *v = &s->servers[s->n_servers];

		v->engine = engine;
		snprintf(v->id, sizeof(v->id), "%s-d%d-%d",
			 engine ? "engine" : "desk", d, i + 1);
		snprintf(v->domain, sizeof(v->domain), "d%d", d);
		addr_ip(SYS_SERVER_IP_BASE + s->n_servers, v->ip);
		if (!sys_server_start(s, s->n_servers++))
			return false;
	}
	return true;
}

static void sys_node_set_names(struct sys *s, int i)
{
	struct sys_node *n = &s->nodes[i];
	const char *dir = getenv("TMPDIR");

	snprintf(n->id, sizeof(n->id), "n%d", i + 1);
	snprintf(n->domain, sizeof(n->domain), "d%d",
		 i / s->opts.nodes_per_domain + 1);
	addr_ip(SYS_NODE_IP_BASE + i, n->ip);
	snprintf(n->url, sizeof(n->url), "http://%s:%d", n->ip,
		 SYS_PUBLIC_PORT);
	snprintf(n->admin, sizeof(n->admin), "http://%s:%d", n->ip,
		 SYS_ADMIN_PORT);
	snprintf(n->conf, sizeof(n->conf), "%s/catkin-%d-%s.ini",
		 dir ? dir : "/tmp", (int)getpid(), n->id);
}

static bool sys_node_write_config(struct sys *s, struct sys_node *n)
{
	FILE *f = fopen(n->conf, "w");

	if (!f)
		return false;
	fprintf(f, "[node]\nid = %s\ndomain = %s\n", n->id, n->domain);
	fprintf(f, "[http]\nlisten = %s:%d\nadmin = %s:%d\n", n->ip,
		SYS_PUBLIC_PORT, n->ip, SYS_ADMIN_PORT);
	fprintf(f, "[platform]\nurl = http://%s:%d\n",
		n->link ? n->ip : s->platform_ip,
		n->link ? SYS_LINK_PORT : SYS_PLATFORM_PORT);
	fprintf(f, "[peer]\nlisten = %s:%d\nseeds = ", n->ip, SYS_PEER_PORT);
	for (int i = 0; i < s->n_nodes; i++) {
		fprintf(f, "%s%s@%s@%s:%d", i ? "," : "", s->nodes[i].id,
			s->nodes[i].domain, s->nodes[i].ip, SYS_PEER_PORT);
	}
	fprintf(f, "\n%s", s->opts.settings ? s->opts.settings : "");
	return fclose(f) == 0;
}

bool sys_node_start(struct sys *s, int i)
{
	struct sys_node *n = &s->nodes[i];
	const char *argv[] = {"catkinpathd", "--config", n->conf, NULL};

	return proc_start(&n->proc, n->id, argv);
}

bool sys_wait_status(const char *url, int status, int timeout_ms)
{
	struct http_opts opts = {.method = "GET", .url = url};

	for (int waited = 0; waited <= timeout_ms; waited += 20) {
		struct http_res res;
		int st = http_call(&opts, &res);

		http_free(&res);
		if (st == status)
			return true;
		usleep(20000);
	}
	return false;
}

static bool sys_nodes_start(struct sys *s)
{
	char url[96];

	s->n_nodes = s->opts.domains * s->opts.nodes_per_domain;
	for (int i = 0; i < s->n_nodes; i++) {
		struct sys_node *n = &s->nodes[i];

		sys_node_set_names(s, i);
		if (!s->opts.platform_links)
			continue;
		n->link = link_start(n->ip, SYS_LINK_PORT, s->platform_ip,
				     SYS_PLATFORM_PORT);
		if (!n->link)
			return false;
	}
	for (int i = 0; i < s->n_nodes; i++) {
		if (!sys_node_write_config(s, &s->nodes[i]) ||
		    !sys_node_start(s, i))
			return false;
	}
	for (int i = 0; i < s->n_nodes; i++) {
		snprintf(url, sizeof(url), "%s/healthz", s->nodes[i].url);
		if (!sys_wait_status(url, 200, SYS_START_TIMEOUT_MS))
			return false;
	}
	return true;
}

bool sys_start(struct sys *s, const struct sys_opts *opts)
{
	memset(s, 0, sizeof(*s));
	s->opts = *opts;
	if (!sys_platform_start(s))
		return false;
	for (int d = 1; d <= opts->domains; d++) {
		if (d == opts->empty_domain)
			continue;
		if (!sys_servers_start(s, d, true, opts->engines_per_domain) ||
		    !sys_servers_start(s, d, false, opts->services_per_domain))
			return false;
	}
	return sys_nodes_start(s);
}

void sys_stop(struct sys *s)
{
	for (int i = 0; i < s->n_nodes; i++) {
		proc_kill(&s->nodes[i].proc);
		link_stop(s->nodes[i].link);
		unlink(s->nodes[i].conf);
	}
	for (int i = 0; i < s->n_servers; i++)
		proc_kill(&s->servers[i].proc);
	proc_kill(&s->platform);
}
