// JSON body of an error answer.
#include <jansson.h>

#include "http/http.h"

char *http_err_body(enum err e, enum run_state run, int64_t retry_after_ms,
		    const char *detail)
{
	json_t *obj = json_pack("{s:{s:s,s:i,s:s,s:I,s:s}}", "error", "code",
				err_code(e), "number", (int)e, "run",
				run_state_name(run), "retry_after_ms",
				(json_int_t)retry_after_ms, "detail",
				detail ? detail : err_doc(e));
	char *text = json_dumps(obj, JSON_COMPACT);

	json_decref(obj);
	return text;
}
