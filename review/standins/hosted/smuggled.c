// An item of a batch names a Content-Length among its headers; its body holds a request.
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "world.h"

enum {
	ITEMS = 4,
	BODY_TEXT_MAX = 1024,
};

static const char inner[] = "POST /learn/x HTTP/1.1\r\nHost: h1\r\n"
			    "X-Catkinpath-Request-Id: nobody-sent-this\r\n"
			    "X-Catkinpath-Tenant: t2\r\n"
			    "X-Catkinpath-Model: m\r\n"
			    "Content-Length: 0\r\n\r\n";

static struct world w;

/* The batch, whose item 1 has the body above. */
static char *make_batch(void)
{
	char *plain = world_batch("B", "/learn/", ITEMS);
	json_t *obj = json_loads(plain, 0, NULL);
	json_t *item = json_array_get(json_object_get(obj, "items"), 1);
	char text[BODY_TEXT_MAX];
	char *out;

	sodium_bin2base64(text, sizeof(text), (const unsigned char *)inner,
			  sizeof(inner) - 1, sodium_base64_VARIANT_ORIGINAL);
	json_object_set_new(item, "body", json_string(text));
	if (world_trouble())
		json_object_set_new(json_object_get(item, "headers"),
				    "Content-Length", json_string("0"));
	out = json_dumps(obj, JSON_COMPACT);
	json_decref(obj);
	free(plain);
	return out;
}

int main(void)
{
	struct hosted_run *r;
	char what[160];
	char *body;
	int unasked = 0;

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

		world_note(&w, "server i-%d ran request %s for tenant %s%s",
			   r->server, r->id, r->team,
			   sent ? "" : ", which no client sent");
		unasked += !sent;
	}
	pthread_mutex_unlock(&w.h.lock);
	snprintf(what, sizeof(what), "%d requests ran that no client sent",
		 unasked);
	if (!w.h.n_runs)
		world_give_up(&w, "nothing ran");
	world_finish(&w, unasked > 0, what);
}
