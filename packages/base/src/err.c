// Lookups in the error table.
#include "base/err.h"

#include <stddef.h>

struct err_row {
	enum err num;
	const char *code;
	int http;
	enum run_state run;
	const char *doc;
};

static const struct err_row err_rows[] = {
#define ERR(sym, num, code, http, run, doc) {sym, code, http, run, doc},
#include "base/err.def"
#undef ERR
};

static const struct err_row *err_find(enum err e)
{
	for (size_t i = 0; i < sizeof(err_rows) / sizeof(err_rows[0]); i++) {
		if (err_rows[i].num == e)
			return &err_rows[i];
	}
	return NULL;
}

const char *err_code(enum err e)
{
	const struct err_row *r = err_find(e);

	return r ? r->code : "unknown";
}

int err_http(enum err e)
{
	const struct err_row *r = err_find(e);

	return r ? r->http : 500;
}

enum run_state err_run(enum err e)
{
	const struct err_row *r = err_find(e);

	return r ? r->run : RUN_MAYBE;
}

const char *err_doc(enum err e)
{
	const struct err_row *r = err_find(e);

	return r ? r->doc : "";
}

const char *run_state_name(enum run_state r)
{
	static const char *const names[] = {"no", "maybe", "done"};

	return names[r];
}
