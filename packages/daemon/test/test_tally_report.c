// The leader's usage reports in virtual time, with a fake store and platform.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "daemon/lead_mod.h"
#include "store_keys.h"
#include "tally/tally.h"
#include "lead/lead_call.h"
#include "wire/wire.h"

enum {
	WINDOW_MS = 1000,
	SETTLE_MS = 100,
	FIRST_WINDOW = 1000, ///< that is settled when a test begins
	TEAMS = 600, ///< more than a report once held
	STRIDE = 7, ///< of the order in which nodes count the teams
	VALUES = 64,
	BODY_BYTES = 32768,
	STEPS_MAX = 4000,
	OUTAGE_WINDOWS = 20, ///< more than a new leader looks back
};

/// A value of the fake store.
struct value {
	char key[STORE_KEY_SIZE];
	char *text;
};

static struct value values[VALUES];
static int n_values;
static struct tally tally;
static int64_t now;
static int64_t wall_ms;
static bool leads;
static uint64_t epoch;
static bool platform_up;
static enum err put_error; ///< returned by every write, ERR_OK: none
/// The store's answer to the call in flight.
static struct {
	struct kv_cb cb; ///< its fn is NULL for none
	struct kv_result res;
	struct kv_item items[VALUES];
} answer;
/// The platform's answer to the report in flight; its fn is NULL for none.
static struct lead_call sent_call;
static struct core_fetch_result sent_result;
static bool hold_lists; ///< they are answered by answer_page()
static char list_from[STORE_KEY_SIZE]; ///< `from` of the last list, "" for none
static char sent[BODY_BYTES]; ///< counts of the last accepted report
static int64_t sent_window;
static int n_sent;

/* Fakes of the modules that report.c calls. */
int64_t core_now(const struct core *c)
{
	return now;
}

const char *core_node(const struct core *c)
{
	return "n1";
}

void *core_mod_state(const struct core *c, enum core_mod m)
{
	return &tally;
}

bool lead_mod_may_act(struct core *c, uint64_t *out)
{
	*out = epoch;
	return leads;
}

static struct value *value_find(const char *key)
{
	for (int i = 0; i < n_values; i++) {
		if (strcmp(values[i].key, key) == 0)
			return &values[i];
	}
	return NULL;
}

static void value_set(const char *key, const char *text)
{
	struct value *v = value_find(key);

	assert_true(v || n_values < VALUES);
	if (!v)
		v = &values[n_values++];
	free(v->text);
	snprintf(v->key, sizeof(v->key), "%s", key);
	v->text = strdup(text);
}

static enum err store_answers(struct kv_cb cb, enum err e)
{
	assert_null(answer.cb.fn);
	answer.cb = cb;
	answer.res = (struct kv_result){.err = e, .items = answer.items};
	return ERR_OK;
}

static void answer_add(const struct value *v)
{
	answer.items[answer.res.n_items++] = (struct kv_item){
		.key = v->key,
		.value = v->text,
		.len = strlen(v->text),
	};
}

enum err kv_get(struct core *c, const char *key, struct kv_cb cb)
{
	const struct value *v = value_find(key);

	store_answers(cb, v ? ERR_OK : ERR_NOT_FOUND);
	if (v)
		answer_add(v);
	return ERR_OK;
}

enum err kv_put(struct core *c, const struct kv_put_opts *opts, struct kv_cb cb)
{
	if (put_error)
		return store_answers(cb, put_error);
	if (value_find(opts->key))
		return store_answers(cb, ERR_KV_CONFLICT);
	value_set(opts->key, opts->value);
	return store_answers(cb, ERR_OK);
}

enum err kv_list_after(struct core *c, const char *prefix, const char *from,
		       struct kv_cb cb)
{
	snprintf(list_from, sizeof(list_from), "%s", from ? from : "");
	store_answers(cb, ERR_OK);
	for (int i = 0; i < n_values; i++) {
		if (strncmp(values[i].key, prefix, strlen(prefix)) == 0)
			answer_add(&values[i]);
	}
	return ERR_OK;
}

static const char **fake_report(const struct duty_report *r, struct arena *a,
				const char **body)
{
	static const char *headers[] = {NULL};
	char text[BODY_BYTES];
	size_t len = 0;

	text[0] = '\0';
	for (size_t i = 0; i < r->n; i++)
		len += (size_t)snprintf(
			text + len, sizeof(text) - len, "%s=%llu,",
			r->counts[i].team,
			(unsigned long long)r->counts[i].requests);
	*body = arena_strdup(a, text);
	if (platform_up) {
		snprintf(sent, sizeof(sent), "%s", text);
		sent_window = r->window;
		n_sent++;
	}
	return headers;
}

static const struct duty_wire_ops duty_ops = {
	.report_path = "/report",
	.report = fake_report,
};

static const struct wire_ops wire_ops = {.duty = &duty_ops};

const struct wire_ops *core_wire(const struct core *c)
{
	return &wire_ops;
}

enum err lead_call_send(struct core *c, const struct lead_call *call)
{
	sent_call = *call;
	sent_result = (struct core_fetch_result){
		.err = platform_up ? ERR_OK : ERR_TIMEOUT,
		.status = platform_up ? 200 : 0,
	};
	return ERR_OK;
}

static int setup(void **state)
{
	now = 0;
	wall_ms = (FIRST_WINDOW + 1) * WINDOW_MS + SETTLE_MS;
	leads = true;
	epoch = 1;
	platform_up = true;
	put_error = ERR_OK;
	hold_lists = false;
	sent[0] = '\0';
	sent_window = 0;
	n_sent = 0;
	memset(&answer, 0, sizeof(answer));
	memset(&sent_call, 0, sizeof(sent_call));
	memset(&tally, 0, sizeof(tally));
	tally.window_ms = WINDOW_MS;
	tally.settle_ms = SETTLE_MS;
	return 0;
}

/* The state of a process that ends. */
static void forget_report(void)
{
	tally_report_free(&tally.report);
	memset(&tally.report, 0, sizeof(tally.report));
}

static int teardown(void **state)
{
	forget_report();
	for (int i = 0; i < n_values; i++)
		free(values[i].text);
	n_values = 0;
	memset(values, 0, sizeof(values));
	return 0;
}

/* Answers the calls in flight. */
static void answer_calls(void)
{
	const struct kv_cb cb = answer.cb;
	const struct lead_call call = sent_call;

	answer.cb.fn = NULL;
	sent_call.on_done = NULL;
	if (cb.fn && !hold_lists)
		cb.fn(NULL, cb.ctx, &answer.res);
	else
		answer.cb = cb;
	if (call.on_done)
		call.on_done(NULL, call.ctx, &sent_result);
}

static void run_ms(int ms)
{
	for (int i = 0; i < ms; i++) {
		now++;
		answer_calls();
		tally_report_step(NULL, &tally, wall_ms);
	}
}

/* Counts of the teams in the given order, which starts at `first`. */
static void node_counts(const char *node, int first)
{
	json_t *obj = json_object();
	char key[STORE_KEY_SIZE];
	char *text;

	for (int i = 0; i < TEAMS; i++) {
		char team[16];

		snprintf(team, sizeof(team), "t%03d",
			 (first + i * STRIDE) % TEAMS);
		json_object_set_new(obj, team, json_integer(i + 1));
	}
	text = json_dumps(obj, JSON_COMPACT);
	snprintf(key, sizeof(key), KEY_TALLY "%d/%s", FIRST_WINDOW, node);
	value_set(key, text);
	free(text);
	json_decref(obj);
}

static int teams_sent(void)
{
	int n = 0;

	for (const char *p = sent; *p; p++)
		n += *p == ',';
	return n;
}

/* Guards against a report that lacks the teams over a fixed number. */
static void test_report_has_every_team(void **state)
{
	node_counts("a", 3);
	run_ms(10);
	assert_int_equal(n_sent, 1);
	assert_int_equal(teams_sent(), TEAMS);
}

/* Guards against two reports of one window that differ: the first leader's from its sum, the
 * next one's from the sealed figures. */
static void test_later_leader_sends_the_sealed_figures(void **state)
{
	char first[BODY_BYTES];

	node_counts("a", 3);
	node_counts("b", 5);
	run_ms(10);
	assert_int_equal(n_sent, 1);
	strcpy(first, sent);
	forget_report();
	epoch = 2;
	node_counts("c", 11); /* written after the window was sealed */
	while (sent_window != FIRST_WINDOW || n_sent == 1)
		run_ms(1);
	assert_string_equal(sent, first);
}

static void answer_page(const char *team, bool more)
{
	const struct kv_cb cb = answer.cb;
	char value[64], key[STORE_KEY_SIZE];
	struct kv_item item = {.key = key, .value = value};
	const struct kv_result res = {
		.items = &item, .n_items = 1, .more = more};

	snprintf(key, sizeof(key), KEY_TALLY "%d/%s", FIRST_WINDOW, team);
	item.len = (size_t)snprintf(value, sizeof(value), "{\"%s\":1}", team);
	answer.cb.fn = NULL;
	cb.fn(NULL, cb.ctx, &res);
}

/* Guards against a window's figures with a page of another window's: leadership was lost
 * between two pages and came back. */
static void test_lost_leadership_drops_listed_pages(void **state)
{
	hold_lists = true;
	run_ms(1);
	answer_page("old", true);
	leads = false;
	run_ms(1);
	leads = true;
	run_ms(1);
	assert_string_equal(list_from, "");
	answer_page("new", false);
	hold_lists = false;
	run_ms(5);
	assert_string_equal(sent, "new=1,");
}

/* Guards against an empty report in place of figures that can't be read. */
static void test_unreadable_figures_are_not_reported(void **state)
{
	char key[STORE_KEY_SIZE];

	snprintf(key, sizeof(key), KEY_SEALED "%d", FIRST_WINDOW);
	value_set(key, "{\"t1\":");
	run_ms(10);
	assert_int_equal(n_sent, 0);
	wall_ms += WINDOW_MS;
	run_ms(10);
	assert_int_equal(sent_window, FIRST_WINDOW + 1);
}

/* Guards against windows that are never reported: the figures of one before them are too large
 * for the store. */
static void test_too_large_figures_do_not_stop_later_windows(void **state)
{
	put_error = ERR_TOO_LARGE;
	run_ms(STEPS_MAX);
	assert_int_equal(n_sent, 0);
	put_error = ERR_OK;
	wall_ms += WINDOW_MS;
	run_ms(10);
	assert_int_equal(sent_window, FIRST_WINDOW + 1);
}

/* Guards against windows that the leader passes over after it could not reach the platform
 * for longer than a new leader looks back. */
static void test_leader_reports_all_windows_of_an_outage(void **state)
{
	platform_up = false;
	for (int i = 0; i < OUTAGE_WINDOWS; i++) {
		run_ms(10);
		wall_ms += WINDOW_MS;
	}
	assert_int_equal(n_sent, 0);
	platform_up = true;
	run_ms(STEPS_MAX);
	assert_int_equal(n_sent, OUTAGE_WINDOWS + 1);
	assert_int_equal(sent_window, FIRST_WINDOW + OUTAGE_WINDOWS);
}

#define TALLY_TEST(name) cmocka_unit_test_setup_teardown(name, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TALLY_TEST(test_report_has_every_team),
		TALLY_TEST(test_later_leader_sends_the_sealed_figures),
		TALLY_TEST(test_lost_leadership_drops_listed_pages),
		TALLY_TEST(test_unreadable_figures_are_not_reported),
		TALLY_TEST(test_too_large_figures_do_not_stop_later_windows),
		TALLY_TEST(test_leader_reports_all_windows_of_an_outage),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
