// Checks the format of text settings: addresses, names, URLs, log levels, seeds.
#include "setting_form.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

enum {
	FORM_TEXT_MAX = 4096, ///< bytes of a setting, including the NUL
	PORT_MAX = 65535,
};

struct form {
	enum setting k;
	bool (*good)(const char *text);
	const char *allowed;
};

static bool good_name(const char *s)
{
	static const char chars[] = "abcdefghijklmnopqrstuvwxyz"
				    "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				    "0123456789._-";

	return *s && strspn(s, chars) == strlen(s);
}

static bool good_addr(const char *s)
{
	const char *colon = strrchr(s, ':');
	char ip[INET_ADDRSTRLEN];
	struct in_addr in;
	size_t len = colon ? (size_t)(colon - s) : 0;
	size_t digits;
	long port;

	if (len == 0 || len >= sizeof(ip))
		return false;
	memcpy(ip, s, len);
	ip[len] = '\0';
	digits = strspn(colon + 1, "0123456789");
	port = strtol(colon + 1, NULL, 10);
	return inet_pton(AF_INET, ip, &in) == 1 && digits > 0 && digits < 6 &&
	       colon[1 + digits] == '\0' && port > 0 && port <= PORT_MAX;
}

static bool good_url(const char *s)
{
	static const char scheme[] = "http://";
	char host[FORM_TEXT_MAX];
	const char *rest = s + sizeof(scheme) - 1;
	size_t len;

	if (strncmp(s, scheme, sizeof(scheme) - 1) != 0)
		return false;
	len = strcspn(rest, "/");
	memcpy(host, rest, len);
	host[len] = '\0';
	return good_addr(host);
}

static bool good_level(const char *s)
{
	static const char *const levels[] = {"err", "warning", "notice", "info",
					     "debug"};

	for (size_t i = 0; i < sizeof(levels) / sizeof(levels[0]); i++) {
		if (strcmp(s, levels[i]) == 0)
			return true;
	}
	return false;
}

/// Whether a seed has the form "id@domain@IP:port"; modifies it.
static bool good_seed(char *s)
{
	char *domain = strchr(s, '@');
	char *addr = domain ? strchr(domain + 1, '@') : NULL;

	if (!addr)
		return false;
	*domain++ = '\0';
	*addr++ = '\0';
	return good_name(s) && good_name(domain) && good_addr(addr);
}

static bool good_seeds(const char *text)
{
	char list[FORM_TEXT_MAX];
	char *save;

	strcpy(list, text);
	for (char *s = strtok_r(list, ", \t", &save); s;
	     s = strtok_r(NULL, ", \t", &save)) {
		if (!good_seed(s))
			return false;
	}
	return true;
}

static const struct form forms[] = {
	{S_NODE_ID, good_name, "letters, digits and . _ -"},
	{S_NODE_DOMAIN, good_name, "letters, digits and . _ -"},
	{S_LOG_LEVEL, good_level, "err, warning, notice, info or debug"},
	{S_HTTP_LISTEN, good_addr, "IP:port"},
	{S_HTTP_ADMIN, good_addr, "IP:port"},
	{S_PEER_LISTEN, good_addr, "IP:port"},
	{S_PLATFORM_URL, good_url, "http://IP:port"},
	{S_PEER_SEEDS, good_seeds, "id@domain@IP:port, comma separated"},
};

const char *setting_form_fault(enum setting k, const char *text)
{
	for (size_t i = 0; i < sizeof(forms) / sizeof(forms[0]); i++) {
		if (forms[i].k == k)
			return forms[i].good(text) ? NULL : forms[i].allowed;
	}
	return NULL;
}
