// State of each item of a batch that this node runs.
#include "job/job_run.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

enum {
	TEXT_MIN = 1024, ///< bytes of a text at first
	RETRY_MS = 40, ///< least wait after a run that did not end whole
	/// Results of a group that is not whole wait at most this long, so that
	/// a reader sees progress about as often as it asks.
	FLUSH_MAX_MS = 1000,
};

struct item {
	enum job_step step;
	bool given_up;
	int failures;
	int64_t not_before_ms;
	int64_t ready_ms;
	int group; ///< index of the first item of its group
	struct job_text text;
};

struct job_run {
	const struct job_spec *spec;
	struct job_run_opts opts;
	struct item *items;
	int *order; ///< items, those to be started first in front
};

/* Expected length, for the order: the hint if there is one. */
static int64_t weight_of(const struct job_item *it)
{
	return it->length_hint > 0 ? it->length_hint : it->tokens;
}

/* Insertion sort: stable, and batches have some dozens of items. */
static void sort_order(struct job_run *r)
{
	const struct job_item *items = r->spec->items;

	for (size_t i = 0; i < r->spec->n_items; i++) {
		size_t at = i;

		while (at > 0 && weight_of(&items[r->order[at - 1]]) <
					 weight_of(&items[i])) {
			r->order[at] = r->order[at - 1];
			at--;
		}
		r->order[at] = (int)i;
	}
}

static void find_groups(struct job_run *r)
{
	const struct job_spec *s = r->spec;

	for (size_t i = 0; i < s->n_items; i++) {
		size_t first = 0;

		while (strcmp(s->items[first].group, s->items[i].group) != 0)
			first++;
		r->items[i].group = (int)first;
	}
}

struct job_run *job_run_new(const struct job_spec *spec,
			    const struct job_run_opts *opts)
{
	struct job_run *r = calloc(1, sizeof(*r));

	if (!r)
		return NULL;
	r->spec = spec;
	r->opts = *opts;
	r->items = calloc(spec->n_items + 1, sizeof(*r->items));
	r->order = calloc(spec->n_items + 1, sizeof(*r->order));
	if (!r->items || !r->order) {
		job_run_free(r);
		return NULL;
	}
	find_groups(r);
	sort_order(r);
	return r;
}

void job_run_free(struct job_run *r)
{
	if (!r)
		return;
	for (size_t i = 0; r->items && i < r->spec->n_items; i++)
		free(r->items[i].text.buf);
	free(r->items);
	free(r->order);
	free(r);
}

static void drop_text(struct item *it)
{
	free(it->text.buf);
	memset(&it->text, 0, sizeof(it->text));
}

void job_run_listed(struct job_run *r, const struct job_list *list)
{
	for (size_t i = 0; i < r->spec->n_items; i++) {
		if (r->items[i].step == JOB_LISTED ||
		    job_list_find(list, r->spec->items[i].id) < 0)
			continue;
		r->items[i].step = JOB_LISTED;
		drop_text(&r->items[i]);
	}
}

static void make_ready(struct item *it, int64_t now, bool given_up)
{
	it->step = JOB_READY;
	it->given_up = given_up;
	it->ready_ms = now;
	if (given_up)
		drop_text(it);
}

int job_run_next(struct job_run *r, int64_t now)
{
	for (size_t i = 0; i < r->spec->n_items; i++) {
		struct item *it = &r->items[r->order[i]];

		if (it->step != JOB_WAITING)
			continue;
		if (now >= r->opts.give_up_ms)
			make_ready(it, now, true);
		else if (now >= it->not_before_ms)
			return r->order[i];
	}
	return -1;
}

void job_run_sent(struct job_run *r, int item)
{
	assert(r->items[item].step == JOB_WAITING);
	r->items[item].step = JOB_SENT;
}

const struct job_text *job_run_text(const struct job_run *r, int item)
{
	return &r->items[item].text;
}

static bool text_add(struct job_text *t, const char *data, size_t len)
{
	size_t need = t->len + len + 1;
	size_t cap = t->cap ? t->cap : TEXT_MIN;
	char *p;

	while (cap < need)
		cap *= 2;
	if (cap != t->cap) {
		p = realloc(t->buf, cap);
		if (!p)
			return false;
		t->buf = p;
		t->cap = cap;
	}
	if (t->last_event)
		t->buf[t->len++] = '\n';
	memcpy(t->buf + t->len, data, len);
	t->len += len;
	return true;
}

enum job_step job_run_step(const struct job_run *r, int item)
{
	return r->items[item].step;
}

static bool restorable(const struct job_run *r, const struct item *it,
		       const struct job_text *text)
{
	if (it->step != JOB_WAITING || r->opts.one_version ||
	    text->last_event <= it->text.last_event)
		return false;
	for (int i = 0; i < text->n_versions; i++) {
		if (text->versions[i] < r->spec->min_version)
			return false;
	}
	return text->n_versions > 0;
}

enum err job_run_restore(struct job_run *r, int item,
			 const struct job_text *text)
{
	struct item *it = &r->items[item];
	struct job_text copy = *text;

	if (!restorable(r, it, text))
		return ERR_INVALID;
	copy.cap = text->len + 1;
	copy.buf = malloc(copy.cap);
	if (!copy.buf)
		return ERR_NOMEM;
	memcpy(copy.buf, text->buf, text->len);
	drop_text(it);
	it->text = copy;
	return ERR_OK;
}

/* Whether the batch allows these weights for this text; notes them. */
static bool version_ok(struct job_run *r, struct job_text *t, uint64_t version)
{
	if (!version || version < r->spec->min_version)
		return false;
	if (t->n_versions && t->versions[t->n_versions - 1] == version)
		return true;
	if (t->n_versions == JOB_VERSIONS ||
	    (r->opts.one_version && t->n_versions))
		return false;
	t->versions[t->n_versions++] = version;
	return true;
}

enum err job_run_event(struct job_run *r, int item, uint64_t id,
		       uint64_t version, const char *data, size_t len)
{
	struct job_text *t = &r->items[item].text;

	if (r->items[item].step != JOB_SENT || id != t->last_event + 1)
		return ERR_INVALID;
	if (!version_ok(r, t, version))
		return ERR_INVALID;
	if (!text_add(t, data, len))
		return ERR_NOMEM;
	t->last_event = id;
	return ERR_OK;
}

/* Whether the text may be continued by another run: with one version allowed,
 * only servers that still have it would do, so it starts anew. */
static void keep_or_drop(const struct job_run *r, struct item *it)
{
	if (r->opts.one_version)
		drop_text(it);
}

void job_run_ended(struct job_run *r, int item, int64_t now,
		   enum job_outcome how)
{
	struct item *it = &r->items[item];

	if (it->step != JOB_SENT)
		return;
	it->step = JOB_WAITING;
	it->not_before_ms = now + RETRY_MS;
	switch (how) {
	case JOB_RUN_WHOLE:
		make_ready(it, now, false);
		break;
	case JOB_RUN_IMPOSSIBLE:
		make_ready(it, now, true);
		break;
	case JOB_RUN_FAILED:
		if (++it->failures >= r->opts.max_failures)
			make_ready(it, now, true);
		break;
	case JOB_RUN_BROKEN:
		keep_or_drop(r, it);
		break;
	case JOB_RUN_NOT_RUN:
		break;
	}
}

void job_run_moved(struct job_run *r, int item)
{
	struct item *it = &r->items[item];

	if (it->step != JOB_SENT)
		return;
	it->step = JOB_WAITING;
	keep_or_drop(r, it);
}

void job_run_give_up(struct job_run *r)
{
	r->opts.give_up_ms = 0;
}

static bool group_whole(const struct job_run *r, int group)
{
	for (size_t i = 0; i < r->spec->n_items; i++) {
		if (r->items[i].group == group && r->items[i].step < JOB_READY)
			return false;
	}
	return true;
}

static bool flush_due(const struct job_run *r, int64_t now)
{
	for (size_t i = 0; i < r->spec->n_items; i++) {
		const struct item *it = &r->items[i];

		if (it->step == JOB_WRITING)
			return false;
	}
	for (size_t i = 0; i < r->spec->n_items; i++) {
		const struct item *it = &r->items[i];

		if (it->step == JOB_READY &&
		    (now - it->ready_ms >= FLUSH_MAX_MS ||
		     group_whole(r, it->group)))
			return true;
	}
	return false;
}

static struct job_result result_of(const struct job_run *r, size_t i)
{
	const struct item *it = &r->items[i];
	struct job_result res = {
		.id = r->spec->items[i].id,
		.state = it->given_up ? JOB_ABANDONED : JOB_COMPLETED,
		.text = it->text.buf,
		.text_len = it->text.len,
		.n_versions = it->text.n_versions,
	};

	memcpy(res.versions, it->text.versions, sizeof(res.versions));
	return res;
}

size_t job_run_flush(struct job_run *r, int64_t now, bool all,
		     struct job_result *out)
{
	size_t n = 0;

	if (!all && !flush_due(r, now))
		return 0;
	for (size_t i = 0; i < r->spec->n_items; i++) {
		if (r->items[i].step != JOB_READY)
			continue;
		r->items[i].step = JOB_WRITING;
		out[n++] = result_of(r, i);
	}
	return n;
}

void job_run_unwritten(struct job_run *r)
{
	for (size_t i = 0; i < r->spec->n_items; i++) {
		if (r->items[i].step == JOB_WRITING)
			r->items[i].step = JOB_READY;
	}
}

size_t job_run_count(const struct job_run *r, enum job_step step)
{
	size_t n = 0;

	for (size_t i = 0; i < r->spec->n_items; i++)
		n += r->items[i].step == step;
	return n;
}

bool job_run_over(const struct job_run *r)
{
	return job_run_count(r, JOB_LISTED) == r->spec->n_items;
}
