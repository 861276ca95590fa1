// A sound backend server as a process of its own: answers each request after some time
// and prints a line for each run. lookup_server ID IP PORT WORK_MS
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "body.h"

struct server {
	const char *id;
	int work_ms;
};

static const char *header(struct MHD_Connection *conn, const char *name)
{
	const char *v =
		MHD_lookup_connection_value(conn, MHD_HEADER_KIND, name);

	return v ? v : "";
}

static enum MHD_Result on_request(void *ctx, struct MHD_Connection *conn,
				  const char *url, const char *method,
				  const char *version, const char *data,
				  size_t *len, void **state)
{
	const struct server *s = ctx;
	const char *id = header(conn, "X-Catkinpath-Request-Id");
	const char *const headers[] = {"X-Catkinpath-Request-Id", id,
				       "X-Catkinpath-Server-Seal", "seal",
				       NULL};
	static const char *const not_run[] = {"X-Catkinpath-Not-Run", "1",
					      NULL};
	struct timespec work = {s->work_ms / 1000,
				s->work_ms % 1000 * 1000000L};
	struct body *b;

	if (!body_receive(state, data, len, &b))
		return MHD_NO;
	if (!b)
		return MHD_YES;
	if (strcmp(header(conn, "X-Catkinpath-Expect-Instance"), s->id) != 0)
		return body_respond(conn, 421, "", not_run);
	printf("run %s\n", id);
	fflush(stdout);
	nanosleep(&work, NULL);
	return body_respond(conn, 200, "size 9", headers);
}

int main(int argc, char **argv)
{
	struct server s;

	if (argc != 5)
		return 2;
	s = (struct server){.id = argv[1],
			    .work_ms = (int)strtol(argv[4], NULL, 10)};
	if (!body_serve(argv[2], (int)strtol(argv[3], NULL, 10), on_request,
			&s))
		return 2;
	for (;;)
		pause();
}
