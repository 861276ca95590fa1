// A batch's memory.
#include <stdlib.h>

#include "job/job_defs.h"

void job_spec_free(struct job_spec *s)
{
	if (!s)
		return;
	arena_free(&s->arena);
	free(s);
}
