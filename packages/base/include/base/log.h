// Numbered log events as JSON lines on standard output.
//
// A line is written with one system call, and only if that won't block: a slow
// reader loses lines but never delays the process. Each event has a rate limit in
// lines per second; the lines not written are counted in a line of their own.
#pragma once

#include <stdbool.h>
#include <syslog.h>

enum log_event {
#define EVENT(sym, num, level, name, doc) sym = (num),
#include "base/event.def"
#undef EVENT
};

/// Set the fields that every line has, and the log level.
///
/// @param program  program name, static lifetime
/// @param node     node id, copied
/// @param level    least urgent syslog level that is written (LOG_DEBUG = all)
void log_setup(const char *program, const char *node, int level);

/// Change the least urgent level that is written.
///
/// @param name  "err", "warning", "notice", "info" or "debug"
/// @return false for any other name
bool log_set_level(const char *name);

/// Write one event. Values must not hold keys or hashes of keys.
///
/// @param ev   event from the table
/// @param fmt  printf format of `key=value` fields, separated by blanks. A value
///             with blanks is enclosed in double quotes, or may be unquoted as
///             the last field. A field with the name of a key that every line
///             has, or of an earlier field, is written as `field_NAME`;
///             tools/log_keys.awk finds those in the sources
void log_event(enum log_event ev, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/// Name of an event.
///
/// @return static string, "unknown" for a number outside the table
const char *log_event_name(enum log_event ev);
