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

	for (int i = 0; i < TRAINER_PROMPT; i++)
		prompt[i] = (uint32_t)rng_below(&r, TRAINER_VOCABULARY);
}

int trainer_slot(const struct trainer *t, const char *name)
{
	int group;
	int i;
	char rest;

	if (!name || sscanf(name, "g%d/%d%c", &group, &i, &rest) != 2)
		return -1;
	if (group < 0 || group >= t->opts.groups || i < 0 || i >= t->opts.n)
		return -1;
	return group * t->opts.n + i;
}

/* Mark the samples that an earlier session printed as received: it acknowledged
   only those. */
static void trainer_read_kept(struct trainer *t)
{
	FILE *f = fopen(t->opts.kept, "r");
	char line[65536];

	while (f && fgets(line, sizeof(line), f)) {
		json_t *obj = json_loads(line, 0, NULL);
		const char *name =
			json_string_value(json_object_get(obj, "sample"));
		const char *content =
			json_string_value(json_object_get(obj, "content"));
		int i = trainer_slot(t, name);

		if (i >= 0 && content && !t->slots[i].have) {
			t->slots[i].have = true;
			t->slots[i].content = strtoull(content, NULL, 16);
			t->have++;
		}
		json_decref(obj);
	}
	if (f)
		fclose(f);
}

void trainer_fault(struct trainer *t, const char *slot, const char *what)
{
	t->faults++;
	printf("{\"fault\":\"%s\",\"slot\":\"%s\"}\n", what, slot);
	fflush(stdout);
}

static json_t *trainer_group(const struct trainer *t, int group)
{
	uint32_t prompt[TRAINER_PROMPT];
	json_t *list = json_array();

	trainer_prompt(t, group, prompt);
	for (int i = 0; i < TRAINER_PROMPT; i++)
		json_array_append_new(list, json_integer(prompt[i]));
	return json_pack("{s:o,s:o,s:i,s:i}", "group",
			 json_sprintf("g%d", group), "prompt", list, "n",
			 t->opts.n, "max_tokens", t->opts.max_tokens);
}

static char *trainer_batch(const struct trainer *t)
{
	json_t *groups = json_array();
	json_t *obj;
	char *text;

	for (int i = 0; i < t->opts.groups; i++)
		json_array_append_new(groups, trainer_group(t, i));
	obj = json_pack("{s:s,s:s,s:i,s:i,s:i,s:s,s:o}", "batch", t->opts.batch,
			"trainer", t->opts.trainer, "step", t->opts.step,
			"version", t->opts.version, "max_staleness",
			t->opts.staleness, "route", t->opts.route, "groups",
			groups);
	text = json_dumps(obj, JSON_COMPACT);
	json_decref(obj);
	return text;
}

static int trainer_post(const struct trainer *t, const char *body)
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
static bool trainer_retries(int status)
{
	return status == 0 || status >= 500;
}

static void trainer_move(struct trainer *t)
{
	t->node = (t->node + 1) % t->opts.n_nodes;
	t->moves++;
	usleep(TRAINER_RETRY_US);
}

static bool trainer_send(struct trainer *t, int64_t end)
{
	char *body = trainer_batch(t);
	int status = 0;

	while (clock_now_ms() < end) {
		status = trainer_post(t, body);
		if (!trainer_retries(status))
			break;
		trainer_move(t);
	}
	free(body);
	return status == 200 || status == 202;
}

static void trainer_bump(struct trainer *t)
{
	if (t->opts.bump_every > 0)
		t->version = t->opts.version + t->have / t->opts.bump_every;
}

static bool trainer_pull_all(struct trainer *t, int64_t end)
{
	while (!t->done && clock_now_ms() < end) {
		int status = pull_once(t);

		trainer_bump(t);
		if (status == 200)
			continue;
		if (!trainer_retries(status))
			return false;
		trainer_move(t);
	}
	return t->done;
}

bool trainer_run(struct trainer *t)
{
	int64_t begin = clock_now_ms();
	int64_t end = begin + t->opts.limit_ms;
	int slots = t->opts.groups * t->opts.n;
	bool ok;

	t->version = t->opts.version;
	t->slots = calloc((size_t)slots, sizeof(*t->slots));
	if (*t->opts.kept)
		trainer_read_kept(t);
	ok = trainer_send(t, end) && trainer_pull_all(t, end) &&
	     t->faults == 0 && t->have == slots;
	printf("{\"batch\":\"%s\",\"ok\":%s,\"samples\":%d,\"slots\":%d,"
	       "\"faults\":%d,\"repeats\":%d,\"moves\":%d,\"ms\":%lld}\n",
	       t->opts.batch, ok ? "true" : "false", t->have, slots, t->faults,
	       t->repeats, t->moves, (long long)(clock_now_ms() - begin));
	free(t->slots);
	return ok;
}
