// Keeps each VM's last state changes, to report an older list.
#include "vms.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char *const state_names[] = {
	[VMS_SPARE] = "spare", [VMS_STARTING] = "starting",
	[VMS_LIVE] = "live",   [VMS_LEAVING] = "leaving",
	[VMS_GONE] = "gone",
};

static const char *vms_str(const json_t *obj, const char *name)
{
	const char *s = json_string_value(json_object_get(obj, name));

	return s ? s : "";
}

static struct vms_vm *vms_find(const struct vms *v, const char *id)
{
	for (size_t i = 0; i < v->n; i++) {
		if (strcmp(v->list[i].id, id) == 0)
			return &v->list[i];
	}
	return NULL;
}

static enum vms_state vms_state_now(const struct vms_vm *m)
{
	return m->n_history ? m->history[m->n_history - 1].state : VMS_GONE;
}

static void vms_set_state(struct vms_vm *m, enum vms_state st, int64_t now_ms)
{
	if (vms_state_now(m) == st)
		return;
	if (m->n_history == VMS_HISTORY_MAX)
		memmove(m->history, m->history + 1,
			--m->n_history * sizeof(m->history[0]));
	m->history[m->n_history++] = (struct vms_change){now_ms, st};
}

static enum vms_state vms_parse_state(const char *name)
{
	for (int i = VMS_SPARE; i < VMS_GONE; i++) {
		if (strcmp(state_names[i], name) == 0)
			return (enum vms_state)i;
	}
	return VMS_LIVE;
}

static struct vms_vm *vms_append(struct vms *v)
{
	struct vms_vm *m;

	v->list = reallocarray(v->list, v->n + 1, sizeof(*m));
	if (!v->list)
		abort();
	m = &v->list[v->n++];
	memset(m, 0, sizeof(*m));
	return m;
}

bool vms_register(struct vms *v, const json_t *obj, int64_t now_ms)
{
	const char *id = vms_str(obj, "id");
	struct vms_vm *m;

	if (!*id || !*vms_str(obj, "kind"))
		return false;
	m = vms_find(v, id);
	if (!m)
		m = vms_append(v);
	snprintf(m->id, sizeof(m->id), "%s", id);
	snprintf(m->addr, sizeof(m->addr), "%s", vms_str(obj, "addr"));
	snprintf(m->domain, sizeof(m->domain), "%s", vms_str(obj, "domain"));
	snprintf(m->kind, sizeof(m->kind), "%s", vms_str(obj, "kind"));
	snprintf(m->service, sizeof(m->service), "%s", vms_str(obj, "service"));
	m->cheap = json_is_true(json_object_get(obj, "cheap"));
	m->transition_ms = 0;
	vms_set_state(m, vms_parse_state(vms_str(obj, "state")), now_ms);
	return true;
}

bool vms_remove(struct vms *v, const char *id, int64_t now_ms)
{
	struct vms_vm *m = vms_find(v, id);

	if (!m)
		return false;
	m->transition_ms = 0;
	vms_set_state(m, VMS_GONE, now_ms);
	return true;
}

void vms_advance(struct vms *v, int64_t now_ms)
{
	for (size_t i = 0; i < v->n; i++) {
		struct vms_vm *m = &v->list[i];

		if (!m->transition_ms || m->transition_ms > now_ms)
			continue;
		if (vms_state_now(m) == VMS_STARTING)
			vms_set_state(m, VMS_LIVE, m->transition_ms);
		else if (vms_state_now(m) == VMS_LEAVING)
			vms_set_state(m, VMS_GONE, m->transition_ms);
		m->transition_ms = 0;
	}
}

static bool vms_matches(const struct vms_vm *m, const json_t *order)
{
	return vms_state_now(m) == VMS_SPARE &&
	       strcmp(m->domain, vms_str(order, "domain")) == 0 &&
	       strcmp(m->kind, vms_str(order, "kind")) == 0 &&
	       strcmp(m->service, vms_str(order, "service")) == 0 &&
	       m->cheap == json_is_true(json_object_get(order, "cheap"));
}

const char *vms_start(struct vms *v, const json_t *order, int64_t now_ms,
		      int64_t boot_ms)
{
	for (size_t i = 0; i < v->n; i++) {
		struct vms_vm *m = &v->list[i];

		if (!vms_matches(m, order))
			continue;
		vms_set_state(m, VMS_STARTING, now_ms);
		m->transition_ms = now_ms + boot_ms;
		return m->id;
	}
	return NULL;
}

bool vms_stop(struct vms *v, const char *id, int64_t now_ms, int64_t leave_ms)
{
	struct vms_vm *m = vms_find(v, id);

	if (!m || vms_state_now(m) == VMS_GONE)
		return false;
	if (vms_state_now(m) == VMS_LEAVING)
		return true;
	vms_set_state(m, VMS_LEAVING, now_ms);
	m->transition_ms = now_ms + leave_ms;
	return true;
}

static enum vms_state vms_state_at(const struct vms_vm *m, int64_t at_ms)
{
	enum vms_state st = VMS_GONE;

	for (size_t i = 0; i < m->n_history; i++) {
		if (m->history[i].at_ms <= at_ms)
			st = m->history[i].state;
	}
	return st;
}

json_t *vms_list(const struct vms *v, int64_t at_ms)
{
	json_t *arr = json_array();

	for (size_t i = 0; i < v->n; i++) {
		const struct vms_vm *m = &v->list[i];
		enum vms_state st = vms_state_at(m, at_ms);

		if (st == VMS_SPARE || st == VMS_GONE)
			continue;
		json_array_append_new(
			arr,
			json_pack("{s:s,s:s,s:s,s:s,s:s,s:s,s:b}", "id", m->id,
				  "addr", m->addr, "domain", m->domain, "kind",
				  m->kind, "service", m->service, "state",
				  state_names[st], "cheap", (int)m->cheap));
	}
	return arr;
}
