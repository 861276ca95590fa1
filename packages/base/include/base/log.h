// Numbered log events as JSON lines on standard output.
//
// A line is written with one system call and only if the reader has room for it,
// so a reader that is behind costs lines and never time. Each event has a budget
// of lines a second; what was left out is counted in a line of its own.
#pragma once

#include <stdbool.h>
#include <syslog.h>

enum log_event {
#define EVENT(sym, num, level, name, doc) sym = (num),
#include "base/event.def"
#undef EVENT
};

/// Set what each line carries besides the event.
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
/// @param fmt  printf format of `key=value` fields, separated by blanks; a value
///             with blanks stands in double quotes, and goes to the end of the
///             line if it is the last field. A field named like a key of the
///             line itself, or like a field before it, is written as
///             `field_NAME`; tools/log_keys.awk finds those in the sources
void log_event(enum log_event ev, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/// Name of an event.
///
/// @param ev  event
/// @return static string, "unknown" for a number outside the table
const char *log_event_name(enum log_event ev);
