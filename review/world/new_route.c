// A batch on a route that was just added; its home has not heard of the route yet, since
// the connection that carries its watch of the configuration went silent.
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "world.h"

enum {
	ITEMS = 16,
	SILENT_MS = 60, ///< answers to the home are lost for so long
	READ_FOR_MS = 15000, ///< results are due 7.5 s after the submission
	PROBE_FOR_MS = 1500,
};

static struct world w;

/* Node that runs the team's batches. */
static int find_home(void)
{
	char *body = world_batch("warm", "/learn/", ITEMS);
	int home;

	if (world_submit(&w, 0, "warm", "/learn/", body) != 202)
		world_give_up(&w, "the first batch was not accepted");
	free(body);
	world_sleep_ms(2500);
	home = world_runner(&w, "warm");
	world_note(&w, "home of the team: %s",
		   home < 0 ? "none" : w.ns.list[home].id);
	if (home < WORLD_ENTRIES)
		world_give_up(&w, "no lead node ran the first batch");
	return home;
}

/* An operator's probe: whether a node serves the added route. */
static bool serves_new_route(int node)
{
	int64_t until = clock_now_ms() + PROBE_FOR_MS;
	struct response a;
	char id[32];
	int n = 0;
	int status;

	do {
		snprintf(id, sizeof(id), "probe%d", n++);
		node_call(&w.ns, node, "POST", "/probe/x", "k1", id, "x", &a);
		status = a.status;
		response_free(&a);
		if (status != 200)
			world_sleep_ms(10);
	} while (status != 200 && clock_now_ms() < until);
	world_note(&w, "%s serves the added routes: %d, after %d probes",
		   w.ns.list[node].id, status == 200, n);
	return status == 200;
}

struct counts {
	int completed;
	int abandoned;
	int given_up_before_any_run;
};

static struct counts read_all(int node)
{
	int64_t until = clock_now_ms() + READ_FOR_MS;
	struct counts n = {0};
	int after = 0;

	while (after < ITEMS && clock_now_ms() < until) {
		json_t *page = read_results(&w.ns, node, "added", after);
		json_t *r;
		size_t i;

		json_array_foreach(json_object_get(page, "results"), i, r) {
			const char *id =
				json_string_value(json_object_get(r, "id"));
			const char *state =
				json_string_value(json_object_get(r, "state"));
			bool lost = strcmp(state, "abandoned") == 0;

			n.completed += !lost;
			n.abandoned += lost;
			n.given_up_before_any_run +=
				lost && !hosted_run_count(&w.h, id);
			world_note(&w, "read result %s: %s, runs at servers %d",
				   id, state, hosted_run_count(&w.h, id));
			after++;
		}
		json_decref(page);
		world_sleep_ms(200);
	}
	return n;
}

int main(void)
{
	char *body = world_batch("added", "/added/", ITEMS);
	struct counts n;
	char what[160];
	int home, entry;

	world_start(&w);
	world_publish_conf(&w, NULL, NULL);
	world_sleep_ms(1000);
	home = find_home();
	/* An entry node of another failure domain, which follows another relay. */
	entry = (home - WORLD_ENTRIES + 1) % WORLD_ENTRIES;
	if (world_trouble()) {
		link_set_mode(w.links[home - WORLD_ENTRIES], LINK_DROP_REPLIES);
		world_note(&w,
			   "open connections from the store to %s go silent",
			   w.ns.list[home].id);
	}
	world_publish_conf(&w, "/added/", "/probe/");
	world_note(&w,
		   "the store acknowledged configuration %llu, which adds "
		   "/added/ and /probe/ and takes nothing away",
		   (unsigned long long)w.h.conf_version);
	world_sleep_ms(SILENT_MS);
	link_set_mode(w.links[home - WORLD_ENTRIES], LINK_PASS);
	if (!serves_new_route(entry))
		world_give_up(&w, "no entry node serves the added routes");
	if (world_submit(&w, entry, "added", "/added/", body) != 202)
		world_give_up(&w, "the batch was not accepted");
	n = read_all(entry);
	free(body);
	snprintf(what, sizeof(what),
		 "of %d items of the accepted batch %d completed, %d abandoned "
		 "(%d of them reached no server)",
		 ITEMS, n.completed, n.abandoned, n.given_up_before_any_run);
	if (!n.abandoned && n.completed < ITEMS)
		world_give_up(&w, what);
	world_finish(&w, n.abandoned > 0, what);
}
