// Starts order_holder processes; reads the platform's log.
#include "support/pair.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "support/addr.h"
#include "support/http.h"

enum {
	PAIR_START_TIMEOUT_MS = 20000,
	PAIR_PORT = 7000,
	PAIR_LINK_PORT = 6000,
	PAIR_NODE_IP_BASE = 10,
	US_PER_MS = 1000,
};

bool pair_start_platform(struct proc *p, const char *const *args, char *url)
{
	char ip[16], listen[32];
	const char *argv[16] = {"fake_platform", "--listen", listen};

	for (int i = 0; args && args[i]; i++)
		argv[3 + i] = args[i];
	snprintf(listen, sizeof(listen), "%s:%d", addr_ip(0, ip), PAIR_PORT);
	snprintf(url, 64, "http://%s", listen);
	return proc_start(p, "platform", argv) &&
	       wait_port(ip, PAIR_PORT, PAIR_START_TIMEOUT_MS);
}

static bool pair_node_write_config(const struct pair *p,
				   const struct pair_node *n)
{
	FILE *f = fopen(n->conf, "w");

	if (!f)
		return false;
	fprintf(f, "[node]\nid = %s\ndomain = %s\n", n->id, p->domain);
	fprintf(f, "[http]\nlisten = %s:8000\nadmin = %s:8001\n", n->ip, n->ip);
	fprintf(f, "[platform]\nurl = http://%s:%d\ntimeout = 150ms\n", n->ip,
		PAIR_LINK_PORT);
	fprintf(f, "[upstream]\nconnect_timeout = 150ms\n");
	fprintf(f, "[peer]\nlisten = %s:8002\n", n->ip);
	fprintf(f, "[duty]\nttl = %dms\nmargin = %dms\nnet_delay = %dms\n",
		PAIR_TTL_MS, PAIR_MARGIN_MS, p->net_delay_ms);
	return fclose(f) == 0;
}

bool pair_restart(struct pair *p, int i)
{
	struct pair_node *n = &p->node[i];
	const char *argv[] = {"order_holder", n->conf, p->mode, NULL};

	return proc_start(&n->proc, n->id, argv);
}

static bool pair_node_start(struct pair *p, int index, int i)
{
	struct pair_node *n = &p->node[i];
	const char *dir = getenv("TMPDIR");
	char target_ip[16];

	snprintf(n->id, sizeof(n->id), "h%d-%d", index, i);
	addr_ip(PAIR_NODE_IP_BASE + PAIR_NODES * index + i, n->ip);
	snprintf(n->conf, sizeof(n->conf), "%s/catkin-%d-%s.ini",
		 dir ? dir : "/tmp", (int)getpid(), n->id);
	n->link = link_start(n->ip, PAIR_LINK_PORT, addr_ip(0, target_ip),
			     PAIR_PORT);
	return n->link && pair_node_write_config(p, n) && pair_restart(p, i);
}

bool pair_start(struct pair *p, int index, const char *url)
{
	snprintf(p->domain, sizeof(p->domain), "d%d", index);
	snprintf(p->url, sizeof(p->url), "%s", url);
	for (int i = 0; i < PAIR_NODES; i++) {
		if (!pair_node_start(p, index, i))
			return false;
	}
	return true;
}

int pair_holder(const struct pair *p)
{
	char url[128];
	json_t *j;
	const char *value;
	int holder = -1;

	snprintf(url, sizeof(url), "%s/kv/duty/%s/%s", p->url,
		 strcmp(p->mode, "report") == 0 ? "usage" : "fleet", p->domain);
	j = http_json("GET", url, NULL, NULL, NULL);
	value = json_string_value(json_object_get(j, "value"));
	for (int i = 0; value && i < PAIR_NODES; i++) {
		if (strstr(value, p->node[i].id))
			holder = i;
	}
	json_decref(j);
	return holder;
}

static void pair_count_row(const json_t *row, json_int_t *max_epoch,
			   json_int_t *last_us, struct pair_count *out)
{
	json_int_t epoch = json_integer_value(json_object_get(row, "epoch"));
	json_int_t t_us = json_integer_value(json_object_get(row, "t_us"));

	out->orders++;
	if (epoch < *max_epoch) {
		out->stale++;
		return;
	}
	if (epoch > *max_epoch) {
		out->epochs++;
		if (*max_epoch > 0 && out->gaps < PAIR_GAPS_MAX)
			out->gap_ms[out->gaps++] =
				(t_us - *last_us) / US_PER_MS;
	}
	*max_epoch = epoch;
	*last_us = t_us;
}

void pair_count_orders(const struct pair *p, struct pair_count *out)
{
	char url[128];
	json_int_t max_epoch = 0, last_us = 0;
	json_t *j, *row;
	size_t i;

	memset(out, 0, sizeof(*out));
	snprintf(url, sizeof(url), "%s/fake/log?domain=%s", p->url, p->domain);
	j = http_json("GET", url, NULL, NULL, NULL);
	json_array_foreach(json_object_get(j, "log"), i, row)
		pair_count_row(row, &max_epoch, &last_us, out);
	json_decref(j);
}

void pair_stop(struct pair *p)
{
	for (int i = 0; i < PAIR_NODES; i++) {
		proc_kill(&p->node[i].proc);
		link_stop(p->node[i].link);
		unlink(p->node[i].conf);
	}
}
