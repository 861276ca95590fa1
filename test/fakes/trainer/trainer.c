// Posts the batch and pulls its samples; fails over to the next node on errors.
#include "trainer.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/rng.h"
#include "pull.h"
#include "support/http.h"

enum {
	TRAINER_RETRY_US = 100000,
	TRAINER_VOCABULARY = 50000,
};

void trainer_prompt(const struct trainer *t, int group, uint32_t *prompt)
{
	struct rng r = {t->opts.seed * 1000003 + (uint64_t)group};

	for (int i = 0; i < TRAINER_PROMPT_TOKENS; i++)
		prompt[i] = (uint32_t)rng_below(&r, TRAINER_VOCABULARY);
}

int trainer_slot(const struct trainer *t, const char *name)
{
	int group;
	int i;
	char trailing;

	if (!name || sscanf(name, "g%d/%d%c", &group, &i, &trailing) != 2)
		return -1;
	if (group < 0 || group >= t->opts.groups || i < 0 ||
	    i >= t->opts.group_size)
		return -1;
	return group * t->opts.group_size + i;
}

/* Mark the samples that an earlier session printed as received: it acknowledged
   only those. */
static void trainer_load_earlier(struct trainer *t)
{
	FILE *f = fopen(t->opts.earlier_file, "r");
	char line[65536];

	while (f && fgets(line, sizeof(line), f)) {
		json_t *obj = json_loads(line, 0, NULL);
		const char *name =
			json_string_value(json_object_get(obj, "sample"));
		const char *content =
			json_string_value(json_object_get(obj, "content"));
		int i = trainer_slot(t, name);

		if (i >= 0 && content && !t->slots[i].received) {
			t->slots[i].received = true;
			t->slots[i].content = strtoull(content, NULL, 16);
			t->n_received++;
		}
		json_decref(obj);
	}
	if (f)
		fclose(f);
}

void trainer_violation(struct trainer *t, const char *slot, const char *what)
{
	t->violations++;
	printf("{\"fault\":\"%s\",\"slot\":\"%s\"}\n", what, slot);
	fflush(stdout);
}

static json_t *trainer_group_json(const struct trainer *t, int group)
{
	uint32_t prompt[TRAINER_PROMPT_TOKENS];
	json_t *list = json_array();

	trainer_prompt(t, group, prompt);
	for (int i = 0; i < TRAINER_PROMPT_TOKENS; i++)
		json_array_append_new(list, json_integer(prompt[i]));
	return json_pack("{s:o,s:o,s:i,s:i}", "group",
			 json_sprintf("g%d", group), "prompt", list, "n",
			 t->opts.group_size, "max_tokens", t->opts.max_tokens);
}

static char *trainer_batch_json(const struct trainer *t)
{
	json_t *groups = json_array();
	json_t *obj;
	char *text;

	for (int i = 0; i < t->opts.groups; i++)
		json_array_append_new(groups, trainer_group_json(t, i));
	obj = json_pack("{s:s,s:s,s:i,s:i,s:i,s:s,s:o}", "batch", t->opts.batch,
			"trainer", t->opts.trainer, "step", t->opts.step,
			"version", t->opts.version, "max_staleness",
			t->opts.max_staleness, "route", t->opts.route, "groups",
			groups);
	text = json_dumps(obj, JSON_COMPACT);
	json_decref(obj);
	return text;
}

static int trainer_post_once(const struct trainer *t, const char *body)
{
	char url[512];
	struct http_opts opts = {
		.method = "POST",
		.url = url,
		.bearer = *t->opts.key ? t->opts.key : NULL,
		.body = body,
	};
	struct http_res res;
	int status;

	snprintf(url, sizeof(url), "%s/v1/rollouts", t->opts.nodes[t->node]);
	status = http_call(&opts, &res);
	if (status != 202 && status != 200)
		fprintf(stderr, "batch rejected: status %d: %s\n", status,
			res.body);
	http_free(&res);
	return status;
}

/* Whether to retry the call at the next node. */
static bool trainer_should_retry(int status)
{
	return status == 0 || status >= 500;
}

static void trainer_next_node(struct trainer *t)
{
	t->node = (t->node + 1) % t->opts.n_nodes;
	t->failovers++;
	usleep(TRAINER_RETRY_US);
}

static bool trainer_post_batch(struct trainer *t, int64_t deadline_ms)
{
	char *body = trainer_batch_json(t);
	int status = 0;

	while (clock_now_ms() < deadline_ms) {
		status = trainer_post_once(t, body);
		if (!trainer_should_retry(status))
			break;
		trainer_next_node(t);
	}
	free(body);
	return status == 200 || status == 202;
}

static void trainer_update_version(struct trainer *t)
{
	if (t->opts.bump_every > 0)
		t->version =
			t->opts.version + t->n_received / t->opts.bump_every;
}

static bool trainer_pull_all(struct trainer *t, int64_t deadline_ms)
{
	while (!t->done && clock_now_ms() < deadline_ms) {
		int status = pull_once(t);

		trainer_update_version(t);
		if (status == 200)
			continue;
		if (!trainer_should_retry(status))
			return false;
		trainer_next_node(t);
	}
	return t->done;
}

bool trainer_run(struct trainer *t)
{
	int64_t start_ms = clock_now_ms();
	int64_t deadline_ms = start_ms + t->opts.run_timeout_ms;
	int slots = t->opts.groups * t->opts.group_size;
	bool ok;

	t->version = t->opts.version;
	t->slots = calloc((size_t)slots, sizeof(*t->slots));
	if (*t->opts.earlier_file)
		trainer_load_earlier(t);
	ok = trainer_post_batch(t, deadline_ms) &&
	     trainer_pull_all(t, deadline_ms) && t->violations == 0 &&
	     t->n_received == slots;
	printf("{\"batch\":\"%s\",\"ok\":%s,\"samples\":%d,\"slots\":%d,"
	       "\"faults\":%d,\"repeats\":%d,\"moves\":%d,\"ms\":%lld}\n",
	       t->opts.batch, ok ? "true" : "false", t->n_received, slots,
	       t->violations, t->redeliveries, t->failovers,
	       (long long)(clock_now_ms() - start_ms));
	free(t->slots);
	return ok;
}
