// Needs as keys in the store.
//
// The key goes with its process's liveness lease, so that what a lost node
// needed does not count for long. A lost key is written anew with the next need.
#include "sizing/need.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "daemon/job_mod.h"
#include "daemon/lead_mod.h"
#include "daemon/site_mod.h"

enum {
	/// A boot takes seconds: needs need not be newer than that.
	NEED_WRITE_MS = 2000,
	NEED_LOOK_MS = 100, ///< steps wait longer than this for servers
	NEED_READ_MS = 2000, ///< between two lists of the leader
	NEED_RETRY_MS = 500, ///< after a call that failed
};

struct need_row *need_row_of(struct need_rows *rows, const char *service)
{
	struct need_row *row;

	for (int i = 0; i < rows->n; i++) {
		if (strcmp(rows->rows[i].service, service) == 0)
			return &rows->rows[i];
	}
	if (rows->n == NEED_SERVICES)
		return NULL;
	row = &rows->rows[rows->n++];
	snprintf(row->service, sizeof(row->service), "%s", service);
	row->sum = 0;
	return row;
}

static void observe(struct core *c, struct need_rows *rows)
{
	const struct site_conf *conf = site_mod_conf(c);

	for (size_t i = 0; conf && i < conf->n_services; i++) {
		const struct site_service *svc = &conf->services[i];
		int n = svc->sizing.max ? job_mod_need(c, svc->name) : 0;
		struct need_row *row = n ? need_row_of(rows, svc->name) : NULL;

		if (row)
			row->sum += n;
	}
}

static void on_read(struct core *c, void *ctx, const struct kv_result *res)
{
	struct need_own *own = ctx;

	own->busy = false;
	if (res->err != ERR_OK && res->err != ERR_NOT_FOUND) {
		own->next_ms = core_now(c) + NEED_RETRY_MS;
		return;
	}
	own->rev = res->n_items ? res->items[0].rev : 0;
	own->read = false;
	own->next_ms = 0;
}

static void on_written(struct core *c, void *ctx, const struct kv_result *res)
{
	struct need_own *own = ctx;

	own->busy = false;
	if (res->err == ERR_OK) {
		own->rev = res->rev;
		return;
	}
	log_event(EV_NEED_UNWRITTEN, "error=%s", err_code(res->err));
	own->read = true;
	own->zero = false;
	own->next_ms = core_now(c) + NEED_RETRY_MS;
}

static char *need_text(const struct need_rows *rows, int looks)
{
	json_t *obj = json_object();
	char *text;

	for (int i = 0; i < rows->n; i++)
		json_object_set_new(obj, rows->rows[i].service,
				    json_real(rows->rows[i].sum / looks));
	text = json_dumps(obj, JSON_COMPACT);
	json_decref(obj);
	return text;
}

static void need_write(struct core *c, struct need_own *own, const char *key)
{
	char *text = need_text(&own->rows, own->looks);
	const struct kv_put_opts put = {
		.key = key,
		.value = text,
		.len = text ? strlen(text) : 0,
		.prev_rev = own->rev,
		.lease = lead_mod_lease(c),
	};

	own->busy = text && put.lease &&
		    kv_put(c, &put, (struct kv_cb){on_written, own}) == ERR_OK;
	if (own->busy) {
		own->zero = own->rows.n == 0;
		own->rows.n = 0;
		own->looks = 0;
	}
	free(text);
}

void need_own_step(struct core *c, struct need_own *own)
{
	char key[STORE_KEY];

	if (core_now(c) < own->look_ms)
		return;
	own->look_ms = core_now(c) + NEED_LOOK_MS;
	observe(c, &own->rows);
	own->looks++;
	if (own->busy || core_now(c) < own->next_ms ||
	    (own->zero && own->rows.n == 0))
		return;
	own->next_ms = core_now(c) + NEED_WRITE_MS;
	snprintf(key, sizeof(key), KEY_NEED "%s.%s", core_node(c),
		 core_incarnation(c));
	if (own->read)
		own->busy =
			kv_get(c, key, (struct kv_cb){on_read, own}) == ERR_OK;
	else
		need_write(c, own, key);
}

static void sum_item(struct need_rows *sum, const struct kv_item *item)
{
	json_t *obj = json_loadb(item->value, item->len, 0, NULL);
	const char *service;
	json_t *n;

	if (!obj)
		log_event(EV_NEED_BAD, "key=%s", item->key);
	json_object_foreach(obj, service, n) {
		struct need_row *row = need_row_of(sum, service);

		if (row)
			row->sum += json_number_value(n);
	}
	json_decref(obj);
}

static void on_listed(struct core *c, void *ctx, const struct kv_result *res)
{
	struct need_all *all = ctx;
	int64_t now = core_now(c);

	all->busy = false;
	if (res->err != ERR_OK) {
		all->from[0] = '\0';
		all->next_ms = now + NEED_RETRY_MS;
		return;
	}
	if (!all->from[0])
		all->sum.n = 0;
	for (size_t i = 0; i < res->n_items; i++)
		sum_item(&all->sum, &res->items[i]);
	if (res->more && res->n_items) {
		snprintf(all->from, sizeof(all->from), "%s",
			 res->items[res->n_items - 1].key);
		return;
	}
	all->from[0] = '\0';
	all->rows = all->sum;
	all->read_ms = now;
	all->next_ms = now + NEED_READ_MS;
}

void need_all_step(struct core *c, struct need_all *all)
{
	if (all->busy || core_now(c) < all->next_ms)
		return;
	all->busy = kv_list_from(c, KEY_NEED, all->from[0] ? all->from : NULL,
				 (struct kv_cb){on_listed, all}) == ERR_OK;
	if (!all->busy)
		all->next_ms = core_now(c) + NEED_RETRY_MS;
}
