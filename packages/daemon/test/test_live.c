// A node's liveness key on a virtual clock, before a store that the test plays.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "lead/live.h"
#include "lead/live_value.h"

static int64_t now;
static struct kv_cb call; ///< that is not answered yet
static int revoked; ///< calls that end the lease
static struct live l;

/* Stand in for the modules below. */
int64_t core_now(const struct core *c)
{
	return now;
}

const char *core_node(const struct core *c)
{
	return "n1";
}

const char *core_incarnation(const struct core *c)
{
	return "r1";
}

size_t live_value_make(struct core *c, bool retiring, char *buf, size_t len)
{
	return 0;
}

static enum err begin(struct kv_cb cb)
{
	assert_null(call.fn);
	call = cb;
	return ERR_OK;
}

enum err kv_get(struct core *c, const char *key, struct kv_cb cb)
{
	return begin(cb);
}

enum err kv_put(struct core *c, const struct kv_put_opts *opts, struct kv_cb cb)
{
	return begin(cb);
}

enum err kv_lease_grant(struct core *c, int64_t ttl_ms, struct kv_cb cb)
{
	return begin(cb);
}

enum err kv_lease_renew(struct core *c, uint64_t lease, struct kv_cb cb)
{
	return begin(cb);
}

enum err kv_lease_revoke(struct core *c, uint64_t lease, struct kv_cb cb)
{
	revoked++;
	return begin(cb);
}

static void answer(enum err e)
{
	const struct kv_result res = {.err = e, .lease = 7, .rev = 3};
	const struct kv_cb cb = call;

	assert_non_null(cb.fn);
	call.fn = NULL;
	cb.fn(NULL, cb.ctx, &res);
}

/* A key that is held. */
static int setup(void **state)
{
	now = 1000;
	revoked = 0;
	call.fn = NULL;
	l = (struct live){.home = true, .step = LIVE_GRANT};
	live_step(NULL, &l);
	answer(ERR_OK);
	live_step(NULL, &l);
	answer(ERR_OK);
	assert_true(live_held(&l, now));
	return 0;
}

/* Guards against a key that stays until its lease lapses, as the answer of a renewal
 * was taken for that of the leave: the lease was never ended. */
static void test_leave_during_a_renewal(void **state)
{
	now += 500;
	live_step(NULL, &l);
	live_leave(&l);
	answer(ERR_OK);
	live_step(NULL, &l);
	assert_int_equal(revoked, 1);
	answer(ERR_OK);
	assert_int_equal(l.step, LIVE_LEFT);
}

/* Guards against a key that stays after the call that ends its lease failed. */
static void test_leave_is_repeated(void **state)
{
	live_leave(&l);
	live_step(NULL, &l);
	answer(ERR_KV_DOWN);
	assert_int_equal(l.step, LIVE_LEAVE);
	now += 1000;
	live_step(NULL, &l);
	assert_int_equal(revoked, 2);
	answer(ERR_NOT_FOUND);
	assert_int_equal(l.step, LIVE_LEFT);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup(test_leave_during_a_renewal, setup),
		cmocka_unit_test_setup(test_leave_is_repeated, setup),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
