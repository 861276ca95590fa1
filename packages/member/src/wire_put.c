// Writes messages.
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

static void put_domain(msgpack_packer *p, const struct member_domain *d)
{
	msgpack_pack_array(p, 7);
	put_str(p, d->name);
	put_bool(p, d->heard);
	msgpack_pack_int32(p, d->alive);
	msgpack_pack_int32(p, d->draining);
	put_keys(p, d->min);
	put_keys(p, d->max);
	msgpack_pack_array(p, (size_t)d->n_contacts);
	for (int i = 0; i < d->n_contacts; i++) {
		msgpack_pack_array(p, 2);
		put_str(p, d->contacts[i].id);
		put_str(p, d->contacts[i].addr);
	}
}

static void put_rec(msgpack_packer *p, const struct rec *r)
{
	msgpack_pack_array(p, 9);
	put_str(p, r->id);
	put_str(p, r->addr);
	msgpack_pack_uint64(p, r->inc);
	msgpack_pack_uint32(p, r->seq);
	put_bool(p, r->draining);
	put_bool(p, r->left);
	put_keys(p, r->keys);
	msgpack_pack_array(p, (size_t)r->n_heard);
	for (int i = 0; i < r->n_heard; i++)
		msgpack_pack_uint32(p, r->heard[i]);
	msgpack_pack_array(p, (size_t)r->n_reports);
	for (int i = 0; i < r->n_reports; i++)
		put_domain(p, &r->reports[i].d);
}

void wire_put_beat(msgpack_sbuffer *buf, const char *domain, bool hears_you,
		   uint64_t digest, const struct rec *const *recs, int n)
{
	msgpack_packer p;

	msgpack_packer_init(&p, buf, msgpack_sbuffer_write);
	msgpack_pack_array(&p, 4);
	put_str(&p, domain);
	put_bool(&p, hears_you);
	msgpack_pack_uint64(&p, digest);
	msgpack_pack_array(&p, (size_t)n);
	for (int i = 0; i < n; i++)
		put_rec(&p, recs[i]);
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
		msgpack_pack_array(&p, 3);
		msgpack_pack_uint32(&p, v[i].hash);
		msgpack_pack_uint64(&p, v[i].inc);
		msgpack_pack_uint32(&p, v[i].seq);
	}
}

void wire_put_summary(msgpack_sbuffer *buf, bool reply,
		      const struct member_domain *d)
{
	msgpack_packer p;

	msgpack_packer_init(&p, buf, msgpack_sbuffer_write);
	msgpack_pack_array(&p, 2);
	put_bool(&p, reply);
	put_domain(&p, d);
}
