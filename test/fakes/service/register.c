// Registers this server at the fake platform.
#include "register.h"

#include <curl/curl.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

enum {
	REGISTER_TRIES = 100,
	REGISTER_RETRY_INTERVAL_US = 100000,
	REGISTER_TIMEOUT_MS = 2000,
};

static size_t register_discard(char *p, size_t size, size_t n, void *ctx)
{
	return size * n;
}

static bool register_once(const char *url, const char *body)
{
	CURL *h = curl_easy_init();
	long status = 0;

	curl_easy_setopt(h, CURLOPT_URL, url);
	curl_easy_setopt(h, CURLOPT_POSTFIELDS, body);
	curl_easy_setopt(h, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(h, CURLOPT_TIMEOUT_MS, (long)REGISTER_TIMEOUT_MS);
	curl_easy_setopt(h, CURLOPT_WRITEFUNCTION, register_discard);
	if (curl_easy_perform(h) == CURLE_OK)
		curl_easy_getinfo(h, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_cleanup(h);
	return status >= 200 && status < 300;
}

bool register_server(const struct register_opts *opts)
{
	json_t *vm = json_pack("{s:s, s:s, s:s, s:s, s:s, s:b, s:s}", "id",
			       opts->id, "addr", opts->addr, "domain",
			       opts->domain, "kind", "service", "service",
			       opts->service, "cheap", 0, "state", "live");
	char *body = json_dumps(vm, JSON_COMPACT);
	char url[512];
	bool ok = false;

	snprintf(url, sizeof(url), "%s/fake/vms", opts->platform);
	for (int i = 0; !ok && i < REGISTER_TRIES; i++) {
		ok = register_once(url, body);
		if (!ok)
			usleep(REGISTER_RETRY_INTERVAL_US);
	}
	free(body);
	json_decref(vm);
	return ok;
}
