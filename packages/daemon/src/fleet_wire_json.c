// JSON format of the VM list and of orders.
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fleet_list.h"
#include "fleet_wire.h"

enum {
	WIRE_DEFAULT_AGE_MS = 60000, ///< assumed age of a list without "age_ms"
};

static bool wire_copy(char *to, size_t size, const json_t *obj,
		      const char *name)
{
	const char *s = json_string_value(json_object_get(obj, name));
	size_t len = s ? strlen(s) : 0;

	if (len >= size)
		return false;
	memcpy(to, s ? s : "", len + 1);
	return true;
}

/* Index of a string member in a list of values, -1 if not among them. */
static int wire_enum(const json_t *obj, const char *name,
		     const char *const words[], int n)
{
	const char *s = json_string_value(json_object_get(obj, name));

	for (int i = 0; s && i < n; i++) {
		if (strcmp(words[i], s) == 0)
			return i;
	}
	return -1;
}

static const char *const kinds[] = {
	[VM_ENTRY] = "entry",
	[VM_ENGINE] = "engine",
	[VM_SERVICE] = "service",
};

static bool wire_vm(const json_t *obj, struct fleet_vm *vm)
{
	static const char *const states[] = {
		[VM_STARTING] = "starting",
		[VM_LIVE] = "live",
		[VM_LEAVING] = "leaving",
	};
	int kind = wire_enum(obj, "kind", kinds, 3);
	int state = wire_enum(obj, "state", states, 3);

	if (kind < 0 || state < 0)
		return false;
	memset(vm, 0, sizeof(*vm));
	vm->kind = (enum vm_kind)kind;
	vm->state = (enum vm_state)state;
	vm->cheap = json_is_true(json_object_get(obj, "cheap"));
	return wire_copy(vm->id, sizeof(vm->id), obj, "id") && *vm->id &&
	       wire_copy(vm->addr, sizeof(vm->addr), obj, "addr") &&
	       wire_copy(vm->domain, sizeof(vm->domain), obj, "domain") &&
	       wire_copy(vm->service, sizeof(vm->service), obj, "service");
}

static enum err wire_rows(const json_t *arr, struct fleet_vm **vms, size_t *n,
			  size_t *bad)
{
	size_t count = json_array_size(arr);
	struct fleet_vm *rows;

	if (!json_is_array(arr))
		return ERR_PARSE;
	if (count > FLEET_VMS_MAX)
		return ERR_TOO_LARGE;
	rows = calloc(count + 1, sizeof(*rows));
	if (!rows)
		return ERR_NOMEM;
	*n = 0;
	for (size_t i = 0; i < count; i++)
		*n += wire_vm(json_array_get(arr, i), &rows[*n]);
	*bad = count - *n;
	*vms = rows;
	return ERR_OK;
}

static enum err json_vms_decode(const char *body, size_t len,
				struct fleet_vm **vms, size_t *n, size_t *bad,
				int64_t *age_ms)
{
	json_t *obj = json_loadb(body, len, 0, NULL);
	enum err e = wire_rows(json_object_get(obj, "vms"), vms, n, bad);
	json_t *age_json = json_object_get(obj, "age_ms");

	*age_ms = json_is_integer(age_json) ? json_integer_value(age_json)
					    : WIRE_DEFAULT_AGE_MS;

	json_decref(obj);
	return e;
}

static json_t *wire_order(const struct fleet_order *o)
{
	json_t *obj = json_pack("{s:s,s:I,s:s,s:s}", "id", o->id, "epoch",
				(json_int_t)o->epoch, "domain", o->domain, "op",
				o->start ? "start" : "stop");

	if (!o->start) {
		json_object_set_new(obj, "server", json_string(o->server));
		return obj;
	}
	json_object_set_new(obj, "kind", json_string(kinds[o->kind]));
	json_object_set_new(obj, "service", json_string(o->service));
	json_object_set_new(obj, "cheap", json_boolean(o->cheap));
	return obj;
}

static size_t json_order_encode(const struct fleet_order *o, char *buf,
				size_t len)
{
	json_t *obj = wire_order(o);
	size_t n = json_dumpb(obj, buf, len, JSON_COMPACT);

	json_decref(obj);
	return n <= len ? n : 0;
}

static bool json_order_decode(const char *body, size_t len, char *server)
{
	json_t *obj = json_loadb(body ? body : "", len, 0, NULL);
	bool ok = wire_copy(server, sizeof(((struct fleet_vm *)0)->id), obj,
			    "server") &&
		  *server;

	json_decref(obj);
	return ok;
}

const struct fleet_wire_ops fleet_wire_json = {
	.name = "json",
	.vms_path = "/vms",
	.vms_decode = json_vms_decode,
	.orders_path = "/orders",
	.order_encode = json_order_encode,
	.order_decode = json_order_decode,
};
