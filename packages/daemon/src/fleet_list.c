// VM list as an array, with tombstones by id and address for VMs that left.
#include "fleet_list.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct fleet_vm *fleet_list_find(const struct fleet_list *l, const char *id)
{
	for (size_t i = 0; i < l->n; i++) {
		if (strcmp(l->vms[i].id, id) == 0)
			return &l->vms[i];
	}
	return NULL;
}

/* As fleet_list_find(), trying first the VM's index in the last list. */
static struct fleet_vm *fleet_find_hinted(const struct fleet_list *l,
					  const char *id, size_t hint)
{
	if (hint < l->n && strcmp(l->vms[hint].id, id) == 0)
		return &l->vms[hint];
	return fleet_list_find(l, id);
}

/* Same id with another address is a replacement, hence another VM. */
static bool fleet_tombstone_has(const struct fleet_list *l,
				const struct fleet_vm *vm)
{
	for (size_t i = 0; i < l->n_tombstones; i++) {
		const struct fleet_tombstone *t = &l->tombstones[i];

		if (strcmp(t->id, vm->id) == 0 &&
		    strcmp(t->addr, vm->addr) == 0)
			return true;
	}
	return false;
}

static void fleet_tombstone_expire(struct fleet_list *l, int64_t now_ms)
{
	for (size_t i = l->n_tombstones; i-- > 0;) {
		if (l->tombstones[i].expires_ms <= now_ms)
			l->tombstones[i] = l->tombstones[--l->n_tombstones];
	}
}

static void fleet_tombstone_add(struct fleet_list *l, const struct fleet_vm *vm,
				int64_t now_ms)
{
	struct fleet_tombstone *t;

	if (fleet_tombstone_has(l, vm) ||
	    l->n_tombstones == FLEET_TOMBSTONES_MAX)
		return;
	t = &l->tombstones[l->n_tombstones++];
	snprintf(t->id, sizeof(t->id), "%s", vm->id);
	snprintf(t->addr, sizeof(t->addr), "%s", vm->addr);
	t->expires_ms = now_ms + FLEET_TOMBSTONE_TTL_MS;
}

static bool fleet_vm_same(const struct fleet_vm *a, const struct fleet_vm *b)
{
	return strcmp(a->id, b->id) == 0 && strcmp(a->addr, b->addr) == 0 &&
	       strcmp(a->domain, b->domain) == 0 &&
	       strcmp(a->service, b->service) == 0 && a->kind == b->kind &&
	       a->state == b->state && a->cheap == b->cheap;
}

static bool fleet_reserve(struct fleet_list *l, size_t n)
{
	struct fleet_vm *vms;

	if (n <= l->cap)
		return true;
	vms = reallocarray(l->vms, n, sizeof(*vms));
	if (!vms)
		return false;
	l->vms = vms;
	l->cap = n;
	return true;
}

/* Merges one row with what is known; false if the VM has a tombstone. */
static bool fleet_merge_row(struct fleet_list *l, struct fleet_vm *vm,
			    size_t hint, int64_t now_ms)
{
	const struct fleet_vm *old = fleet_find_hinted(l, vm->id, hint);
	bool known = old && strcmp(old->addr, vm->addr) == 0;

	vm->first_seen_ms = known ? old->first_seen_ms : now_ms;
	if (known && old->state == VM_LEAVING)
		vm->state = VM_LEAVING;
	else if (fleet_tombstone_has(l, vm))
		return false;
	if (vm->state == VM_LEAVING)
		fleet_tombstone_add(l, vm, now_ms);
	return true;
}

static bool fleet_rows_same(const struct fleet_list *l,
			    const struct fleet_vm *rows, size_t n)
{
	if (n != l->n)
		return false;
	for (size_t i = 0; i < n; i++) {
		if (!fleet_vm_same(&rows[i], &l->vms[i]))
			return false;
	}
	return true;
}

enum err fleet_list_merge(struct fleet_list *l, const struct fleet_vm *next,
			  size_t n, int64_t now_ms)
{
	struct fleet_vm *rows = calloc(n + 1, sizeof(*rows));
	size_t n_rows = 0;

	if (!rows || !fleet_reserve(l, n)) {
		free(rows);
		return ERR_NOMEM;
	}
	fleet_tombstone_expire(l, now_ms);
	for (size_t i = 0; i < n; i++) {
		rows[n_rows] = next[i];
		n_rows += fleet_merge_row(l, &rows[n_rows], n_rows, now_ms);
	}
	if (!fleet_rows_same(l, rows, n_rows)) {
		memcpy(l->vms, rows, n_rows * sizeof(*rows));
		l->n = n_rows;
		l->gen++;
	}
	free(rows);
	return ERR_OK;
}

void fleet_list_mark_leaving(struct fleet_list *l, const char *id,
			     int64_t now_ms)
{
	struct fleet_vm *vm = fleet_list_find(l, id);

	if (!vm || vm->state == VM_LEAVING)
		return;
	vm->state = VM_LEAVING;
	fleet_tombstone_add(l, vm, now_ms);
	l->gen++;
}

void fleet_list_free(struct fleet_list *l)
{
	free(l->vms);
	l->vms = NULL;
	l->n = 0;
	l->cap = 0;
}
