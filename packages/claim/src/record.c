// Encodes and decodes records of the claim log.
#include "claim/record.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	HEX64_DIGITS = 16,
	HEX128_DIGITS = 32,
};

static const char *const record_ops[] = {
	[CLAIM_OP_CLAIM] = "claim",
	[CLAIM_OP_DONE] = "done",
	[CLAIM_OP_RELEASE] = "free",
	[CLAIM_OP_SEAL] = "seal",
};

static json_t *name_json(struct claim_u128 n)
{
	char hex[HEX128_DIGITS + 1];

	snprintf(hex, sizeof(hex), "%016llx%016llx", (unsigned long long)n.hi,
		 (unsigned long long)n.lo);
	return json_string(hex);
}

static json_t *u64_json(uint64_t v)
{
	char hex[HEX64_DIGITS + 1];

	snprintf(hex, sizeof(hex), "%016llx", (unsigned long long)v);
	return json_string(hex);
}

static void record_add_claim(json_t *o, const struct claim_request *q)
{
	json_object_set_new(o, "body", u64_json(q->body));
	json_object_set_new(o, "until", json_integer(q->until_ms));
	json_object_set_new(o, "expires", json_integer(q->expires_ms));
}

static void record_add_answer(json_t *o, const struct claim_record *r)
{
	const struct claim_answer *a = &r->answer;
	bool body_fits = a->body && a->len <= CLAIM_BODY_MAX &&
			 !memchr(a->body, '\0', a->len);
	json_t *body_json = body_fits ? json_stringn(a->body, a->len) : NULL;

	json_object_set_new(o, "status", json_integer(a->status));
	json_object_set_new(o, "ctype", json_string(a->ctype ? a->ctype : ""));
	json_object_set_new(o, "len", json_integer((json_int_t)a->len));
	json_object_set_new(o, "digest", u64_json(a->digest));
	if (body_json)
		json_object_set_new(o, "answer", body_json);
}

size_t claim_record_write(const struct claim_record *r, char *buf)
{
	json_t *o = json_object();
	size_t n;

	json_object_set_new(o, "op", json_string(record_ops[r->op]));
	if (r->op != CLAIM_OP_SEAL) {
		json_object_set_new(o, "key", name_json(r->req.key));
		json_object_set_new(o, "id", name_json(r->req.id));
	}
	if (r->op == CLAIM_OP_CLAIM)
		record_add_claim(o, &r->req);
	if (r->op == CLAIM_OP_DONE)
		record_add_answer(o, r);
	n = json_dumpb(o, buf, CLAIM_LINE_MAX - 1, JSON_COMPACT);
	json_decref(o);
	if (n == 0 || n >= CLAIM_LINE_MAX - 1)
		return 0;
	buf[n] = '\n';
	return n + 1;
}

static bool read_hex(const json_t *o, const char *name, size_t digits,
		     uint64_t *hi, uint64_t *lo)
{
	const char *s = json_string_value(json_object_get(o, name));
	char part[HEX64_DIGITS + 1];

	if (!s || strlen(s) != digits ||
	    strspn(s, "0123456789abcdef") != digits)
		return false;
	*lo = strtoull(s + digits - HEX64_DIGITS, NULL, 16);
	if (hi) {
		snprintf(part, sizeof(part), "%.16s", s);
		*hi = strtoull(part, NULL, 16);
	}
	return true;
}

static bool read_name(const json_t *o, const char *name, struct claim_u128 *n)
{
	return read_hex(o, name, HEX128_DIGITS, &n->hi, &n->lo);
}

static bool read_claim(const json_t *o, struct claim_request *q)
{
	json_t *until = json_object_get(o, "until");
	json_t *expires = json_object_get(o, "expires");

	q->until_ms = json_integer_value(until);
	q->expires_ms = json_integer_value(expires);
	return json_is_integer(until) && json_is_integer(expires) &&
	       read_hex(o, "body", HEX64_DIGITS, NULL, &q->body);
}

static bool read_answer(const json_t *o, struct claim_answer *a)
{
	json_t *status = json_object_get(o, "status");
	json_t *body = json_object_get(o, "answer");

	a->status = (int)json_integer_value(status);
	a->ctype = json_string_value(json_object_get(o, "ctype"));
	a->len = (size_t)json_integer_value(json_object_get(o, "len"));
	a->body = json_string_value(body);
	if (a->body && json_string_length(body) != a->len)
		return false;
	return json_is_integer(status) && a->ctype &&
	       read_hex(o, "digest", HEX64_DIGITS, NULL, &a->digest);
}

static bool read_op(const json_t *o, enum claim_op *op)
{
	const char *name = json_string_value(json_object_get(o, "op"));

	for (int i = CLAIM_OP_CLAIM; name && i <= CLAIM_OP_SEAL; i++) {
		if (strcmp(name, record_ops[i]) == 0) {
			*op = (enum claim_op)i;
			return true;
		}
	}
	return false;
}

static bool read_record(const json_t *o, struct claim_record *r)
{
	*r = (struct claim_record){0};
	if (!read_op(o, &r->op))
		return false;
	if (r->op == CLAIM_OP_SEAL)
		return true;
	if (!read_name(o, "key", &r->req.key) ||
	    !read_name(o, "id", &r->req.id))
		return false;
	if (r->op == CLAIM_OP_CLAIM)
		return read_claim(o, &r->req);
	return r->op == CLAIM_OP_RELEASE || read_answer(o, &r->answer);
}

bool claim_record_read(const char *text, size_t len,
		       void (*fn)(void *ctx, const struct claim_record *r),
		       void *ctx)
{
	while (len > 0) {
		const char *nl = memchr(text, '\n', len);
		size_t n = nl ? (size_t)(nl - text) : len;
		json_t *o = nl ? json_loadb(text, n, 0, NULL) : NULL;
		struct claim_record r;
		bool ok = o && read_record(o, &r);

		if (ok)
			fn(ctx, &r);
		json_decref(o);
		if (!ok)
			return false;
		text += n + 1;
		len -= n + 1;
	}
	return true;
}
