// Parses a document: validates all members and builds sorted tables.
#include "doc.h"

#include <stdlib.h>
#include <string.h>

static const char name_chars[] =
	"abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";

const char *const doc_scope_names[DOC_SCOPE_KINDS] = {
	"route",
	"trainer",
	"team",
	"domain",
};

int doc_scope_kind(const char *name)
{
	for (int i = 0; i < DOC_SCOPE_KINDS; i++) {
		if (strcmp(doc_scope_names[i], name) == 0)
			return i;
	}
	return -1;
}

bool doc_name_valid(const char *name)
{
	size_t n = name ? strlen(name) : 0;

	return n > 0 && n <= CONF_NAME_MAX && strspn(name, name_chars) == n;
}

static bool value_in_range(enum conf_field f, const json_t *v)
{
	const struct conf_field_info *fi = conf_field_info(f);

	return json_is_integer(v) && json_integer_value(v) >= fi->min &&
	       json_integer_value(v) <= fi->max;
}

static enum err load_defaults(struct conf *c)
{
	json_t *obj = json_object_get(c->root, "defaults");
	const char *name;
	json_t *v;

	for (int i = 0; i < CONF_FIELDS; i++)
		c->defaults[i] = conf_field_info((enum conf_field)i)->def;
	json_object_foreach(obj, name, v) {
		enum conf_field f = conf_field_find(name);

		if (f == CONF_FIELDS)
			continue; /* field of a newer release */
		if (!value_in_range(f, v))
			return ERR_INVALID;
		c->defaults[f] = json_integer_value(v);
	}
	return ERR_OK;
}

static int exception_cmp(const void *a, const void *b)
{
	const struct doc_exception *x = a;
	const struct doc_exception *y = b;

	if (x->field != y->field)
		return x->field < y->field ? -1 : 1;
	if (x->scope_kind != y->scope_kind)
		return x->scope_kind < y->scope_kind ? -1 : 1;
	return strcmp(x->name, y->name);
}

static enum err load_exception(struct conf *c, json_t *v)
{
	struct doc_exception *e = &c->exceptions[c->n_exceptions];
	const char *scope, *name, *field, *reason;
	json_t *value;

	if (json_unpack(v, "{s:s,s:s,s:s,s:s,s:o}", "scope", &scope, "name",
			&name, "field", &field, "reason", &reason, "value",
			&value) != 0)
		return ERR_INVALID;
	e->scope_kind = doc_scope_kind(scope);
	e->field = conf_field_find(field);
	e->name = name;
	e->value = json_integer_value(value);
	if (e->field == CONF_FIELDS)
		return ERR_OK; /* field of a newer release */
	if (e->scope_kind < 0 || !doc_name_valid(name) || !*reason ||
	    !value_in_range(e->field, value))
		return ERR_INVALID;
	c->n_exceptions++;
	return ERR_OK;
}

static enum err load_exceptions(struct conf *c)
{
	json_t *arr = json_object_get(c->root, "exceptions");
	size_t i;
	json_t *v;

	c->exceptions =
		calloc(json_array_size(arr) + 1, sizeof(*c->exceptions));
	if (!c->exceptions)
		return ERR_NOMEM;
	json_array_foreach(arr, i, v) {
		enum err e = load_exception(c, v);

		if (e)
			return e;
	}
	qsort(c->exceptions, c->n_exceptions, sizeof(*c->exceptions),
	      exception_cmp);
	for (size_t f = 0, pos = 0; f <= CONF_FIELDS; f++) {
		while (pos < c->n_exceptions && c->exceptions[pos].field < f)
			pos++;
		c->first_exception[f] = pos;
	}
	return ERR_OK;
}

static enum err load_route_teams(struct conf_route *r, json_t *arr)
{
	const char **names;
	size_t i;
	json_t *v;

	if (!arr)
		return ERR_OK;
	names = calloc(json_array_size(arr) + 1, sizeof(*names));
	r->teams = names;
	if (!names)
		return ERR_NOMEM;
	json_array_foreach(arr, i, v) {
		if (!doc_name_valid(json_string_value(v)))
			return ERR_INVALID;
		names[r->n_teams++] = json_string_value(v);
	}
	return json_is_array(arr) ? ERR_OK : ERR_INVALID;
}

static enum err load_route(struct conf_route *r, const char *name, json_t *v)
{
	const char *target = "";
	const char *cut_off_reason = NULL;
	int open = 0;
	int idempotent = 0;
	json_t *teams = NULL;

	r->name = name;
	r->service = "";
	if (!doc_name_valid(name) ||
	    json_unpack(v, "{s:s,s?s,s?b,s?b,s?s,s?o}", "target", &target,
			"service", &r->service, "open", &open, "idempotent",
			&idempotent, "keep_cut_off", &cut_off_reason, "teams",
			&teams) != 0)
		return ERR_INVALID;
	r->open = open;
	r->idempotent = idempotent;
	r->keep_cut_off = cut_off_reason && *cut_off_reason;
	if (strcmp(target, "engine") == 0)
		r->target = CONF_TARGET_ENGINE;
	else if (strcmp(target, "service") == 0 && doc_name_valid(r->service))
		r->target = CONF_TARGET_SERVICE;
	else
		return ERR_INVALID;
	return load_route_teams(r, teams);
}

/// A table whose rows begin with a name and are sorted by it.
struct doc_table {
	const char *member;
	size_t size; ///< bytes of a row
	enum err (*load)(void *row, const char *name, json_t *v);
};

static enum err row_route(void *row, const char *name, json_t *v)
{
	return load_route(row, name, v);
}

static enum err row_team(void *row, const char *name, json_t *v)
{
	struct conf_team *t = row;

	t->name = name;
	return doc_name_valid(name) && json_is_object(v) ? ERR_OK : ERR_INVALID;
}

static enum err row_domain(void *row, const char *name, json_t *v)
{
	struct doc_domain *d = row;
	int in;

	d->name = name;
	if (!doc_name_valid(name) || json_unpack(v, "{s:b}", "in", &in) != 0)
		return ERR_INVALID;
	d->enabled = in;
	return ERR_OK;
}

static int name_cmp(const void *a, const void *b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

static enum err load_table(const struct conf *c, const struct doc_table *t,
			   void *rows_out, size_t *n)
{
	json_t *obj = json_object_get(c->root, t->member);
	char *rows = calloc(json_object_size(obj) + 1, t->size);
	const char *name;
	json_t *v;

	if (!rows)
		return ERR_NOMEM;
	memcpy(rows_out, &rows, sizeof(rows));
	json_object_foreach(obj, name, v) {
		enum err e = t->load(rows + *n * t->size, name, v);

		(*n)++;
		if (e)
			return e;
	}
	qsort(rows, *n, t->size, name_cmp);
	return !obj || json_is_object(obj) ? ERR_OK : ERR_INVALID;
}

static int key_cmp(const void *a, const void *b)
{
	const struct conf_key *x = a;
	const struct conf_key *y = b;

	return strcmp(x->rec.id, y->rec.id);
}

static enum err load_key(struct conf_key *k, const char *id, json_t *v)
{
	const char *salt, *hash;
	int withdrawn = 0;

	if (json_unpack(v, "{s:s,s:s,s:s,s?b}", "team", &k->team, "salt", &salt,
			"hash", &hash, "withdrawn", &withdrawn) != 0 ||
	    strlen(id) != KEY_ID_LEN || !doc_name_valid(k->team) ||
	    !key_record_valid(salt, hash))
		return ERR_INVALID;
	memcpy(k->rec.id, id, KEY_ID_LEN);
	memcpy(k->rec.salt, salt, KEY_SALT_HEX);
	memcpy(k->rec.hash, hash, KEY_HASH_HEX);
	k->withdrawn = withdrawn;
	return ERR_OK;
}

static enum err load_keys(struct conf *c)
{
	json_t *obj = json_object_get(c->root, "keys");
	const char *id;
	json_t *v;

	c->keys = calloc(json_object_size(obj) + 1, sizeof(*c->keys));
	if (!c->keys)
		return ERR_NOMEM;
	json_object_foreach(obj, id, v) {
		enum err e = load_key(&c->keys[c->n_keys++], id, v);

		if (e)
			return e;
	}
	qsort(c->keys, c->n_keys, sizeof(*c->keys), key_cmp);
	return ERR_OK;
}

static enum err load_all(struct conf *c)
{
	static const struct doc_table routes = {
		"routes", sizeof(struct conf_route), row_route};
	static const struct doc_table teams = {
		"teams", sizeof(struct conf_team), row_team};
	static const struct doc_table domains = {
		"domains", sizeof(struct doc_domain), row_domain};
	json_t *rev = json_object_get(c->root, "rev");
	enum err e;

	if (!json_is_integer(rev) || json_integer_value(rev) < 0)
		return ERR_INVALID;
	c->rev = (uint64_t)json_integer_value(rev);
	if ((e = load_defaults(c)) || (e = load_exceptions(c)) ||
	    (e = load_table(c, &routes, &c->routes, &c->n_routes)) ||
	    (e = load_table(c, &teams, &c->teams, &c->n_teams)) ||
	    (e = load_table(c, &domains, &c->domains, &c->n_domains)))
		return e;
	return load_keys(c);
}

enum err doc_build(json_t *root, char *text, size_t len, struct conf **out)
{
	struct conf *c = calloc(1, sizeof(*c));
	enum err e;

	*out = NULL;
	if (!c) {
		json_decref(root);
		free(text);
		return ERR_NOMEM;
	}
	c->root = root;
	c->text = text;
	c->len = len;
	e = load_all(c);
	if (e) {
		conf_free(c);
		return e;
	}
	*out = c;
	return ERR_OK;
}

enum err conf_parse(const char *text, size_t len, struct conf **out)
{
	json_t *root;
	char *copy;

	*out = NULL;
	if (len > CONF_DOC_MAX_BYTES)
		return ERR_TOO_LARGE;
	root = json_loadb(text, len, JSON_REJECT_DUPLICATES, NULL);
	if (!json_is_object(root)) {
		json_decref(root);
		return ERR_PARSE;
	}
	copy = malloc(len + 1);
	if (!copy) {
		json_decref(root);
		return ERR_NOMEM;
	}
	memcpy(copy, text, len);
	copy[len] = '\0';
	return doc_build(root, copy, len, out);
}

void conf_free(struct conf *c)
{
	if (!c)
		return;
	for (size_t i = 0; i < c->n_routes; i++)
		free((void *)c->routes[i].teams);
	free(c->routes);
	free(c->teams);
	free(c->domains);
	free(c->keys);
	free(c->exceptions);
	free(c->text);
	json_decref(c->root);
	free(c);
}
