// Adds up the memory of the batches at this node, and frees lists of results that nobody
// reads when it runs short.
#include <stdlib.h>

#include "base/log.h"
#include "base/metric.h"
#include "core/memory.h"
#include "core/settings.h"
#include "job/home.h"
#include "job/job.h"
#include "job/load.h"
#include "job/memory.h"

static size_t memory_of(const struct job *j)
{
	size_t n = j->list.arena.used +
		   j->list.cap * (sizeof(struct job_result) + sizeof(uint32_t));

	if (j->running)
		n += j->spec->arena.used + j->run_memory +
		     job_run_text_bytes(j->run);
	return n;
}

static size_t memory_used(struct core *c)
{
	size_t n = job_submits_memory(c) + job_home_memory(c);
	struct job *j;
	size_t iter = 0;

	while ((j = htab_next(jobs_of(c)->jobs, &iter, NULL)))
		n += memory_of(j);
	return n;
}

static bool has_readers(const struct core *c, const struct job *j)
{
	struct job_reader *r;
	size_t iter = 0;

	while ((r = htab_next(jobs_of(c)->readers, &iter, NULL))) {
		if (r->job == j->self)
			return true;
	}
	return false;
}

/* Batch whose list was used longest ago of those that may be listed again. */
static struct job *oldest_idle(struct core *c)
{
	struct job *oldest = NULL;
	struct job *j;
	size_t iter = 0;

	while ((j = htab_next(jobs_of(c)->jobs, &iter, NULL))) {
		if (job_is_idle(j) && j->list.n && !has_readers(c, j) &&
		    !job_loading(jobs_of(c), j->id) &&
		    (!oldest || j->last_used_ms < oldest->last_used_ms))
			oldest = j;
	}
	return oldest;
}

/* Frees lists until `bytes` more fit.
 *
 * @return bytes that batches take then */
static size_t reclaim(struct core *c, size_t bytes)
{
	const struct job_memory *m = &jobs_of(c)->memory;
	size_t used = memory_used(c);
	struct job *j;

	while (used + bytes > m->limit && (j = oldest_idle(c))) {
		used -= memory_of(j);
		job_remove(c, j);
	}
	return used;
}

void job_memory_init(struct core *c)
{
	const struct settings *s = core_settings(c);

	jobs_of(c)->memory = (struct job_memory){
		.limit = memory_share(s, MEMORY_BATCHES),
		.value_max = (size_t)settings_int(s, S_PLATFORM_VALUE_MAX),
	};
}

enum err job_memory_admit_body(struct core *c, const char *id, const char *body,
			       size_t len)
{
	const struct job_memory *m = &jobs_of(c)->memory;
	enum err e = job_memory_check_size(m, len);
	size_t bytes = e == ERR_OK ? job_memory_of_submission(body, len) : 0;
	size_t used = reclaim(c, bytes);

	if (e == ERR_OK)
		e = job_memory_admit(m, used, bytes);
	metric_set(M_BATCH_HELD, used + (e == ERR_OK ? bytes : 0));

	if (e != ERR_OK)
		log_event(EV_JOB_REFUSED,
			  "batch=%s error=%s bytes=%zu needs=%zu used=%zu "
			  "limit=%zu",
			  id, err_code(e), len, bytes, used, m->limit);
	return e;
}

bool job_memory_has_room(struct core *c, size_t bytes)
{
	return reclaim(c, bytes) + bytes <= jobs_of(c)->memory.limit;
}
