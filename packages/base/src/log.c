// Formats a log event as one JSON line and writes it if that won't block.
#include "base/log.h"

#include <ctype.h>
#include <jansson.h>
#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

enum {
	LOG_TEXT_MAX = 1536, ///< bytes of the formatted fields
	/// PIPE_BUF: a pipe that polls as writable takes this in one write.
	LOG_LINE_MAX = 4096,
	/// Rate limit of each event below error level. The most frequent event
	/// of a node at the load of the capacity page stays below it.
	LOG_LINES_PER_S = 100,
};

struct event_row {
	enum log_event num;
	int level;
	const char *name;
};

static const struct event_row event_rows[] = {
#define EVENT(sym, num, level, name, doc) {sym, level, name},
#include "base/event.def"
#undef EVENT
};

enum {
	LOG_ROWS = sizeof(event_rows) / sizeof(event_rows[0]),
};

/* Lines written of each event in the current second. */
struct rate_limit {
	time_t second;
	int used[LOG_ROWS];
	unsigned int over_limit; ///< lines over the rate limit
	/// lines that were too long or that the pipe had no space for
	unsigned int unwritten;
};

static const char *log_program = "catkinpath";
static char log_node[64] = "-";
static atomic_int log_level = LOG_INFO;
static pthread_mutex_t log_lock = PTHREAD_MUTEX_INITIALIZER;
static struct rate_limit rate_limit;

static const struct event_row *event_find(enum log_event ev)
{
	for (size_t i = 0; i < LOG_ROWS; i++) {
		if (event_rows[i].num == ev)
			return &event_rows[i];
	}
	return NULL;
}

void log_setup(const char *program, const char *node, int level)
{
	log_program = program;
	log_level = level;
	snprintf(log_node, sizeof(log_node), "%s", node);
}

static const char *level_name(int level)
{
	static const char *const names[] = {
		[LOG_ERR] = "err",	 [LOG_WARNING] = "warning",
		[LOG_NOTICE] = "notice", [LOG_INFO] = "info",
		[LOG_DEBUG] = "debug",
	};

	return level >= LOG_ERR && level <= LOG_DEBUG ? names[level] : "err";
}

bool log_set_level(const char *name)
{
	for (int i = LOG_ERR; i <= LOG_DEBUG; i++) {
		if (strcmp(level_name(i), name) == 0) {
			log_level = i;
			return true;
		}
	}
	return false;
}

/* A switch, so that two events with the same number fail to compile: otherwise the
 * second would be logged under the name of the first. */
const char *log_event_name(enum log_event ev)
{
	switch (ev) {
#define EVENT(sym, num, level, name, doc) \
	case sym:                         \
		return name;
#include "base/event.def"
#undef EVENT
	}
	return "unknown";
}

static json_t *line_new(const struct event_row *r)
{
	struct timespec ts;
	struct tm tm;
	char date[32];
	char stamp[48];

	clock_gettime(CLOCK_REALTIME, &ts);
	gmtime_r(&ts.tv_sec, &tm);
	strftime(date, sizeof(date), "%Y-%m-%dT%H:%M:%S", &tm);
	snprintf(stamp, sizeof(stamp), "%s.%03ldZ", date, ts.tv_nsec / 1000000);
	return json_pack("{s:s,s:s,s:i,s:s,s:s,s:s}", "time", stamp, "level",
			 level_name(r->level), "num", (int)r->num, "event",
			 r->name, "node", log_node, "program", log_program);
}

/* Length of a value: up to the blank before the next `key=`, or the end. */
static size_t value_len(const char *s)
{
	size_t n = 0;

	while (s[n]) {
		if (s[n] == ' ') {
			size_t k = n + 1;

			while (isalnum((unsigned char)s[k]) || s[k] == '_')
				k++;
			if (k > n + 1 && s[k] == '=')
				break;
		}
		n++;
	}
	return n;
}

static json_t *parse_value(const char *s, size_t len)
{
	char text[24];
	char *end;
	long long n;

	if (len > 1 && s[0] == '"' && s[len - 1] == '"')
		return json_stringn(s + 1, len - 2);
	if (len == 0 || len >= sizeof(text))
		return json_stringn(s, len);
	memcpy(text, s, len);
	text[len] = '\0';
	n = strtoll(text, &end, 10);
	/* An id of digits with a leading zero is kept as a string. */
	if (*end || (text[0] == '0' && len > 1))
		return json_stringn(s, len);
	return json_integer(n);
}

/* Add a field. A key that the line already has is not overwritten, as readers find
 * lines by those keys; the new field gets the prefix `field_`. */
static void line_add_field(json_t *obj, const char *key, size_t len,
			   json_t *value)
{
	char name[LOG_TEXT_MAX + sizeof("field_")];

	if (!json_object_getn(obj, key, len)) {
		json_object_setn_new(obj, key, len, value);
		return;
	}
	snprintf(name, sizeof(name), "field_%.*s", (int)len, key);
	json_object_set_new(obj, name, value);
}

/* Add the fields of `key=value` text; text without a key is added as "text". */
static void line_add_fields(json_t *obj, const char *s)
{
	while (*s) {
		const char *eq = strchr(s, '=');
		size_t len;
		json_t *value;

		if (!eq) {
			line_add_field(obj, "text", strlen("text"),
				       json_string(s));
			return;
		}
		len = value_len(eq + 1);
		value = parse_value(eq + 1, len);
		if (!value)
			value = json_string("(not UTF-8)");
		line_add_field(obj, s, (size_t)(eq - s), value);
		s = eq + 1 + len;
		s += strspn(s, " ");
	}
}

/* Whether a whole line can be written without blocking. */
static bool stdout_writable(void)
{
	struct pollfd p = {.fd = STDOUT_FILENO, .events = POLLOUT};

	return poll(&p, 1, 0) == 1 && (p.revents & POLLOUT);
}

static void write_line(json_t *obj)
{
	char line[LOG_LINE_MAX];
	size_t len = json_dumpb(obj, line, sizeof(line) - 1,
				JSON_COMPACT | JSON_PRESERVE_ORDER);

	if (len == 0 || len > sizeof(line) - 1 || !stdout_writable()) {
		rate_limit.unwritten++;
		return;
	}
	line[len++] = '\n';
	if (write(STDOUT_FILENO, line, len) < 0)
		rate_limit.unwritten++;
}

/* Start a new second; log how many lines were not written in the last one. */
static void rate_limit_new_second(time_t second)
{
	struct rate_limit prev = rate_limit;
	json_t *obj;

	rate_limit = (struct rate_limit){.second = second};
	if (!prev.over_limit && !prev.unwritten)
		return;
	obj = line_new(event_find(EV_LOG_LINES_LOST));
	json_object_set_new(obj, "over_budget", json_integer(prev.over_limit));
	json_object_set_new(obj, "no_room", json_integer(prev.unwritten));
	write_line(obj);
	json_decref(obj);
}

static bool rate_limit_allow(const struct event_row *r)
{
	time_t second = time(NULL);

	if (second != rate_limit.second)
		rate_limit_new_second(second);
	if (r->level <= LOG_ERR ||
	    rate_limit.used[r - event_rows]++ < LOG_LINES_PER_S)
		return true;
	rate_limit.over_limit++;
	return false;
}

void log_event(enum log_event ev, const char *fmt, ...)
{
	const struct event_row *r = event_find(ev);
	char text[LOG_TEXT_MAX];
	json_t *obj;
	va_list ap;

	if (!r || r->level > log_level)
		return;
	pthread_mutex_lock(&log_lock);
	if (rate_limit_allow(r)) {
		va_start(ap, fmt);
		vsnprintf(text, sizeof(text), fmt, ap);
		va_end(ap);
		obj = line_new(r);
		line_add_fields(obj, text);
		write_line(obj);
		json_decref(obj);
	}
	pthread_mutex_unlock(&log_lock);
}
