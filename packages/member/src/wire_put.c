// Encodes the messages.
#include "wire.h"

#include <string.h>

static void put_str(msgpack_packer *p, const char *s)
{
	msgpack_pack_str(p, strlen(s));
	msgpack_pack_str_body(p, s, strlen(s));
}

static void put_bool(msgpack_packer *p, bool v)
{
	if (v)
		msgpack_pack_true(p);
	else
		msgpack_pack_false(p);
}

static void put_keys(msgpack_packer *p, const int64_t *keys)
{
	msgpack_pack_array(p, MEMBER_KEYS);
	for (int i = 0; i < MEMBER_KEYS; i++)
		msgpack_pack_int64(p, keys[i]);
}

static void put_values(msgpack_packer *p, const struct member_domain *d)
{
	put_str(p, d->name);
	msgpack_pack_int32(p, d->alive);
	msgpack_pack_int32(p, d->draining);
	put_keys(p, d->min);
	put_keys(p, d->max);
}

static void put_contacts(msgpack_packer *p, const struct member_domain *d)
{
	msgpack_pack_array(p, (size_t)d->n_contacts);
	for (int i = 0; i < d->n_contacts; i++) {
		msgpack_pack_array(p, 2);
		put_str(p, d->contacts[i].id);
		put_str(p, d->contacts[i].addr);
	}
}

static void put_hashes(msgpack_packer *p, const uint32_t *v, int n)
{
	msgpack_pack_array(p, (size_t)n);
	for (int i = 0; i < n; i++)
		msgpack_pack_uint32(p, v[i]);
}

static void put_links(msgpack_packer *p, const struct rec *r)
{
	msgpack_pack_array(p, 6);
	put_str(p, r->id);
	put_str(p, r->addr);
	put_bool(p, r->draining);
	put_bool(p, r->left);
	put_hashes(p, r->heard, r->n_heard);
	put_hashes(p, r->domains, r->n_domains);
}

static void put_reports(msgpack_packer *p, const struct rec *r, bool contacts)
{
	msgpack_pack_array(p, (size_t)r->n_reports);
	for (int i = 0; i < r->n_reports; i++) {
		if (contacts) {
			msgpack_pack_array(p, 2);
			put_str(p, r->reports[i].name);
			put_contacts(p, &r->reports[i]);
			continue;
		}
		msgpack_pack_array(p, 5);
		put_values(p, &r->reports[i]);
	}
}

static void put_item(msgpack_packer *p, const struct wire_item *it)
{
	msgpack_pack_array(p, 5);
	msgpack_pack_uint32(p, it->rec->hash);
	msgpack_pack_uint64(p, it->rec->inc);
	msgpack_pack_int(p, it->part);
	msgpack_pack_uint32(p, it->rec->seq[it->part]);
	if (it->part == PART_LINKS)
		put_links(p, it->rec);
	else if (it->part == PART_VALUES)
		put_keys(p, it->rec->keys);
	else
		put_reports(p, it->rec, it->part == PART_CONTACTS);
}

void wire_put_heartbeat(msgpack_sbuffer *buf, const char *domain,
			bool hears_you, uint64_t digest,
			const struct wire_item *items, int n)
{
	msgpack_packer p;

	msgpack_packer_init(&p, buf, msgpack_sbuffer_write);
	msgpack_pack_array(&p, 4);
	put_str(&p, domain);
	put_bool(&p, hears_you);
	msgpack_pack_uint64(&p, digest);
	msgpack_pack_array(&p, (size_t)n);
	for (int i = 0; i < n; i++)
		put_item(&p, &items[i]);
}

void wire_put_versions(msgpack_sbuffer *buf, const char *domain,
		       const struct wire_version *v, int n)
{
	msgpack_packer p;

	msgpack_packer_init(&p, buf, msgpack_sbuffer_write);
	msgpack_pack_array(&p, 2);
	put_str(&p, domain);
	msgpack_pack_array(&p, (size_t)n);
	for (int i = 0; i < n; i++) {
		msgpack_pack_array(&p, 2 + REC_PARTS);
		msgpack_pack_uint32(&p, v[i].hash);
		msgpack_pack_uint64(&p, v[i].inc);
		for (int k = 0; k < REC_PARTS; k++)
			msgpack_pack_uint32(&p, v[i].seq[k]);
	}
}

void wire_put_summary(msgpack_sbuffer *buf, bool reply,
		      const struct member_domain *d)
{
	msgpack_packer p;

	msgpack_packer_init(&p, buf, msgpack_sbuffer_write);
	msgpack_pack_array(&p, 3);
	put_bool(&p, reply);
	msgpack_pack_array(&p, 5);
	put_values(&p, d);
	put_contacts(&p, d);
}
