// HTTP helpers shared by the fake's store and servers, on libmicrohttpd.
#include "body.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>

enum {
	/// Concurrent connections, a thread each. 200 processes open about 1,300 at
	/// start and more while links are cut; the platform documents no limit.
	BODY_CONNECTIONS_MAX = 4096,
};

bool body_receive(void **state, const char *data, size_t *len,
		  struct body **complete)
{
	struct body *b = *state;
	char *p;

	*complete = NULL;
	if (!b) {
		*state = calloc(1, sizeof(*b));
		return *state != NULL;
	}
	if (*len == 0) {
		*complete = b;
		return true;
	}
	p = realloc(b->data, b->len + *len + 1);
	if (!p)
		return false;
	memcpy(p + b->len, data, *len);
	b->data = p;
	b->len += *len;
	b->data[b->len] = '\0';
	*len = 0;
	return true;
}

void body_release(void *ctx, struct MHD_Connection *conn, void **state,
		  enum MHD_RequestTerminationCode why)
{
	struct body *b = *state;

	if (!b)
		return;
	free(b->data);
	free(b);
	*state = NULL;
}

struct MHD_Daemon *body_serve(const char *ip, int port,
			      MHD_AccessHandlerCallback fn, void *ctx)
{
	struct sockaddr_in sa = {
		.sin_family = AF_INET,
		.sin_port = htons((uint16_t)port),
	};

	inet_pton(AF_INET, ip, &sa.sin_addr);
	return MHD_start_daemon(
		MHD_USE_THREAD_PER_CONNECTION |
			MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL,
		0, NULL, NULL, fn, ctx, MHD_OPTION_SOCK_ADDR, &sa,
		MHD_OPTION_NOTIFY_COMPLETED, body_release, NULL,
		MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U,
		MHD_OPTION_CONNECTION_LIMIT, (unsigned int)BODY_CONNECTIONS_MAX,
		MHD_OPTION_END);
}

enum MHD_Result body_respond(struct MHD_Connection *conn, int status,
			     const char *text, const char *const *headers)
{
	struct MHD_Response *res = MHD_create_response_from_buffer(
		strlen(text), (void *)text, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result ok;

	for (; headers && headers[0] && headers[1]; headers += 2)
		MHD_add_response_header(res, headers[0], headers[1]);
	ok = MHD_queue_response(conn, (unsigned int)status, res);
	MHD_destroy_response(res);
	return ok;
}
