// Error numbers and codes, generated from the table in err.def.
#pragma once

/// Whether the request ran, as stated by its answer.
enum run_state {
	RUN_NO, ///< the request did not run and will not run
	RUN_MAYBE, ///< the request may have run
	RUN_DONE, ///< the request ran
};

enum err {
#define ERR(sym, num, code, http, run, doc) sym = (num),
#include "base/err.def"
#undef ERR
};

/// Error code, as sent to callers and written to logs.
///
/// @return static string, "unknown" for a number outside the table
const char *err_code(enum err e);

/// HTTP status of an answer with an error.
///
/// @return status, 500 for a number outside the table
int err_http(enum err e);

/// Whether a request that ends with the error ran.
///
/// @return run state, RUN_MAYBE for a number outside the table
enum run_state err_run(enum err e);

/// One-line description of an error.
///
/// @return static string, "" for a number outside the table
const char *err_doc(enum err e);

/// Name of a run state: "no", "maybe" or "done".
///
/// @return static string
const char *run_state_name(enum run_state r);
