// Items of a batch name headers that the system has to set or to leave out itself: a length,
// beside a body that holds a request, a tenant, and the client's key.
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "world.h"

enum {
	ITEMS = 8,
	ITEM_LENGTH = 1, ///< with a Content-Length
	ITEM_TENANT = 2, ///< with an X-Catkinpath-Tenant
	ITEM_KEY = 3, ///< with an Authorization
	BODY_TEXT_MAX = 1024,
};

static const char inner[] = "POST /learn/x HTTP/1.1\r\nHost: h1\r\n"
			    "X-Catkinpath-Request-Id: nobody-sent-this\r\n"
			    "X-Catkinpath-Tenant: t2\r\n"
			    "X-Catkinpath-Model: m\r\n"
			    "Content-Length: 0\r\n\r\n";

static struct world w;

static void set_header(json_t *items, int item, const char *name,
		       const char *value)
{
	json_t *obj = json_array_get(items, (size_t)item);

	json_object_set_new(json_object_get(obj, "headers"), name,
			    json_string(value));
}

/* ONLY names one of the three headers, to play it alone. */
static bool is_played(const char *name)
{
	const char *only = getenv("ONLY");

	return world_trouble() && (!only || strcmp(only, name) == 0);
}

static char *make_batch(void)
{
	char *plain = world_batch("B", "/learn/", ITEMS);
	json_t *obj = json_loads(plain, 0, NULL);
	json_t *items = json_object_get(obj, "items");
	char text[BODY_TEXT_MAX];
	char *out;

	sodium_bin2base64(text, sizeof(text), (const unsigned char *)inner,
			  sizeof(inner) - 1, sodium_base64_VARIANT_ORIGINAL);
	json_object_set_new(json_array_get(items, ITEM_LENGTH), "body",
			    json_string(text));
	if (is_played("length"))
		set_header(items, ITEM_LENGTH, "Content-Length", "0");
	if (is_played("tenant"))
		set_header(items, ITEM_TENANT, "X-Catkinpath-Tenant", "t2");
	if (is_played("key"))
		set_header(items, ITEM_KEY, "Authorization", "Bearer k1");
	out = json_dumps(obj, JSON_COMPACT);
	json_decref(obj);
	free(plain);
	return out;
}

int main(void)
{
	struct hosted_run *r;
	char what[200];
	char *body;
	int unasked = 0;
	int wrong_tenant = 0;

	world_start(&w);
	world_publish_conf(&w);
	world_sleep_ms(1000);
	body = make_batch();
	if (world_submit(&w, 0, "B", "/learn/", body) != 202)
		world_give_up(&w, "the batch was not accepted");
	free(body);
	world_sleep_ms(4000);
	pthread_mutex_lock(&w.h.lock);
	for (r = w.h.runs; r < w.h.runs + w.h.n_runs; r++) {
		bool sent = strncmp(r->id, "B.", 2) == 0;
		bool wrong = sent && strcmp(r->team, "t1") != 0;

		world_note(&w, "server i-%d ran request %s for tenant %s%s",
			   r->server, r->id, r->team,
			   !sent   ? ", which no client sent"
			   : wrong ? ", which does not hold the client's key"
				   : "");
		unasked += !sent;
		wrong_tenant += wrong;
	}
	pthread_mutex_unlock(&w.h.lock);
	snprintf(what, sizeof(what),
		 "ran: %d requests that no client sent, %d for another tenant "
		 "than the key's, %d with the key passed on",
		 unasked, wrong_tenant, world_keys_passed);
	if (!w.h.n_runs)
		world_give_up(&w, "nothing ran");
	world_finish(&w, unasked || wrong_tenant || world_keys_passed, what);
}
