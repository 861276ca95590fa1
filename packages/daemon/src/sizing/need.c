// The nodes' need of servers as keys in the store.
//
// A node's key is bound to the lease of its liveness key, so that the need of a
// lost node soon stops counting. A deleted key is written again with the next need.
#include "sizing/need.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "base/table_full.h"
#include "daemon/job_mod.h"
#include "daemon/lead_mod.h"
#include "daemon/site_mod.h"

enum {
	/// A server takes seconds to boot, so needs may be as old as this.
	NEED_WRITE_MS = 2000,
	NEED_OBSERVE_MS = 100, ///< shorter than the wait of steps for servers
	NEED_READ_MS = 2000, ///< between two lists by the leader
	NEED_RETRY_MS = 500, ///< after a failed call
};

static const double MODEL_EWMA_WEIGHT = 0.3; ///< of a new step in the average

struct need_row *need_row_get(struct need_rows *rows, const char *service)
{
	struct need_row *row;

	for (int i = 0; i < rows->n; i++) {
		if (strcmp(rows->rows[i].service, service) == 0)
			return &rows->rows[i];
	}
	if (rows->n == NEED_SERVICES_MAX) {
		table_full("needs-of-services", service, NEED_SERVICES_MAX);
		return NULL;
	}
	row = &rows->rows[rows->n++];
	snprintf(row->service, sizeof(row->service), "%s", service);
	row->requests = 0;
	return row;
}

static struct need_model *model_get(struct need_models *models,
				    const char *name)
{
	for (int i = 0; i < models->n; i++) {
		if (strcmp(models->rows[i].name, name) == 0)
			return &models->rows[i];
	}
	if (models->n == NEED_MODELS_MAX) {
		table_full("needs-of-models", name, NEED_MODELS_MAX);
		return NULL;
	}
	models->rows[models->n] = (struct need_model){.step_tokens = 0};
	snprintf(models->rows[models->n].name, SITE_NAME_SIZE, "%s", name);
	return &models->rows[models->n++];
}

double need_model_step_tokens(const struct need_total *total, const char *model)
{
	for (int i = 0; i < total->models.n; i++) {
		if (strcmp(total->models.rows[i].name, model) == 0)
			return total->models.rows[i].step_tokens;
	}
	return 0;
}

static void observe_models(struct core *c, struct need_models *models)
{
	const char *name;
	size_t iter = 0;
	int64_t work;

	while ((name = job_mod_next_running(c, &iter, &work))) {
		struct need_model *m = model_get(models, name);

		if (m && (double)work > m->step_tokens)
			m->step_tokens = (double)work;
	}
}

static void observe_services(struct core *c, struct need_rows *rows)
{
	const struct site_conf *conf = site_mod_conf(c);

	for (size_t i = 0; conf && i < conf->n_services; i++) {
		const struct site_service *svc = &conf->services[i];
		int n = svc->sizing.max ? job_mod_in_flight(c, svc->name) : 0;
		struct need_row *row = n ? need_row_get(rows, svc->name) : NULL;

		if (row)
			row->requests += n;
	}
}

static void on_read(struct core *c, void *ctx, const struct kv_result *res)
{
	struct need_node *node = ctx;

	node->call_outstanding = false;
	if (res->err != ERR_OK && res->err != ERR_NOT_FOUND) {
		node->next_call_ms = core_now(c) + NEED_RETRY_MS;
		return;
	}
	node->rev = res->n_items ? res->items[0].rev : 0;
	node->must_read_rev = false;
	node->next_call_ms = 0;
}

static void on_written(struct core *c, void *ctx, const struct kv_result *res)
{
	struct need_node *node = ctx;

	node->call_outstanding = false;
	if (res->err == ERR_OK) {
		node->rev = res->rev;
		return;
	}
	log_event(EV_NEED_UNWRITTEN, "error=%s", err_code(res->err));
	node->must_read_rev = true;
	node->stored_empty = false;
	node->next_call_ms = core_now(c) + NEED_RETRY_MS;
}

static char *need_text(const struct need_node *node)
{
	json_t *services = json_object();
	json_t *models = json_object();
	json_t *obj =
		json_pack("{s:o,s:o}", "services", services, "models", models);
	char *text;

	for (int i = 0; i < node->rows.n; i++)
		json_object_set_new(services, node->rows.rows[i].service,
				    json_real(node->rows.rows[i].requests /
					      node->observations));
	for (int i = 0; i < node->models.n; i++)
		json_object_set_new(
			models, node->models.rows[i].name,
			json_real(node->models.rows[i].step_tokens));
	text = json_dumps(obj, JSON_COMPACT);
	json_decref(obj);
	return text;
}

static void need_write(struct core *c, struct need_node *node, const char *key)
{
	char *text = need_text(node);
	const struct kv_put_opts put = {
		.key = key,
		.value = text,
		.len = text ? strlen(text) : 0,
		.prev_rev = node->rev,
		.lease = lead_mod_store_lease(c),
	};

	node->call_outstanding =
		text && put.lease &&
		kv_put(c, &put, (struct kv_cb){on_written, node}) == ERR_OK;
	if (node->call_outstanding) {
		node->stored_empty = node->rows.n == 0 && node->models.n == 0;
		node->rows.n = 0;
		node->models.n = 0;
		node->observations = 0;
	}
	free(text);
}

void need_node_step(struct core *c, struct need_node *node)
{
	char key[STORE_KEY_SIZE];

	if (core_now(c) < node->next_observe_ms)
		return;
	node->next_observe_ms = core_now(c) + NEED_OBSERVE_MS;
	observe_services(c, &node->rows);
	observe_models(c, &node->models);
	node->observations++;
	if (node->call_outstanding || core_now(c) < node->next_call_ms ||
	    (node->stored_empty && node->rows.n == 0 && node->models.n == 0))
		return;
	node->next_call_ms = core_now(c) + NEED_WRITE_MS;
	snprintf(key, sizeof(key), KEY_NEED "%s.%s", core_node(c),
		 core_incarnation(c));
	if (node->must_read_rev)
		node->call_outstanding =
			kv_get(c, key, (struct kv_cb){on_read, node}) == ERR_OK;
	else
		need_write(c, node, key);
}

/* Moving average: steps of a model are alike. */
static void update_models(struct need_models *models, json_t *obj)
{
	const char *name;
	json_t *work;

	json_object_foreach(obj, name, work) {
		struct need_model *m = model_get(models, name);
		double now = json_number_value(work);

		if (m && now > 0)
			m->step_tokens =
				m->step_tokens > 0
					? m->step_tokens +
						  MODEL_EWMA_WEIGHT *
							  (now - m->step_tokens)
					: now;
	}
}

static void sum_item(struct need_total *total, const struct kv_item *item)
{
	json_t *obj = json_loadb(item->value, item->len, 0, NULL);
	const char *service;
	json_t *n;

	if (!obj)
		log_event(EV_NEED_BAD, "key=%s", item->key);
	json_object_foreach(json_object_get(obj, "services"), service, n) {
		struct need_row *row = need_row_get(&total->partial, service);

		if (row)
			row->requests += json_number_value(n);
	}
	update_models(&total->models, json_object_get(obj, "models"));
	json_decref(obj);
}

static void on_listed(struct core *c, void *ctx, const struct kv_result *res)
{
	struct need_total *total = ctx;
	int64_t now = core_now(c);

	total->call_outstanding = false;
	if (res->err != ERR_OK) {
		total->cursor[0] = '\0';
		total->next_list_ms = now + NEED_RETRY_MS;
		return;
	}
	if (!total->cursor[0])
		total->partial.n = 0;
	for (size_t i = 0; i < res->n_items; i++)
		sum_item(total, &res->items[i]);
	if (res->more && res->n_items) {
		snprintf(total->cursor, sizeof(total->cursor), "%s",
			 res->items[res->n_items - 1].key);
		return;
	}
	total->cursor[0] = '\0';
	total->rows = total->partial;
	total->last_list_ms = now;
	total->next_list_ms = now + NEED_READ_MS;
}

void need_total_step(struct core *c, struct need_total *total)
{
	if (total->call_outstanding || core_now(c) < total->next_list_ms)
		return;
	total->call_outstanding =
		kv_list_after(c, KEY_NEED,
			      total->cursor[0] ? total->cursor : NULL,
			      (struct kv_cb){on_listed, total}) == ERR_OK;
	if (!total->call_outstanding)
		total->next_list_ms = core_now(c) + NEED_RETRY_MS;
}
