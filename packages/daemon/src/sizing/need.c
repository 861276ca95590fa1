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

static const double MODEL_WEIGHT = 0.3; ///< of a new step in a model's work

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

static struct need_model *model_of(struct need_models *models, const char *name)
{
	for (int i = 0; i < models->n; i++) {
		if (strcmp(models->rows[i].name, name) == 0)
			return &models->rows[i];
	}
	if (models->n == NEED_MODELS)
		return NULL;
	models->rows[models->n] = (struct need_model){.work = 0};
	snprintf(models->rows[models->n].name, SITE_NAME_SIZE, "%s", name);
	return &models->rows[models->n++];
}

double need_model_work(const struct need_all *all, const char *model)
{
	for (int i = 0; i < all->models.n; i++) {
		if (strcmp(all->models.rows[i].name, model) == 0)
			return all->models.rows[i].work;
	}
	return 0;
}

static void observe_models(struct core *c, struct need_models *models)
{
	const char *name;
	size_t iter = 0;
	int64_t work;

	while ((name = job_mod_next_running(c, &iter, &work))) {
		struct need_model *m = model_of(models, name);

		if (m && (double)work > m->work)
			m->work = (double)work;
	}
}

static void observe(struct core *c, struct need_rows *rows)
{
	const struct site_conf *conf = site_mod_conf(c);

	for (size_t i = 0; conf && i < conf->n_services; i++) {
		const struct site_service *svc = &conf->services[i];
		int n = svc->sizing.max ? job_mod_in_flight(c, svc->name) : 0;
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

static char *need_text(const struct need_own *own)
{
	json_t *services = json_object();
	json_t *models = json_object();
	json_t *obj =
		json_pack("{s:o,s:o}", "services", services, "models", models);
	char *text;

	for (int i = 0; i < own->rows.n; i++)
		json_object_set_new(
			services, own->rows.rows[i].service,
			json_real(own->rows.rows[i].sum / own->looks));
	for (int i = 0; i < own->models.n; i++)
		json_object_set_new(models, own->models.rows[i].name,
				    json_real(own->models.rows[i].work));
	text = json_dumps(obj, JSON_COMPACT);
	json_decref(obj);
	return text;
}

static void need_write(struct core *c, struct need_own *own, const char *key)
{
	char *text = need_text(own);
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
		own->zero = own->rows.n == 0 && own->models.n == 0;
		own->rows.n = 0;
		own->models.n = 0;
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
	observe_models(c, &own->models);
	own->looks++;
	if (own->busy || core_now(c) < own->next_ms ||
	    (own->zero && own->rows.n == 0 && own->models.n == 0))
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

/* Steps of a model are alike: the last one tells. */
static void take_models(struct need_models *models, json_t *obj)
{
	const char *name;
	json_t *work;

	json_object_foreach(obj, name, work) {
		struct need_model *m = model_of(models, name);
		double now = json_number_value(work);

		if (m && now > 0)
			m->work = m->work > 0
					  ? m->work + MODEL_WEIGHT *
							      (now - m->work)
					  : now;
	}
}

static void sum_item(struct need_all *all, const struct kv_item *item)
{
	json_t *obj = json_loadb(item->value, item->len, 0, NULL);
	const char *service;
	json_t *n;

	if (!obj)
		log_event(EV_NEED_BAD, "key=%s", item->key);
	json_object_foreach(json_object_get(obj, "services"), service, n) {
		struct need_row *row = need_row_of(&all->sum, service);

		if (row)
			row->sum += json_number_value(n);
	}
	take_models(&all->models, json_object_get(obj, "models"));
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
		sum_item(all, &res->items[i]);
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
