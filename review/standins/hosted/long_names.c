// Two tenants whose names have the same first 63 bytes: what each of them sees of the
// other one's batch, and which tenant servers are told.
#include <stdlib.h>
#include <string.h>

#include "world.h"

enum {
	ITEMS = 8,
};

#define GROUP "warmteplein-verhuur-research-group-for-delivery-route-planning-"

static struct world w;

static void publish(const char *const names[2])
{
	world_publish_tenants(&w, json_pack("[{s:s,s:[s]},{s:s,s:[s]}]", "name",
					    names[0], "api_keys", "k1", "name",
					    names[1], "api_keys", "k2"));
	world_note(&w, "tenants: %s has key k1, %s has key k2", names[0],
		   names[1]);
}

static int results_for(const char *key, const char *batch)
{
	struct response a;
	char path[64];
	json_t *obj;
	int n;

	snprintf(path, sizeof(path), "/catkinpath/lots/%s?after=0", batch);
	node_call(&w.ns, 0, "GET", path, key, NULL, NULL, &a);
	obj = a.status == 200 ? json_loadb(a.body, a.len, 0, NULL) : NULL;
	n = obj ? (int)json_array_size(json_object_get(obj, "results")) : -1;
	world_note(&w, "read batch %s with key %s: status %d, results %d",
		   batch, key, a.status, n);
	json_decref(obj);
	response_free(&a);
	return n;
}

int main(void)
{
	static const char *const long_names[2] = {GROUP "ghent",
						  GROUP "leuven"};
	static const char *const short_names[2] = {"ghent", "leuven"};
	const char *const *names = world_trouble() ? long_names : short_names;
	struct response a;
	char *body = world_batch("B", "/learn/", ITEMS);
	char what[400];
	int own, other;
	bool wrong;

	world_start(&w);
	publish(names);
	world_sleep_ms(2500);
	if (world_submit(&w, 0, "B", "/learn/", body) != 202)
		world_give_up(&w, "the batch was not accepted");
	free(body);
	world_sleep_ms(3000);
	own = results_for("k1", "B");
	other = results_for("k2", "B");
	node_call(&w.ns, 1, "POST", "/book/1", "k2", "5f0c1", "x", &a);
	response_free(&a);
	wrong = strcmp(world_last_tenant, names[1]) != 0;
	world_note(&w, "a booking with key k2 reached its server for tenant %s",
		   world_last_tenant);
	snprintf(
		what, sizeof(what),
		"the batch's own tenant reads %d results, the other tenant %d; "
		"tenant told to the server %s",
		own, other, wrong ? "wrong" : "right");
	if (own != ITEMS)
		world_give_up(&w, what);
	world_finish(&w, other > 0 || wrong, what);
}
