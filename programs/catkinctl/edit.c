// Submits an edit; all attempts carry the same id, so that it is applied at most once.
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "ctl.h"

enum {
	/// Rounds over all nodes while the outcome is unknown.
	EDIT_ATTEMPTS_MAX = 3,
	ID_BYTES = 8,
	POLL_INTERVAL_MS = 50,
	/// The edit may have been accepted.
	HTTP_OUTCOME_UNKNOWN = 504,
};

static int64_t now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static json_t *edit_new(const struct ctl *ctl, json_t *op)
{
	unsigned char id_raw[ID_BYTES];
	char id[2 * ID_BYTES + 1];
	struct ctl_answer a;
	json_int_t base = ctl->base_rev;

	randombytes_buf(id_raw, sizeof(id_raw));
	sodium_bin2hex(id, sizeof(id), id_raw, sizeof(id_raw));
	if (base < 0) {
		ctl_call(ctl, "GET", "/admin/conf", NULL, &a);
		base = a.status == 200 ? json_integer_value(
						 json_object_get(a.body, "rev"))
				       : -1;
		json_decref(a.body);
	}
	if (base < 0)
		return json_pack("{s:s,s:s,s:[o]}", "id", id, "author",
				 ctl->author, "ops", op);
	return json_pack("{s:s,s:s,s:I,s:[o]}", "id", id, "author", ctl->author,
			 "base_rev", base, "ops", op);
}

/// Send an edit until a node reports its outcome.
///
/// @return exit code; CTL_ACCEPTED with the revision
static int edit_send(const struct ctl *ctl, const json_t *edit, json_int_t *rev)
{
	struct ctl_answer a;
	bool sent = false;
	json_t *err;
	int rc;

	for (int i = 0; i < EDIT_ATTEMPTS_MAX; i++) {
		ctl_call(ctl, "POST", "/admin/conf/edit", edit, &a);
		sent |= a.sent;
		if (a.status != 0 && a.status != HTTP_OUTCOME_UNKNOWN)
			break;
		json_decref(a.body);
		a.body = NULL;
	}
	if (a.status == 200) {
		*rev = json_integer_value(json_object_get(a.body, "rev"));
		json_decref(a.body);
		return CTL_ACCEPTED;
	}
	if (a.status == 0 || a.status == HTTP_OUTCOME_UNKNOWN) {
		ctl_report_error(sent ? ERR_CONF_UNKNOWN : ERR_CTL_UNREACHABLE,
				 NULL);
		return sent ? CTL_UNKNOWN : CTL_UNREACHABLE;
	}
	err = json_object_get(a.body, "error");
	fprintf(stderr, "catkinctl: refused: %s: %s\n",
		json_string_value(json_object_get(err, "code")),
		json_string_value(json_object_get(err, "detail")));
	rc = json_integer_value(json_object_get(err, "number")) ==
			     ERR_CONF_CLASH
		     ? CTL_CONFLICT
		     : CTL_REFUSED;
	json_decref(a.body);
	return rc;
}

/// Poll until a revision is in force on every node, at most wait_ms.
///
/// @return last response of GET /admin/conf/force, NULL if there was none
static json_t *edit_wait(const struct ctl *ctl, json_int_t rev)
{
	int64_t deadline_ms = now_ms() + ctl->wait_ms;
	json_t *last = NULL;
	char path[64];

	snprintf(path, sizeof(path), "/admin/conf/force?rev=%lld",
		 (long long)rev);
	do {
		struct ctl_answer a;

		ctl_call(ctl, "GET", path, NULL, &a);
		if (a.status == 200) {
			json_decref(last);
			last = a.body;
			if (json_array_size(json_object_get(last, "missing")) ==
			    0)
				return last;
		} else {
			json_decref(a.body);
		}
		usleep(POLL_INTERVAL_MS * 1000);
	} while (now_ms() < deadline_ms);
	return last;
}

static void print_in_force(json_int_t rev, const json_t *in_force_doc)
{
	json_t *in_force = json_object_get(in_force_doc, "in_force");
	json_t *missing = json_object_get(in_force_doc, "missing");
	size_t i;
	json_t *member;

	fprintf(stderr, "accepted as revision %lld; in force on %zu of %zu\n",
		(long long)rev, json_array_size(in_force),
		json_array_size(in_force) + json_array_size(missing));
	json_array_foreach(missing, i, member) {
		fprintf(stderr, "missing: %s in %s (%s)\n",
			json_string_value(json_object_get(member, "node")),
			json_string_value(json_object_get(member, "domain")),
			json_string_value(json_object_get(member, "state")));
	}
}

static void print_json_result(json_int_t rev, const json_t *in_force_doc,
			      const char *name, const char *value)
{
	json_t *out = json_pack(
		"{s:s,s:I,s:O*,s:O*}", "outcome", "accepted", "rev", rev,
		"in_force", json_object_get(in_force_doc, "in_force"),
		"missing", json_object_get(in_force_doc, "missing"));

	if (name)
		json_object_set_new(out, name, json_string(value));
	json_dumpf(out, stdout, JSON_COMPACT);
	printf("\n");
	json_decref(out);
}

int ctl_submit_edit(const struct ctl *ctl, json_t *op, const char *extra_name,
		    const char *extra_value)
{
	json_t *edit = edit_new(ctl, op);
	json_int_t rev = 0;
	json_t *in_force_doc;
	int rc = edit_send(ctl, edit, &rev);

	json_decref(edit);
	if (rc != CTL_ACCEPTED)
		return rc;
	in_force_doc = ctl->wait_ms > 0 ? edit_wait(ctl, rev) : NULL;
	if (in_force_doc)
		print_in_force(rev, in_force_doc);
	if (ctl->json)
		print_json_result(rev, in_force_doc, extra_name, extra_value);
	else if (extra_value)
		printf("%s\n", extra_value);
	json_decref(in_force_doc);
	return rc;
}
