// Attempts, texts and results of the items of a batch that this node runs.
#include "job/job_run.h"

#include <stdlib.h>
#include <string.h>

#include "run_state.h"

enum {
	TEXT_MIN_BYTES = 1024, ///< initial capacity of a text
	ITEM_RETRY_MIN_MS = 40, ///< minimum delay after an incomplete attempt
	/// Longest delay of a result that isn't needed at once. It limits the
	/// results that are lost with the node.
	FLUSH_DELAY_MAX_MS = 1000,
	/// Before the due time, from which on each complete group is written: the store
	/// takes some milliseconds, or a third of a second when it is slow.
	FLUSH_AHEAD_MS = 300,
};

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
	r->unfinished = calloc(spec->n_items + 1, sizeof(*r->unfinished));
	r->by_id = calloc(spec->n_items + 1, sizeof(*r->by_id));
	r->waiting = calloc(spec->n_items + 1, sizeof(*r->waiting));
	r->group_abandoned =
		calloc(spec->n_items + 1, sizeof(*r->group_abandoned));
	r->carried = calloc(spec->n_items + 1, sizeof(*r->carried));
	r->groups_by_waiting =
		calloc(spec->n_items + 1, sizeof(*r->groups_by_waiting));
	if (!r->items || !r->order || !r->unfinished || !r->by_id ||
	    !r->waiting || !r->group_abandoned || !r->carried ||
	    !r->groups_by_waiting || run_order_init(r) != ERR_OK) {
		job_run_free(r);
		return NULL;
	}
	run_phases_init(r);
	return r;
}

static void free_text(struct run_item *it)
{
	free(it->text.buf);
	free(it->text.score);
	memset(&it->text, 0, sizeof(it->text));
}

void job_run_free(struct job_run *r)
{
	if (!r)
		return;
	for (size_t i = 0; r->items && i < r->spec->n_items; i++)
		free_text(&r->items[i]);
	free(r->items);
	free(r->order);
	free(r->unfinished);
	free(r->by_id);
	free(r->waiting);
	free(r->group_abandoned);
	free(r->carried);
	free(r->groups_by_waiting);
	free(r);
}

void run_set_finished(struct job_run *r, struct run_item *it, int64_t now,
		      bool abandoned)
{
	run_set_phase(r, it, JOB_FINISHED);
	it->abandoned = abandoned;
	it->finished_ms = now;
	if (abandoned) {
		free_text(it);
		run_abandon_group(r, it->group);
	}
}

static const struct job_item *item_spec(const struct job_run *r,
					const struct run_item *it)
{
	return &r->spec->items[it - r->items];
}

void run_set_generated(struct job_run *r, struct run_item *it, int64_t now)
{
	it->text.complete = true;
	it->text.whole_ms = now;
	it->not_before_ms = now;
	if (item_spec(r, it)->reward.id && !it->text.score)
		run_set_phase(r, it, JOB_GENERATED);
	else
		run_set_finished(r, it, now, false);
}

static void set_listed(struct job_run *r, struct run_item *it,
		       enum job_state state)
{
	if (it->phase == JOB_LISTED)
		return;
	run_set_phase(r, it, JOB_LISTED);
	if (state == JOB_ABANDONED)
		run_abandon_group(r, it->group);
	free_text(it);
}

void job_run_apply_list(struct job_run *r, const struct job_list *list)
{
	for (; r->n_listed < list->n; r->n_listed++) {
		size_t n;
		const struct job_result *res = &list->results[r->n_listed];
		size_t first = run_find_id(r, res->id, &n);

		for (size_t i = first; i < first + n; i++)
			set_listed(r, &r->items[r->by_id[i]], res->state);
	}
}

/* Rank of an item's group in the start order; the lowest starts first. */
enum group_rank {
	GROUP_NEAREST, ///< carried over, or nearest to completion
	GROUP_OTHER,
	GROUP_HAS_ABANDONED, ///< can't become complete
	GROUP_RANKS,
};

static enum group_rank group_rank_of(const struct job_run *r, int group,
				     int near_limit)
{
	if (r->group_abandoned[group])
		return GROUP_HAS_ABANDONED;
	return r->carried[group] || r->waiting[group] <= near_limit
		       ? GROUP_NEAREST
		       : GROUP_OTHER;
}

int job_run_next_item(struct job_run *r, int64_t now)
{
	int first[GROUP_RANKS] = {-1, -1, -1};
	int near_limit = run_near_limit(r);

	for (size_t i = 0; i < r->spec->n_items; i++) {
		struct run_item *it = &r->items[r->order[i]];
		enum group_rank rank = group_rank_of(r, it->group, near_limit);

		if (it->phase != JOB_WAITING)
			continue;
		if (now >= r->opts.give_up_ms)
			run_set_finished(r, it, now, true);
		else if (now >= it->not_before_ms && first[rank] < 0)
			first[rank] = r->order[i];
		if (first[GROUP_NEAREST] >= 0)
			return first[GROUP_NEAREST];
	}
	return first[GROUP_OTHER] >= 0 ? first[GROUP_OTHER]
				       : first[GROUP_HAS_ABANDONED];
}

enum err job_run_item_sent(struct job_run *r, int item)
{
	if (r->items[item].phase != JOB_WAITING)
		return ERR_INVALID;
	run_set_phase(r, &r->items[item], JOB_SENT);
	return ERR_OK;
}

const struct job_text *job_run_text(const struct job_run *r, int item)
{
	return &r->items[item].text;
}

size_t job_run_text_bytes(const struct job_run *r)
{
	size_t n = 0;

	for (size_t i = 0; i < r->spec->n_items; i++)
		n += r->items[i].text.cap;
	return n;
}

static bool text_append(struct job_text *t, const char *data, size_t len)
{
	size_t need = t->len + len + 1;
	size_t cap = t->cap ? t->cap : TEXT_MIN_BYTES;
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

enum job_phase job_run_phase(const struct job_run *r, int item)
{
	return r->items[item].phase;
}

static bool can_restore(const struct job_run *r, const struct run_item *it,
			const struct job_text *text)
{
	bool resumable = !r->opts.one_version ||
			 (text->complete && text->n_versions == 1);

	if (it->phase != JOB_WAITING || !resumable ||
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
	struct run_item *it = &r->items[item];
	struct job_text copy = *text;

	if (!can_restore(r, it, text))
		return ERR_INVALID;
	copy.cap = text->len + 1;
	copy.buf = malloc(copy.cap);
	copy.score = text->score ? strdup(text->score) : NULL;
	if (!copy.buf || !copy.score != !text->score) {
		free(copy.buf);
		free(copy.score);
		return ERR_NOMEM;
	}
	memcpy(copy.buf, text->buf, text->len);
	free_text(it);
	it->text = copy;
	if (copy.complete)
		run_set_generated(r, it, 0);
	return ERR_OK;
}

/* Whether a text has no room for one more version: it can't be completed as it is. */
static bool versions_full(const struct job_text *t, uint64_t version)
{
	return t->n_versions == JOB_VERSIONS_MAX &&
	       t->versions[t->n_versions - 1] != version;
}

/* Add a weight version to a text; false if the batch does not allow it. */
static bool add_version(struct job_run *r, struct job_text *t, uint64_t version)
{
	if (!version || version < r->spec->min_version)
		return false;
	if (t->n_versions && t->versions[t->n_versions - 1] == version)
		return true;
	if (t->n_versions == JOB_VERSIONS_MAX ||
	    (r->opts.one_version && t->n_versions))
		return false;
	t->versions[t->n_versions++] = version;
	return true;
}

enum err job_run_add_event(struct job_run *r, int item, uint64_t id,
			   uint64_t version, const char *data, size_t len)
{
	struct job_text *t = &r->items[item].text;

	if (r->items[item].phase != JOB_SENT || id != t->last_event + 1)
		return ERR_INVALID;
	if (!add_version(r, t, version)) {
		if (versions_full(t, version))
			free_text(&r->items[item]);
		return ERR_INVALID;
	}
	if (!text_append(t, data, len))
		return ERR_NOMEM;
	t->last_event = id;
	return ERR_OK;
}

/* With one version allowed, only servers that still have it could continue the text,
 * so it starts over. */
static void drop_text_if_one_version(const struct job_run *r,
				     struct run_item *it)
{
	if (r->opts.one_version)
		free_text(it);
}

/* Whether a stream without framing ended at the same event: nothing follows it. */
static bool ended_there_before(const struct run_item *it)
{
	return it->unframed_event && it->unframed_event == it->text.last_event;
}

void job_run_attempt_ended(struct job_run *r, int item, int64_t now,
			   enum job_attempt_outcome outcome)
{
	struct run_item *it = &r->items[item];

	if (it->phase != JOB_SENT)
		return;
	run_set_phase(r, it, JOB_WAITING);
	it->not_before_ms = now + ITEM_RETRY_MIN_MS;
	switch (outcome) {
	case JOB_ATTEMPT_COMPLETE:
		run_set_generated(r, it, now);
		break;
	case JOB_ATTEMPT_IMPOSSIBLE:
		run_set_finished(r, it, now, true);
		break;
	case JOB_ATTEMPT_FAILED:
		if (++it->failures >= r->opts.max_failures)
			run_set_finished(r, it, now, true);
		break;
	case JOB_ATTEMPT_INTERRUPTED:
		drop_text_if_one_version(r, it);
		break;
	case JOB_ATTEMPT_UNFRAMED:
		if (ended_there_before(it)) {
			run_set_generated(r, it, now);
			break;
		}
		it->unframed_event = it->text.last_event;
		drop_text_if_one_version(r, it);
		break;
	case JOB_ATTEMPT_EMPTY:
		if (ended_there_before(it))
			run_set_generated(r, it, now);
		else
			free_text(it);
		break;
	case JOB_ATTEMPT_NOT_RUN:
		break;
	}
}

enum err job_run_requeue(struct job_run *r, int item)
{
	struct run_item *it = &r->items[item];

	if (it->phase != JOB_SENT)
		return ERR_INVALID;
	run_set_phase(r, it, JOB_WAITING);
	drop_text_if_one_version(r, it);
	return ERR_OK;
}

void job_run_abandon(struct job_run *r)
{
	r->opts.give_up_ms = 0;
}

/* Whether the complete groups are those that the trainer waits for: as many as it wants,
 * and all that were carried over. */
static bool target_reached(const struct job_run *r)
{
	int target = r->spec->target_groups;

	if (target < 1 || target > r->groups)
		target = r->groups;
	return r->groups_done >= target && r->carried_done == r->carried_groups;
}

/* Whether each group is to be written as soon as it is complete. */
static bool group_write_due(const struct job_run *r, int64_t now)
{
	return target_reached(r) || now >= r->opts.due_ms - FLUSH_AHEAD_MS;
}

static bool flush_due(const struct job_run *r, int64_t now)
{
	bool write_groups = group_write_due(r, now);

	if (r->count[JOB_WRITING])
		return false;
	for (int i = r->first[JOB_FINISHED]; i >= 0; i = r->items[i].next) {
		const struct run_item *it = &r->items[i];

		if (now - it->finished_ms >= FLUSH_DELAY_MAX_MS ||
		    (write_groups && !r->unfinished[it->group]))
			return true;
	}
	return false;
}

static struct job_result item_result(const struct job_run *r, size_t i)
{
	const struct run_item *it = &r->items[i];
	struct job_result res = {
		.id = r->spec->items[i].id,
		.state = it->abandoned ? JOB_ABANDONED : JOB_COMPLETED,
		.text = it->text.buf,
		.text_len = it->text.len,
		.n_versions = it->text.n_versions,
		.score = it->text.score,
	};

	memcpy(res.versions, it->text.versions, sizeof(res.versions));
	return res;
}

size_t job_run_flush(struct job_run *r, int64_t now, bool all, size_t max_bytes,
		     struct job_result *out)
{
	size_t bytes = 0;
	size_t n = 0;

	if (!all && !flush_due(r, now))
		return 0;
	while (r->first[JOB_FINISHED] >= 0) {
		int i = r->first[JOB_FINISHED];

		bytes += r->items[i].text.len;
		if (n && bytes > max_bytes)
			break;
		run_set_phase(r, &r->items[i], JOB_WRITING);
		out[n++] = item_result(r, (size_t)i);
	}
	return n;
}

void job_run_write_failed(struct job_run *r)
{
	while (r->first[JOB_WRITING] >= 0)
		run_set_phase(r, &r->items[r->first[JOB_WRITING]],
			      JOB_FINISHED);
}
