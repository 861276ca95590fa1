// A booking server runs requests and answers four of ten with a 503 of its own, without
// X-Catkinpath-Not-Run; what callers whose requests must not be repeated are told.
#include <stdlib.h>
#include <string.h>

#include "world.h"

enum {
	REQUESTS = 40,
};

static struct world w;

int main(void)
{
	char what[160];
	int promised = 0;
	int twice = 0;

	world_start(&w);
	world_publish_conf(&w);
	world_sleep_ms(1000);
	if (world_trouble())
		world_booking = WORLD_BOOKING_503;
	for (int i = 0; i < REQUESTS; i++) {
		char body[32];
		int ran = 0;

		snprintf(body, sizeof(body), "order %d", i);
		/* A client repeats a request after a promise that it has not run. */
		for (int attempt = 0; attempt < 2; attempt++) {
			struct response a;
			char id[32];
			int status, runs;

			snprintf(id, sizeof(id), "pay%d-%d", i, attempt);
			node_call(&w.ns, (i + attempt) % WORLD_ENTRIES, "POST",
				  "/pay/1", "k1", id, body, &a);
			status = a.status;
			response_free(&a);
			runs = hosted_run_count(&w.h, id);
			world_note(
				&w,
				"%s (order %d): status %d, runs at servers %d",
				id, i, status, runs);
			ran += runs;
			if (status != 503 && status != 429)
				break;
			promised += runs > 0;
		}
		twice += ran > 1;
	}
	snprintf(
		what, sizeof(what),
		"%d answers of 503 to requests that had run; %d of %d orders ran "
		"twice",
		promised, twice, REQUESTS);
	world_finish(&w, promised > 0, what);
}
