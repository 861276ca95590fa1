// Bytes that a server sent behind a body whose length it stated. libcurl drops them, but
// shows them to its debug function.
#include "call.h"

void surplus_watch(struct upstream_call *c)
{
	if (c->head_check.has_length)
		curl_easy_setopt(c->easy, CURLOPT_VERBOSE, 1L);
}

int surplus_on_debug(CURL *easy, curl_infotype type, char *data, size_t len,
		     void *ctx)
{
	struct upstream_call *c = ctx;

	if (type != CURLINFO_DATA_IN || !c->head_check.has_length)
		return 0;
	c->wire_body += len;
	if (c->wire_body > c->head_check.length)
		c->result.surplus =
			(size_t)(c->wire_body - c->head_check.length);
	return 0;
}
