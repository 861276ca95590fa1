// Typed errors: one table, one number and one code each.
#pragma once

/// What an answer says about the request it answers.
enum run_state {
	RUN_NO, ///< the request did not run and never will
	RUN_MAYBE, ///< the request may have run
	RUN_DONE, ///< the request ran
};

enum err {
#define ERR(sym, num, code, http, run, doc) sym = (num),
#include "base/err.def"
#undef ERR
};

/// Code of an error, as printed to callers and in logs.
///
/// @param e  any error
/// @return static string, "unknown" for a number outside the table
const char *err_code(enum err e);

/// HTTP status that carries an error.
///
/// @param e  any error
/// @return status, 500 for a number outside the table
int err_http(enum err e);

/// What the error says of the request that it answers.
///
/// @param e  any error
/// @return RUN_MAYBE for a number outside the table
enum run_state err_run(enum err e);

/// One-line description for the catalogue.
///
/// @param e  any error
/// @return static string
const char *err_doc(enum err e);

/// Name of a run state: "no", "maybe" or "done".
///
/// @param r  run state
/// @return static string
const char *run_state_name(enum run_state r);
