// Checks the format of addresses, names, URLs, log levels and seeds.
#include "setting_check.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

enum {
	SETTING_TEXT_MAX = 4096, ///< bytes of a setting, including the NUL
	PORT_MAX = 65535,
};

struct format_check {
	enum setting k;
	bool (*is_valid)(const char *text);
	const char *allowed;
};

static bool valid_name(const char *s)
{
	static const char chars[] = "abcdefghijklmnopqrstuvwxyz"
				    "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				    "0123456789._-";

	return *s && strspn(s, chars) == strlen(s);
}

static bool valid_addr(const char *s)
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

static bool valid_url(const char *s)
{
	static const char scheme[] = "http://";
	char host[SETTING_TEXT_MAX];
	const char *host_start = s + sizeof(scheme) - 1;
	size_t len;

	if (strncmp(s, scheme, sizeof(scheme) - 1) != 0)
		return false;
	len = strcspn(host_start, "/");
	memcpy(host, host_start, len);
	host[len] = '\0';
	return valid_addr(host);
}

static bool valid_level(const char *s)
{
	static const char *const levels[] = {"err", "warning", "notice", "info",
					     "debug"};

	for (size_t i = 0; i < sizeof(levels) / sizeof(levels[0]); i++) {
		if (strcmp(s, levels[i]) == 0)
			return true;
	}
	return false;
}

/// One seed, "id@domain@IP:port"; modified.
static bool valid_seed(char *s)
{
	char *domain = strchr(s, '@');
	char *addr = domain ? strchr(domain + 1, '@') : NULL;

	if (!addr)
		return false;
	*domain++ = '\0';
	*addr++ = '\0';
	return valid_name(s) && valid_name(domain) && valid_addr(addr);
}

static bool valid_seeds(const char *text)
{
	char list[SETTING_TEXT_MAX];
	char *save;

	strcpy(list, text);
	for (char *s = strtok_r(list, ", \t", &save); s;
	     s = strtok_r(NULL, ", \t", &save)) {
		if (!valid_seed(s))
			return false;
	}
	return true;
}

static const struct format_check format_checks[] = {
	{S_NODE_ID, valid_name, "letters, digits and . _ -"},
	{S_NODE_DOMAIN, valid_name, "letters, digits and . _ -"},
	{S_LOG_LEVEL, valid_level, "err, warning, notice, info or debug"},
	{S_HTTP_LISTEN, valid_addr, "IP:port"},
	{S_HTTP_ADMIN, valid_addr, "IP:port"},
	{S_PEER_LISTEN, valid_addr, "IP:port"},
	{S_PLATFORM_URL, valid_url, "http://IP:port"},
	{S_PEER_SEEDS, valid_seeds, "id@domain@IP:port, comma separated"},
};

const char *setting_check_format(enum setting k, const char *text)
{
	for (size_t i = 0; i < sizeof(format_checks) / sizeof(format_checks[0]);
	     i++) {
		if (format_checks[i].k == k)
			return format_checks[i].is_valid(text)
				       ? NULL
				       : format_checks[i].allowed;
	}
	return NULL;
}
