// HTTP calls to the nodes' admin listeners, with failover to the next node.
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"
#include "upstream/head_check.h"

enum {
	CONNECT_TIMEOUT_MS = 1000,
	NODE_CALL_TIMEOUT_MS = 8000,
};

struct response_buf {
	char *data;
	size_t len;
};

static size_t append_body(char *p, size_t size, size_t n, void *ctx)
{
	struct response_buf *b = ctx;
	char *data = realloc(b->data, b->len + size * n + 1);

	if (!data)
		return 0;
	b->data = data;
	memcpy(data + b->len, p, size * n);
	b->len += size * n;
	data[b->len] = '\0';
	return size * n;
}

static size_t check_header(char *p, size_t size, size_t n, void *ctx)
{
	return head_check_line(ctx, p, size * n) ? size * n : 0;
}

static CURLcode call_node(const char *url, const char *method, const char *body,
			  struct response_buf *b, long *status)
{
	struct head_check head = {0};
	CURL *easy = curl_easy_init();
	CURLcode rc;

	if (!easy)
		return CURLE_FAILED_INIT;
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)CONNECT_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)NODE_CALL_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, append_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, b);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, check_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, &head);
	if (body)
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body);
	rc = curl_easy_perform(easy);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, status);
	curl_easy_cleanup(easy);
	/* libcurl takes an answer for whole that ended within its head, or with its
	 * connection. */
	if (rc == CURLE_OK && !head_check_framed(&head))
		return CURLE_PARTIAL_FILE;
	return rc;
}

void ctl_call(const struct ctl *ctl, const char *method, const char *path,
	      const json_t *body, struct ctl_answer *out)
{
	char *text = body ? json_dumps(body, JSON_COMPACT) : NULL;

	memset(out, 0, sizeof(*out));
	for (int i = 0; i < ctl->n_nodes && out->status == 0; i++) {
		struct response_buf b = {NULL, 0};
		long status = 0;
		char url[512];
		CURLcode rc;

		snprintf(url, sizeof(url), "%s%s", ctl->nodes[i], path);
		rc = call_node(url, method, text, &b, &status);
		if (rc == CURLE_OK) {
			out->status = (int)status;
			out->body = json_loadb(b.data ? b.data : "", b.len, 0,
					       NULL);
		}
		out->sent |= rc != CURLE_COULDNT_CONNECT &&
			     rc != CURLE_COULDNT_RESOLVE_HOST;
		free(b.data);
	}
	free(text);
}
