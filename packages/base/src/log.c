// Formats a log event into one line and writes it with one system call.
#include "base/log.h"

#include <stdarg.h>
#include <stdatomic.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

enum {
	LOG_LINE_MAX = 2048, ///< bytes
	LOG_FACILITY = LOG_DAEMON,
};

struct event_row {
	enum log_event num;
	int level;
	const char *name;
};

static const struct event_row rows[] = {
#define EVENT(sym, num, level, name, doc) {sym, level, name},
#include "base/event.def"
#undef EVENT
};

static const char *log_program = "catkinpath";
static char log_node[64] = "-";
static atomic_int log_level = LOG_INFO;

static const struct event_row *event_find(enum log_event ev)
{
	for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		if (rows[i].num == ev)
			return &rows[i];
	}
	return NULL;
}

void log_setup(const char *program, const char *node, int level)
{
	log_program = program;
	log_level = level;
	snprintf(log_node, sizeof(log_node), "%s", node);
}

bool log_set_level(const char *name)
{
	static const char *const names[] = {
		[LOG_ERR] = "err",	 [LOG_WARNING] = "warning",
		[LOG_NOTICE] = "notice", [LOG_INFO] = "info",
		[LOG_DEBUG] = "debug",
	};

	for (int i = LOG_ERR; i <= LOG_DEBUG; i++) {
		if (strcmp(names[i], name) == 0) {
			log_level = i;
			return true;
		}
	}
	return false;
}

const char *log_event_name(enum log_event ev)
{
	const struct event_row *r = event_find(ev);

	return r ? r->name : "unknown";
}

static size_t log_head(char *buf, size_t len, const struct event_row *r)
{
	struct timespec ts;
	struct tm tm;
	char stamp[32];
	int n;

	clock_gettime(CLOCK_REALTIME, &ts);
	gmtime_r(&ts.tv_sec, &tm);
	strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &tm);
	n = snprintf(buf, len, "<%d>%s.%03ldZ %s %s[%d]: E%04d %s ",
		     LOG_FACILITY | r->level, stamp, ts.tv_nsec / 1000000,
		     log_node, log_program, (int)getpid(), (int)r->num,
		     r->name);
	return n < 0 ? 0 : (size_t)n;
}

void log_event(enum log_event ev, const char *fmt, ...)
{
	const struct event_row *r = event_find(ev);
	char line[LOG_LINE_MAX];
	size_t len;
	va_list ap;
	int n;

	if (!r || r->level > log_level)
		return;
	len = log_head(line, sizeof(line), r);
	va_start(ap, fmt);
	n = vsnprintf(line + len, sizeof(line) - len - 1, fmt, ap);
	va_end(ap);
	if (n > 0)
		len += (size_t)n;
	if (len > sizeof(line) - 2)
		len = sizeof(line) - 2;
	for (size_t i = 0; i < len; i++) {
		if ((unsigned char)line[i] < ' ')
			line[i] = ' ';
	}
	line[len++] = '\n';
	if (write(STDERR_FILENO, line, len) < 0)
		return;
}
