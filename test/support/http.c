// Blocking HTTP calls with curl's easy interface.
#include "support/http.h"

#include <curl/curl.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

enum {
	HTTP_TIMEOUT_MS = 10000,
};

static size_t http_on_body(char *p, size_t size, size_t n, void *ctx)
{
	struct http_res *res = ctx;
	char *body = realloc(res->body, res->len + size * n + 1);

	if (!body)
		return 0;
	res->body = body;
	memcpy(body + res->len, p, size * n);
	res->len += size * n;
	body[res->len] = '\0';
	return size * n;
}

static size_t http_on_header(char *p, size_t size, size_t n, void *ctx)
{
	struct http_res *res = ctx;
	char line[256];

	snprintf(line, sizeof(line), "%.*s", (int)(size * n), p);
	line[strcspn(line, "\r\n")] = '\0';
	if (strncasecmp(line, "Catkin-Run: ", 12) == 0)
		snprintf(res->run, sizeof(res->run), "%.15s", line + 12);
	if (strncasecmp(line, "Retry-After: ", 13) == 0)
		res->retry_after = (int)strtol(line + 13, NULL, 10);
	return size * n;
}

static struct curl_slist *http_headers(const struct http_opts *opts)
{
	struct curl_slist *list = curl_slist_append(NULL, "Expect:");
	char auth[512];

	if (opts->bearer) {
		snprintf(auth, sizeof(auth), "Authorization: Bearer %s",
			 opts->bearer);
		list = curl_slist_append(list, auth);
	}
	for (size_t i = 0; opts->headers && opts->headers[i]; i++)
		list = curl_slist_append(list, opts->headers[i]);
	return list;
}

int http_call(const struct http_opts *opts, struct http_res *res)
{
	struct curl_slist *list = http_headers(opts);
	long timeout = opts->timeout_ms ? opts->timeout_ms : HTTP_TIMEOUT_MS;
	CURL *h = curl_easy_init();
	long status = 0;

	memset(res, 0, sizeof(*res));
	res->retry_after = -1;
	res->body = calloc(1, 1);
	curl_easy_setopt(h, CURLOPT_URL, opts->url);
	curl_easy_setopt(h, CURLOPT_CUSTOMREQUEST, opts->method);
	curl_easy_setopt(h, CURLOPT_HTTPHEADER, list);
	curl_easy_setopt(h, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(h, CURLOPT_TIMEOUT_MS, timeout);
	curl_easy_setopt(h, CURLOPT_WRITEFUNCTION, http_on_body);
	curl_easy_setopt(h, CURLOPT_WRITEDATA, res);
	curl_easy_setopt(h, CURLOPT_HEADERFUNCTION, http_on_header);
	curl_easy_setopt(h, CURLOPT_HEADERDATA, res);
	if (opts->body)
		curl_easy_setopt(h, CURLOPT_POSTFIELDS, opts->body);
	res->curl = (int)curl_easy_perform(h);
	curl_easy_getinfo(h, CURLINFO_RESPONSE_CODE, &status);
	res->status = (int)status;
	curl_easy_cleanup(h);
	curl_slist_free_all(list);
	return res->status;
}

void http_free(struct http_res *res)
{
	free(res->body);
	res->body = NULL;
}

struct json_t *http_json(const char *method, const char *url,
			 const char *bearer, const char *body, int *status)
{
	struct http_opts opts = {
		.method = method,
		.url = url,
		.bearer = bearer,
		.body = body,
	};
	struct http_res res;
	struct json_t *j;
	int st = http_call(&opts, &res);

	if (status)
		*status = st;
	j = json_loadb(res.body, res.len, JSON_DECODE_ANY, NULL);
	http_free(&res);
	return j;
}
