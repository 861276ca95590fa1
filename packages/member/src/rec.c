// The table of records and merging of parts.
#include "rec.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

uint32_t rec_hash(const char *id)
{
	return XXH32(id, strlen(id), 0);
}

int rec_find_hash(const struct rec_table *t, uint32_t hash)
{
	for (int i = 0; i < t->n; i++) {
		if (t->recs[i]->hash == hash)
			return i;
	}
	return REC_NONE;
}

int rec_find(const struct rec_table *t, const char *id)
{
	int i = rec_find_hash(t, rec_hash(id));

	return i != REC_NONE && strcmp(t->recs[i]->id, id) == 0 ? i : REC_NONE;
}

int rec_add(struct rec_table *t, const char *id, int64_t now_ms)
{
	uint32_t hash = rec_hash(id);
	struct rec *r;

	if (t->n == REC_MAX || rec_find_hash(t, hash) != REC_NONE)
		return REC_NONE;
	r = calloc(1, sizeof(*r));
	if (!r)
		return REC_NONE;
	snprintf(r->id, sizeof(r->id), "%s", id);
	r->hash = hash;
	r->state = MEMBER_DEAD;
	r->lost_ms = now_ms;
	t->recs[t->n] = r;
	return t->n++;
}

void rec_clear(struct rec *r)
{
	free(r->reports);
	r->reports = NULL;
	r->n_reports = 0;
}

void rec_del(struct rec_table *t, int i)
{
	rec_clear(t->recs[i]);
	free(t->recs[i]);
	t->recs[i] = t->recs[--t->n];
}

struct member_domain *rec_report(const struct rec *r, const char *domain)
{
	for (int i = 0; i < r->n_reports; i++) {
		if (strcmp(r->reports[i].name, domain) == 0)
			return &r->reports[i];
	}
	return NULL;
}

bool rec_hears_domain(const struct rec *r, const char *domain)
{
	uint32_t hash = rec_hash(domain);

	for (int i = 0; i < r->n_domains; i++) {
		if (r->domains[i] == hash)
			return true;
	}
	return false;
}

static void merge_links(struct rec *dst, const struct rec *src)
{
	memcpy(dst->addr, src->addr, sizeof(dst->addr));
	if (!dst->addr_fixed && strcmp(dst->dial_addr, src->addr) != 0) {
		memcpy(dst->dial_addr, src->addr, sizeof(dst->dial_addr));
		dst->connected = false;
	}
	dst->draining = src->draining;
	dst->left = src->left;
	memcpy(dst->heard, src->heard, sizeof(dst->heard));
	dst->n_heard = src->n_heard;
	memcpy(dst->domains, src->domains, sizeof(dst->domains));
	dst->n_domains = src->n_domains;
}

static void copy_contacts(struct member_domain *to,
			  const struct member_domain *from)
{
	memcpy(to->contacts, from->contacts, sizeof(to->contacts));
	to->n_contacts = from->n_contacts;
}

static void merge_reports(struct rec *dst, struct rec *src)
{
	for (int i = 0; i < src->n_reports; i++) {
		const struct member_domain *old =
			rec_report(dst, src->reports[i].name);

		if (old)
			copy_contacts(&src->reports[i], old);
	}
	free(dst->reports);
	dst->reports = src->reports;
	dst->n_reports = src->n_reports;
	src->reports = NULL;
	src->n_reports = 0;
}

static void merge_contacts(struct rec *dst, const struct rec *src)
{
	for (int i = 0; i < src->n_reports; i++) {
		struct member_domain *d = rec_report(dst, src->reports[i].name);

		if (d)
			copy_contacts(d, &src->reports[i]);
	}
}

bool rec_merge(struct rec *dst, struct rec *src, enum rec_part part,
	       uint32_t seq)
{
	if (src->inc < dst->inc ||
	    (src->inc == dst->inc && seq <= dst->seq[part]))
		return false;
	if (src->inc > dst->inc) {
		memset(dst->seq, 0, sizeof(dst->seq));
		rec_clear(dst);
	}
	dst->inc = src->inc;
	dst->seq[part] = seq;
	if (part == PART_LINKS)
		merge_links(dst, src);
	else if (part == PART_VALUES)
		memcpy(dst->keys, src->keys, sizeof(dst->keys));
	else if (part == PART_REPORTS)
		merge_reports(dst, src);
	else
		merge_contacts(dst, src);
	return true;
}

void rec_table_clear(struct rec_table *t)
{
	while (t->n)
		rec_del(t, t->n - 1);
}
