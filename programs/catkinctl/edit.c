// Submits edits. All attempts of an edit carry the same id, so that retries apply it
// at most once.
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "ctl.h"

enum {
	/// Rounds over all nodes while the outcome is unknown.
	EDIT_TRIES = 3,
	ID_BYTES = 8,
	POLL_MS = 50,
	/// The node does not know whether the edit was accepted.
	HTTP_UNKNOWN = 504,
};

static int64_t now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static json_t *edit_new(const struct ctl *ctl, json_t *op)
{
	unsigned char raw[ID_BYTES];
	char id[2 * ID_BYTES + 1];
	struct ctl_answer a;
	json_int_t base = ctl->base_rev;

	randombytes_buf(raw, sizeof(raw));
	sodium_bin2hex(id, sizeof(id), raw, sizeof(raw));
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

/// Send an edit, with retries, until a node reports its outcome.
///
/// @param[out] rev  revision, set with CTL_ACCEPTED
/// @return exit code
static int edit_send(const struct ctl *ctl, const json_t *edit, json_int_t *rev)
{
	struct ctl_answer a;
	bool sent = false;
	json_t *err;
	int rc;

	for (int i = 0; i < EDIT_TRIES; i++) {
		ctl_call(ctl, "POST", "/admin/conf/edit", edit, &a);
		sent |= a.sent;
		if (a.status != 0 && a.status != HTTP_UNKNOWN)
			break;
		json_decref(a.body);
		a.body = NULL;
	}
	if (a.status == 200) {
		*rev = json_integer_value(json_object_get(a.body, "rev"));
		json_decref(a.body);
		return CTL_ACCEPTED;
	}
	if (a.status == 0 || a.status == HTTP_UNKNOWN) {
		ctl_fail(sent ? ERR_CONF_UNKNOWN : ERR_CTL_UNREACHABLE, NULL);
		return sent ? CTL_UNKNOWN : CTL_UNREACHABLE;
	}
	err = json_object_get(a.body, "error");
	fprintf(stderr, "catkinctl: refused: %s: %s\n",
		json_string_value(json_object_get(err, "code")),
		json_string_value(json_object_get(err, "detail")));
	rc = json_integer_value(json_object_get(err, "number")) ==
			     ERR_CONF_CLASH
		     ? CTL_CLASH
		     : CTL_REFUSED;
	json_decref(a.body);
	return rc;
}

/// Poll until a revision is in force on every node, or wait_ms have passed.
///
/// @return last response of GET /admin/conf/force, NULL if there was none
static json_t *edit_wait(const struct ctl *ctl, json_int_t rev)
{
	int64_t until = now_ms() + ctl->wait_ms;
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
		usleep(POLL_MS * 1000);
	} while (now_ms() < until);
	return last;
}

static void tell_force(json_int_t rev, const json_t *force)
{
	json_t *in = json_object_get(force, "in_force");
	json_t *missing = json_object_get(force, "missing");
	size_t i;
	json_t *m;

	fprintf(stderr, "accepted as revision %lld; in force on %zu of %zu\n",
		(long long)rev, json_array_size(in),
		json_array_size(in) + json_array_size(missing));
	json_array_foreach(missing, i, m) {
		fprintf(stderr, "missing: %s in %s (%s)\n",
			json_string_value(json_object_get(m, "node")),
			json_string_value(json_object_get(m, "domain")),
			json_string_value(json_object_get(m, "state")));
	}
}

static void tell_json(json_int_t rev, const json_t *force, const char *name,
		      const char *value)
{
	json_t *out =
		json_pack("{s:s,s:I,s:O*,s:O*}", "outcome", "accepted", "rev",
			  rev, "in_force", json_object_get(force, "in_force"),
			  "missing", json_object_get(force, "missing"));

	if (name)
		json_object_set_new(out, name, json_string(value));
	json_dumpf(out, stdout, JSON_COMPACT);
	printf("\n");
	json_decref(out);
}

int ctl_edit(const struct ctl *ctl, json_t *op, const char *more_name,
	     const char *more_value)
{
	json_t *edit = edit_new(ctl, op);
	json_int_t rev = 0;
	json_t *force;
	int rc = edit_send(ctl, edit, &rev);

	json_decref(edit);
	if (rc != CTL_ACCEPTED)
		return rc;
	force = ctl->wait_ms > 0 ? edit_wait(ctl, rev) : NULL;
	if (force)
		tell_force(rev, force);
	if (ctl->json)
		tell_json(rev, force, more_name, more_value);
	else if (more_value)
		printf("%s\n", more_value);
	json_decref(force);
	return rc;
}
