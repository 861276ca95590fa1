// Cost of a report of requests at engines to its sender and its receiver, from a
// home node with 400 samples in flight, among 50 and among 3,000 engines.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "job/job_defs.h"
#include "job/job_run.h"
#include "room/room_msg.h"
#include "site/server.h"
#include "support/bench.h"

enum {
	ITEMS = 400,
	REPORTS = 2000,
	ENTRY_MS = 1,
};

static struct site_servers *servers;

static htab_handle server_of(void *ctx, const char *id, size_t len)
{
	return site_servers_lookup(servers, id, len);
}

static void add(void *ctx, htab_handle server, int delta)
{
	struct site_server *s = site_servers_get(servers, server);

	if (s)
		s->others += delta;
}

static void servers_new(int n)
{
	servers = site_servers_new();
	for (int i = 0; i < n; i++) {
		struct site_server_entry e = {.slots = 8, .service = "engines"};

		snprintf(e.id, sizeof(e.id), "i-%08x", i * 2654435761U);
		site_servers_put(servers, 1, ENTRY_MS, &e);
	}
	for (int i = 0; i < ITEMS;) {
		struct site_server *s;
		size_t iter = 0;

		while ((s = site_servers_next(servers, &iter)) && i < ITEMS) {
			site_server_begin(s, ENTRY_MS);
			i++;
		}
	}
}

static size_t walk(struct room_msg_server_requests *at)
{
	const struct site_server *s;
	size_t iter = 0;
	size_t n = 0;

	while ((s = site_servers_next(servers, &iter)) &&
	       n < ROOM_SERVERS_MAX) {
		if (s->running > 0 && strcmp(s->entry.service, "engines") == 0)
			at[n++] = (struct room_msg_server_requests){s->entry.id,
								    s->running};
	}
	return n;
}

static struct job_run *run_new(struct job_spec *spec)
{
	static const struct job_run_opts opts = {.give_up_ms = INT64_MAX};
	struct job_run *run;

	arena_init(&spec->arena, 0);
	spec->items = arena_alloc(&spec->arena, ITEMS * sizeof(*spec->items));
	spec->n_items = ITEMS;
	for (int i = 0; i < ITEMS; i++) {
		char id[16];

		snprintf(id, sizeof(id), "%d", i);
		spec->items[i].id = arena_strdup(&spec->arena, id);
		spec->items[i].group = spec->items[i].id;
		spec->items[i].length_hint = 20;
	}
	run = job_run_new(spec, &opts);
	for (int i = 0; i < ITEMS; i++)
		job_run_item_sent(run, i);
	return run;
}

static bool measure(int n)
{
	static struct room_report out, in;
	static struct room_msg_server_requests at[ROOM_SERVERS_MAX];
	const struct room_opts opts = {.self = "me", .on_change = add};
	struct room *room = room_new(&opts);
	struct job_spec spec = {0};
	struct job_run *run = run_new(&spec);
	int64_t sent_us = 0;
	int64_t taken_us = 0;
	size_t bytes = 0;
	char name[64];
	bool ok;

	servers_new(n);
	for (int i = 0; i < REPORTS; i++) {
		msgpack_sbuffer buf;
		int64_t from = clock_now_us();
		int64_t mid;

		msgpack_sbuffer_init(&buf);
		out = (struct room_report){.process_start_ms = 1,
					   .seq = (uint64_t)i + 1};
		room_report_add_step(
			&out,
			&(struct room_step){
				.model = "model",
				.running = ITEMS,
				.events_left = job_run_remaining_events(run),
			});
		room_report_pack(&buf, &out, at, walk(at));
		mid = clock_now_us();
		bytes = buf.size;
		room_report_read(buf.data, buf.size, server_of, NULL, &in);
		room_accept_report(room, ENTRY_MS, "other", &in);
		taken_us += clock_now_us() - mid;
		sent_us += mid - from;
		msgpack_sbuffer_destroy(&buf);
	}
	snprintf(name, sizeof(name), "room_report_make_%d_engines", n);
	ok = bench_check(name, (double)sent_us / REPORTS, "us", BENCH_AT_MOST,
			 300);
	snprintf(name, sizeof(name), "room_report_take_%d_engines", n);
	ok &= bench_check(name, (double)taken_us / REPORTS, "us", BENCH_AT_MOST,
			  300);
	snprintf(name, sizeof(name), "room_report_bytes_%d_engines", n);
	ok &= bench_check(name, (double)bytes, "bytes", BENCH_AT_MOST, 8192);
	job_run_free(run);
	arena_free(&spec.arena);
	room_free(room);
	site_servers_free(servers);
	return ok;
}

int main(void)
{
	bool ok = measure(50);

	ok &= measure(3000);
	return ok ? 0 : 1;
}
