// Retries until the platform accepts the registration.
#include "register.h"

#include <curl/curl.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

enum {
	REGISTER_TIMEOUT_MS = 1000,
	REGISTER_RETRY_US = 100000,
};

static size_t register_ignore(char *p, size_t size, size_t n, void *ctx)
{
	return size * n;
}

static bool register_once(const char *url, const char *body)
{
	CURL *h = curl_easy_init();
	long status = 0;

	curl_easy_setopt(h, CURLOPT_URL, url);
	curl_easy_setopt(h, CURLOPT_POSTFIELDS, body);
	curl_easy_setopt(h, CURLOPT_TIMEOUT_MS, (long)REGISTER_TIMEOUT_MS);
	curl_easy_setopt(h, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(h, CURLOPT_WRITEFUNCTION, register_ignore);
	if (curl_easy_perform(h) == CURLE_OK)
		curl_easy_getinfo(h, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_cleanup(h);
	return status >= 200 && status < 300;
}

void *register_main(void *arg)
{
	const struct engine *e = arg;
	char url[512];
	json_t *vm = json_pack("{s:s,s:s,s:s,s:s,s:s,s:b,s:s}", "id",
			       e->opts.id, "addr", e->opts.listen, "domain",
			       e->opts.domain, "kind", "engine", "service", "",
			       "cheap", e->opts.cheap, "state",
			       e->opts.spare ? "spare" : "live");
	char *body = json_dumps(vm, JSON_COMPACT);

	snprintf(url, sizeof(url), "%s/fake/vms", e->opts.platform);
	while (!register_once(url, body))
		usleep(REGISTER_RETRY_US);
	free(body);
	json_decref(vm);
	return NULL;
}
